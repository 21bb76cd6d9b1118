"""Reservations of workers for tasks that do not fit yet, and backfilling.

Load pattern: tasks of several sizes wait. Small ones keep taking capacity on
workers that a larger, more urgent task waits for. As in EASY backfilling, such
a task reserves the worker on which it can start soonest, and other tasks use
that worker only if they do not delay it.
"""

import dataclasses
import math
from typing import Iterable, Mapping

from sardineproxy import ids
from sardineproxy.process.load import placement, run_times
from sardineproxy.process.shards import runs
from sardineproxy.request import jobs

#: Expected ends that are examined for a reservation, the earliest first.
MAX_ENDS = 16

#: Pause before a batch without a possible reservation is examined again, in
#: seconds.
RETRY_S = 0.02

#: Progress from which a run's end is projected, in percent.
MIN_PERCENT = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """A worker that is held for one task of a batch."""

    batch: runs.Batch
    worker: ids.WorkerId
    made_at: float

    #: Expected start of the task, in local seconds.
    starts_at: float

    #: Time after which the forecast was wrong, in local seconds.
    valid_until: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bounds of reservations."""

    #: Largest share of the workers that are reserved.
    max_share: float

    #: Longest time until the expected start, in seconds.
    max_wait_s: float

    #: Share of the wait by which the forecast may be wrong.
    tolerance: float


class Reservations:
    """The reservations of a shard, one for each batch and worker."""

    def __init__(self, *, times: run_times.RunTimes, limits: Limits) -> None:
        """Create an instance without reservations."""
        self._times = times
        self._limits = limits
        self._by_worker: dict[ids.WorkerId, Reservation] = {}
        self._by_batch: dict[runs.BatchKey, Reservation] = {}
        self._retry_at: dict[runs.BatchKey, float] = {}

        #: Numbers of events since ``pop_counts``, by name.
        self._counts: dict[str, int] = {}

        #: The last reservation that was made.
        self.newest: Reservation | None = None

        #: Workers that are no longer held since ``pop_freed``.
        self._freed: set[ids.WorkerId] = set()

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._by_worker)

    def pop_counts(self) -> dict[str, int]:
        """Return and reset the numbers of events, by name."""
        counts = self._counts
        self._counts = {}
        return counts

    def pop_freed(self) -> set[ids.WorkerId]:
        """Return and forget the workers whose reservation was released."""
        freed = self._freed
        self._freed = set()
        return freed

    def make(
        self,
        batch: runs.Batch,
        active: Iterable[runs.Run],
        candidates: Mapping[ids.WorkerId, placement.Candidate],
        now: float,
    ) -> Reservation | None:
        """Reserve the worker on which a task can start soonest.

        ``active`` are the next runs to end. Returns None if the batch has a
        reservation, or if no worker is expected to be free in time.
        """
        if batch.key in self._by_batch or self._is_full(len(candidates)):
            return None
        if now < self._retry_at.get(batch.key, 0):
            return None
        worker, starts_at = self._find_soonest(batch, active, candidates, now)
        if worker is None:
            self._retry_at[batch.key] = now + RETRY_S
            return None
        wait_s = starts_at - now
        made = Reservation(
            batch=batch,
            worker=worker,
            made_at=now,
            starts_at=starts_at,
            valid_until=starts_at + self._limits.tolerance * wait_s,
        )
        self._by_worker[worker] = made
        self._by_batch[batch.key] = made
        self.newest = made
        self._count('made')
        return made

    def allows(
        self, batch: runs.Batch, candidate: placement.Candidate, now: float
    ) -> bool:
        """Return whether a task may start on a worker now."""
        held = self._by_worker.get(candidate.worker.worker)
        if held is None or held.batch is batch:
            return True
        if now > held.valid_until or not candidate.accepts_work(now):
            self._release(held, 'broken')
            return True
        ends_at = now + self._longest_s(batch, candidate)
        if ends_at <= held.starts_at:
            return True
        free = self._free_at(candidate, held.starts_at, now)
        return held.batch.resources.plus(batch.resources).fits(free)

    def started(self, batch: runs.Batch, worker: ids.WorkerId) -> None:
        """Release the reservation of a batch of which a task starts."""
        self._retry_at.pop(batch.key, None)
        held = self._by_batch.get(batch.key)
        if held is not None:
            self._release(held, 'used' if held.worker == worker else 'released')
        elif worker in self._by_worker:
            self._count('backfilled')

    def discard(self, batch: runs.Batch) -> None:
        """Release the reservation of a batch that no longer waits."""
        self._retry_at.pop(batch.key, None)
        held = self._by_batch.get(batch.key)
        if held is not None:
            self._release(held, 'released')

    def worker_gone(self, worker: ids.WorkerId) -> None:
        """Release the reservation of a worker that is not usable."""
        held = self._by_worker.get(worker)
        if held is not None:
            self._release(held, 'broken')

    def expire(self, now: float) -> None:
        """Release the reservations whose forecast was wrong."""
        for held in list(self._by_worker.values()):
            if now > held.valid_until:
                self._release(held, 'broken')

    def _is_full(self, worker_count: int) -> bool:
        return len(self) >= max(1, self._limits.max_share * worker_count)

    def _find_soonest(
        self,
        batch: runs.Batch,
        active: Iterable[runs.Run],
        candidates: Mapping[ids.WorkerId, placement.Candidate],
        now: float,
    ) -> tuple[ids.WorkerId | None, float]:
        soonest: ids.WorkerId | None = None
        starts_at = now + self._limits.max_wait_s
        for worker in dict.fromkeys(run.worker for run in active):
            candidate = candidates.get(worker)
            if candidate is None or worker in self._by_worker:
                continue
            free_at = self._find_start(batch, candidate, now)
            if free_at < starts_at:
                soonest, starts_at = worker, free_at
        return soonest, starts_at

    def _find_start(
        self, batch: runs.Batch, candidate: placement.Candidate, now: float
    ) -> float:
        """Return when a task can start on a worker, infinity for never.

        A task that would be late there is not started, so that nothing is
        held for it.
        """
        if not _may_hold(batch, candidate, now):
            return math.inf
        free_at = self._find_free(candidate, batch.resources, now)
        ends_at = free_at + batch.expected_s / candidate.health.speed
        return free_at if batch.stored or ends_at <= batch.due_at else math.inf

    def _find_free(
        self,
        candidate: placement.Candidate,
        needed: jobs.Resources,
        now: float,
    ) -> float:
        """Return when a worker that is too full is expected to have capacity."""
        free = candidate.ledger.free_capacity
        for ends_at, _, run in self._ends(candidate, now):
            free = free.plus(run.batch.resources)
            if needed.fits(free):
                return ends_at
        return math.inf

    def _free_at(
        self, candidate: placement.Candidate, when: float, now: float
    ) -> jobs.Resources:
        """Return the capacity that is expected to be free at a time."""
        free = candidate.ledger.free_capacity
        for ends_at, _, run in self._ends(candidate, now):
            if ends_at <= when:
                free = free.plus(run.batch.resources)
        return free

    def _ends(
        self, candidate: placement.Candidate, now: float
    ) -> list[tuple[float, str, runs.Run]]:
        """Return the expected ends of the runs on a worker, in order."""
        return sorted(
            (self._expected_end(run, candidate, now), run.task, run)
            for run in candidate.ledger.runs.values()
        )

    def _expected_end(
        self, run: runs.Run, candidate: placement.Candidate, now: float
    ) -> float:
        started_at = run.started_at or run.ordered_at
        if run.percent >= MIN_PERCENT:
            run_s = (run.progress_at - started_at) * 100 / run.percent
        else:
            speed = candidate.health.speed
            median = self._times.find(run.batch.route, speed).median
            run_s = run.expected_s / speed * median
        ends_at = started_at + run_s
        # The longer a run is overdue, the longer it is expected to go on.
        return ends_at if ends_at > now else now + (now - ends_at)

    def _longest_s(
        self, batch: runs.Batch, candidate: placement.Candidate
    ) -> float:
        speed = candidate.health.speed
        quantiles = self._times.find(batch.route, speed)
        return batch.expected_s / speed * quantiles.ninth_decile

    def _release(self, held: Reservation, how: str) -> None:
        self._by_worker.pop(held.worker)
        self._by_batch.pop(held.batch.key)
        self._freed.add(held.worker)
        self._count(how)

    def _count(self, how: str) -> None:
        self._counts[how] = self._counts.get(how, 0) + 1


def _may_hold(
    batch: runs.Batch, candidate: placement.Candidate, now: float
) -> bool:
    """Return whether a worker may be reserved for a task at all."""
    worker = candidate.worker
    if batch.per_worker or not candidate.accepts_work(now):
        return False
    if batch.required_label and batch.required_label not in worker.labels:
        return False
    return worker.service == batch.service and batch.resources.fits(
        worker.capacity
    )
