"""One attempt to run a task at an endpoint over HTTP/1.1."""

import asyncio
import dataclasses

import aiohttp

from sardineproxy import clock, ids, problems, verdicts
from sardineproxy.process import metrics, platform
from sardineproxy.request import work


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Bounds of connections and answers."""

    #: Longest wait for a TCP connection to be established, in seconds.
    connect_timeout_s: float = 1

    #: Largest answer of an endpoint, in bytes.
    max_answer_bytes: int = 8_388_608


class EndpointClient:
    """Sends tasks to endpoints and classifies what came back."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        cfg: Config | None = None,
    ) -> None:
        """Prepare a client; ``start`` opens its session."""
        self._clock = clock
        self._metrics = metrics
        self._cfg = cfg or Config()
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session on the running event loop."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

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
        assert self._session is not None, 'start() was not called'
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
