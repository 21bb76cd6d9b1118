"""Results of one worker's runs that must not be acknowledged yet.

A worker lists a result until it is acknowledged. The result of a stored job's
task may be acknowledged only once it is stored; until then a new leader must
find it in the worker's list.
"""

import dataclasses
from typing import Callable

from sardineproxy.connection import link
from sardineproxy.process.shards import workers

#: Returns the local time from which claims of a task's results are valid,
#: None if no unclaimed result of the task may be sent yet.
ClaimsValidFrom = Callable[[workers.TaskName, float], float | None]

#: Results that finish their task; other results only free capacity.
_TASK_RESULTS = frozenset((workers.RunResult.DONE, workers.RunResult.FAILED))


@dataclasses.dataclass(kw_only=True, slots=True)
class _Unacked:
    finished_run: workers.FinishedRun

    #: Link to the job manager that stores the result and confirms it, None
    #: if no manager has claimed it.
    claimant: link.Link | None

    #: Local time at which the result was added or last claimed, in seconds.
    claimed_at: float


class UnackedResults:
    """Unacknowledged results of one worker process."""

    def __init__(self) -> None:
        """Create an instance without results."""
        self.last_position = 0
        self._entries: dict[workers.TaskName, dict[int, _Unacked]] = {}

        #: Results that may be acknowledged once the worker's lease has expired.
        self._waiting_for_lapse: set[tuple[workers.TaskName, int]] = set()

    @property
    def acked_through(self) -> int:
        """Return the position up to which results may be acknowledged."""
        lowest = min(
            (
                entry.finished_run.position
                for entries in self._entries.values()
                for entry in entries.values()
            ),
            default=self.last_position + 1,
        )
        return min(self.last_position, lowest - 1)

    def __len__(self) -> int:
        """Return the number of unacknowledged results."""
        return sum(map(len, self._entries.values()))

    @property
    def is_empty(self) -> bool:
        """Return whether all received results may be acknowledged."""
        return not self._entries

    def reset(self) -> None:
        """Discard all results after a restart of the worker."""
        self.last_position = 0
        self._entries.clear()
        self._waiting_for_lapse.clear()

    def add(self, finished_run: workers.FinishedRun, now: float) -> None:
        """Add a result if it finishes its task."""
        if finished_run.result in _TASK_RESULTS:
            entries = self._entries.setdefault(finished_run.task, {})
            entries[finished_run.run] = _Unacked(
                finished_run=finished_run, claimant=None, claimed_at=now
            )

    def find_done(self, task: workers.TaskName) -> workers.FinishedRun | None:
        """Return the successful run of a task, None if there is none."""
        for entry in self._entries.get(task, {}).values():
            if entry.finished_run.result is workers.RunResult.DONE:
                return entry.finished_run
        return None

    def claim(
        self, task: workers.TaskName, claimant: link.Link, now: float
    ) -> list[workers.FinishedRun]:
        """Assign a task's results to ``claimant`` for storage; return them."""
        entries = self._entries.get(task, {})
        for entry in entries.values():
            entry.claimant = claimant
            entry.claimed_at = now
        return [entries[run].finished_run for run in sorted(entries)]

    def release(
        self, task: workers.TaskName, run: int, *, after_lapse: bool = False
    ) -> bool:
        """Allow a result to be acknowledged; return whether it is at once.

        With ``after_lapse`` the worker's lease must expire before.
        """
        entries = self._entries.get(task, {})
        entry = entries.get(run)
        if entry is None:
            return False
        if after_lapse:
            self._waiting_for_lapse.add((task, run))
            return False
        self._waiting_for_lapse.discard((task, run))
        entries.pop(run)
        if not entries:
            self._entries.pop(task)
        return True

    @property
    def wait_for_lapse(self) -> bool:
        """Return whether the worker's lease must expire."""
        return bool(self._waiting_for_lapse)

    def lapsed(self) -> None:
        """Release the results that wait for the expiry of the lease."""
        for task, run in list(self._waiting_for_lapse):
            self.release(task, run)

    def release_claims(self, lost_link: link.Link) -> None:
        """Release the claims of a lost link, so that others may claim."""
        for entries in self._entries.values():
            for entry in entries.values():
                if entry.claimant is lost_link:
                    entry.claimant = None

    def unclaimed(
        self, claims_valid_from: ClaimsValidFrom, now: float
    ) -> list[workers.FinishedRun]:
        """Return the results without a valid claim."""
        unclaimed_runs: list[workers.FinishedRun] = []
        for task, entries in self._entries.items():
            valid_from = claims_valid_from(task, now)
            if valid_from is not None:
                unclaimed_runs.extend(
                    entry.finished_run
                    for entry in entries.values()
                    if (task, entry.finished_run.run)
                    not in self._waiting_for_lapse
                    and (
                        entry.claimant is None or entry.claimed_at < valid_from
                    )
                )
        return unclaimed_runs
