"""Asks workers of a shard whose leader cannot be reached for runs and results.

A job manager does so before it starts tasks of the shard anew: that nobody has
reported a result does not mean that there is none. An inquiry changes nothing
on a worker but the fence: it extends no lease and acknowledges no result.
"""

import asyncio
import dataclasses
import itertools
from typing import Mapping, Protocol

from sardineproxy import background, ids, logs
from sardineproxy.process import metrics
from sardineproxy.process.shards import fencing, times, workers

#: Time in which the inquiries of all jobs about a shard are joined, in seconds.
JOIN_S = 0.05

#: Calls to a worker that does not respond.
MAX_CALLS = 3

_LOG = logs.get_logger('cell')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardWorkers:
    """Workers on which the leader of a shard may have started runs."""

    workers: tuple[workers.Worker, ...]

    #: False if there may be others.
    is_complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Findings:
    """What the workers of a shard list."""

    active: frozenset[workers.TaskName]

    #: Results that their leader has not acknowledged, in the order of their
    #: runs.
    finished: Mapping[workers.TaskName, tuple[workers.FinishedRun, ...]]

    #: Whether all workers on which runs of the shard may exist have responded.
    is_complete: bool


class Directory(Protocol):
    """Finds workers of other shards, and the tokens of their leaders."""

    def shard_workers(self, shard: ids.ShardId) -> ShardWorkers:
        """Return the workers that the leader of a shard may have used."""

    def leader_token(self, shard: ids.ShardId) -> fencing.FencingToken | None:
        """Return the newest known token of a shard's leader."""


class WorkerInquiries:
    """Polls workers that another process orders."""

    def __init__(
        self,
        *,
        api: workers.WorkerApi,
        directory: Directory,
        metrics: metrics.Metrics,
        cfg: times.CallTiming,
    ) -> None:
        """Create an instance that has asked no worker."""
        self._api = api
        self._directory = directory
        self._metrics = metrics
        self._cfg = cfg
        self._tasks = background.Tasks()
        self._next: dict[ids.ShardId, asyncio.Future[Findings]] = {}

    async def close(self) -> None:
        """Cancel all inquiries."""
        await self._tasks.close()

    def ask(self, shard: ids.ShardId) -> 'asyncio.Future[Findings]':
        """Ask all workers of a shard, soon and together for all callers.

        The calls begin after this one. The future may be cancelled.
        """
        findings_fut = self._next.get(shard)
        if findings_fut is None:
            findings_fut = asyncio.get_running_loop().create_future()
            self._next[shard] = findings_fut
            self._tasks.spawn(
                self._run(shard, findings_fut),
                unit=f'inquiry about shard {shard}',
                on_failure=lambda: _cancel(findings_fut),
            )
        return findings_fut

    async def _run(
        self, shard: ids.ShardId, findings_fut: 'asyncio.Future[Findings]'
    ) -> None:
        await asyncio.sleep(JOIN_S)
        self._next.pop(shard)
        findings = await self._ask_all(shard)
        if not findings_fut.done():
            findings_fut.set_result(findings)

    async def _ask_all(self, shard: ids.ShardId) -> Findings:
        possible = self._directory.shard_workers(shard)
        token = self._directory.leader_token(shard)
        reports: list[workers.Report | None] = []
        if token is not None:
            reports = await asyncio.gather(
                *(self._ask(worker, token) for worker in possible.workers)
            )
        received = [report for report in reports if report is not None]
        is_complete = (
            possible.is_complete
            and token is not None
            and len(received) == len(possible.workers)
            and all(report.is_complete for report in received)
        )
        _LOG.info(
            'Workers of an unreachable leader asked.',
            extra={
                'cell': shard,
                'workers': len(possible.workers),
                'responses': len(received),
                'complete': is_complete,
            },
        )
        return _merge(received, is_complete=is_complete)

    async def _ask(
        self, worker: workers.Worker, token: fencing.FencingToken
    ) -> workers.Report | None:
        """Return a worker's report, None if there is none.

        The fence is the lowest of its leader's that the worker accepts, or
        less than twice as high; the leader then raises its own.
        """
        fence_count = 0
        calls = 0
        while calls < MAX_CALLS and fence_count <= fencing.MAX_INQUIRY_COUNT:
            self._metrics.count('worker_inquiries_total')
            response = await self._api.poll(
                worker,
                workers.Poll(
                    fence=token.fence(fence_count),
                    acked=0,
                    expires_ms=None,
                    wait_s=0,
                ),
                timeout_s=self._cfg.look_timeout_s,
            )
            match response:
                case workers.Report():
                    return response
                case workers.Refused(reason=workers.Refusal.FENCED):
                    fence_count = 2 * fence_count + 1
                case workers.Refused(reason=workers.Refusal.OTHER_WORKER):
                    return _NOTHING
                case _:
                    calls += 1
        return None


def _cancel(findings_fut: 'asyncio.Future[Findings]') -> None:
    findings_fut.cancel()


#: Report of a worker that is gone, with its runs and results.
_NOTHING = workers.Report(clock_ms=0, started_ms=0, active=(), finished=())


def _merge(reports: list[workers.Report], *, is_complete: bool) -> Findings:
    finished: dict[workers.TaskName, list[workers.FinishedRun]] = {}
    listed = itertools.chain.from_iterable(
        report.finished for report in reports
    )
    for finished_run in listed:
        finished.setdefault(finished_run.task, []).append(finished_run)
    return Findings(
        active=frozenset(
            active_run.task
            for report in reports
            for active_run in report.active
        ),
        finished={
            task: tuple(sorted(task_runs, key=lambda ended: ended.run))
            for task, task_runs in finished.items()
        },
        is_complete=is_complete,
    )
