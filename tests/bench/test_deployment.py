"""The deployment stops every process that it started."""

import asyncio
import json
import os
import signal

import testtools
from testtools import matchers

from sardineproxy.demo import deployment, parts, processes
from sardineproxy.process import settings

ENDPOINT_SPEC = parts.EndpointSpec(name='urn', zone='sondrio')


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def _fail_after_start(endpoint_pids: list[int]) -> None:
    async with deployment.Deployment() as dep:
        endpoint_process = await dep.start_endpoints([ENDPOINT_SPEC])
        endpoint_pids.append(endpoint_process.pid)
        await dep.start_program('standin-endpoint', '--no_such_flag')


async def _terminate_after_start(endpoint_pids: list[int]) -> None:
    async with deployment.Deployment() as dep:
        endpoint_process = await dep.start_endpoints([ENDPOINT_SPEC])
        endpoint_pids.append(endpoint_process.pid)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.Event().wait()


class DeploymentTest(testtools.TestCase):
    """Guards against processes that outlive their deployment."""

    def test_stops_all_processes_when_one_fails_to_start(self) -> None:
        """Guards against processes that keep running after a failed set-up.

        One program starts and the next exits because of an unknown flag.
        """
        endpoint_pids: list[int] = []
        error = self.assertRaises(
            processes.DeploymentError,
            asyncio.run,
            _fail_after_start(endpoint_pids),
        )
        self.assertThat(str(error), matchers.Contains('no_such_flag'))
        self.assertThat(
            [_is_running(pid) for pid in endpoint_pids],
            matchers.Equals([False]),
        )

    def test_stops_all_processes_on_sigterm(self) -> None:
        """Guards against processes that keep running after SIGTERM."""
        endpoint_pids: list[int] = []
        error = self.assertRaises(
            processes.DeploymentError,
            processes.run,
            _terminate_after_start(endpoint_pids),
        )
        self.assertThat(str(error), matchers.Contains('signal'))
        self.assertThat(
            [_is_running(pid) for pid in endpoint_pids],
            matchers.Equals([False]),
        )

    def test_rendered_settings_match_the_schema(self) -> None:
        """Guards against rendered settings that the entry process rejects."""
        spec = parts.EntrySpec(name='sondrio-1', zone='sondrio', size=2)
        document = parts.render_settings(
            spec, region='alpha', platform_port=4711, seeds=()
        )
        parsed = settings.parse(json.dumps(document)).unwrap()
        self.assertThat(parsed.vm, matchers.Equals('sondrio-1'))
        self.assertThat(parsed.platform.port, matchers.Equals(4711))
