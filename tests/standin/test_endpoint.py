"""Tests of stand-in endpoints that run as real processes."""

import asyncio
import hashlib
from typing import Any

import aiohttp
import testtools
from testtools import matchers

from sardineproxy.demo import deployment, parts

ENDPOINT = parts.EndpointSpec(name='urn', zone='sondrio')

#: Mode, response status (None if the connection breaks), recorded starts.
FAULTS = (
    ('fail', 500, 1),
    ('refuse', 503, 0),
    ('cut', None, 1),
    ('short', None, 1),
    ('close', 200, 1),
    ('close_idle', 200, 1),
)


async def _post(
    dep: deployment.Deployment, task: str, run_ms: float = 0
) -> tuple[int | None, dict[str, Any]]:
    url = f'http://{parts.HOST}:{dep.endpoints["urn"].port}/x'
    headers = {'X-Task': task, 'X-Run-Ms': str(run_ms)}
    try:
        async with dep.session.post(
            url, headers=headers, data=b'b'
        ) as response:
            return response.status, await response.json()
    except aiohttp.ClientError:
        return None, {}


class EndpointTest(testtools.TestCase):
    """Guards against wrong records and faults, on which other tests rely."""

    def test_queue_is_first_come_and_bounded_by_slots(self) -> None:
        """Guards against more tasks at once than slots, or starts out of order.

        Five requests arrive at the same time at an endpoint with one slot.
        """
        summary, starts, responses = asyncio.run(_run_five_on_one_slot())
        self.assertThat(summary['most_running'], matchers.Equals(1))
        self.assertThat(len(starts), matchers.Equals(5))
        arrivals = [start['arrival'] for start in starts]
        self.assertThat(arrivals, matchers.Equals(sorted(arrivals)))
        for earlier, later in zip(starts, starts[1:]):
            self.assertTrue(earlier['end'] <= later['start'])
        digest = hashlib.sha256(b'b').hexdigest()
        for number, (status, body) in enumerate(responses):
            expected = {'task': f't{number}', 'body_sha256': digest}
            self.assertThat(status, matchers.Equals(200))
            self.assertThat(
                body, matchers.ContainsDict(_match_values(expected))
            )

    def test_faults(self) -> None:
        """Guards against a mode whose response or record differs from FAULTS."""
        results = asyncio.run(_run_fault_modes())
        self.assertThat(results, matchers.Equals(list(FAULTS)))

    def test_silent_until_mode_changes(self) -> None:
        """Guards against a silent endpoint that responds or records no start.

        The blocked request fails with a reset when the mode changes.
        """
        had_response, status = asyncio.run(_run_silent_request())
        self.assertFalse(had_response)
        self.assertIsNone(status)

    def test_connections_are_bounded(self) -> None:
        """Guards against connections beyond the endpoint's limit."""
        summary = asyncio.run(_exceed_connection_limit())
        self.assertThat(summary['refused_connections'], matchers.GreaterThan(0))
        self.assertThat(summary['most_running'], matchers.LessThan(3))


def _match_values(expected: dict[str, Any]) -> dict[str, Any]:
    return {
        key: matchers.Equals(expected_value)
        for key, expected_value in expected.items()
    }


async def _run_five_on_one_slot() -> Any:
    async with deployment.Deployment() as dep:
        await dep.start_endpoints([ENDPOINT], slots=1)
        responses = await asyncio.gather(
            *(_post(dep, f't{number}', run_ms=20) for number in range(5))
        )
        return *await dep.read_record('urn'), responses


async def _run_fault_modes() -> list[tuple[str, int | None, int]]:
    results = []
    async with deployment.Deployment() as dep:
        await dep.start_endpoints([ENDPOINT])
        for mode, _, _ in FAULTS:
            await dep.set_endpoint_mode('urn', mode)
            status, _ = await _post(dep, 'x')
            summary, _ = await dep.read_record('urn', clear=True)
            results.append((mode, status, summary['started']))
    return results


async def _run_silent_request() -> tuple[bool, int | None]:
    async with deployment.Deployment() as dep:
        await dep.start_endpoints([ENDPOINT])
        await dep.set_endpoint_mode('urn', 'silent')
        pending_request = asyncio.create_task(_post(dep, 'x'))
        while not (await dep.read_record('urn'))[1]:
            await asyncio.sleep(0.01)
        had_response = pending_request.done()
        await dep.set_endpoint_mode('urn', 'normal')
        return had_response, (await pending_request)[0]


async def _exceed_connection_limit() -> dict[str, int]:
    async with deployment.Deployment() as dep:
        await dep.start_endpoints([ENDPOINT], connections=2)
        await asyncio.gather(*(_post(dep, 'x', run_ms=300) for _ in range(6)))
        return (await dep.read_record('urn'))[0]
