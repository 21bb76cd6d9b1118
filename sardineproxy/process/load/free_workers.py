"""Workers with free capacity, by service and label.

Load pattern: a burst of a kind of job that few workers can run, beside many
free workers of other kinds. Admission must count the suitable ones without
looking at all.
"""

import math
import sys
from typing import Iterator

from sardineproxy import ids
from sardineproxy.process.load import free_capacity, placement

#: Service and label of workers; the empty label stands for all workers.
_Key = tuple[ids.ServiceId, str]


class FreeWorkers(placement.WorkerPool):
    """A pool of workers that also counts the suitable ones for a task."""

    def __init__(self) -> None:
        """Create an empty pool."""
        super().__init__()
        self._by_key: dict[
            _Key, dict[int, dict[ids.WorkerId, placement.Candidate]]
        ] = {}
        self._indexed: dict[ids.WorkerId, tuple[int, list[_Key]]] = {}

    def refresh(self, candidate: placement.Candidate, now: float) -> bool:
        """Index a worker by its present state; return whether it is usable."""
        if not super().refresh(candidate, now):
            return False
        worker = candidate.worker
        size_class = _size_class(candidate.ledger.free_capacity.millicores)
        labels = set(worker.labels) | {''}
        keys = [(worker.service, label) for label in labels]
        self._indexed[worker.worker] = (size_class, keys)
        for key in keys:
            classes = self._by_key.setdefault(key, {})
            classes.setdefault(size_class, {})[worker.worker] = candidate
        return True

    def discard(self, worker_id: ids.WorkerId) -> None:
        """Remove a worker, if it is in the pool."""
        super().discard(worker_id)
        size_class, keys = self._indexed.pop(worker_id, (0, []))
        for key in keys:
            classes = self._by_key[key]
            classes[size_class].pop(worker_id)
            if not classes[size_class]:
                classes.pop(size_class)
            if not classes:
                self._by_key.pop(key)

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
        classes = self._by_key.get((task.service, task.label), {})
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


def _size_class(millicores: int) -> int:
    return int(placement.CLASSES_PER_DOUBLING * math.log2(max(1, millicores)))
