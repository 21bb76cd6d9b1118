"""Choice of a worker for a task.

Load patterns: bursts of one kind of job or of all, in which most workers are
full and each freed capacity must be found at once; and workers of different
speeds, of which the slow ones must not get tasks that would be late there.
"""

import itertools
import math
import sys
from typing import Callable, Iterator, Protocol

import sortedcontainers

from sardineproxy import ids
from sardineproxy.process.shards import health, ledger, runs, workers

#: Share by which an empty worker is rated slower than a full one, so that
#: tasks fill partly used workers first.
EMPTY_WORKER_COST = 0.15

#: Size classes of free capacity for each doubling of it.
CLASSES_PER_DOUBLING = 6

#: Workers of one size class that are tried for a task, the cheapest first.
MAX_PROBES = 64


class Candidate(Protocol):
    """A worker as far as placement needs to know it."""

    @property
    def worker(self) -> workers.Worker:
        """Return the worker's entry in the platform's list."""

    @property
    def health(self) -> health.Health:
        """Return the worker's health and speed."""

    @property
    def ledger(self) -> ledger.Ledger:
        """Return the runs on the worker and its free capacity."""

    def accepts_work(self, now: float) -> bool:
        """Return whether runs may be started on the worker."""


#: Cost and worker; the lowest cost first.
_Rank = tuple[float, ids.WorkerId]


class WorkerPool:
    """The workers on which runs may be started, by free capacity and cost.

    An entry may be outdated: ``refresh`` is called after each change of a
    worker, and the chosen worker is checked again.
    """

    def __init__(self) -> None:
        """Create an empty pool."""
        self._candidates: dict[ids.WorkerId, Candidate] = {}
        self._ranks: dict[ids.WorkerId, tuple[int, _Rank]] = {}
        self._classes: dict[int, sortedcontainers.SortedList] = {}
        self._largest_class = 0

        #: Whether a task of a batch may use a worker's free capacity now.
        self.allows: Callable[[runs.Batch, Candidate, float], bool] | None = (
            None
        )

        #: Speed of the fastest worker, 1 before any worker was available.
        self.fastest_speed = 1.0

    def __contains__(self, worker_id: ids.WorkerId) -> bool:
        """Return whether a worker was usable at its last refresh."""
        return worker_id in self._ranks

    def refresh(self, candidate: Candidate, now: float) -> bool:
        """Index a worker by its present state; return whether it is usable."""
        worker_id = candidate.worker.worker
        self._remove_rank(worker_id)
        free_millicores = candidate.ledger.free_capacity.millicores
        if free_millicores <= 0 or not candidate.accepts_work(now):
            return False
        size_class = _size_class(free_millicores)
        rank = (_cost(candidate), worker_id)
        self._candidates[worker_id] = candidate
        self._ranks[worker_id] = (size_class, rank)
        ranks = self._classes.get(size_class)
        if ranks is None:
            ranks = sortedcontainers.SortedList()
            self._classes[size_class] = ranks
            self._largest_class = max(self._largest_class, size_class)
        ranks.add(rank)
        return True

    def discard(self, worker_id: ids.WorkerId) -> None:
        """Remove a worker, if it is in the pool."""
        self._remove_rank(worker_id)

    def update_fastest_speed(self) -> None:
        """Find the fastest worker again."""
        if self._candidates:
            self.fastest_speed = max(
                candidate.health.speed
                for candidate in self._candidates.values()
            )

    def choose(
        self, batch: runs.Batch, *, distance_factor: float, now: float
    ) -> Candidate | None:
        """Return the best worker for a task, None if the task must wait.

        A task that would be late on a slow worker waits for a faster one as
        long as that one could still complete it on time. On racks without its
        data a task takes ``distance_factor`` times as long.
        """
        speed = required_speed(batch, self.fastest_speed, now)
        chosen: Candidate | None = None
        lowest_cost: float = 0
        for candidate in self._find_suitable(
            batch, speed, distance_factor, now
        ):
            cost = _cost(candidate) * distance_penalty(
                batch, candidate, distance_factor
            )
            if chosen is None or cost < lowest_cost:
                chosen, lowest_cost = candidate, cost
        return chosen

    def count_startable(self, millicores: int, limit: int = sys.maxsize) -> int:
        """Return how many tasks of ``millicores`` each could start.

        Stops counting at ``limit``.
        """
        millicores = max(1, millicores)
        count = 0
        for ranks in self._classes_from(millicores):
            for _, worker_id in ranks:
                ledger = self._candidates[worker_id].ledger
                count += ledger.free_capacity.millicores // millicores
                if count >= limit:
                    return limit
        return count

    def _remove_rank(self, worker_id: ids.WorkerId) -> None:
        indexed = self._ranks.pop(worker_id, None)
        if indexed is not None:
            size_class, rank = indexed
            self._classes[size_class].remove(rank)
            self._candidates.pop(worker_id)

    def _find_suitable(
        self,
        batch: runs.Batch,
        speed: float,
        distance_factor: float,
        now: float,
    ) -> Iterator[Candidate]:
        """Yield the cheapest suitable worker of each class of capacity.

        All suitable workers if the task's data is on one rack, whose workers
        need not be the cheapest.
        """
        for ranks in self._classes_from(batch.resources.millicores):
            suitable = (
                self._candidates[worker_id]
                for _, worker_id in itertools.islice(ranks, MAX_PROBES)
                if self._is_choice(
                    batch,
                    self._candidates[worker_id],
                    speed,
                    distance_factor,
                    now,
                )
            )
            yield from itertools.islice(suitable, None if batch.rack else 1)

    def _classes_from(
        self, millicores: int
    ) -> Iterator[sortedcontainers.SortedList]:
        """Yield the classes whose workers may have this much capacity."""
        smallest_class = _size_class(max(1, millicores))
        for size_class in range(smallest_class, self._largest_class + 1):
            ranks = self._classes.get(size_class)
            if ranks:
                yield ranks

    def _is_choice(  # noqa: WPS211
        self,
        batch: runs.Batch,
        candidate: Candidate,
        speed: float,
        distance_factor: float,
        now: float,
    ) -> bool:
        """Return whether a worker is fast enough and suitable."""
        penalty = distance_penalty(batch, candidate, distance_factor)
        if candidate.health.speed < speed * penalty:
            return False
        if not is_suitable(batch, candidate, now):
            return False
        return self.allows is None or self.allows(batch, candidate, now)


