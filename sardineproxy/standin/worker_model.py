"""A worker as its callers see it: fences, leases, lists, and what it ran.

Time is an argument, in seconds of the caller's clock. The worker's own clock
starts at another value and may be slow.
"""

import dataclasses
from typing import Callable

from sardineproxy.process.shards import workers
from sardineproxy.request import jobs

_MS_PER_S = 1000

#: Most ends in one report.
MAX_ENDS = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class RunRecord:
    """One run that a worker started, as an observer notes it."""

    task: workers.TaskName
    run: int
    worker: str
    started_at: float
    resources: jobs.Resources
    ended_at: float | None = None
    result: workers.RunResult | None = None

    #: True if the lease expired before the end was acknowledged.
    is_lease_expired: bool = False

    #: Time at which the end was acknowledged.
    acked_at: float | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class _Running:
    record: RunRecord

    #: Time at which its work is done, None if it never is.
    done_at: float | None
    result: workers.RunResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """What a task turns out to need."""

    resources: jobs.Resources
    work_s: float

    #: How its run ends if nothing stops it; None if it never ends.
    result: workers.RunResult | None = workers.RunResult.DONE


#: Returns what one run of a task needs.
WorkOf = Callable[[workers.TaskName, int], Work]


class WorkerModel:  # noqa: WPS214
    """One worker with its lives."""

    def __init__(
        self,
        *,
        worker: workers.Worker,
        work_of: WorkOf,
        lease_s: float = 1.0,
        speed: float = 1.0,
        clock_rate: float = 1.0,
        clock_start_ms: int = 1_000_000,
        started_at: float = 0,
    ) -> None:
        """Start the first life at ``born_at``."""
        self.worker = worker
        self.records: list[RunRecord] = []

        #: Sentences about starts that the worker should never have seen.
        self.violations: list[str] = []
        self.is_up = True
        self._work_of = work_of
        self._lease_ms = int(lease_s * _MS_PER_S)
        self._speed = speed
        self._clock_rate = clock_rate
        self._clock_start_ms = clock_start_ms
        self._born_at = started_at
        self._fence = 0
        self._lease_end_ms = 0
        self._running: dict[workers.TaskName, _Running] = {}
        self._barred: dict[workers.TaskName, int] = {}
        self._ends: list[workers.FinishedRun] = []
        self._end_count = 0

        #: Runs that have ended and are not acknowledged, by number.
        self._unacked: dict[int, RunRecord] = {}

    def clock_ms(self, now: float) -> int:
        """Return what the worker's clock shows."""
        elapsed_s = (now - self._born_at) * self._clock_rate
        return self._clock_start_ms + int(elapsed_s * _MS_PER_S)

    def set_capacity(self, millicores: int) -> None:
        """Have another capacity, as a new life may."""
        self.worker = dataclasses.replace(
            self.worker,
            capacity=dataclasses.replace(
                self.worker.capacity, millicores=millicores
            ),
        )

    def set_clock_rate(self, clock_rate: float) -> None:
        """Let the worker's clock run at another rate from its birth on."""
        self._clock_rate = clock_rate

    def set_state(self, state: workers.WorkerState) -> None:
        """Say another state in the list."""
        self.worker = dataclasses.replace(self.worker, state=state)

    def crash(self, now: float) -> None:
        """End everything; nothing is listed afterwards."""
        self.advance(now)
        for running in list(self._running.values()):
            running.record.ended_at = now
        self.is_up = False
        self._reset()

    def restart(self, now: float) -> None:
        """Begin a new life under the same id."""
        self._born_at = now
        self.is_up = True
        self.worker = dataclasses.replace(
            self.worker,
            started_ms=self.worker.started_ms + int(now * _MS_PER_S) + 1,
        )
        self._reset()

    def advance(self, now: float) -> None:
        """End what is done or has lost its lease by ``now``."""
        lapse_at = self._lapse_at()
        in_order = sorted(
            self._running.values(), key=lambda each: each.done_at or now
        )
        for running in in_order:
            done_at = running.done_at
            if done_at is not None and done_at <= min(now, lapse_at):
                self._end(running, running.result, done_at)
        if lapse_at <= now:
            for running in list(self._running.values()):
                self._end(running, workers.RunResult.LEASE_EXPIRED, lapse_at)

    def start(
        self, order: workers.Order, now: float
    ) -> workers.Accepted | workers.Refused:
        """Carry out an order to start a run."""
        self.advance(now)
        if not self._passes(order.fence):
            return _refused(workers.Refusal.FENCED)
        if order.run <= self._barred.get(order.task, 0):
            return _refused(workers.Refusal.OLD_RUN)
        if order.expires_ms <= self.clock_ms(now):
            return _refused(workers.Refusal.EXPIRED)
        self._note_lapsed(now)
        self._extend(order.expires_ms, now)
        running = self._running.get(order.task)
        if running is not None:
            if running.record.run == order.run:
                return workers.Accepted(clock_ms=self.clock_ms(now))
            return _refused(workers.Refusal.OLD_RUN)
        self._begin(order, now)
        return workers.Accepted(clock_ms=self.clock_ms(now))

    def stop(
        self, task: workers.TaskName, run: int, fence: int, now: float
    ) -> workers.Accepted | workers.Refused:
        """Stop a run; it never starts here afterwards."""
        self.advance(now)
        if not self._passes(fence):
            return _refused(workers.Refusal.FENCED)
        self._barred[task] = max(run, self._barred.get(task, 0))
        running = self._running.get(task)
        if running is not None and running.record.run <= run:
            self._end(running, workers.RunResult.STOPPED, now)
        return workers.Accepted(clock_ms=self.clock_ms(now))

    def poll(
        self, poll: workers.Poll, now: float
    ) -> workers.Report | workers.Refused:
        """Report, after an extension of the lease."""
        self.advance(now)
        if not self._passes(poll.fence):
            return _refused(workers.Refusal.FENCED)
        self._note_lapsed(now)
        if poll.expires_ms is not None:
            self._extend(poll.expires_ms, now)
        self._ends = [end for end in self._ends if end.position > poll.acked]
        self._note_acked(poll.acked, now)
        return workers.Report(
            clock_ms=self.clock_ms(now),
            started_ms=self.worker.started_ms,
            active=tuple(
                workers.ActiveRun(
                    task=task,
                    run=running.record.run,
                    percent=self._percent(running, now),
                )
                for task, running in self._running.items()
            ),
            finished=tuple(self._ends[:MAX_ENDS]),
            is_complete=len(self._ends) < MAX_ENDS,
        )

    def has_unacked_results(self, acked: int) -> bool:
        """Tell whether there are ends that were not acknowledged."""
        return any(end.position > acked for end in self._ends)

    def _reset(self) -> None:
        self._fence = 0
        self._lease_end_ms = 0
        self._running = {}
        self._barred = {}
        self._ends = []
        self._end_count = 0
        self._unacked = {}

    def _note_lapsed(self, now: float) -> None:
        if self.clock_ms(now) > self._lease_end_ms:
            for record in self._unacked.values():
                record.is_lease_expired = True

    def _note_acked(self, acked: int, now: float) -> None:
        numbers = [each for each in self._unacked if each <= acked]
        for number in numbers:
            self._unacked.pop(number).acked_at = now

    def _passes(self, fence: int) -> bool:
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _extend(self, expires_ms: int, now: float) -> None:
        longest = self.clock_ms(now) + self._lease_ms
        self._lease_end_ms = max(self._lease_end_ms, min(expires_ms, longest))

    def _lapse_at(self) -> float:
        if not self._running:
            return float('inf')
        elapsed_ms = self._lease_end_ms - self._clock_start_ms
        return self._born_at + elapsed_ms / _MS_PER_S / self._clock_rate

    def _begin(self, order: workers.Order, now: float) -> None:
        work = self._work_of(order.task, order.run)
        taken = sum(
            running.record.resources.millicores
            for running in self._running.values()
        )
        if taken + work.resources.millicores > self.worker.capacity.millicores:
            self.violations.append(
                f'{order.task} run {order.run} at {now:.3f} goes over the '
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
        self._running[order.task] = _Running(
            record=record,
            done_at=None
            if work.result is None
            else now + work.work_s * self._speed,
            result=work.result or workers.RunResult.DONE,
        )

    def _end(
        self, running: _Running, result: workers.RunResult, now: float
    ) -> None:
        record = running.record
        record.ended_at = now
        record.result = result
        self._running.pop(record.task)
        self._barred[record.task] = max(
            record.run, self._barred.get(record.task, 0)
        )
        self._end_count += 1
        self._unacked[self._end_count] = record
        self._ends.append(
            workers.FinishedRun(
                position=self._end_count,
                task=record.task,
                run=record.run,
                result=result,
            )
        )

    def _percent(self, running: _Running, now: float) -> float:
        if running.done_at is None:
            return 0
        started_at = running.record.started_at
        whole_s = running.done_at - started_at
        return (
            min(99, int(100 * (now - started_at) / whole_s)) if whole_s else 99
        )


def _refused(why: workers.Refusal) -> workers.Refused:
    return workers.Refused(reason=why)
