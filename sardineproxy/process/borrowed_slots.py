"""Slots that other entry VMs lent to this one."""

import dataclasses
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import frames

#: Time for which recalled slots that come free are gathered, in seconds.
RECALL_BATCH_S = 0.25


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Loan:
    """Slots of one endpoint, lent by one VM for one customer."""

    lender: ids.VmId
    customer: ids.CustomerId
    endpoint: ids.EndpointId
    count: int = 0
    used: int = 0

    #: When a slot was last granted or came free.
    idle_at: float = 0

    #: True if the lender wants the slots back.
    recalled: bool = False


_Key = tuple[ids.VmId, ids.EndpointId]


class BorrowedSlots:
    """Loans from other VMs, their leases and their use."""

    def __init__(self) -> None:
        """Start without loans."""
        self._loans: dict[ids.CustomerId, dict[_Key, Loan]] = {}
        self._idle: dict[ids.CustomerId, dict[_Key, Loan]] = {}
        self._leases: dict[ids.VmId, float] = {}

    def add(
        self, *, lender: ids.VmId, lots: Iterable[frames.Lot], now: float
    ) -> None:
        """Take granted slots; they are usable while the lease lasts."""
        for customer, endpoint, count in lots:
            key = (lender, endpoint)
            loan = self._loans.setdefault(customer, {}).setdefault(
                key,
                Loan(lender=lender, customer=customer, endpoint=endpoint),
            )
            loan.count += count
            loan.idle_at = now
            loan.recalled = False
            self._index(loan)

    def extend_lease(self, lender: ids.VmId, until: float) -> None:
        """Let the lender's loans be used until then, if that is later."""
        self._leases[lender] = max(until, self._leases.get(lender, until))

    def free_endpoints(
        self, customer: ids.CustomerId, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return the endpoints with an idle slot for the customer."""
        return tuple(
            {
                loan.endpoint: True
                for loan in self._idle.get(customer, {}).values()
                if now < self._leases.get(loan.lender, now)
            }
        )

    def acquire(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId, now: float
    ) -> Loan | None:
        """Use an idle slot, or return None."""
        for loan in self._idle.get(customer, {}).values():
            if loan.endpoint != endpoint:
                continue
            if now < self._leases.get(loan.lender, now):
                loan.used += 1
                self._index(loan)
                return loan
        return None

    def release(self, loan: Loan, now: float) -> None:
        """End the use of a slot; its loan may be dropped already."""
        loan.used -= 1
        loan.idle_at = now
        kept = self._loans.get(loan.customer, {})
        if kept.get((loan.lender, loan.endpoint)) is loan:
            self._index(loan)

    def recall(
        self, lender: ids.VmId, endpoints: Iterable[ids.EndpointId]
    ) -> None:
        """Start no more tasks on these slots."""
        wanted = set(endpoints)
        for loan in self._all():
            if loan.lender == lender and loan.endpoint in wanted:
                loan.recalled = True
                self._index(loan)

    def pop_idle(
        self, now: float, idle_s: float, *, lender: ids.VmId | None = None
    ) -> dict[ids.VmId, tuple[frames.Lot, ...]]:
        """Remove idle slots that are due and return them for each lender.

        A lender's slots are due together once one of them was idle for
        ``idle_s``, or for a moment if it is recalled; those that were just
        in use stay.
        """
        waits = (idle_s, min(idle_s, RECALL_BATCH_S))
        due = {
            loan.lender
            for loan in self._all()
            if loan.count > loan.used
            and lender in {None, loan.lender}
            and now - loan.idle_at >= waits[loan.recalled]
        }
        lots: dict[ids.VmId, tuple[frames.Lot, ...]] = {}
        for loan in self._all():
            spare = loan.count - loan.used
            rested = loan.recalled or now - loan.idle_at >= idle_s / 2
            if loan.lender in due and spare > 0 and rested:
                lots[loan.lender] = (
                    *lots.get(loan.lender, ()),
                    (loan.customer, loan.endpoint, spare),
                )
                self._shrink(loan, spare)
        return lots

    def drop_lender(self, lender: ids.VmId) -> None:
        """Forget the lender's loans; tasks on them run to their end."""
        self._leases.pop(lender, None)
        for loan in self._all():
            if loan.lender == lender:
                self._shrink(loan, loan.count)

    def has_loans_from(self, lender: ids.VmId) -> bool:
        """Tell whether slots of the lender are borrowed."""
        return any(loan.lender == lender for loan in self._all())

    def idle_slots(self, lender: ids.VmId) -> int:
        """Return how many of the lender's slots are not in use."""
        return sum(
            loan.count - loan.used
            for loan in self._all()
            if loan.lender == lender
        )

    def state(self) -> list[dict[str, object]]:
        """Return all loans for the state dump."""
        return [dataclasses.asdict(loan) for loan in self._all()]

    def _all(self) -> list[Loan]:
        return [
            loan for loans in self._loans.values() for loan in loans.values()
        ]

    def _shrink(self, loan: Loan, by: int) -> None:
        loan.count -= by
        if not loan.count:
            self._loans[loan.customer].pop((loan.lender, loan.endpoint))
            if not self._loans[loan.customer]:
                self._loans.pop(loan.customer)
        self._index(loan)

    def _index(self, loan: Loan) -> None:
        key = (loan.lender, loan.endpoint)
        idle = self._idle.setdefault(loan.customer, {})
        if loan.count > loan.used and not loan.recalled:
            idle[key] = loan
        else:
            idle.pop(key, None)
        if not idle:
            self._idle.pop(loan.customer)
