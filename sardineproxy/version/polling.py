"""Intervals, backoff and timeouts of polling the platform."""

import asyncio
import dataclasses
import random
from typing import Awaitable

import result

from sardineproxy.process import store

#: Largest number of doublings; bounds the power of two.
_MAX_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Intervals and timeouts of polls, in seconds.

    A version must be active on all VMs within 8 s, even if the open connection
    to the platform no longer responds: a poll interval, the timeout of the
    poll, the first backoff and a second poll take about 6 s together.
    """

    poll_s: float = 2

    #: Each wait varies randomly by up to this fraction in both directions.
    jitter: float = 0.25

    #: Wait after the first failure; doubled for each further failure.
    first_backoff_s: float = 0.5
    max_backoff_s: float = 4

    #: Timeout of a poll after a success; doubled for each failure, so that a
    #: slow platform has enough time to respond.
    timeout_s: float = 2
    max_timeout_s: float = 30


class PollSchedule:
    """Derives waits and timeouts from the number of consecutive failures."""

    def __init__(self, *, rng: random.Random, cfg: Config) -> None:
        """Start without failures."""
        self._rng = rng
        self._cfg = cfg
        self.failures = 0

    def next_wait_s(self) -> float:
        """Return the wait before the next poll."""
        cfg = self._cfg
        wait_s = cfg.poll_s
        if self.failures:
            wait_s = _doubled(
                cfg.first_backoff_s, self.failures - 1, cfg.max_backoff_s
            )
        return wait_s * self._rng.uniform(1 - cfg.jitter, 1 + cfg.jitter)

    async def run_with_timeout(
        self,
        poll: Awaitable[result.Result[None, store.StoreError]],
    ) -> store.StoreError | None:
        """Await one poll up to its timeout and count its outcome."""
        cfg = self._cfg
        timeout_s = _doubled(cfg.timeout_s, self.failures, cfg.max_timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                polled = await poll
        except TimeoutError:
            self.failures += 1
            return store.StoreError(
                kind=store.ErrorKind.UNAVAILABLE,
                detail=f'no complete response within {timeout_s} s',
            )
        if isinstance(polled, result.Err):
            self.failures += 1
            return polled.err_value
        self.failures = 0
        return None


def _doubled(first_s: float, doublings: int, max_s: float) -> float:
    return min(first_s * 2 ** min(doublings, _MAX_DOUBLINGS), max_s)
