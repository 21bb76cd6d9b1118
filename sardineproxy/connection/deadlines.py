"""Deadlines of many coroutines on one timer.

``asyncio.timeout`` creates a timer for each use, which costs more than the
rest of an attempt's bookkeeping.
"""

import asyncio
import heapq

#: Finished deadlines are removed from the heap when there are this many more
#: of them than open ones.
MAX_EXCESS_FINISHED = 64


class Deadline:
    """The deadline of one coroutine."""

    __slots__ = ('task', 'cancelling', 'is_open', 'is_expired')

    def __init__(self, task: 'asyncio.Task[object]') -> None:
        """Start open; ``task`` runs the coroutine."""
        self.task = task

        #: Number of cancellations of the task that were pending at the start.
        self.cancelling = task.cancelling()
        self.is_open = True
        self.is_expired = False


class DeadlineTimer:
    """Cancels coroutines at their deadlines."""

    def __init__(self) -> None:
        """Start without deadlines."""
        self._heap: list[tuple[float, int, Deadline]] = []
        self._last_sequence = 0
        self._open_count = 0
        self._timer_handle: asyncio.TimerHandle | None = None

    def start(self, *, timeout_s: float) -> Deadline:
        """Start a deadline that cancels the current task after ``timeout_s``.

        It stays open until ``finish`` closes it.
        """
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        deadline = Deadline(task)
        due_at = loop.time() + timeout_s
        self._open_count += 1
        self._last_sequence += 1
        if len(self._heap) > 2 * self._open_count + MAX_EXCESS_FINISHED:
            self._heap = [item for item in self._heap if item[2].is_open]
            heapq.heapify(self._heap)
        heapq.heappush(self._heap, (due_at, self._last_sequence, deadline))
        if self._timer_handle is None or due_at < self._timer_handle.when():
            self._set_timer(due_at)
        return deadline

    def finish(self, deadline: Deadline) -> bool:
        """Close the deadline; return whether it alone cancelled the task.

        If so, a ``CancelledError`` in the coroutine is a timeout. If the task
        was cancelled from elsewhere too, the error has to be raised again.
        """
        if not deadline.is_open:
            return False
        deadline.is_open = False
        self._open_count -= 1
        if not deadline.is_expired:
            return False
        return deadline.task.uncancel() <= deadline.cancelling

    def close(self) -> None:
        """Stop the timer."""
        if self._timer_handle is not None:
            self._timer_handle.cancel()
            self._timer_handle = None

    def _set_timer(self, due_at: float) -> None:
        self.close()
        self._timer_handle = asyncio.get_running_loop().call_at(
            due_at, self._expire
        )

    def _expire(self) -> None:
        self._timer_handle = None
        now = asyncio.get_running_loop().time()
        while self._heap:
            due_at, _, deadline = self._heap[0]
            if deadline.is_open and due_at > now:
                self._set_timer(due_at)
                return
            heapq.heappop(self._heap)
            if deadline.is_open:
                deadline.is_expired = True
                deadline.task.cancel()
