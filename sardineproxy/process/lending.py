"""The lender's side of slot loans: grants, recalls and ends of loans."""

import dataclasses
import math
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, slots

_LotKey = tuple[ids.CustomerId, ids.EndpointId]


@dataclasses.dataclass(kw_only=True, slots=True)
class _BorrowerAccount:
    """Slots that are lent to one borrower, and its pending request."""

    lots: dict[_LotKey, int] = dataclasses.field(default_factory=dict)

    #: Contract weights of the customers in the borrower's requests.
    weights: dict[ids.CustomerId, float] = dataclasses.field(
        default_factory=dict
    )

    #: Slots of the newest request that are not granted yet.
    pending: dict[ids.CustomerId, int] = dataclasses.field(default_factory=dict)
    request_number: int = 0
    pending_until: float = 0

    #: Time at which slots were last granted or reclaimed.
    last_exchange_at: float = -math.inf
    recalled: set[ids.EndpointId] = dataclasses.field(default_factory=set)

    def lent_slots(self, customer: ids.CustomerId) -> int:
        return sum(
            count for (name, _), count in self.lots.items() if name == customer
        )

    def claims(self, now: float) -> dict[ids.CustomerId, int]:
        """Return the lent and pending slots of each customer."""
        pending = self.pending if now < self.pending_until else {}
        return {
            customer: self.lent_slots(customer) + pending.get(customer, 0)
            for customer in self.weights
        }


