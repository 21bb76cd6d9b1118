"""Both sides of slot loans between this entry VM and its peers."""

import math
from typing import Callable, Collection

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, lending, slots


class Loans:
    """Both sides of the loans of this process."""

    def __init__(
        self, *, cfg: borrowing.Config, table: slots.SlotTable
    ) -> None:
        """Start without loans."""
        self._table = table
        self._backlog = borrowing.BacklogReport()
        self._borrowing = borrowing.SlotBorrower(
            cfg=cfg, table=table, backlog=self._backlog
        )
        self._lending = lending.SlotLender(
            cfg=cfg, table=table, backlog=self._backlog
        )

    def report(self, demand: demand.Demand, now: float) -> None:
        """Keep a report of the waiting work."""
        self._backlog.report(demand, now)

    def ask(
        self,
        lenders: Callable[[], Collection[borrowing.LenderPeer]],
        now: float,
    ) -> borrowing.OutgoingFrames:
        """Return requests for the waiting work."""
        return self._borrowing.ask(lenders, now)

    def tick(
        self,
        lenders: Callable[[], Collection[borrowing.LenderPeer]],
        now: float,
    ) -> borrowing.OutgoingFrames:
        """Return all messages that are due."""
        return [
            *self._lending.tick(now),
            *self._borrowing.ask(lenders, now),
            *self._borrowing.due(now),
        ]

    def received(
        self, vm: ids.VmId, frame: frames.Frame, now: float
    ) -> borrowing.OutgoingFrames:
        """Act on a peer's frame about loans and return the replies."""
        match frame:
            case frames.SlotRequest():
                return self._requested(vm, frame, now)
            case frames.SlotGrant():
                self._borrowing.granted(vm, frame, now)
            case frames.SlotReturn():
                self._lending.returned(vm, frame.lots)
                return self._lending.tick(now)
        return []

    def heard(self, vm: ids.VmId, now: float) -> None:
        """Note that the peer is alive."""
        self._borrowing.heard(vm, now)

    def lost(self, vm: ids.VmId, now: float) -> None:
        """Note that the stream to the peer is closed."""
        self._lending.lost(vm, now)
        self._borrowing.lost(vm)

    def give_all_back(self) -> borrowing.OutgoingFrames:
        """Return what is idle of the borrowed slots to its lenders."""
        return self._borrowing.give_back(None, math.inf)

    def state(self) -> dict[str, object]:
        """Return all loans for the state dump."""
        return {
            **self._lending.state(),
            'borrowed': self._table.borrowed.state(),
        }

    def _requested(
        self, vm: ids.VmId, request: frames.SlotRequest, now: float
    ) -> borrowing.OutgoingFrames:
        """Return the peer's idle slots first, then grant what it wants."""
        self._table.borrowed.recall(vm, request.recall)
        replies: borrowing.OutgoingFrames = []
        if request.reclaim or request.recall:
            replies.extend(self._borrowing.give_back(vm, now))
        elif request.wants:
            replies.extend(self._borrowing.give_many_back(vm, now))
        grant = self._lending.requested(vm, request, now)
        if grant:
            replies.append((vm, grant))
        return replies
