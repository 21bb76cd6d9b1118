"""Recent results of a shard's tasks.

A client that lost the reply to its job submits the job again seconds later.
Tasks that are already done do not run again for it.
"""

import collections
import dataclasses

from sardineproxy.process.shards import workers
from sardineproxy.request import jobs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecentResult:
    """The last run of a task and its result."""

    run: int
    result: jobs.TaskResult

    #: Local time, in seconds.
    finished_at: float


class RecentResults:
    """Results of the last ``retention_s`` seconds by task."""

    def __init__(self, *, retention_s: float) -> None:
        """Create an instance without results."""
        self._retention_s = retention_s
        self._results: dict[workers.TaskName, RecentResult] = {}
        self._expiry_queue: collections.deque[
            tuple[float, workers.TaskName]
        ] = collections.deque()

    def __len__(self) -> int:
        """Return the number of results."""
        return len(self._results)

    def add(
        self,
        task: workers.TaskName,
        *,
        run: int,
        result: jobs.TaskResult,
        now: float,
    ) -> None:
        """Add a result; it does not replace a successful one."""
        existing = self._results.get(task)
        if existing is not None and existing.result is jobs.TaskResult.DONE:
            return
        self._results[task] = RecentResult(
            run=run, result=result, finished_at=now
        )
        self._expiry_queue.append((now, task))

    def find(self, task: workers.TaskName) -> RecentResult | None:
        """Return the recent result of a task, None if there is none."""
        return self._results.get(task)

    def expire(self, now: float) -> None:
        """Remove results that are older than the retention time."""
        while (
            self._expiry_queue
            and now - self._expiry_queue[0][0] > self._retention_s
        ):
            finished_at, task = self._expiry_queue.popleft()
            existing = self._results.get(task)
            if existing is not None and existing.finished_at <= finished_at:
                self._results.pop(task)
