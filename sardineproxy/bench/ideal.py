"""Response times of an ideal dispatcher for the same work and slots.

The ideal is list scheduling, computed offline from the arrival times: one
dispatcher without overhead sees all slots of all zones and knows the true run
time of each task. Whenever a slot is free and tasks wait, the next task starts
on the fastest free slot: single requests first, in order of arrival; then the
tasks of the oldest job, longest first. No slot stays idle to wait for a faster
one. The schedule is feasible but not optimal for each submission, so a single
request can be faster than its ideal. The round trip of a request to an idle
endpoint is not included; ``ratios.compute_ideals`` adds the measured one.
"""

import collections
import heapq
from typing import Sequence

from sardineproxy.bench import workload

#: Index of the submission and run time at speed 1, in seconds.
_QueuedTask = tuple[int, float]


class _ListSchedule:
    """State of the list scheduling."""

    def __init__(
        self,
        submissions: Sequence[workload.Submission],
        slot_speeds: list[float],
    ) -> None:
        self.finished_at = [submission.arrival_s for submission in submissions]
        #: Heap of the negative speeds, so that the fastest slot is first.
        self._free_slots = [-speed for speed in slot_speeds]
        heapq.heapify(self._free_slots)
        #: Heap of pairs: end of the running task, negative speed of the slot.
        self._busy_slots: list[tuple[float, float]] = []
        self._single_tasks: collections.deque[_QueuedTask] = collections.deque()
        self._job_tasks: collections.deque[_QueuedTask] = collections.deque()

    def add(self, index: int, submission: workload.Submission) -> None:
        self.run_until(submission.arrival_s)
        queue = self._job_tasks if submission.is_job else self._single_tasks
        run_times_s = sorted(
            (task.run_ms / 1000 for task in submission.tasks), reverse=True
        )
        queue.extend((index, task_run_s) for task_run_s in run_times_s)
        self._start_tasks(submission.arrival_s)

    def run_until(self, until: float) -> None:
        while self._busy_slots and self._busy_slots[0][0] <= until:
            ended_at, negative_speed = heapq.heappop(self._busy_slots)
            heapq.heappush(self._free_slots, negative_speed)
            self._start_tasks(ended_at)

    def _start_tasks(self, now: float) -> None:
        while self._free_slots and (self._single_tasks or self._job_tasks):
            index, run_s = (self._single_tasks or self._job_tasks).popleft()
            negative_speed = heapq.heappop(self._free_slots)
            ends_at = now - run_s / negative_speed
            heapq.heappush(self._busy_slots, (ends_at, negative_speed))
            self.finished_at[index] = max(self.finished_at[index], ends_at)


def compute_responses(
    submissions: Sequence[workload.Submission], slot_speeds: list[float]
) -> list[float]:
    """Return the ideal response time of each submission, in seconds.

    ``submissions`` must be in order of arrival.
    """
    schedule = _ListSchedule(submissions, slot_speeds)
    for index, submission in enumerate(submissions):
        schedule.add(index, submission)
    schedule.run_until(float('inf'))
    return [
        finished_at - scheduled.arrival_s
        for finished_at, scheduled in zip(schedule.finished_at, submissions)
    ]
