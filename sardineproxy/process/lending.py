"""The lender's side of slot loans: grants, recalls and takes back."""

import dataclasses
import math
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, slots

_Place = tuple[ids.CustomerId, ids.EndpointId]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Book:
    """What one borrower has and waits for."""

    lots: dict[_Place, int] = dataclasses.field(default_factory=dict)
    weights: dict[ids.CustomerId, float] = dataclasses.field(
        default_factory=dict
    )

    #: Slots that the newest request wants and that are not granted yet.
    pending: dict[ids.CustomerId, int] = dataclasses.field(default_factory=dict)
    number: int = 0
    pending_until: float = 0

    #: When idle slots were last granted or demanded back.
    settled_at: float = -math.inf
    recalled: set[ids.EndpointId] = dataclasses.field(default_factory=set)

    def lent(self, customer: ids.CustomerId) -> int:
        return sum(
            count for (name, _), count in self.lots.items() if name == customer
        )

    def claims(self, now: float) -> dict[ids.CustomerId, int]:
        """Return what each customer has and waits for here."""
        waits = self.pending if now < self.pending_until else {}
        return {
            customer: self.lent(customer) + waits.get(customer, 0)
            for customer in self.weights
        }


class SlotLender:
    """Decides which own slots other VMs may use."""

    def __init__(
        self,
        *,
        cfg: borrowing.Config,
        table: slots.SlotTable,
        backlog: borrowing.BacklogReport,
    ) -> None:
        """Start without borrowers."""
        self._cfg = cfg
        self._table = table
        self._backlog = backlog
        self._books: dict[ids.VmId, _Book] = {}

        #: Loans of borrowers whose stream is lost, and when they end.
        self._lapsing: list[tuple[float, dict[_Place, int]]] = []

    def requested(
        self, vm: ids.VmId, request: frames.SlotRequest, now: float
    ) -> frames.SlotGrant | None:
        """Return the grant, or None if nothing is wanted."""
        book = self._books.setdefault(vm, _Book())
        if not request.wants:
            return None
        book.number = request.number
        book.weights.update({name: w for name, w, _ in request.wants})
        book.pending = {name: count for name, _, count in request.wants}
        book.pending_until = now + self._cfg.pending_s
        return frames.SlotGrant(
            number=request.number, lots=self._grant(vm, book, now)
        )

    def returned(self, vm: ids.VmId, lots: Iterable[frames.Lot]) -> None:
        """Take slots back, never more than were lent."""
        book = self._books.get(vm)
        if book is None:
            return
        for customer, endpoint, count in lots:
            lent = book.lots.pop((customer, endpoint), 0)
            back = min(count, lent)
            if lent > back:
                book.lots[(customer, endpoint)] = lent - back
            else:
                book.recalled.discard(endpoint)
            if back:
                self._table.take_back(customer, endpoint, back)
        self._table.changed.on_next(None)

    def lost(self, vm: ids.VmId, now: float) -> None:
        """Keep the borrower's slots aside until its tasks must have ended.

        The borrower may have heard this process until now.
        """
        book = self._books.pop(vm, None)
        if book and book.lots:
            end = now + self._cfg.lease_s + self._cfg.max_task_s
            self._lapsing.append((end, book.lots))

    def tick(self, now: float) -> borrowing.OutgoingFrames:
        """Take back lapsed loans, grant what waits, and recall."""
        self._end_lapsed(now)
        frames_out: borrowing.OutgoingFrames = []
        for vm, book in self._books.items():
            lots = self._grant_late(vm, book, now)
            if lots:
                grant = frames.SlotGrant(number=book.number, lots=lots)
                frames_out.append((vm, grant))
            demanded = self._demand_back(vm, book, now)
            if demanded:
                frames_out.append((vm, demanded))
        self._reserve(now)
        return frames_out

    def state(self) -> dict[str, object]:
        """Return all loans for the state dump."""
        return {
            'lent': {
                vm: [[*place, count] for place, count in book.lots.items()]
                for vm, book in self._books.items()
            },
            'lapsing': sum(sum(lots.values()) for _, lots in self._lapsing),
        }

    def _grant(
        self, vm: ids.VmId, book: _Book, now: float
    ) -> tuple[frames.Lot, ...]:
        lots: list[frames.Lot] = []
        for customer, wanted in list(book.pending.items()):
            most = min(wanted, self._cap(vm, book, customer, now))
            for endpoint, count in self._table.lend(customer, most).items():
                place = (customer, endpoint)
                lots.append((customer, endpoint, count))
                book.lots[place] = book.lots.get(place, 0) + count
                book.recalled.discard(endpoint)
                book.pending[customer] -= count
            if not book.pending[customer]:
                book.pending.pop(customer)
        if lots:
            book.settled_at = now
        return tuple(lots)

    def _grant_late(
        self, vm: ids.VmId, book: _Book, now: float
    ) -> tuple[frames.Lot, ...]:
        """Grant a pending request once, when many slots are free or at last."""
        if not book.pending:
            return ()
        if now < book.pending_until:
            worth = min(self._wanted(vm, book, now), self._cfg.min_lot)
            if self._table.free_slots < max(1, worth):
                return ()
        lots = self._grant(vm, book, now)
        book.pending = {}
        return lots

    def _wanted(self, vm: ids.VmId, book: _Book, now: float) -> int:
        """Return the pending slots, up to the fair part if tasks wait here."""
        if not self._backlog.waits(now):
            return sum(book.pending.values())
        return sum(
            min(wanted, self._cap(vm, book, customer, now))
            for customer, wanted in book.pending.items()
        )

    def _cap(
        self, vm: ids.VmId, book: _Book, customer: ids.CustomerId, now: float
    ) -> int:
        """Return how many more slots the borrower may get."""
        if not self._backlog.waits(now):
            return self._table.free_slots
        fair = self._fair(now).get((vm, customer), 0)
        return max(0, fair - book.lent(customer))

    def _fair(self, now: float) -> dict[tuple[str, ids.CustomerId], int]:
        """Divide the own slots among own customers and borrowers.

        A customer with work at several VMs has one weight, which is divided
        by how much it claims at each.
        """
        claims: dict[tuple[str, ids.CustomerId], tuple[float, int]] = {
            ('', own.customer): (own.weight, self._usable(own))
            for own in self._backlog.customers(now)
        }
        for vm, book in self._books.items():
            for customer, wanted in book.claims(now).items():
                claims[(vm, customer)] = (book.weights[customer], wanted)
        totals: dict[ids.CustomerId, int] = {}
        for (_, name), (_, claimed) in claims.items():
            totals[name] = totals.get(name, 0) + claimed
        return borrowing.water_fill(
            sum(self._table.owned.values()),
            {
                key: (weight * count / totals[key[1]], count)
                for key, (weight, count) in claims.items()
                if count
            },
        )

    def _usable(self, own: demand.CustomerDemand) -> int:
        """Return how many own slots the customer's tasks here could use."""
        return int(
            min(own.waiting + own.running, self._table.part(own.customer))
        )

    def _demand_back(
        self, vm: ids.VmId, book: _Book, now: float
    ) -> frames.SlotRequest | None:
        """Ask for slots that must or should come back from the borrower."""
        recall = self._recall(vm, book, now)
        reclaim = (
            bool(book.lots)
            and now - book.settled_at >= self._cfg.reclaim_s
            and self._is_short(vm, now)
        )
        if not recall and not reclaim:
            return None
        book.recalled.update(recall)
        if reclaim:
            book.settled_at = now
        return frames.SlotRequest(
            number=0, wants=(), recall=recall, reclaim=reclaim
        )

    def _is_short(self, borrower: ids.VmId, now: float) -> bool:
        """Tell whether work here or at another borrower lacks slots."""
        if self._backlog.lasts(
            now,
            more_than=self._table.free_slots,
            patience_s=self._cfg.patience_s,
        ):
            return True
        return any(
            book.pending and now < book.pending_until
            for vm, book in self._books.items()
            if vm != borrower
        )

    def _recall(
        self, vm: ids.VmId, book: _Book, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return endpoints to ask back: not owned now, or beyond the fair."""
        wanted = {
            endpoint
            for _, endpoint in book.lots
            if endpoint not in self._table.owned
        }
        if self._backlog.waits(now) and not self._table.free_slots:
            fair = self._fair(now)
            for customer in book.weights:
                excess = book.lent(customer) - fair.get((vm, customer), 0)
                wanted |= _cover(book, customer, excess)
        return tuple(sorted(wanted - book.recalled))

    def _reserve(self, now: float) -> None:
        """Keep slots that come free for borrowers below their fair part."""
        reserved = 0
        if self._backlog.waits(now):
            reserved = sum(
                self._wanted(vm, book, now) for vm, book in self._books.items()
            )
        fell = reserved < self._table.reserved
        self._table.reserved = reserved
        if fell:
            self._table.changed.on_next(None)

    def _end_lapsed(self, now: float) -> None:
        ended = [lots for end, lots in self._lapsing if now >= end]
        if not ended:
            return
        self._lapsing = [entry for entry in self._lapsing if now < entry[0]]
        for lots in ended:
            for (customer, endpoint), lent in lots.items():
                self._table.take_back(customer, endpoint, lent)
        self._table.changed.on_next(None)


def _cover(
    book: _Book, customer: ids.CustomerId, excess: int
) -> set[ids.EndpointId]:
    """Return endpoints with about ``excess`` slots lent for the customer."""
    covered = sum(
        count
        for (name, endpoint), count in book.lots.items()
        if name == customer and endpoint in book.recalled
    )
    chosen: set[ids.EndpointId] = set()
    for (name, endpoint), count in book.lots.items():
        if covered + count > excess:
            break
        if name == customer and endpoint not in book.recalled:
            chosen.add(endpoint)
            covered += count
    return chosen
