"""The lease of what runs on a worker, on the worker's clock and on ours."""

from sardineproxy.process.shards import times

_MS_PER_S = 1000


class Lease:
    """Newest reading of a worker's clock, and the end of its lease."""

    def __init__(self, *, cfg: times.CallTiming) -> None:
        """Start without a reading."""
        self._cfg = cfg
        self._clock_ms = 0
        self._read_at: float = 0
        self._until: float = 0

    @property
    def is_known(self) -> bool:
        """Tell whether the worker's clock was read in its present life."""
        return self._clock_ms > 0

    @property
    def clock_ms(self) -> int:
        """Return the newest reading."""
        return self._clock_ms

    def read(self, clock_ms: int, now: float) -> None:
        """Note a reading of the worker's clock."""
        self._clock_ms = clock_ms
        self._read_at = now

    def forget_clock(self) -> None:
        """Forget the reading: the worker started anew."""
        self._clock_ms = 0

    def extend(self, now: float) -> int:
        """Return the end of a lease from now on, on the worker's clock.

        The worker's clock is taken for as slow as it may be: an order that is
        carried out late must find its lease expired.
        """
        self._until = (
            now
            + self._cfg.lease_s * (1 + self._cfg.clock_error)
            + self._cfg.travel_s
        )
        since_s = (now - self._read_at) * (1 - self._cfg.clock_error)
        return self._clock_ms + int((since_s + self._cfg.lease_s) * _MS_PER_S)

    def has_expired(self, now: float) -> bool:
        """Tell whether nothing that was ordered can run any more."""
        return now >= self._until
