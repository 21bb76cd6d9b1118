"""Finds stored jobs that their manager holds, but that nothing continues.

Fault pattern: an execution ends or fails without a final state, or misses the
change of a shard's leader. The job would stay running for good.
"""

import dataclasses
from typing import Generic, Mapping, Protocol, TypeVar

from sardineproxy import ids

#: Time for which a job must be idle before it is attached again, in seconds.
IDLE_S = 1.0

#: Longest such time, in seconds. It doubles with each attempt, for a job whose
#: execution always fails.
MAX_IDLE_S = 60.0

#: Interval at which a job is checked, in seconds.
CHECK_INTERVAL_S = 0.5

#: Maximum number of jobs checked in one tick.
MAX_CHECKED = 64


class Job(Protocol):
    """A job that is executed."""

    def idle_cause(self) -> str:
        """Return why nothing continues the job, empty if something does."""


_Job = TypeVar('_Job', bound=Job)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Idle:
    since: float
    wait_s: float = IDLE_S


class IdleJobs(Generic[_Job]):
    """Checks some jobs at each tick, and all of them in turn."""

    def __init__(self) -> None:
        """Create an instance that has checked no job."""
        self._unchecked: list[ids.JobId] = []
        self._next_round_at: float = 0
        self._idle: dict[ids.JobId, _Idle] = {}

    def find(
        self, jobs: Mapping[ids.JobId, _Job], now: float
    ) -> list[tuple[_Job, str]]:
        """Return the jobs to attach again, with the cause of each."""
        if not self._unchecked:
            if now < self._next_round_at:
                return []
            self._start_round(jobs, now)
        found: list[tuple[_Job, str]] = []
        for job_id in self._unchecked[-MAX_CHECKED:]:
            job = jobs.get(job_id)
            cause = '' if job is None else job.idle_cause()
            if job is not None and self._is_due(job_id, cause, now):
                found.append((job, cause))
        del self._unchecked[-MAX_CHECKED:]
        return found

    def _start_round(self, jobs: Mapping[ids.JobId, _Job], now: float) -> None:
        self._next_round_at = now + CHECK_INTERVAL_S
        self._unchecked = list(jobs)
        for job_id in self._idle.keys() - jobs.keys():
            self._idle.pop(job_id)

    def _is_due(self, job_id: ids.JobId, cause: str, now: float) -> bool:
        """Record whether a job is idle; return whether to attach it again."""
        if not cause:
            self._idle.pop(job_id, None)
            return False
        idle = self._idle.setdefault(job_id, _Idle(since=now))
        if now - idle.since < idle.wait_s:
            return False
        idle.since = now
        idle.wait_s = min(2 * idle.wait_s, MAX_IDLE_S)
        return True
