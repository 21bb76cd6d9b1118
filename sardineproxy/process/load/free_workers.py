"""Workers with free capacity, by service and label.

Load pattern: a burst of a kind of job that few workers can run, beside many
free workers of other kinds. Admission must count the suitable ones without
looking at all.
"""

import dataclasses
import math
import sys
from typing import Iterator

from sardineproxy import ids
from sardineproxy.process.load import free_capacity, placement
from sardineproxy.process.shards import workers

#: Service and label of workers; the empty label stands for all workers.
_Key = tuple[ids.ServiceId, str]


#: Workers by size class of their free capacity.
_ByClass = dict[int, dict[ids.WorkerId, placement.Candidate]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Indexed:
    """Where a worker is in the index."""

    candidate: placement.Candidate
    worker: workers.Worker
    size_class: int

    def matches(self, candidate: placement.Candidate, size_class: int) -> bool:
        """Return whether the index need not change for a worker."""
        return (
            self.candidate is candidate
            and self.worker is candidate.worker
            and self.size_class == size_class
        )


class FreeWorkers(placement.WorkerPool):
    """A pool of workers that also counts the suitable ones for a task."""

    def __init__(self) -> None:
        """Create an empty pool."""
        super().__init__()
        self._by_key: dict[_Key, _ByClass] = {}
        self._indexed: dict[ids.WorkerId, _Indexed] = {}

    def refresh(self, candidate: placement.Candidate, now: float) -> bool:
        """Index a worker by its present state; return whether it is usable."""
        worker_id = candidate.worker.worker
        if not super().refresh(candidate, now):
            self._remove(worker_id)
            return False
        size_class, _ = self._ranks[worker_id]
        indexed = self._indexed.get(worker_id)
        if indexed is None or not indexed.matches(candidate, size_class):
            self._remove(worker_id)
            self._add(candidate, size_class)
        return True

    def discard(self, worker_id: ids.WorkerId) -> None:
        """Remove a worker, if it is in the pool."""
        super().discard(worker_id)
        self._remove(worker_id)

    def free_workers(self) -> Iterator[placement.Candidate]:
        """Yield all workers with free capacity."""
        for worker_id in self._indexed:
            yield self._candidates[worker_id]

    def count_suitable(
        self, task: free_capacity.TaskClass, limit: int = sys.maxsize
    ) -> int:
        """Return how many tasks could start, at most ``limit``.

        Looks at the workers with the service and the label that have enough
        free processors. Most of them count, so that ``limit`` bounds the cost.
        """
        smallest_class = _size_class(task.resources.millicores)
        count = 0
        classes = self._classes_of((task.service, task.label))
        for size_class, candidates in classes.items():
            if size_class < smallest_class:
                continue
            for candidate in candidates.values():
                if candidate.health.speed >= task.min_speed:
                    count += free_capacity.count_fitting(
                        task, candidate.ledger.free_capacity
                    )
                if count >= limit:
                    return limit
        return count

    def _classes_of(self, key: _Key) -> _ByClass:
        """Return the workers of a key; they are indexed from now on.

        Only keys that tasks ask for are indexed, since each start and end of a
        run changes the index. There are no more keys than listed labels.
        """
        classes = self._by_key.get(key)
        if classes is None:
            classes = {}
            for worker_id, indexed in self._indexed.items():
                if _has_key(indexed.worker, key):
                    entries = classes.setdefault(indexed.size_class, {})
                    entries[worker_id] = indexed.candidate
            if classes:
                self._by_key[key] = classes
        return classes

    def _add(self, candidate: placement.Candidate, size_class: int) -> None:
        worker = candidate.worker
        self._indexed[worker.worker] = _Indexed(
            candidate=candidate, worker=worker, size_class=size_class
        )
        for key, classes in self._by_key.items():
            if _has_key(worker, key):
                classes.setdefault(size_class, {})[worker.worker] = candidate

    def _remove(self, worker_id: ids.WorkerId) -> None:
        indexed = self._indexed.pop(worker_id, None)
        if indexed is None:
            return
        for key, classes in self._by_key.items():
            if _has_key(indexed.worker, key):
                entries = classes[indexed.size_class]
                entries.pop(worker_id)
                if not entries:
                    classes.pop(indexed.size_class)


def _has_key(worker: workers.Worker, key: _Key) -> bool:
    service, label = key
    return worker.service == service and (not label or label in worker.labels)


def _size_class(millicores: int) -> int:
    return int(placement.CLASSES_PER_DOUBLING * math.log2(max(1, millicores)))
