"""When the dispatcher acts without an event, and when it asks for slots."""

import asyncio
from typing import Callable

import reactivex
from reactivex import subject

from sardineproxy.process import demand

#: Two times within this many seconds need only one timer.
TIMER_SLACK_S = 0.0005


class EarliestTimer:
    """One timer that fires at the earliest time set since it last fired."""

    def __init__(self, action: Callable[[], None]) -> None:
        """Call ``action`` each time the timer fires."""
        self._action = action
        self._due = float('inf')
        self._handle: asyncio.TimerHandle | None = None

    def set(self, due: float, *, now: float) -> None:
        """Fire at ``due`` at the latest."""
        if due >= self._due - TIMER_SLACK_S:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._due = due
        self._handle = asyncio.get_running_loop().call_later(
            max(due - now, TIMER_SLACK_S), self._fire
        )

    def close(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._due = float('-inf')

    def _fire(self) -> None:
        self._handle = None
        self._due = float('inf')
        self._action()


class DemandStream:
    """Stream of demands, at most one for each interval and loop turn."""

    def __init__(
        self, *, measure: Callable[[], demand.Demand], interval_s: float
    ) -> None:
        """Emit what ``measure`` returns."""
        self._measure = measure
        self._interval_s = interval_s
        self._stream: subject.Subject[demand.Demand] = subject.Subject()
        self._is_scheduled = False
        self._not_before = float('-inf')

    @property
    def stream(self) -> reactivex.Observable[demand.Demand]:
        """Return the stream."""
        return self._stream

    def schedule(self) -> None:
        """Emit a demand soon, because tasks wait and no slot is free."""
        if self._is_scheduled or not self._stream.observers:
            return
        self._is_scheduled = True
        loop = asyncio.get_running_loop()
        pause_s = self._not_before - loop.time()
        if pause_s > 0:
            loop.call_later(pause_s, self._emit)
        else:
            loop.call_soon(self._emit)

    def close(self) -> None:
        """End the stream."""
        self._stream.on_completed()

    def _emit(self) -> None:
        self._is_scheduled = False
        self._not_before = asyncio.get_running_loop().time() + self._interval_s
        current = self._measure()
        if any(customer.waiting for customer in current.customers):
            self._stream.on_next(current)
