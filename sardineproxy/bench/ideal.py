"""Response times of an ideal dispatcher for the same work and slots.

The bound is list scheduling, computed offline from the arrival times: one
dispatcher without cost sees all slots of all zones and knows each task's true
run time. Whenever a slot is free and work waits, the fastest free slot takes
the next task: single requests first, in order of arrival; then the tasks of
the oldest job, longest first. It never keeps a slot idle to wait for a faster
one. It is a schedule that could be carried out, not a lower bound of every
schedule, so a single request can beat its ideal. The measured round trip of
a request to an idle endpoint is added by the caller of this module.
"""

import collections
import heapq
from typing import Sequence

from sardineproxy.bench import workload

_Piece = tuple[int, float]


class _Schedule:
    """State of the list scheduling."""

    def __init__(
        self, submissions: Sequence[workload.Submission], slots: list[float]
    ) -> None:
        self.finish = [submission.arrival for submission in submissions]
        self._free = [-speed for speed in slots]
        heapq.heapify(self._free)
        self._busy: list[tuple[float, float]] = []
        self._singles: collections.deque[_Piece] = collections.deque()
        self._jobs: collections.deque[_Piece] = collections.deque()

    def arrive(self, index: int, submission: workload.Submission) -> None:
        self.run_until(submission.arrival)
        queue = self._jobs if submission.is_job else self._singles
        run_s = sorted(
            (task.run_ms / 1000 for task in submission.tasks), reverse=True
        )
        queue.extend((index, piece_s) for piece_s in run_s)
        self._fill(submission.arrival)

    def run_until(self, limit: float) -> None:
        while self._busy and self._busy[0][0] <= limit:
            now, free = heapq.heappop(self._busy)
            heapq.heappush(self._free, free)
            self._fill(now)

    def _fill(self, now: float) -> None:
        while self._free and (self._singles or self._jobs):
            index, run_s = (self._singles or self._jobs).popleft()
            free = heapq.heappop(self._free)
            end = now - run_s / free
            heapq.heappush(self._busy, (end, free))
            self.finish[index] = max(self.finish[index], end)


def respond(
    submissions: Sequence[workload.Submission], slots: list[float]
) -> list[float]:
    """Return each submission's ideal response in seconds.

    ``submissions`` are in order of arrival; ``slots`` has the speed of each
    slot.
    """
    schedule = _Schedule(submissions, slots)
    for index, submission in enumerate(submissions):
        schedule.arrive(index, submission)
    schedule.run_until(float('inf'))
    return [
        finish - served.arrival
        for finish, served in zip(schedule.finish, submissions)
    ]
