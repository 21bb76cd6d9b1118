"""Slots of endpoints that this process may use, and who uses them."""

import dataclasses
import math
from typing import Iterable, Mapping, Protocol

from reactivex import subject

from sardineproxy import ids
from sardineproxy.process import borrowed_slots


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The right to run one task at an endpoint until it is released."""

    number: int
    endpoint: ids.EndpointId
    customer: ids.CustomerId


class LimitDivision(Protocol):
    """Divides a customer's holding limit among VMs."""

    def limit_share(self, customer: ids.CustomerId, limit: int) -> int:
        """Return this VM's part of the limit."""


class SlotTable:
    """Counts the slots that are owned, lent, borrowed and in use.

    A task on an own slot and a slot that is lent count against this VM's
    part of the customer's holding limit; a task on a borrowed slot counts
    against the lender's part.
    """

    def __init__(self) -> None:
        """Start without slots, and without holding limits."""
        self._owned: dict[ids.EndpointId, int] = {}

        #: Own slots of each endpoint that are in use or lent.
        self._used_by_endpoint: dict[ids.EndpointId, int] = {}
        self._free: dict[ids.EndpointId, int] = {}
        self._free_endpoints: tuple[ids.EndpointId, ...] | None = ()

        #: How many own slots are free.
        self.free_slots = 0

        #: Own slots that each customer uses or that are lent for it.
        self._used_by_customer: dict[ids.CustomerId, int] = {}
        self._limits: dict[ids.CustomerId, int] | None = None
        self._divisions: tuple[LimitDivision, ...] = ()
        self._limit_shares: dict[ids.CustomerId, float] = {}
        self._tickets: dict[int, borrowed_slots.Loan | None] = {}
        self._last_number = 0
        self._valid_until = math.inf

        #: Emits when slots may have become free other than by a release.
        self.changed: subject.Subject[None] = subject.Subject()

        #: Own free slots that are kept for borrowers.
        self.reserved = 0
        self.borrowed = borrowed_slots.BorrowedSlots()

    @property
    def owned(self) -> Mapping[ids.EndpointId, int]:
        """Return the owned slots of each endpoint."""
        return self._owned

    def set_owned(self, owned: Mapping[ids.EndpointId, int]) -> None:
        """Replace the owned slots; tickets in use stay valid."""
        touched = (*self._owned, *owned)
        self._owned = dict(owned)
        for endpoint in touched:
            self._refresh(endpoint)
        self.changed.on_next(None)

    def set_concurrency_limits(
        self, limits: Mapping[ids.CustomerId, int]
    ) -> None:
        """Replace the customers' whole holding limits.

        A customer that is not named may hold nothing. Before the first call
        there are no limits.
        """
        self._limits = dict(limits)
        self._limit_shares.clear()
        self.changed.on_next(None)

    def set_limit_divisions(self, divisions: Iterable[LimitDivision]) -> None:
        """Hold each customer to its smallest part; the limit if none."""
        self._divisions = tuple(divisions)
        self._limit_shares.clear()
        self.changed.on_next(None)

    def set_valid_until(self, until: float) -> None:
        """Start nothing from then on, because ownership may have passed."""
        self._valid_until = until

    def free_endpoints(
        self, *, customer: ids.CustomerId, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return endpoints with a free slot that ``customer`` may use."""
        if now >= self._valid_until:
            return ()
        lent_to_us = self.borrowed.free_endpoints(customer, now)
        if not self._can_use_own(customer):
            return lent_to_us
        if self._free_endpoints is None:
            self._free_endpoints = tuple(self._free)
        if not lent_to_us:
            return self._free_endpoints
        return self._free_endpoints + tuple(
            endpoint for endpoint in lent_to_us if endpoint not in self._free
        )

    def acquire(
        self,
        *,
        endpoint: ids.EndpointId,
        customer: ids.CustomerId,
        now: float,
    ) -> Ticket | None:
        """Take a free slot of the endpoint, or return None.

        Borrowed slots are used first, so that own ones stay lendable.
        """
        if now >= self._valid_until:
            return None
        loan = self.borrowed.acquire(endpoint, customer, now)
        if loan is None:
            if endpoint not in self._free or not self._can_use_own(customer):
                return None
            self._add_use(endpoint, customer, 1)
        self._last_number += 1
        self._tickets[self._last_number] = loan
        return Ticket(
            number=self._last_number, endpoint=endpoint, customer=customer
        )

    def release(self, *, ticket: Ticket, now: float) -> None:
        """Give the slot back; a second release of a ticket is a no-op."""
        if ticket.number not in self._tickets:
            return
        loan = self._tickets.pop(ticket.number)
        if loan is None:
            self._add_use(ticket.endpoint, ticket.customer, -1)
        else:
            self.borrowed.release(loan, now)

    def lend(
        self, customer: ids.CustomerId, count: int
    ) -> dict[ids.EndpointId, int]:
        """Set up to ``count`` own free slots aside for a borrower."""
        left = min(
            count,
            self.limit_share(customer)
            - self._used_by_customer.get(customer, 0),
        )
        lots: dict[ids.EndpointId, int] = {}
        for endpoint, free in list(self._free.items()):
            lot = int(min(left, free))
            if lot <= 0:
                break
            lots[endpoint] = lot
            left -= lot
            self._add_use(endpoint, customer, lot)
        return lots

    def end_loan(
        self, customer: ids.CustomerId, endpoint: ids.EndpointId, count: int
    ) -> None:
        """End a loan; the caller makes ``changed`` emit."""
        self._add_use(endpoint, customer, -count)

    def limit_share(self, customer: ids.CustomerId) -> float:
        """Return this VM's part of the customer's holding limit."""
        limit_share = self._limit_shares.get(customer)
        if limit_share is None:
            limit_share = self._compute_limit_share(customer)
            self._limit_shares[customer] = limit_share
        return limit_share

    def is_usage_within(
        self, owned: Mapping[ids.EndpointId, int], division: LimitDivision
    ) -> bool:
        """Tell whether all use and loans are within what a view gives."""
        if any(
            busy > owned.get(endpoint, 0)
            for endpoint, busy in self._used_by_endpoint.items()
        ):
            return False
        limits = self._limits
        return limits is None or all(
            used <= division.limit_share(customer, limits.get(customer, 0))
            for customer, used in self._used_by_customer.items()
        )

    def state(self, *, now: float) -> dict[str, object]:
        """Return the counts for the state dump."""
        return {
            'owned': dict(self._owned),
            'busy': dict(self._used_by_endpoint),
            'held': dict(self._used_by_customer),
            'parts': {
                customer: self.limit_share(customer)
                for customer in (self._limits or {})
            },
            'valid': now < self._valid_until,
            'reserved': self.reserved,
            'borrowed': self.borrowed.state(),
        }

    def _can_use_own(self, customer: ids.CustomerId) -> bool:
        if self.free_slots <= self.reserved:
            return False
        return self._used_by_customer.get(customer, 0) < self.limit_share(
            customer
        )

    def _compute_limit_share(self, customer: ids.CustomerId) -> float:
        if self._limits is None:
            return math.inf
        limit = self._limits.get(customer, 0)
        return min(
            (
                division.limit_share(customer, limit)
                for division in self._divisions
            ),
            default=limit,
        )

    def _add_use(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId, by: int
    ) -> None:
        busy = self._used_by_endpoint.get(endpoint, 0) + by
        used = self._used_by_customer.get(customer, 0) + by
        self._used_by_endpoint[endpoint] = busy
        self._used_by_customer[customer] = used
        if not busy:
            self._used_by_endpoint.pop(endpoint)
        if not used:
            self._used_by_customer.pop(customer)
        self._refresh(endpoint)

    def _refresh(self, endpoint: ids.EndpointId) -> None:
        free = self._owned.get(endpoint, 0) - self._used_by_endpoint.get(
            endpoint, 0
        )
        known = self._free.get(endpoint, 0)
        free = max(free, 0)
        self.free_slots += free - known
        if free:
            self._free[endpoint] = free
        else:
            self._free.pop(endpoint, None)
        if bool(free) != bool(known):
            self._free_endpoints = None
