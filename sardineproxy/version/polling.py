"""When to read from the platform again, and how long to wait for it."""

import asyncio
import dataclasses
import random
from typing import Awaitable

import result

from sardineproxy.process import store

#: Largest exponent of a doubling; keeps the powers small.
_MAX_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Waits between polls, in seconds.

    A version is to be in force everywhere within 8 s, even if the open
    connection to the platform has gone silent: a poll's wait, its limit, the
    first back-off and a second poll take about 6 s together.
    """

    poll_s: float = 2

    #: Each wait is drawn from this fraction below to above its length.
    jitter: float = 0.25

    #: Wait after the first failure; doubles with each further one.
    first_backoff_s: float = 0.5
    max_backoff_s: float = 4

    #: Longest poll after a success; doubles with each failure, so that a slow
    #: platform is waited for.
    timeout_s: float = 2
    max_timeout_s: float = 30


class PollSchedule:
    """Counts failures in a row and derives waits from them."""

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
        """Wait for one poll within its limit and count its outcome."""
        cfg = self._cfg
        timeout_s = _doubled(cfg.timeout_s, self.failures, cfg.max_timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await poll
        except TimeoutError:
            self.failures += 1
            return store.StoreError(
                kind=store.ErrorKind.UNAVAILABLE,
                detail=f'no whole answer within {timeout_s} s',
            )
        if isinstance(outcome, result.Err):
            self.failures += 1
            return outcome.err_value
        self.failures = 0
        return None


def _doubled(first_s: float, doublings: int, longest_s: float) -> float:
    return min(first_s * 2 ** min(doublings, _MAX_DOUBLINGS), longest_s)
