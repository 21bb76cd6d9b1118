"""The lender's side of slot loans: grants, recalls and takes back."""

import dataclasses
import math
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, slots

_LotKey = tuple[ids.CustomerId, ids.EndpointId]


@dataclasses.dataclass(kw_only=True, slots=True)
class _BorrowerAccount:
    """What one borrower has and waits for."""

    lots: dict[_LotKey, int] = dataclasses.field(default_factory=dict)
    weights: dict[ids.CustomerId, float] = dataclasses.field(
        default_factory=dict
    )

    #: Slots that the newest request wants and that are not granted yet.
    pending: dict[ids.CustomerId, int] = dataclasses.field(default_factory=dict)
    number: int = 0
    pending_until: float = 0

    #: When idle slots were last granted or demanded back.
    last_settled_at: float = -math.inf
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
        self._accounts: dict[ids.VmId, _BorrowerAccount] = {}

        #: Loans of borrowers whose stream is lost, and when they end.
        self._expiring: list[tuple[float, dict[_LotKey, int]]] = []

    def handle_request(
        self, vm: ids.VmId, request: frames.SlotRequest, now: float
    ) -> frames.SlotGrant | None:
        """Return the grant, or None if nothing is wanted."""
        account = self._accounts.setdefault(vm, _BorrowerAccount())
        if not request.wants:
            return None
        account.number = request.number
        account.weights.update({name: w for name, w, _ in request.wants})
        account.pending = {name: count for name, _, count in request.wants}
        account.pending_until = now + self._cfg.max_pending_s
        return frames.SlotGrant(
            number=request.number, lots=self._grant(vm, account, now)
        )

    def handle_return(self, vm: ids.VmId, lots: Iterable[frames.Lot]) -> None:
        """Take slots back, never more than were lent."""
        account = self._accounts.get(vm)
        if account is None:
            return
        for customer, endpoint, count in lots:
            lent = account.lots.pop((customer, endpoint), 0)
            back = min(count, lent)
            if lent > back:
                account.lots[(customer, endpoint)] = lent - back
            else:
                account.recalled.discard(endpoint)
            if back:
                self._table.end_loan(customer, endpoint, back)
        self._table.changed.on_next(None)

    def handle_disconnect(self, vm: ids.VmId, now: float) -> None:
        """Keep the borrower's slots aside until its tasks must have ended.

        The borrower may have heard this process until now.
        """
        account = self._accounts.pop(vm, None)
        if account and account.lots:
            end = now + self._cfg.lease_s + self._cfg.max_task_s
            self._expiring.append((end, account.lots))

    def tick(self, now: float) -> borrowing.OutgoingFrames:
        """Take back lapsed loans, grant what waits, and recall."""
        self._end_expired(now)
        frames_out: borrowing.OutgoingFrames = []
        for vm, account in self._accounts.items():
            lots = self._grant_pending(vm, account, now)
            if lots:
                grant = frames.SlotGrant(number=account.number, lots=lots)
                frames_out.append((vm, grant))
            demanded = self._build_recall(vm, account, now)
            if demanded:
                frames_out.append((vm, demanded))
        self._reserve(now)
        return frames_out

    def state(self) -> dict[str, object]:
        """Return all loans for the state dump."""
        return {
            'lent': {
                vm: [[*place, count] for place, count in account.lots.items()]
                for vm, account in self._accounts.items()
            },
            'lapsing': sum(sum(lots.values()) for _, lots in self._expiring),
        }

    def _grant(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> tuple[frames.Lot, ...]:
        lots: list[frames.Lot] = []
        for customer, wanted in list(account.pending.items()):
            most = min(wanted, self._grant_limit(vm, account, customer, now))
            for endpoint, count in self._table.lend(customer, most).items():
                place = (customer, endpoint)
                lots.append((customer, endpoint, count))
                account.lots[place] = account.lots.get(place, 0) + count
                account.recalled.discard(endpoint)
                account.pending[customer] -= count
            if not account.pending[customer]:
                account.pending.pop(customer)
        if lots:
            account.last_settled_at = now
        return tuple(lots)

    def _grant_pending(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> tuple[frames.Lot, ...]:
        """Grant a pending request once, when many slots are free or at last."""
        if not account.pending:
            return ()
        if now < account.pending_until:
            worth = min(
                self._wanted_slots(vm, account, now), self._cfg.min_loan_slots
            )
            if self._table.free_slots < max(1, worth):
                return ()
        lots = self._grant(vm, account, now)
        account.pending = {}
        return lots

    def _wanted_slots(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> int:
        """Return the pending slots, up to the fair part if tasks wait here."""
        if not self._backlog.has_waiting_tasks(now):
            return sum(account.pending.values())
        return sum(
            min(wanted, self._grant_limit(vm, account, customer, now))
            for customer, wanted in account.pending.items()
        )

    def _grant_limit(
        self,
        vm: ids.VmId,
        account: _BorrowerAccount,
        customer: ids.CustomerId,
        now: float,
    ) -> int:
        """Return how many more slots the borrower may get."""
        if not self._backlog.has_waiting_tasks(now):
            return self._table.free_slots
        fair = self._fair_shares(now).get((vm, customer), 0)
        return max(0, fair - account.lent(customer))

    def _fair_shares(self, now: float) -> dict[tuple[str, ids.CustomerId], int]:
        """Divide the own slots among own customers and borrowers.

        A customer with work at several VMs has one weight, which is divided
        by how much it claims at each.
        """
        claims: dict[tuple[str, ids.CustomerId], tuple[float, int]] = {
            ('', own.customer): (own.weight, self._usable_slots(own))
            for own in self._backlog.customers(now)
        }
        for vm, account in self._accounts.items():
            for customer, wanted in account.claims(now).items():
                claims[(vm, customer)] = (account.weights[customer], wanted)
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

    def _usable_slots(self, own: demand.CustomerDemand) -> int:
        """Return how many own slots the customer's tasks here could use."""
        return int(
            min(
                own.waiting + own.running, self._table.limit_share(own.customer)
            )
        )

    def _build_recall(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> frames.SlotRequest | None:
        """Ask for slots that must or should come back from the borrower."""
        recall = self._endpoints_to_recall(vm, account, now)
        reclaim = (
            bool(account.lots)
            and now - account.last_settled_at >= self._cfg.reclaim_interval_s
            and self._is_short(vm, now)
        )
        if not recall and not reclaim:
            return None
        account.recalled.update(recall)
        if reclaim:
            account.last_settled_at = now
        return frames.SlotRequest(
            number=0, wants=(), recall=recall, reclaim=reclaim
        )

    def _is_short(self, borrower: ids.VmId, now: float) -> bool:
        """Tell whether work here or at another borrower lacks slots."""
        if self._backlog.exceeds(
            now,
            more_than=self._table.free_slots,
            min_backlog_age_s=self._cfg.min_backlog_age_s,
        ):
            return True
        return any(
            account.pending and now < account.pending_until
            for vm, account in self._accounts.items()
            if vm != borrower
        )

    def _endpoints_to_recall(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return endpoints to ask back: not owned now, or beyond the fair."""
        wanted = {
            endpoint
            for _, endpoint in account.lots
            if endpoint not in self._table.owned
        }
        if self._backlog.has_waiting_tasks(now) and not self._table.free_slots:
            fair = self._fair_shares(now)
            for customer in account.weights:
                excess = account.lent(customer) - fair.get((vm, customer), 0)
                wanted |= _select_endpoints(account, customer, excess)
        return tuple(sorted(wanted - account.recalled))

    def _reserve(self, now: float) -> None:
        """Keep slots that come free for borrowers below their fair part."""
        reserved = 0
        if self._backlog.has_waiting_tasks(now):
            reserved = sum(
                self._wanted_slots(vm, account, now)
                for vm, account in self._accounts.items()
            )
        fell = reserved < self._table.reserved
        self._table.reserved = reserved
        if fell:
            self._table.changed.on_next(None)

    def _end_expired(self, now: float) -> None:
        ended = [lots for end, lots in self._expiring if now >= end]
        if not ended:
            return
        self._expiring = [entry for entry in self._expiring if now < entry[0]]
        for lots in ended:
            for (customer, endpoint), lent in lots.items():
                self._table.end_loan(customer, endpoint, lent)
        self._table.changed.on_next(None)


def _select_endpoints(
    account: _BorrowerAccount, customer: ids.CustomerId, excess: int
) -> set[ids.EndpointId]:
    """Return endpoints with about ``excess`` slots lent for the customer."""
    covered = sum(
        count
        for (name, endpoint), count in account.lots.items()
        if name == customer and endpoint in account.recalled
    )
    chosen: set[ids.EndpointId] = set()
    for (name, endpoint), count in account.lots.items():
        if covered + count > excess:
            break
        if name == customer and endpoint not in account.recalled:
            chosen.add(endpoint)
            covered += count
    return chosen
