"""Model of a worker: fencing tokens, leases, reports and a record of its runs.

Time is an argument, in seconds of the caller's clock. The worker's own clock
starts at another value and may run at another rate.
"""

import dataclasses
from typing import Callable

from sardineproxy.process.shards import workers
from sardineproxy.request import jobs

_MS_PER_S = 1000

#: Maximum number of finished runs in one report.
MAX_FINISHED_RUNS = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class RunRecord:
    """Record of one run that a worker started, for checks."""

    task: workers.TaskName
    run: int
    worker: str
    started_at: float
    resources: jobs.Resources
    ended_at: float | None = None
    result: workers.RunResult | None = None

    #: Whether the lease expired before the result was acknowledged.
    is_lease_expired: bool = False

    #: Time at which the result was acknowledged.
    acked_at: float | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class _ActiveRun:
    record: RunRecord

    #: Time at which the run ends by itself, None if it never does.
    completes_at: float | None
    result: workers.RunResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """Resources, duration and result of one run."""

    resources: jobs.Resources

    #: Duration of the run on a worker whose run time factor is 1.
    work_s: float

    #: Result of the run if nothing stops it; None if it never ends by itself.
    result: workers.RunResult | None = workers.RunResult.DONE


#: Returns the work of a run, given the task and the number of the run.
WorkOf = Callable[[workers.TaskName, int], Work]


