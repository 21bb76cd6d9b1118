"""Slots that are borrowed from other entry VMs."""

import dataclasses
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import frames

#: Maximum delay before recalled slots are returned together, in seconds.
RECALL_BATCH_S = 0.25


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Loan:
    """Slots of one endpoint that one VM has lent for one customer."""

    lender: ids.VmId
    customer: ids.CustomerId
    endpoint: ids.EndpointId
    count: int = 0
    used: int = 0

    #: Time at which a slot was last granted or released.
    idle_at: float = 0

    #: True if the lender has recalled the slots.
    recalled: bool = False


_Key = tuple[ids.VmId, ids.EndpointId]


class BorrowedSlots:
    """Loans from other VMs, with their leases and slots in use.

    A lender's slots may be used while its lease lasts.
    """

    def __init__(self) -> None:
        """Create a table without loans."""
        self._loans: dict[ids.CustomerId, dict[_Key, Loan]] = {}
        self._idle_loans: dict[ids.CustomerId, dict[_Key, Loan]] = {}
        self._leases: dict[ids.VmId, float] = {}

    def add(
        self,
        *,
        lender: ids.VmId,
        allocations: Iterable[frames.SlotAllocation],
        now: float,
    ) -> None:
        """Add slots that the lender granted."""
        for customer, endpoint, count in allocations:
            key = (lender, endpoint)
            loan = self._loans.setdefault(customer, {}).setdefault(
                key,
                Loan(lender=lender, customer=customer, endpoint=endpoint),
            )
            loan.count += count
            loan.idle_at = now
            loan.recalled = False
            self._update_idle_index(loan)

    def extend_lease(self, lender: ids.VmId, until: float) -> None:
        """Extend the lease of the lender's slots; it is never shortened."""
        self._leases[lender] = max(until, self._leases.get(lender, until))

    def free_endpoints(
        self, customer: ids.CustomerId, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return the endpoints with an idle slot for the customer."""
        return tuple(
            {
                loan.endpoint: True
                for loan in self._idle_loans.get(customer, {}).values()
                if now < self._leases.get(loan.lender, now)
            }
        )

    def acquire(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId, now: float
    ) -> Loan | None:
        """Acquire an idle slot and return its loan, or return None."""
        for loan in self._idle_loans.get(customer, {}).values():
            if loan.endpoint != endpoint:
                continue
            if now < self._leases.get(loan.lender, now):
                loan.used += 1
                self._update_idle_index(loan)
                return loan
        return None

    def release(self, loan: Loan, now: float) -> None:
        """Release a slot, also if its loan was dropped in the meantime."""
        loan.used -= 1
        loan.idle_at = now
        customer_loans = self._loans.get(loan.customer, {})
        if customer_loans.get((loan.lender, loan.endpoint)) is loan:
            self._update_idle_index(loan)

    def recall(
        self, lender: ids.VmId, endpoints: Iterable[ids.EndpointId]
    ) -> None:
        """Mark the lender's slots at ``endpoints`` as recalled.

        No new tasks start on recalled slots.
        """
        recalled = set(endpoints)
        for loan in self._all_loans():
            if loan.lender == lender and loan.endpoint in recalled:
                loan.recalled = True
                self._update_idle_index(loan)

    def pop_idle(
        self, now: float, idle_s: float, *, lender: ids.VmId | None = None
    ) -> dict[ids.VmId, tuple[frames.SlotAllocation, ...]]:
        """Remove idle slots that are due for return, and return them by lender.

        A lender's idle slots are due together once one of its loans was idle
        for ``idle_s``, or for ``RECALL_BATCH_S`` if it is recalled. Loans with
        a slot that was released less than half of ``idle_s`` ago are not due,
        unless they are recalled.
        """
        # Indexed by ``Loan.recalled``.
        min_idle_by_recalled = (idle_s, min(idle_s, RECALL_BATCH_S))
        due_lenders = {
            loan.lender
            for loan in self._all_loans()
            if loan.count > loan.used
            and lender in {None, loan.lender}
            and now - loan.idle_at >= min_idle_by_recalled[loan.recalled]
        }
        allocations: dict[ids.VmId, tuple[frames.SlotAllocation, ...]] = {}
        for loan in self._all_loans():
            idle = loan.count - loan.used
            returnable = loan.recalled or now - loan.idle_at >= idle_s / 2
            if loan.lender in due_lenders and idle > 0 and returnable:
                allocations[loan.lender] = (
                    *allocations.get(loan.lender, ()),
                    (loan.customer, loan.endpoint, idle),
                )
                self._remove_slots(loan, idle)
        return allocations

    def drop_lender(self, lender: ids.VmId) -> None:
        """Remove the lender's loans; tasks on them continue to run."""
        self._leases.pop(lender, None)
        for loan in self._all_loans():
            if loan.lender == lender:
                self._remove_slots(loan, loan.count)

    def has_loans_from(self, lender: ids.VmId) -> bool:
        """Return whether slots of the lender are borrowed."""
        return any(loan.lender == lender for loan in self._all_loans())

    def idle_slots(self, lender: ids.VmId) -> int:
        """Return the number of the lender's slots that are not in use."""
        return sum(
            loan.count - loan.used
            for loan in self._all_loans()
            if loan.lender == lender
        )

    def state(self) -> list[dict[str, object]]:
        """Return all loans for the state dump."""
        return [dataclasses.asdict(loan) for loan in self._all_loans()]

    def _all_loans(self) -> list[Loan]:
        return [
            loan for loans in self._loans.values() for loan in loans.values()
        ]

    def _remove_slots(self, loan: Loan, count: int) -> None:
        loan.count -= count
        if not loan.count:
            self._loans[loan.customer].pop((loan.lender, loan.endpoint))
            if not self._loans[loan.customer]:
                self._loans.pop(loan.customer)
        self._update_idle_index(loan)

    def _update_idle_index(self, loan: Loan) -> None:
        """Add the loan to the index of idle loans, or remove it."""
        key = (loan.lender, loan.endpoint)
        idle = self._idle_loans.setdefault(loan.customer, {})
        if loan.count > loan.used and not loan.recalled:
            idle[key] = loan
        else:
            idle.pop(key, None)
        if not idle:
            self._idle_loans.pop(loan.customer)
