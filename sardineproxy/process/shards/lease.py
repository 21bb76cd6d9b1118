"""Lease of a worker's runs, on the worker's clock and on the local one."""

import math

from sardineproxy.process.shards import times

_MS_PER_S = 1000

#: Difference between two readings of one clock that is due to their travel
#: times, in seconds: the timeout of an order, and rounding.
CLOCK_TOLERANCE_S = 0.1


class Lease:
    """Newest reading of a worker's clock, and the expiry of the lease."""

    def __init__(self, *, cfg: times.CallTiming) -> None:
        """Create a lease without a clock reading."""
        self._cfg = cfg
        self._clock_ms = 0
        self._clock_read_at: float = 0
        self._expires_at: float = 0

    @property
    def has_clock(self) -> bool:
        """Return whether the clock was read since the worker's last restart."""
        return self._clock_ms > 0

    @property
    def clock_ms(self) -> int:
        """Return the newest clock reading, in milliseconds."""
        return self._clock_ms

    def set_clock(self, clock_ms: int, now: float) -> None:
        """Record a reading of the worker's clock."""
        self._clock_ms = clock_ms
        self._clock_read_at = now

    def agrees_with(self, clock_ms: int, now: float) -> bool:
        """Return whether a reading is of the clock that was read before.

        The clock of another process started at another time.
        """
        elapsed_s = now - self._clock_read_at
        expected_ms = self._clock_ms + elapsed_s * _MS_PER_S
        tolerance_s = CLOCK_TOLERANCE_S + elapsed_s * self._cfg.clock_error
        return abs(clock_ms - expected_ms) <= tolerance_s * _MS_PER_S

    def reset_clock(self) -> None:
        """Discard the clock reading after a restart of the worker."""
        self._clock_ms = 0

    def extend(self, now: float, until: float = math.inf) -> int:
        """Extend the lease; return its end on the worker's clock, in ms.

        It is extended up to the local time ``until``, in seconds, at most. The
        calculation assumes the slowest permitted worker clock, so that an
        order that is executed late finds its lease expired.
        """
        lease_s = min(self._cfg.lease_s, until - now)
        self.assume_extended(now)
        elapsed_s = (now - self._clock_read_at) * (1 - self._cfg.clock_error)
        return self._clock_ms + int((elapsed_s + lease_s) * _MS_PER_S)

    def assume_extended(self, now: float) -> None:
        """Let runs exist for as long as the longest lease from now on."""
        self._expires_at = now + self._cfg.longest_lease_s

    def has_expired(self, now: float) -> bool:
        """Return whether the lease has certainly expired on the worker."""
        return now >= self._expires_at
