"""Jobs that are not stored, and that may have run a short time ago.

A client that gets no response submits its job again, perhaps through another
VM. A refusal must not tell it then that the job has not run.
"""

import collections
import dataclasses
import math

from sardineproxy import ids
from sardineproxy.connection import link


#: Longest time from the first request for a job to its repetition, in seconds:
#: a client waits for 2.5 s at most, and sends the job again 1.3 s later.
LONGEST_REPEAT_S = 4.0


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
        self._incomplete_until = -math.inf
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
        self._incomplete_until = now + LONGEST_REPEAT_S

    def is_complete(self, now: float) -> bool:
        """Return whether each job that is submitted again has a record."""
        return now >= self._incomplete_until

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
