"""Time and random numbers, passed in at construction."""

import random
import time
from typing import Protocol


class Clock(Protocol):
    """Source of the present time."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the epoch, for logs and dumps only."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class BootClock:
    """Clock that also counts the time in which the machine was suspended."""

    def now(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class ManualClock:
    """Clock that moves only when a test moves it."""

    def __init__(self, *, start: float = 0) -> None:
        """Start at ``start`` seconds."""
        self._now = start

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same seconds as ``now``."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds


def new_random(seed: int | None = None) -> random.Random:
    """Return a generator of random numbers, seeded by the system if None."""
    return random.Random(seed)
