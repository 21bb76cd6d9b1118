"""Faults that the stand-in platform is told to show, and its rate limits."""

import dataclasses

from sardineproxy.standin import platform_store

MAX_SLOW_MS = 600_000
MAX_LOST_ANSWERS = 1_000_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Faults:
    """What the platform does wrong at present."""

    #: Answer everything with 503.
    down: bool = False

    #: Wait before each request is carried out, in milliseconds.
    slow_ms: float = 0

    #: Age of the VM list in answers, in seconds.
    list_lag_s: float = 0

    #: Writes still to come whose answer is lost after they took effect.
    lose_answers: int = 0

    #: Rows that plain reads see, if they are told to be stale.
    stale_table: platform_store.Table | None = None


class RateLimit:
    """Token bucket that holds at most one second of requests."""

    def __init__(self, *, per_s: float) -> None:
        """Start full."""
        self._per_s = per_s
        self._tokens = max(per_s, 1)
        self._filled_at: float | None = None

    def take(self, *, now: float) -> bool:
        """Take one token, or return False if there is none."""
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._per_s
            self._tokens = min(self._tokens + gained, max(self._per_s, 1))
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
