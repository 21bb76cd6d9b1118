"""How tasks of a cell ended a short while ago.

A client whose answer was lost sends its job again seconds later. Tasks that
have ended well are not run a second time for it.
"""

import collections
import dataclasses

from sardineproxy.process.shards import workers
from sardineproxy.request import jobs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecentEnd:
    """The last run of a task, and how it ended."""

    number: int
    how: jobs.TaskResult

    #: Local time, in seconds.
    at: float


class Recall:
    """Ends of the last ``keep_s`` seconds by task."""

    def __init__(self, *, keep_s: float) -> None:
        """Start without ends."""
        self._keep_s = keep_s
        self._ends: dict[workers.TaskName, RecentEnd] = {}
        self._in_order: collections.deque[tuple[float, workers.TaskName]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Return the number of ends."""
        return len(self._ends)

    def note(
        self,
        task: workers.TaskName,
        *,
        number: int,
        how: jobs.TaskResult,
        now: float,
    ) -> None:
        """Note an end; one that was good stays."""
        known = self._ends.get(task)
        if known is not None and known.how is jobs.TaskResult.DONE:
            return
        self._ends[task] = RecentEnd(number=number, how=how, at=now)
        self._in_order.append((now, task))

    def find(self, task: workers.TaskName) -> RecentEnd | None:
        """Return how a task ended, None if that is not known."""
        return self._ends.get(task)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        while self._in_order and now - self._in_order[0][0] > self._keep_s:
            at, task = self._in_order.popleft()
            known = self._ends.get(task)
            if known is not None and known.at <= at:
                self._ends.pop(task)
