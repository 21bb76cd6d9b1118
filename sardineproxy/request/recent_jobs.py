"""Jobs that are not stored, and that may have run a short time ago.

A client that gets no response submits its job again, perhaps through another
VM. A refusal must not tell it then that the job has not run.
"""

import collections
import dataclasses
import math

from sardineproxy import ids
from sardineproxy.connection import link


#: Time from the end of a client's wait to its next request for the job, in
#: seconds.
RETRANSMIT_S = 1.3

#: Waits of clients that are expected before any was seen, and that are covered
#: at most, in seconds.
USUAL_WAIT_S = 1.5
MAX_WAIT_S = 2.7

#: Longest time from the first request for a job to the next one, in seconds.
LONGEST_REPEAT_S = MAX_WAIT_S + RETRANSMIT_S


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    #: Local time, in seconds.
    recorded_at: float

    #: Link to the coordinator that knows of the possible runs, None if there
    #: is none.
    coordinator: link.Link | None


class RecentJobs:
    """Jobs of the last ``retention_s`` seconds that may have run."""

    def __init__(self, *, retention_s: float) -> None:
        """Create an instance without jobs."""
        self._retention_s = retention_s
        self._history_lost_at = -math.inf
        self._longest_wait_s = USUAL_WAIT_S
        self._records: dict[ids.JobId, _Record] = {}
        self._expiry_queue: collections.deque[tuple[float, ids.JobId]] = (
            collections.deque()
        )

    def __contains__(self, job: ids.JobId) -> bool:
        """Return whether a job may have run."""
        return job in self._records

    def add(
        self, job: ids.JobId, now: float, coordinator: link.Link | None = None
    ) -> None:
        """Record that a job may have run.

        ``coordinator`` is the link to a coordinator that knows of that.
        """
        known = self._records.get(job)
        if known is not None and known.coordinator is not coordinator:
            coordinator = None
        self._records[job] = _Record(recorded_at=now, coordinator=coordinator)
        self._expiry_queue.append((now, job))

    def lose_history(self, now: float) -> None:
        """Record that others may have run jobs without a record here."""
        self._history_lost_at = now

    def record_wait(self, wait_s: float) -> None:
        """Record how long a client waits for its response, in seconds."""
        self._longest_wait_s = max(
            self._longest_wait_s, min(wait_s, MAX_WAIT_S)
        )

    def is_complete(self, now: float) -> bool:
        """Return whether each job that is submitted again has a record."""
        repeat_s = self._longest_wait_s + RETRANSMIT_S
        return now >= self._history_lost_at + repeat_s

    def has_run_unknown_to(
        self, coordinator: link.Link, job: ids.JobId, now: float
    ) -> bool:
        """Return whether a job may have run without a coordinator's knowledge."""
        known = self._records.get(job)
        if known is None:
            return not self.is_complete(now)
        return known.coordinator is not coordinator

    def expire(self, now: float) -> None:
        """Remove the jobs that were recorded before the retention time."""
        while (
            self._expiry_queue
            and now - self._expiry_queue[0][0] > self._retention_s
        ):
            recorded_at, job = self._expiry_queue.popleft()
            known = self._records.get(job)
            if known is not None and known.recorded_at == recorded_at:
                self._records.pop(job)
