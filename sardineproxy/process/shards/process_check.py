"""Checks whether a call reaches the worker process that reported last.

A worker may start again under its id. Its new process numbers its results from
1, as the former one did, and drops those that a poll acknowledges. A result
that comes while such a poll waits is then in no report.
"""

import asyncio
import math

#: Time in which no worker process ends and another one serves in its place, in
#: seconds. Beyond it a poll may reach another process than the last report.
MIN_RESTART_S = 0.04


class ProcessCheck:
    """Times of the calls to a worker, and of the responses of its process.

    All times are local, in seconds.
    """

    def __init__(self) -> None:
        """Create an instance that has seen no response."""
        self._responded_at = -math.inf
        self._report_requested_at = -math.inf
        self._order_sent_at = -math.inf
        self._order_answered = asyncio.Event()

    def order_sent(self, now: float) -> None:
        """Record that a start order is being sent."""
        self._order_sent_at = now
        self._order_answered.clear()

    def order_answered(self, now: float, *, is_same: bool) -> None:
        """Record the response to a start order.

        ``is_same`` means that it came from the process that reported last.
        """
        self._order_answered.set()
        if is_same:
            self._responded_at = now

    def reported(self, *, requested_at: float, now: float) -> None:
        """Record a report of the present process."""
        self._responded_at = now
        self._report_requested_at = max(self._report_requested_at, requested_at)

    def restarted(self) -> None:
        """Record that a report came from another process."""
        self._responded_at = -math.inf

    def may_acknowledge(self, now: float, *, waits: bool) -> bool:
        """Return whether a poll may acknowledge results.

        Another process would drop its own results of the same positions. It has
        none as long as no run was started on it; ``waits`` means that one may
        start before the response.
        """
        if now - self._responded_at <= MIN_RESTART_S:
            return True
        return not (waits or self._has_orders)

    async def wait_for_order(self, now: float, timeout_s: float) -> None:
        """Wait for the response to a start order after an idle time.

        It tells the process, so that the poll after it can acknowledge results.
        """
        if not self._has_orders or now - self._responded_at <= MIN_RESTART_S:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._order_answered.wait()
        except TimeoutError:
            return

    @property
    def _has_orders(self) -> bool:
        """Return whether orders were sent since the last report's request."""
        return self._order_sent_at >= self._report_requested_at
