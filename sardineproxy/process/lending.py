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
    granted_at: float = 0
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


class Lending:
    """Decides which own slots other VMs may use."""

    def __init__(
        self,
        *,
        cfg: borrowing.Config,
        table: slots.SlotTable,
        backlog: borrowing.Backlog,
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
        """Return the grant, which also renews the borrower's loans."""
        book = self._books.setdefault(vm, _Book())
        if request.recall and not request.wants:
            return None
        book.number = request.number
        if request.wants:
            book.weights.update({name: w for name, w, _ in request.wants})
            book.pending = {name: count for name, _, count in request.wants}
            book.pending_until = now + self._cfg.lease_s / 2
        book.granted_at = now
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

    def lost(self, vm: ids.VmId) -> None:
        """Keep the borrower's slots aside until its tasks must have ended."""
        book = self._books.pop(vm, None)
        if book and book.lots:
            end = book.granted_at + self._cfg.lease_s + self._cfg.max_task_s
            self._lapsing.append((end, book.lots))

    def tick(self, now: float) -> borrowing.Outgoing:
        """Take back lapsed loans, grant what waits, and recall."""
        self._end_lapsed(now)
        frames_out: borrowing.Outgoing = []
        for vm, book in self._books.items():
            lots = self._grant(vm, book, now) if book.pending else ()
            if lots:
                grant = frames.SlotGrant(number=book.number, lots=lots)
                frames_out.append((vm, grant))
            recall = self._recall(vm, book, now)
            if recall:
                book.recalled.update(recall)
                request = frames.SlotRequest(number=0, wants=(), recall=recall)
                frames_out.append((vm, request))
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
        if now >= book.pending_until:
            book.pending = {}
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
            book.granted_at = now
        return tuple(lots)

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
                min(wanted, self._cap(vm, book, customer, now))
                for vm, book in self._books.items()
                for customer, wanted in book.pending.items()
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


class Loans:
    """Both sides of the loans of this process."""

    def __init__(
        self, *, cfg: borrowing.Config, table: slots.SlotTable
    ) -> None:
        """Start without loans."""
        self._table = table
        self._backlog = borrowing.Backlog()
        self._borrowing = borrowing.Borrowing(
            cfg=cfg, table=table, backlog=self._backlog
        )
        self._lending = Lending(cfg=cfg, table=table, backlog=self._backlog)

    def report(self, demand: demand.Demand, now: float) -> None:
        """Keep a report of the waiting work."""
        self._backlog.report(demand, now)

    def ask(
        self, lenders: Iterable[borrowing.Lender], now: float
    ) -> borrowing.Outgoing:
        """Return requests for the waiting work."""
        return self._borrowing.ask(lenders, now)

    def tick(
        self, lenders: Iterable[borrowing.Lender], now: float
    ) -> borrowing.Outgoing:
        """Return all messages that are due."""
        return [
            *self._lending.tick(now),
            *self._borrowing.ask(lenders, now),
            *self._borrowing.tick(now),
        ]

    def received(
        self, vm: ids.VmId, frame: frames.Frame, now: float
    ) -> borrowing.Outgoing:
        """Act on a peer's frame about loans and return the replies."""
        match frame:
            case frames.SlotRequest():
                self._table.borrowed.recall(vm, frame.recall)
                grant = self._lending.requested(vm, frame, now)
                return [(vm, grant)] if grant else []
            case frames.SlotGrant():
                self._borrowing.granted(vm, frame, now)
            case frames.SlotReturn():
                self._lending.returned(vm, frame.lots)
        return []

    def lost(self, vm: ids.VmId) -> None:
        """Note that the stream to the peer is closed."""
        self._lending.lost(vm)
        self._borrowing.lost(vm)

    def give_all_back(self) -> borrowing.Outgoing:
        """Return what is idle of the borrowed slots to its lenders."""
        return self._borrowing.give_back(0, -math.inf)

    def state(self) -> dict[str, object]:
        """Return all loans for the state dump."""
        return {
            **self._lending.state(),
            'borrowed': self._table.borrowed.state(),
        }


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
