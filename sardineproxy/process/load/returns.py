"""When rejected clients should return.

Load pattern: the return of refused clients. If all return after the same time,
they are the next burst; they are told to return one after the other, at the
rate at which the shard can serve them beside its other load.
"""

#: Earliest and latest return after a rejection, in seconds.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0

#: Share of the shard's capacity that is planned for returning clients.
RETURN_SHARE = 0.25


class ReturnSchedule:
    """Assigns return times to rejected jobs, in the order of rejection."""

    def __init__(self) -> None:
        """Create an empty schedule."""
        self._next_return_at: float = 0

    def assign(
        self,
        *,
        task_count: int,
        expected_start: float,
        ends_per_s: float,
        now: float,
    ) -> float:
        """Return in how many seconds the client of a job should return.

        ``expected_start`` is when the shard could start the job, in local
        seconds, and ``ends_per_s`` the number of runs that end in one second.
        """
        return_at = max(now + MIN_RETRY_S, expected_start, self._next_return_at)
        return_at = min(return_at, now + MAX_RETRY_S)
        if ends_per_s > 0:
            self._next_return_at = return_at + task_count / (
                RETURN_SHARE * ends_per_s
            )
        return return_at - now
