"""Accounting of the endpoint slots that this process may use.

A slot is the capacity of an endpoint to run one task.
"""

import dataclasses
import math
from typing import Iterable, Mapping, Protocol

from reactivex import subject

from sardineproxy import ids
from sardineproxy.process import borrowed_slots


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Permission to run one task at an endpoint, until its release."""

    number: int
    endpoint: ids.EndpointId
    customer: ids.CustomerId


class LimitDivision(Protocol):
    """Divides a customer's concurrency limit among the entry VMs."""

    def limit_share(self, customer: ids.CustomerId, limit: int) -> int:
        """Return this VM's share of the limit."""


class SlotTable:
    """Counts the slots that are owned, lent, borrowed and in use.

    A task on an own slot counts against this VM's share of the customer's
    concurrency limit, and so does a lent slot. A task on a borrowed slot
    counts against the lender's share.
    """

    def __init__(self) -> None:
        """Create a table without slots and without concurrency limits."""
        self._owned: dict[ids.EndpointId, int] = {}

        #: Own slots of each endpoint that are in use or lent.
        self._used_by_endpoint: dict[ids.EndpointId, int] = {}
        self._free_by_endpoint: dict[ids.EndpointId, int] = {}

        #: Cache of the keys of ``_free_by_endpoint``; None if outdated.
        self._free_endpoints: tuple[ids.EndpointId, ...] | None = ()

        #: Number of own slots that are free.
        self.free_slots = 0

        #: Own slots that are in use by a customer or lent for it.
        self._used_by_customer: dict[ids.CustomerId, int] = {}
        self._limits: dict[ids.CustomerId, int] | None = None
        self._divisions: tuple[LimitDivision, ...] = ()
        self._limit_shares: dict[ids.CustomerId, float] = {}

        #: Loan of each ticket in use by number; None for an own slot.
        self._tickets: dict[int, borrowed_slots.Loan | None] = {}
        self._last_number = 0
        self._valid_until = math.inf

        #: Emits when slots may have become free for a reason other than a
        #: release.
        self.changed: subject.Subject[None] = subject.Subject()

        #: Number of own free slots that are reserved for borrowers.
        self.reserved = 0
        self.borrowed = borrowed_slots.BorrowedSlots()

    @property
    def owned(self) -> Mapping[ids.EndpointId, int]:
        """Return the number of owned slots by endpoint."""
        return self._owned

    def set_owned(self, owned: Mapping[ids.EndpointId, int]) -> None:
        """Replace the owned slots; tickets in use stay valid."""
        affected_endpoints = (*self._owned, *owned)
        self._owned = dict(owned)
        for endpoint in affected_endpoints:
            self._update_free(endpoint)
        self.changed.on_next(None)

    def set_concurrency_limits(
        self, limits: Mapping[ids.CustomerId, int]
    ) -> None:
        """Replace the customers' concurrency limits, undivided.

        Customers that are not in ``limits`` may use no slots. Before the first
        call, all customers are unlimited.
        """
        self._limits = dict(limits)
        self._limit_shares.clear()
        self.changed.on_next(None)

    def set_limit_divisions(self, divisions: Iterable[LimitDivision]) -> None:
        """Limit each customer to its smallest share in the divisions.

        Without divisions, the whole limit applies.
        """
        self._divisions = tuple(divisions)
        self._limit_shares.clear()
        self.changed.on_next(None)

    def set_valid_until(self, until: float) -> None:
        """Set the time at which slots become unusable, unless extended.

        Another VM may own the slots after this time.
        """
        self._valid_until = until

    def free_endpoints(
        self, *, customer: ids.CustomerId, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return endpoints with a free slot that ``customer`` may use."""
        if now >= self._valid_until:
            return ()
        borrowed = self.borrowed.free_endpoints(customer, now)
        if not self._can_use_own(customer):
            return borrowed
        if self._free_endpoints is None:
            self._free_endpoints = tuple(self._free_by_endpoint)
        if not borrowed:
            return self._free_endpoints
        return self._free_endpoints + tuple(
            endpoint
            for endpoint in borrowed
            if endpoint not in self._free_by_endpoint
        )

    def acquire(
        self,
        *,
        endpoint: ids.EndpointId,
        customer: ids.CustomerId,
        now: float,
    ) -> Ticket | None:
        """Acquire a free slot of the endpoint, or return None.

        Borrowed slots are used first, so that own slots can still be lent.
        """
        if now >= self._valid_until:
            return None
        loan = self.borrowed.acquire(endpoint, customer, now)
        if loan is None:
            if endpoint not in self._free_by_endpoint or not self._can_use_own(
                customer
            ):
                return None
            self._change_usage(endpoint, customer, 1)
        self._last_number += 1
        self._tickets[self._last_number] = loan
        return Ticket(
            number=self._last_number, endpoint=endpoint, customer=customer
        )

    def release(self, *, ticket: Ticket, now: float) -> None:
        """Release the slot; a second release of a ticket has no effect."""
        if ticket.number not in self._tickets:
            return
        loan = self._tickets.pop(ticket.number)
        if loan is None:
            self._change_usage(ticket.endpoint, ticket.customer, -1)
        else:
            self.borrowed.release(loan, now)

    def lend(
        self, customer: ids.CustomerId, count: int
    ) -> dict[ids.EndpointId, int]:
        """Lend up to ``count`` own free slots; return them by endpoint."""
        remaining = min(
            count,
            self.limit_share(customer)
            - self._used_by_customer.get(customer, 0),
        )
        lent: dict[ids.EndpointId, int] = {}
        for endpoint, free in list(self._free_by_endpoint.items()):
            lent_count = int(min(remaining, free))
            if lent_count <= 0:
                break
            lent[endpoint] = lent_count
            remaining -= lent_count
            self._change_usage(endpoint, customer, lent_count)
        return lent

    def end_loan(
        self, customer: ids.CustomerId, endpoint: ids.EndpointId, count: int
    ) -> None:
        """Make lent slots available again.

        The caller has to emit ``changed`` afterwards.
        """
        self._change_usage(endpoint, customer, -count)

    def limit_share(self, customer: ids.CustomerId) -> float:
        """Return this VM's share of the customer's concurrency limit."""
        limit_share = self._limit_shares.get(customer)
        if limit_share is None:
            limit_share = self._compute_limit_share(customer)
            self._limit_shares[customer] = limit_share
        return limit_share

    def is_usage_within(
        self, owned: Mapping[ids.EndpointId, int], division: LimitDivision
    ) -> bool:
        """Return whether used and lent slots are within another ownership.

        Checks both the slots of each endpoint and the shares of the limits.
        """
        if any(
            used > owned.get(endpoint, 0)
            for endpoint, used in self._used_by_endpoint.items()
        ):
            return False
        limits = self._limits
        return limits is None or all(
            used <= division.limit_share(customer, limits.get(customer, 0))
            for customer, used in self._used_by_customer.items()
        )

    def state(self, *, now: float) -> dict[str, object]:
        """Return the slot counts for the state dump."""
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

    def _change_usage(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId, change: int
    ) -> None:
        endpoint_usage = self._used_by_endpoint.get(endpoint, 0) + change
        customer_usage = self._used_by_customer.get(customer, 0) + change
        self._used_by_endpoint[endpoint] = endpoint_usage
        self._used_by_customer[customer] = customer_usage
        if not endpoint_usage:
            self._used_by_endpoint.pop(endpoint)
        if not customer_usage:
            self._used_by_customer.pop(customer)
        self._update_free(endpoint)

    def _update_free(self, endpoint: ids.EndpointId) -> None:
        free = self._owned.get(endpoint, 0) - self._used_by_endpoint.get(
            endpoint, 0
        )
        previous = self._free_by_endpoint.get(endpoint, 0)
        free = max(free, 0)
        self.free_slots += free - previous
        if free:
            self._free_by_endpoint[endpoint] = free
        else:
            self._free_by_endpoint.pop(endpoint, None)
        if bool(free) != bool(previous):
            self._free_endpoints = None
