"""The dispatcher's timer, and the rate-limited stream of its backlog."""

import asyncio
from typing import Callable

import reactivex
from reactivex import subject

from sardineproxy.process import demand

#: Times that are less than this many seconds apart share one timer.
TIMER_SLACK_S = 0.0005


class EarliestTimer:
    """A timer that fires at the earliest time set since it last fired."""

    def __init__(self, action: Callable[[], None]) -> None:
        """Create a timer that calls ``action`` whenever it fires."""
        self._action = action
        self._fire_at = float('inf')
        self._handle: asyncio.TimerHandle | None = None

    def set(self, fire_at: float, *, now: float) -> None:
        """Make the timer fire at ``fire_at`` at the latest."""
        if fire_at >= self._fire_at - TIMER_SLACK_S:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._fire_at = fire_at
        self._handle = asyncio.get_running_loop().call_later(
            max(fire_at - now, TIMER_SLACK_S), self._fire
        )

    def close(self) -> None:
        """Stop the timer; ``set`` has no effect afterwards."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._fire_at = float('-inf')

    def _fire(self) -> None:
        self._handle = None
        self._fire_at = float('inf')
        self._action()


class DemandStream:
    """Stream of the demand, limited to one item per interval and loop turn."""

    def __init__(
        self, *, measure: Callable[[], demand.Demand], interval_s: float
    ) -> None:
        """Create a stream of the values that ``measure`` returns."""
        self._measure = measure
        self._interval_s = interval_s
        self._stream: subject.Subject[demand.Demand] = subject.Subject()
        self._is_scheduled = False
        self._next_emit_at = float('-inf')

    @property
    def stream(self) -> reactivex.Observable[demand.Demand]:
        """Return the stream to subscribe to."""
        return self._stream

    def schedule(self) -> None:
        """Emit the demand in the next loop turn or when the interval ends.

        Nothing is emitted without observers or without waiting tasks.
        """
        if self._is_scheduled or not self._stream.observers:
            return
        self._is_scheduled = True
        loop = asyncio.get_running_loop()
        delay_s = self._next_emit_at - loop.time()
        if delay_s > 0:
            loop.call_later(delay_s, self._emit)
        else:
            loop.call_soon(self._emit)

    def close(self) -> None:
        """Complete the stream."""
        self._stream.on_completed()

    def _emit(self) -> None:
        self._is_scheduled = False
        self._next_emit_at = (
            asyncio.get_running_loop().time() + self._interval_s
        )
        current_demand = self._measure()
        if any(customer.waiting for customer in current_demand.customers):
            self._stream.on_next(current_demand)
