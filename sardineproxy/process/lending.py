"""The lender's side of slot loans: grants, recalls and expiry."""

import dataclasses
import math
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, slots

_LoanKey = tuple[ids.CustomerId, ids.EndpointId]


@dataclasses.dataclass(kw_only=True, slots=True)
class _BorrowerAccount:
    """Slots that are lent to one borrower, and its pending request."""

    #: Number of lent slots, by customer and endpoint.
    loans: dict[_LoanKey, int] = dataclasses.field(default_factory=dict)

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
            count
            for (lent_for, _), count in self.loans.items()
            if lent_for == customer
        )

    def claimed_slots(self, now: float) -> dict[ids.CustomerId, int]:
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

        #: Times at which loans to disconnected borrowers end, and these loans.
        self._expiring_loans: list[tuple[float, dict[_LoanKey, int]]] = []

    def handle_request(
        self, vm: ids.VmId, request: frames.SlotRequest, now: float
    ) -> frames.SlotGrant | None:
        """Return the grant, or None if the request has no demands.

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
        self, vm: ids.VmId, allocations: Iterable[frames.SlotAllocation]
    ) -> None:
        """End loans; returned slots that were not lent are ignored."""
        account = self._accounts.get(vm)
        if account is None:
            return
        for customer, endpoint, count in allocations:
            lent = account.loans.pop((customer, endpoint), 0)
            returned = min(count, lent)
            if lent > returned:
                account.loans[(customer, endpoint)] = lent - returned
            else:
                account.recalled.discard(endpoint)
            if returned:
                self._table.end_loan(customer, endpoint, returned)
        self._table.changed.on_next(None)

    def handle_disconnect(self, vm: ids.VmId, now: float) -> None:
        """Schedule the end of the borrower's loans.

        The borrower may have received frames until now. It may then start
        tasks until its lease ends, and these may run for ``max_task_s``.
        """
        account = self._accounts.pop(vm, None)
        if account and account.loans:
            ends_at = now + self._cfg.lease_s + self._cfg.max_task_s
            self._expiring_loans.append((ends_at, account.loans))

    def tick(self, now: float) -> borrowing.OutgoingFrames:
        """End expired loans; return grants of pending slots, and recalls."""
        self._end_expired(now)
        frames_out: borrowing.OutgoingFrames = []
        for vm, account in self._accounts.items():
            allocations = self._grant_pending(vm, account, now)
            if allocations:
                grant = frames.SlotGrant(
                    number=account.request_number, allocations=allocations
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
                vm: [[*key, count] for key, count in account.loans.items()]
                for vm, account in self._accounts.items()
            },
            'lapsing': sum(
                sum(loans.values()) for _, loans in self._expiring_loans
            ),
        }

    def _grant(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> tuple[frames.SlotAllocation, ...]:
        """Lend as many slots of the pending request as possible."""
        allocations: list[frames.SlotAllocation] = []
        for customer, requested in list(account.pending.items()):
            limit = min(
                requested, self._grant_limit(vm, account, customer, now)
            )
            for endpoint, count in self._table.lend(customer, limit).items():
                key = (customer, endpoint)
                allocations.append((customer, endpoint, count))
                account.loans[key] = account.loans.get(key, 0) + count
                account.recalled.discard(endpoint)
                account.pending[customer] -= count
            if not account.pending[customer]:
                account.pending.pop(customer)
        if allocations:
            account.last_exchange_at = now
        return tuple(allocations)

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
                self._grantable_slots(vm, account, now),
                self._cfg.min_loan_slots,
            )
            if self._table.free_slots < max(1, min_slots):
                return ()
        allocations = self._grant(vm, account, now)
        account.pending = {}
        return allocations

    def _grantable_slots(
        self, vm: ids.VmId, account: _BorrowerAccount, now: float
    ) -> int:
        """Return the number of pending slots that may be granted.

        While tasks wait at this VM, it is limited to the fair share.
        """
        if not self._backlog.has_waiting_tasks(now):
            return sum(account.pending.values())
        return sum(
            min(requested, self._grant_limit(vm, account, customer, now))
            for customer, requested in account.pending.items()
        )

    def _grant_limit(
        self,
        vm: ids.VmId,
        account: _BorrowerAccount,
        customer: ids.CustomerId,
        now: float,
    ) -> int:
        """Return the number of further slots that may be granted."""
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
            for customer, claimed_slots in account.claimed_slots(now).items():
                claims[(vm, customer)] = (
                    account.weights[customer],
                    claimed_slots,
                )
        totals: dict[ids.CustomerId, int] = {}
        for (_, customer_id), (_, claimed) in claims.items():
            totals[customer_id] = totals.get(customer_id, 0) + claimed
        return borrowing.max_min_fair_shares(
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
            bool(account.loans)
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
        if self._backlog.is_large_or_old(
            now,
            max_waiting=self._table.free_slots,
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

        These are endpoints that are no longer owned. While local tasks wait
        and no slot is free, slots beyond the borrower's fair share are
        recalled too.
        """
        endpoints = {
            endpoint
            for _, endpoint in account.loans
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
                self._grantable_slots(vm, account, now)
                for vm, account in self._accounts.items()
            )
        decreased = reserved < self._table.reserved
        self._table.reserved = reserved
        if decreased:
            self._table.changed.on_next(None)

    def _end_expired(self, now: float) -> None:
        expired = [
            loans for ends_at, loans in self._expiring_loans if now >= ends_at
        ]
        if not expired:
            return
        self._expiring_loans = [
            entry for entry in self._expiring_loans if now < entry[0]
        ]
        for loans in expired:
            for (customer, endpoint), lent in loans.items():
                self._table.end_loan(customer, endpoint, lent)
        self._table.changed.on_next(None)


def _select_endpoints(
    account: _BorrowerAccount, customer: ids.CustomerId, excess: int
) -> set[ids.EndpointId]:
    """Return endpoints to recall so that up to ``excess`` slots are returned.

    Slots that are already recalled count towards ``excess``.
    """
    recalled_slots = sum(
        count
        for (lent_for, endpoint), count in account.loans.items()
        if lent_for == customer and endpoint in account.recalled
    )
    selected: set[ids.EndpointId] = set()
    for (lent_for, endpoint), count in account.loans.items():
        if recalled_slots + count > excess:
            break
        if lent_for == customer and endpoint not in account.recalled:
            selected.add(endpoint)
            recalled_slots += count
    return selected
