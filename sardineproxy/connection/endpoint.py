"""One attempt to run a task at an endpoint over HTTP/1.1."""

import asyncio

import aiohttp

from sardineproxy import clock, ids, problems, verdicts
from sardineproxy.process import platform
from sardineproxy.request import work

#: Longest wait for a connection to an endpoint, in seconds.
CONNECT_TIMEOUT_S = 1

#: Largest answer of an endpoint, in bytes.
MAX_ANSWER_BYTES = 8_388_608


class EndpointClient:
    """Sends tasks to endpoints and classifies what came back."""

    def __init__(
        self, *, session: aiohttp.ClientSession, clock: clock.Clock
    ) -> None:
        """Use ``session`` for all connections."""
        self._session = session
        self._clock = clock

    async def attempt(
        self, *, task: work.Task, vm: platform.Vm
    ) -> work.Outcome:
        """Run ``task`` once at ``vm`` and return its outcome."""
        left_s = task.deadline - self._clock.now()
        try:
            async with asyncio.timeout(left_s):
                return await self._exchange(task, vm)
        except aiohttp.ClientConnectorError:
            return _refused(vm)
        except (aiohttp.ClientError, TimeoutError) as exc:
            return _unknown(vm, type(exc).__name__)

    async def _exchange(self, task: work.Task, vm: platform.Vm) -> work.Outcome:
        url = f'http://{vm.host}:{vm.port}{task.path}'
        async with self._session.request(
            task.method,
            url,
            headers=task.headers,
            data=task.body,
            allow_redirects=False,
        ) as reply:
            body = await reply.read()
            return work.Answer(
                status=reply.status,
                headers=(('Content-Type', reply.content_type),),
                body=body,
                endpoint=ids.EndpointId(vm.name),
            )


def _refused(vm: platform.Vm) -> work.Refused:
    return work.Refused(
        problem=problems.Problem(
            code='endpoint_unreachable',
            verdict=verdicts.Verdict.NOT_RUN,
            status=503,
            detail=f'Endpoint {vm.name} could not be reached.',
            retry_after_s=1,
        )
    )


def _unknown(vm: platform.Vm, cause: str) -> work.Unknown:
    return work.Unknown(
        problem=problems.Problem(
            code='no_whole_answer',
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            status=504,
            detail=f'Endpoint {vm.name} gave no whole answer ({cause}).',
        )
    )