class SlotLender:
    """Decides which own slots are lent to other VMs."""

    def __init__(
        self,
        *,
        cfg: borrowing.Config,
        table: slots.SlotTable,
        backlog: borrowing.BacklogReport,
    ) -> None:
        """Create a lender without borrowers."""
        self._cfg = cfg
        self._table = table
        self._backlog = backlog
        self._accounts: dict[ids.VmId, _BorrowerAccount] = {}

        #: Loans to borrowers whose stream is closed, and when they end.
        self._expiring: list[tuple[float, dict[_LotKey, int]]] = []

    def handle_request(
        self, vm: ids.VmId, request: frames.SlotRequest, now: float
    ) -> frames.SlotGrant | None:
        """Return the grant, or None if the request wants no slots.

        Slots that cannot be granted now stay pending.
        """
        account = self._accounts.setdefault(vm, _BorrowerAccount())
        if not request.demands:
            return None
        account.request_number = request.number
        account.weights.update(
            {customer: weight for customer, weight, _ in request.demands}
        )
        account.pending = {
            customer: count for customer, _, count in request.demands
        }
        account.pending_until = now + self._cfg.max_pending_s
        return frames.SlotGrant(
            number=request.number, allocations=self._grant(vm, account, now)
        )

    def handle_return(
        self, vm: ids.VmId, lots: Iterable[frames.SlotAllocation]
    ) -> None:
        """End the returned loans; excess slots in ``lots`` are ignored."""
        account = self._accounts.get(vm)
        if account is None:
            return
        for customer, endpoint, count in lots:
            lent = account.lots.pop((customer, endpoint), 0)
            returned = min(count, lent)
            if lent > returned:
                account.lots[(customer, endpoint)] = lent - returned
            else:
                account.recalled.discard(endpoint)
            if returned:
                self._table.end_loan(customer, endpoint, returned)
        self._table.changed.on_next(None)

    def handle_disconnect(self, vm: ids.VmId, now: float) -> None:
        """Schedule the end of the borrower's loans.

        The borrower may have received frames until now, so it may start tasks
        until its lease has ended, and these may run for ``max_task_s``.
        """
        account = self._accounts.pop(vm, None)
        if account and account.lots:
            ends_at = now + self._cfg.lease_s + self._cfg.max_task_s
            self._expiring.append((ends_at, account.lots))

    def tick(self, now: float) -> borrowing.OutgoingFrames:
        """End expired loans; return grants of pending slots, and recalls."""
        self._end_expired(now)
        frames_out: borrowing.OutgoingFrames = []
        for vm, account in self._accounts.items():
            lots = self._grant_pending(vm, account, now)
            if lots:
                grant = frames.SlotGrant(
                    number=account.request_number, allocations=lots
                )
                frames_out.append((vm, grant))
            recall = self._build_recall(vm, account, now)
            if recall:
                frames_out.append((vm, recall))
        self._reserve(now)
        return frames_out

    def state(self) -> dict[str, object]:
        """Return all loans for the state dump."""
        return {
            'lent': {
                vm: [[*key, count] for key, count in account.lots.items()]
                for vm, account in self._accounts.items()
            },
            'lapsing': sum(sum(lots.values()) for _, lots in self._expiring),
        }

    def _grant(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> tuple[frames.SlotAllocation, ...]:
        """Lend slots for the pending request as far as possible."""
        lots: list[frames.SlotAllocation] = []
        for customer, wanted in list(account.pending.items()):
            limit = min(wanted, self._grant_limit(vm, account, customer, now))
            for endpoint, count in self._table.lend(customer, limit).items():
                key = (customer, endpoint)
                lots.append((customer, endpoint, count))
                account.lots[key] = account.lots.get(key, 0) + count
                account.recalled.discard(endpoint)
                account.pending[customer] -= count
            if not account.pending[customer]:
                account.pending.pop(customer)
        if lots:
            account.last_exchange_at = now
        return tuple(lots)

    def _grant_pending(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> tuple[frames.SlotAllocation, ...]:
        """Grant a pending request once enough slots are free or it expires.

        Slots of the request that cannot be granted then are dropped.
        """
        if not account.pending:
            return ()
        if now < account.pending_until:
            min_slots = min(
                self._wanted_slots(vm, account, now), self._cfg.min_loan_slots
            )
            if self._table.free_slots < max(1, min_slots):
                return ()
        lots = self._grant(vm, account, now)
        account.pending = {}
        return lots

    def _wanted_slots(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> int:
        """Return the number of pending slots that may be granted.

        While tasks wait at this VM, it is limited to the fair share.
        """
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
        """Return the number of slots that may be granted in addition."""
        if not self._backlog.has_waiting_tasks(now):
            return self._table.free_slots
        fair_share = self._fair_shares(now).get((vm, customer), 0)
        return max(0, fair_share - account.lent_slots(customer))

    def _fair_shares(self, now: float) -> dict[tuple[str, ids.CustomerId], int]:
        """Divide the own slots among local tasks and borrowers.

        The keys are VM and customer, with an empty VM for local tasks. The
        weight of a customer that claims slots for several VMs is divided among
        them in proportion to its claims.
        """
        claims: dict[tuple[str, ids.CustomerId], tuple[float, int]] = {
            ('', local.customer): (local.weight, self._usable_slots(local))
            for local in self._backlog.customers(now)
        }
        for vm, account in self._accounts.items():
            for customer, wanted in account.claims(now).items():
                claims[(vm, customer)] = (account.weights[customer], wanted)
        totals: dict[ids.CustomerId, int] = {}
        for (_, customer_id), (_, claimed) in claims.items():
            totals[customer_id] = totals.get(customer_id, 0) + claimed
        return borrowing.water_fill(
            sum(self._table.owned.values()),
            {
                key: (weight * count / totals[key[1]], count)
                for key, (weight, count) in claims.items()
                if count
            },
        )

    def _usable_slots(self, local: demand.CustomerDemand) -> int:
        """Return the number of own slots that local tasks could use."""
        return int(
            min(
                local.waiting + local.running,
                self._table.limit_share(local.customer),
            )
        )

    def _build_recall(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> frames.SlotRequest | None:
        """Return a frame that recalls or reclaims slots, or None."""
        recall = self._endpoints_to_recall(vm, account, now)
        reclaim = (
            bool(account.lots)
            and now - account.last_exchange_at >= self._cfg.reclaim_interval_s
            and self._needs_slots(vm, now)
        )
        if not recall and not reclaim:
            return None
        account.recalled.update(recall)
        if reclaim:
            account.last_exchange_at = now
        return frames.SlotRequest(
            number=0, demands=(), recall=recall, reclaim=reclaim
        )

    def _needs_slots(self, borrower: ids.VmId, now: float) -> bool:
        """Return whether local tasks or other borrowers wait for slots."""
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
        """Return the endpoints whose slots have to be recalled.

        These are endpoints that are no longer owned and, while local tasks
        wait and no slot is free, endpoints beyond the borrower's fair share.
        """
        endpoints = {
            endpoint
            for _, endpoint in account.lots
            if endpoint not in self._table.owned
        }
        if self._backlog.has_waiting_tasks(now) and not self._table.free_slots:
            fair_shares = self._fair_shares(now)
            for customer in account.weights:
                excess = account.lent_slots(customer) - fair_shares.get(
                    (vm, customer), 0
                )
                endpoints |= _select_endpoints(account, customer, excess)
        return tuple(sorted(endpoints - account.recalled))

    def _reserve(self, now: float) -> None:
        """Reserve released slots for borrowers below their fair share."""
        reserved = 0
        if self._backlog.has_waiting_tasks(now):
            reserved = sum(
                self._wanted_slots(vm, account, now)
                for vm, account in self._accounts.items()
            )
        decreased = reserved < self._table.reserved
        self._table.reserved = reserved
        if decreased:
            self._table.changed.on_next(None)

    def _end_expired(self, now: float) -> None:
        expired = [lots for ends_at, lots in self._expiring if now >= ends_at]
        if not expired:
            return
        self._expiring = [entry for entry in self._expiring if now < entry[0]]
        for lots in expired:
            for (customer, endpoint), lent in lots.items():
                self._table.end_loan(customer, endpoint, lent)
        self._table.changed.on_next(None)


def _select_endpoints(
    account: _BorrowerAccount, customer: ids.CustomerId, excess: int
) -> set[ids.EndpointId]:
    """Return endpoints to recall so that up to ``excess`` slots come back.

    Slots that are recalled already count towards ``excess``.
    """
    recalled_slots = sum(
        count
        for (name, endpoint), count in account.lots.items()
        if name == customer and endpoint in account.recalled
    )
    selected: set[ids.EndpointId] = set()
    for (name, endpoint), count in account.lots.items():
        if recalled_slots + count > excess:
            break
        if name == customer and endpoint not in account.recalled:
            selected.add(endpoint)
            recalled_slots += count
    return selected
