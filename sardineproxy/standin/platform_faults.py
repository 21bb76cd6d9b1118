"""Configurable faults and rate limits of the stand-in platform."""

import dataclasses

from sardineproxy.standin import platform_store

MAX_SLOW_MS = 600_000
MAX_LOST_ANSWERS = 1_000_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Faults:
    """Faults that are active now."""

    #: Respond with 503 to all requests.
    down: bool = False

    #: Delay of each request.
    slow_ms: float = 0

    #: Age of the VM list in responses.
    list_lag_s: float = 0

    #: Number of further writes that take effect without a response.
    lose_answers: int = 0

    #: Rows that reads return unless they are strict; None if not stale.
    stale_table: platform_store.Table | None = None


class RateLimit:
    """Token bucket with a capacity of one second of requests."""

    def __init__(self, *, per_s: float) -> None:
        """Start with a full bucket."""
        self._per_s = per_s
        self._tokens = max(per_s, 1)
        self._refilled_at: float | None = None

    def try_acquire(self, *, now: float) -> bool:
        """Remove one token; return False if there is none."""
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._per_s
            self._tokens = min(self._tokens + refill, max(self._per_s, 1))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
