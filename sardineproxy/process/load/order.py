"""Order of waiting tasks.

Load patterns: a burst of long jobs must not delay short ones, whose time limit
is shorter; and urgent kinds of jobs go before others. Each operation costs at
most the logarithm of the queue's length, so that a leader with a long queue
still gives its orders in time.
"""

import collections
import dataclasses
import heapq
import itertools
import math
from typing import Iterator

import sortedcontainers

from sardineproxy.process.shards import runs

#: Priority, whether the batch is late, latest start on time, and a number that
#: makes entries distinct.
_Urgency = tuple[int, bool, float, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    batch: runs.Batch
    urgency: _Urgency

    #: Number of waiting tasks that the totals include.
    task_count: int = 0

    #: Local time of the next check, in seconds.
    check_at: float = math.inf


class WaitingQueue:
    """Batches with waiting tasks, the most urgent first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._numbers = itertools.count()
        self._entries: dict[runs.BatchKey, _Entry] = {}
        self._order = sortedcontainers.SortedDict()
        self._sizes = sortedcontainers.SortedList()
        self._task_counts: collections.Counter[int] = collections.Counter()
        self._checks: list[tuple[float, int, _Entry]] = []

        #: Number of waiting tasks.
        self.task_count = 0

    def __len__(self) -> int:
        """Return the number of batches."""
        return len(self._entries)

    @property
    def smallest_millicores(self) -> int:
        """Return the size of the smallest waiting task, 0 if there is none."""
        return self._sizes[0] if self._sizes else 0

    def first(self, count: int) -> Iterator[runs.Batch]:
        """Return the ``count`` most urgent batches.

        The queue may change before the end only if the iteration ends too.
        """
        return itertools.islice(self._order.values(), count)

    def all(self) -> list[runs.Batch]:
        """Return all batches, the most urgent first."""
        return list(self._order.values())

    def update(self, batch: runs.Batch) -> None:
        """Apply a change of a batch's waiting tasks."""
        entry = self._entries.get(batch.key)
        if batch.waiting_count == 0:
            self.discard(batch)
        elif entry is None:
            self._add(batch)
        else:
            self._count(entry, batch.waiting_count)

    def demote(self, batch: runs.Batch) -> None:
        """Put a late batch after those of its priority that can be on time."""
        entry = self._entries[batch.key]
        priority, is_late, latest_start, number = entry.urgency
        if not is_late:
            self._order.pop(entry.urgency)
            entry.urgency = (priority, True, latest_start, number)
            self._order[entry.urgency] = batch

    def discard(self, batch: runs.Batch) -> None:
        """Remove a batch, if it is in the queue."""
        entry = self._entries.get(batch.key)
        if entry is not None and entry.batch is batch:
            self._entries.pop(batch.key)
            self._order.pop(entry.urgency)
            self._sizes.remove(batch.resources.millicores)
            self._count(entry, 0)

    def count_ahead(self, priority: int) -> int:
        """Return how many tasks wait with this priority or a higher one."""
        return sum(
            count
            for other_priority, count in self._task_counts.items()
            if other_priority <= priority
        )

    def check_at(self, batch: runs.Batch, due_at: float) -> None:
        """Return a batch from ``pop_due`` at ``due_at`` or earlier."""
        entry = self._entries[batch.key]
        if due_at < entry.check_at:
            entry.check_at = due_at
            heapq.heappush(self._checks, (due_at, next(self._numbers), entry))

    def pop_due(self, now: float) -> list[runs.Batch]:
        """Remove the checks that are due and return their waiting batches."""
        due: list[runs.Batch] = []
        while self._checks and self._checks[0][0] <= now:
            check_at, _, entry = heapq.heappop(self._checks)
            if entry.check_at == check_at:
                entry.check_at = math.inf
                if entry.task_count:
                    due.append(entry.batch)
        return due

    def _add(self, batch: runs.Batch) -> None:
        urgency = (
            batch.priority,
            False,
            batch.due_at - batch.expected_s,
            next(self._numbers),
        )
        entry = _Entry(batch=batch, urgency=urgency)
        self._entries[batch.key] = entry
        self._order[urgency] = batch
        self._sizes.add(batch.resources.millicores)
        self._count(entry, batch.waiting_count)

    def _count(self, entry: _Entry, task_count: int) -> None:
        added = task_count - entry.task_count
        entry.task_count = task_count
        self._task_counts[entry.batch.priority] += added
        self.task_count += added
