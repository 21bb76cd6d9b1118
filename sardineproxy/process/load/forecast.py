"""Forecast of when the active runs of a shard end.

Load pattern: a burst that fills all workers. The leader then knows on arrival
of a job that it must wait, and for about how long.
"""

import itertools
from typing import Iterator

import sortedcontainers

from sardineproxy.process.shards import runs

#: Weight of one run in the average run time.
RUN_TIME_WEIGHT = 0.05

#: Average run time before the first run, in seconds.
INITIAL_RUN_TIME_S = 0.2


class EndForecast:
    """Expected ends of the active runs."""

    def __init__(self) -> None:
        """Create a forecast without runs."""
        self._ends = sortedcontainers.SortedList()
        self._by_run: dict[runs.Run, tuple[float, int, runs.Run]] = {}
        self._average_run_s = INITIAL_RUN_TIME_S

    def __len__(self) -> int:
        """Return the number of active runs."""
        return len(self._ends)

    def add(self, run: runs.Run, run_time_s: float, now: float) -> None:
        """Add a run that starts now and is expected to take ``run_time_s``."""
        self._average_run_s += RUN_TIME_WEIGHT * (
            run_time_s - self._average_run_s
        )
        end = (now + run_time_s, id(run), run)
        self._by_run[run] = end
        self._ends.add(end)

    def discard(self, run: runs.Run) -> None:
        """Remove a run that no longer exists, if it is in the forecast."""
        end = self._by_run.pop(run, None)
        if end is not None:
            self._ends.remove(end)

    def next_to_end(self, count: int) -> Iterator[runs.Run]:
        """Return the ``count`` runs with the earliest expected ends."""
        return (run for _, _, run in itertools.islice(self._ends, count))

    def time_of_end(self, count: int, now: float) -> float | None:
        """Return when ``count`` active runs will have ended.

        Runs that start in place of ended ones count, too. None if nothing
        runs, so that nothing is known about the workers.
        """
        active_count = len(self._ends)
        if not active_count:
            return None
        if count <= active_count:
            return max(now, self._ends[count - 1][0])
        excess = count - active_count
        last_end = max(now, self._ends[-1][0])
        return last_end + excess * self._average_run_s / active_count

    def ends_per_s(self) -> float:
        """Return about how many runs end in one second."""
        return len(self._ends) / self._average_run_s