class WorkerModel:  # noqa: WPS214
    """One worker, which may crash and restart."""

    def __init__(
        self,
        *,
        worker: workers.Worker,
        work_of: WorkOf,
        lease_s: float = 1.0,
        run_time_factor: float = 1.0,
        clock_rate: float = 1.0,
        clock_start_ms: int = 1_000_000,
        started_at: float = 0,
    ) -> None:
        """Start the worker's first process at ``started_at``."""
        self.worker = worker
        self.records: list[RunRecord] = []

        #: Start orders that exceeded the worker's capacity, one sentence each.
        self.violations: list[str] = []
        self.is_up = True
        self._work_of = work_of
        self._lease_ms = int(lease_s * _MS_PER_S)
        self._run_time_factor = run_time_factor
        self._clock_rate = clock_rate
        self._clock_start_ms = clock_start_ms
        self._started_at = started_at
        self._fence = 0
        self._lease_end_ms = 0
        self._running: dict[workers.TaskName, _ActiveRun] = {}

        #: Highest run of each task that ended or was stopped; it and lower
        #: ones never start.
        self._last_closed_run: dict[workers.TaskName, int] = {}
        self._finished_runs: list[workers.FinishedRun] = []
        self._last_position = 0

        #: Finished runs whose result is unacknowledged, by position.
        self._unacked: dict[int, RunRecord] = {}

    def clock_ms(self, now: float) -> int:
        """Return the time on the worker's clock."""
        elapsed_s = (now - self._started_at) * self._clock_rate
        return self._clock_start_ms + int(elapsed_s * _MS_PER_S)

    def set_capacity(self, millicores: int) -> None:
        """Set the capacity, which may change with a restart."""
        self.worker = dataclasses.replace(
            self.worker,
            capacity=dataclasses.replace(
                self.worker.capacity, millicores=millicores
            ),
        )

    def set_clock_rate(self, clock_rate: float) -> None:
        """Set the rate of the worker's clock as of the process's start."""
        self._clock_rate = clock_rate

    def set_state(self, state: workers.WorkerState) -> None:
        """Set the state that the worker's listing shows."""
        self.worker = dataclasses.replace(self.worker, state=state)

    def crash(self, now: float) -> None:
        """End all runs; later reports do not list them."""
        self.advance(now)
        for active_run in list(self._running.values()):
            active_run.record.ended_at = now
        self.is_up = False
        self._reset()

    def restart(self, now: float) -> None:
        """Start a new process with the same worker id."""
        self._started_at = now
        self.is_up = True
        self.worker = dataclasses.replace(
            self.worker,
            started_ms=self.worker.started_ms + int(now * _MS_PER_S) + 1,
        )
        self._reset()

    def advance(self, now: float) -> None:
        """End the runs that complete or whose lease expires by ``now``."""
        lease_expires_at = self._lease_expires_at()
        by_completion = sorted(
            self._running.values(),
            key=lambda active_run: active_run.completes_at or now,
        )
        for active_run in by_completion:
            completes_at = active_run.completes_at
            if completes_at is not None and completes_at <= min(
                now, lease_expires_at
            ):
                self._finish_run(active_run, active_run.result, completes_at)
        if lease_expires_at <= now:
            for active_run in list(self._running.values()):
                self._finish_run(
                    active_run,
                    workers.RunResult.LEASE_EXPIRED,
                    lease_expires_at,
                )

    def start(
        self, order: workers.Order, now: float
    ) -> workers.Accepted | workers.Refused:
        """Execute a start order."""
        self.advance(now)
        if not self._accepts_fence(order.fence):
            return _refused(workers.Refusal.FENCED)
        if order.run <= self._last_closed_run.get(order.task, 0):
            return _refused(workers.Refusal.OLD_RUN)
        if order.expires_ms <= self.clock_ms(now):
            return _refused(workers.Refusal.EXPIRED)
        self._mark_unacked_if_expired(now)
        self._extend_lease(order.expires_ms, now)
        active_run = self._running.get(order.task)
        if active_run is not None:
            if active_run.record.run == order.run:
                return workers.Accepted(clock_ms=self.clock_ms(now))
            return _refused(workers.Refusal.OLD_RUN)
        self._start_run(order, now)
        return workers.Accepted(clock_ms=self.clock_ms(now))

    def stop(
        self, task: workers.TaskName, run: int, fence: int, now: float
    ) -> workers.Accepted | workers.Refused:
        """Stop a run, or prevent a later start of it."""
        self.advance(now)
        if not self._accepts_fence(fence):
            return _refused(workers.Refusal.FENCED)
        self._last_closed_run[task] = max(
            run, self._last_closed_run.get(task, 0)
        )
        active_run = self._running.get(task)
        if active_run is not None and active_run.record.run <= run:
            self._finish_run(active_run, workers.RunResult.STOPPED, now)
        return workers.Accepted(clock_ms=self.clock_ms(now))

    def poll(
        self, poll: workers.Poll, now: float
    ) -> workers.Report | workers.Refused:
        """Extend the lease if requested, then return a report."""
        self.advance(now)
        if not self._accepts_fence(poll.fence):
            return _refused(workers.Refusal.FENCED)
        self._mark_unacked_if_expired(now)
        if poll.expires_ms is not None:
            self._extend_lease(poll.expires_ms, now)
        self._finished_runs = [
            finished
            for finished in self._finished_runs
            if finished.position > poll.acked
        ]
        self._acknowledge(poll.acked, now)
        return workers.Report(
            clock_ms=self.clock_ms(now),
            started_ms=self.worker.started_ms,
            active=tuple(
                workers.ActiveRun(
                    task=task,
                    run=active_run.record.run,
                    percent=self._percent(active_run, now),
                )
                for task, active_run in self._running.items()
            ),
            finished=tuple(self._finished_runs[:MAX_FINISHED_RUNS]),
            is_complete=len(self._finished_runs) < MAX_FINISHED_RUNS,
        )

    def has_unacked_results(self, acked: int) -> bool:
        """Return whether results beyond position ``acked`` exist."""
        return any(
            finished.position > acked for finished in self._finished_runs
        )

    def _reset(self) -> None:
        self._fence = 0
        self._lease_end_ms = 0
        self._running = {}
        self._last_closed_run = {}
        self._finished_runs = []
        self._last_position = 0
        self._unacked = {}

    def _mark_unacked_if_expired(self, now: float) -> None:
        if self.clock_ms(now) > self._lease_end_ms:
            for record in self._unacked.values():
                record.is_lease_expired = True

    def _acknowledge(self, acked: int, now: float) -> None:
        positions = [
            position for position in self._unacked if position <= acked
        ]
        for position in positions:
            self._unacked.pop(position).acked_at = now

    def _accepts_fence(self, fence: int) -> bool:
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _extend_lease(self, expires_ms: int, now: float) -> None:
        latest_ms = self.clock_ms(now) + self._lease_ms
        self._lease_end_ms = max(self._lease_end_ms, min(expires_ms, latest_ms))

    def _lease_expires_at(self) -> float:
        if not self._running:
            return float('inf')
        elapsed_ms = self._lease_end_ms - self._clock_start_ms
        return self._started_at + elapsed_ms / _MS_PER_S / self._clock_rate

    def _start_run(self, order: workers.Order, now: float) -> None:
        work = self._work_of(order.task, order.run)
        used_millicores = sum(
            active_run.record.resources.millicores
            for active_run in self._running.values()
        )
        if (
            used_millicores + work.resources.millicores
            > self.worker.capacity.millicores
        ):
            self.violations.append(
                f'{order.task} run {order.run} at {now:.3f} exceeds the '
                f'capacity of {self.worker.worker}'
            )
        record = RunRecord(
            task=order.task,
            run=order.run,
            worker=self.worker.worker,
            started_at=now,
            resources=work.resources,
        )
        self.records.append(record)
        self._running[order.task] = _ActiveRun(
            record=record,
            completes_at=None
            if work.result is None
            else now + work.work_s * self._run_time_factor,
            result=work.result or workers.RunResult.DONE,
        )

    def _finish_run(
        self, active_run: _ActiveRun, result: workers.RunResult, now: float
    ) -> None:
        record = active_run.record
        record.ended_at = now
        record.result = result
        self._running.pop(record.task)
        self._last_closed_run[record.task] = max(
            record.run, self._last_closed_run.get(record.task, 0)
        )
        self._last_position += 1
        self._unacked[self._last_position] = record
        self._finished_runs.append(
            workers.FinishedRun(
                position=self._last_position,
                task=record.task,
                run=record.run,
                result=result,
            )
        )

    def _percent(self, active_run: _ActiveRun, now: float) -> float:
        if active_run.completes_at is None:
            return 0
        started_at = active_run.record.started_at
        duration_s = active_run.completes_at - started_at
        return (
            min(99, int(100 * (now - started_at) / duration_s))
            if duration_s
            else 99
        )


def _refused(reason: workers.Refusal) -> workers.Refused:
    return workers.Refused(reason=reason)
