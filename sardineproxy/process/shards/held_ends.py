"""Ends of one worker's runs that must not be acknowledged yet.

A worker lists an end until it is acknowledged. The end of a stored job's task
may be acknowledged once it is stored; until then a new owner must find it in
the worker's list.
"""

import dataclasses
from typing import Callable

from sardineproxy.connection import link
from sardineproxy.process.shards import workers

#: Returns from which local time on claims of a task's ends count, None if
#: nobody is to be told of them yet.
ClaimsFrom = Callable[[workers.TaskName, float], float | None]

#: Ends that tell something about their task; the others only free room.
_TELLING = frozenset((workers.Ending.DONE, workers.Ending.FAILED))


@dataclasses.dataclass(kw_only=True, slots=True)
class _Held:
    end: workers.End

    #: Who is told of the end and will say when it is stored, None if nobody
    #: has asked for it.
    claimant: link.Link | None

    #: Local time at which it was read or claimed, in seconds.
    since: float


class HeldEnds:
    """The ends of one life of a worker, as far as they were read."""

    def __init__(self) -> None:
        """Start before the first end."""
        self.seen = 0
        self._held: dict[workers.TaskName, dict[int, _Held]] = {}

    @property
    def acked(self) -> int:
        """Return up to which number ends may be forgotten."""
        lowest = min(
            (
                held.end.number
                for of_task in self._held.values()
                for held in of_task.values()
            ),
            default=self.seen + 1,
        )
        return min(self.seen, lowest - 1)

    def __len__(self) -> int:
        """Return the number of ends that are held."""
        return sum(map(len, self._held.values()))

    @property
    def is_empty(self) -> bool:
        """Tell whether all that was read may be acknowledged."""
        return not self._held

    def reset(self) -> None:
        """Begin a new life of the worker."""
        self.seen = 0
        self._held.clear()

    def hold(self, end: workers.End, now: float) -> None:
        """Keep an end listed that tells something about its task."""
        if end.how in _TELLING:
            of_task = self._held.setdefault(end.task, {})
            of_task[end.run] = _Held(end=end, claimant=None, since=now)

    def find_done(self, task: workers.TaskName) -> workers.End | None:
        """Return the end of a task that ended well."""
        for held in self._held.get(task, {}).values():
            if held.end.how is workers.Ending.DONE:
                return held.end
        return None

    def claim(
        self, task: workers.TaskName, claimant: link.Link, now: float
    ) -> list[workers.End]:
        """Return a task's held ends, which ``claimant`` will store."""
        of_task = self._held.get(task, {})
        for held in of_task.values():
            held.claimant = claimant
            held.since = now
        return [of_task[run].end for run in sorted(of_task)]

    def release(self, task: workers.TaskName, run: int) -> bool:
        """Let an end be acknowledged; tell whether it was held."""
        of_task = self._held.get(task)
        if of_task is None or of_task.pop(run, None) is None:
            return False
        if not of_task:
            self._held.pop(task)
        return True

    def unclaim(self, lost: link.Link) -> None:
        """Note that a claimant is lost; another one may ask."""
        for of_task in self._held.values():
            for held in of_task.values():
                if held.claimant is lost:
                    held.claimant = None

    def unclaimed(
        self, claims_from: ClaimsFrom, now: float
    ) -> list[workers.End]:
        """Return the ends that nobody was told of who still counts."""
        found: list[workers.End] = []
        for task, of_task in self._held.items():
            counts_from = claims_from(task, now)
            if counts_from is not None:
                found.extend(
                    held.end
                    for held in of_task.values()
                    if held.claimant is None or held.since < counts_from
                )
        return found
