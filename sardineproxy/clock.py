"""Clocks and random number generators, passed to objects as dependencies."""

import random
import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch.

        For logs, dumps and times in stored rows; not for measuring durations.
        """


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class BootClock:
    """Clock that also advances while the machine is suspended."""

    def now(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock that advances only when a test advances it."""

    def __init__(self, *, start: float = 0) -> None:
        """Create a clock that starts at ``start`` seconds."""
        self._now = start

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same seconds as ``now``."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds


def new_random(seed: int | None = None) -> random.Random:
    """Return a random number generator, seeded by the system if None."""
    return random.Random(seed)
