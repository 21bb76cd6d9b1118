"""Decides how long new jobs wait for the leader of their VM's home shard.

Fault pattern: connections are reset, and a client sends its job again at once,
through a VM whose link to the leader was reset, too. Another zone would start
the tasks while the first runs are being stopped.
"""


class HomeLeader:
    """When the home shard's leader was lost."""

    def __init__(self, *, wait_s: float) -> None:
        """Create an instance without a leader.

        ``wait_s`` is the time in seconds after which no run of a lost leader
        exists, unless another leader has adopted it.
        """
        self._wait_s = wait_s
        self._has_leader = False
        self._lost_at: float | None = None

    def update(self, *, has_leader: bool, now: float) -> None:
        """Record whether the home shard has a leader."""
        if has_leader:
            self._lost_at = None
        elif self._has_leader:
            self._lost_at = now
        self._has_leader = has_leader

    def remaining_wait_s(self, now: float) -> float:
        """Return how long jobs must not be submitted to another shard."""
        if self._lost_at is None:
            return 0
        return max(0, self._lost_at + self._wait_s - now)
