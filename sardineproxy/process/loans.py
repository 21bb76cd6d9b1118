"""Slot loans between this entry VM and its peers.

An entry VM with a backlog requests slots from peers with free ones. The lender
grants slots as loans, each of which is for one customer. The borrower may start
tasks on them while it receives frames from the lender (the lease), and returns
them when they are idle. The lender can recall slots of certain endpoints, which
the borrower then returns as soon as they are free, or reclaim all idle slots.
"""

import math
from typing import Callable, Collection

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, lending, slots


class Loans:
    """The loans of this process, as borrower and as lender."""

    def __init__(
        self, *, cfg: borrowing.Config, table: slots.SlotTable
    ) -> None:
        """Create an instance without loans."""
        self._table = table
        self._backlog = borrowing.BacklogReport()
        self._borrowing = borrowing.SlotBorrower(
            cfg=cfg, table=table, backlog=self._backlog
        )
        self._lending = lending.SlotLender(
            cfg=cfg, table=table, backlog=self._backlog
        )

    def report(self, demand: demand.Demand, now: float) -> None:
        """Update the local backlog, on which lending and borrowing depend."""
        self._backlog.report(demand, now)

    def request_slots(
        self,
        lenders: Callable[[], Collection[borrowing.LenderPeer]],
        now: float,
    ) -> borrowing.OutgoingFrames:
        """Return requests to lenders for slots for the waiting tasks."""
        return self._borrowing.request_slots(lenders, now)

    def tick(
        self,
        lenders: Callable[[], Collection[borrowing.LenderPeer]],
        now: float,
    ) -> borrowing.OutgoingFrames:
        """Process timeouts and return the frames to send."""
        return [
            *self._lending.tick(now),
            *self._borrowing.request_slots(lenders, now),
            *self._borrowing.return_idle(now),
        ]

    def handle_frame(
        self, vm: ids.VmId, frame: frames.Frame, now: float
    ) -> borrowing.OutgoingFrames:
        """Process a peer's frame about loans and return the replies."""
        match frame:
            case frames.SlotRequest():
                return self._handle_request(vm, frame, now)
            case frames.SlotGrant():
                self._borrowing.handle_grant(vm, frame, now)
            case frames.SlotReturn():
                self._lending.handle_return(vm, frame.allocations)
                return self._lending.tick(now)
        return []

    def renew_lease(self, vm: ids.VmId, now: float) -> None:
        """Extend the lease of slots borrowed from a peer that sent a frame."""
        self._borrowing.renew_lease(vm, now)

    def handle_disconnect(self, vm: ids.VmId, now: float) -> None:
        """Process the end of the stream to a peer."""
        self._lending.handle_disconnect(vm, now)
        self._borrowing.handle_disconnect(vm)

    def return_all_idle(self) -> borrowing.OutgoingFrames:
        """Return all idle borrowed slots to their lenders."""
        return self._borrowing.return_all_idle(None, math.inf)

    def state(self) -> dict[str, object]:
        """Return all loans for the state dump."""
        return {
            **self._lending.state(),
            'borrowed': self._table.borrowed.state(),
        }

    def _handle_request(
        self, vm: ids.VmId, request: frames.SlotRequest, now: float
    ) -> borrowing.OutgoingFrames:
        """Return the peer's idle slots, and grant slots for its demands."""
        self._table.borrowed.recall(vm, request.recall)
        replies: borrowing.OutgoingFrames = []
        if request.reclaim or request.recall:
            replies.extend(self._borrowing.return_all_idle(vm, now))
        elif request.demands:
            replies.extend(self._borrowing.return_many_idle(vm, now))
        grant = self._lending.handle_request(vm, request, now)
        if grant:
            replies.append((vm, grant))
        return replies