def distance_penalty(
    batch: runs.Batch, candidate: Candidate, distance_factor: float
) -> float:
    """Return the factor by which a task takes longer on a worker.

    It is ``distance_factor`` if the worker's rack does not have the task's
    data, otherwise 1.
    """
    if not batch.rack or batch.rack in candidate.worker.labels:
        return 1
    return distance_factor


def required_speed(
    batch: runs.Batch, fastest_speed: float, now: float
) -> float:
    """Return the lowest speed that completes a task on time.

    Returns 0 if no worker is fast enough, so that any may be chosen.
    """
    remaining_s = batch.due_at - now
    if remaining_s <= 0:
        return 0
    lowest_speed = batch.expected_s / remaining_s
    return lowest_speed if lowest_speed <= fastest_speed else 0


def is_suitable(batch: runs.Batch, candidate: Candidate, now: float) -> bool:
    """Return whether a task of a batch may be started on a worker now."""
    return (
        batch.resources.fits(candidate.ledger.free_capacity)
        and candidate.worker.service == batch.service
        and _meets_constraints(batch, candidate)
        and candidate.accepts_work(now)
    )


def _meets_constraints(batch: runs.Batch, candidate: Candidate) -> bool:
    if batch.required_label:
        if batch.required_label not in candidate.worker.labels:
            return False
    if not batch.per_worker:
        return True
    return candidate.ledger.count_tasks(batch) < batch.per_worker


def _size_class(millicores: int) -> int:
    return int(CLASSES_PER_DOUBLING * math.log2(millicores))


def _cost(candidate: Candidate) -> float:
    """Return the cost of a worker; a task goes to the one with the lowest.

    A fast worker has a low cost, and a partly used one is slightly cheaper
    than an empty one.
    """
    capacity = candidate.worker.capacity.millicores or 1
    unused_share = candidate.ledger.free_capacity.millicores / capacity
    return (1 + EMPTY_WORKER_COST * unused_share) / candidate.health.speed
