"""Deadlines of many coroutines on one timer.

``asyncio.timeout`` makes one timer for each use, which costs more than the
rest of an attempt's bookkeeping.
"""

import asyncio
import heapq

#: Ended entries are dropped when they outnumber the others by this many.
MAX_ENDED = 64


class Deadline:
    """One coroutine with a deadline."""

    __slots__ = ('task', 'cancelling', 'is_open', 'is_expired')

    def __init__(self, task: 'asyncio.Task[object]') -> None:
        """Watch the task that runs the coroutine."""
        self.task = task
        self.cancelling = task.cancelling()
        self.is_open = True
        self.is_expired = False


class DeadlineTimer:
    """Cancels coroutines at their deadlines."""

    def __init__(self) -> None:
        """Start without entries."""
        self._heap: list[tuple[float, int, Deadline]] = []
        self._last_number = 0
        self._open = 0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, *, timeout_s: float) -> Deadline:
        """Cancel the current task in ``timeout_s`` unless it leaves before."""
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        entry = Deadline(task)
        due = loop.time() + timeout_s
        self._open += 1
        self._last_number += 1
        if len(self._heap) > 2 * self._open + MAX_ENDED:
            self._heap = [timed for timed in self._heap if timed[2].is_open]
            heapq.heapify(self._heap)
        heapq.heappush(self._heap, (due, self._last_number, entry))
        if self._handle is None or due < self._handle.when():
            self._set_timer(due)
        return entry

    def finish(self, entry: Deadline) -> bool:
        """End the watch; tell whether the deadline cancelled the task.

        If so, a ``CancelledError`` that ends the coroutine is a time-out,
        unless somebody else cancelled the task too.
        """
        if not entry.is_open:
            return False
        entry.is_open = False
        self._open -= 1
        if not entry.is_expired:
            return False
        return entry.task.uncancel() <= entry.cancelling

    def close(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _set_timer(self, due: float) -> None:
        self.close()
        self._handle = asyncio.get_running_loop().call_at(due, self._expire)

    def _expire(self) -> None:
        self._handle = None
        now = asyncio.get_running_loop().time()
        while self._heap:
            due, _, entry = self._heap[0]
            if entry.is_open and due > now:
                self._set_timer(due)
                return
            heapq.heappop(self._heap)
            if entry.is_open:
                entry.is_expired = True
                entry.task.cancel()
