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

    def part(self, customer: ids.CustomerId, limit: int) -> int:
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
        self._busy: dict[ids.EndpointId, int] = {}
        self._free: dict[ids.EndpointId, int] = {}
        self._free_names: tuple[ids.EndpointId, ...] | None = ()

        #: How many own slots are free.
        self.free_slots = 0

        #: Own slots that each customer uses or that are lent for it.
        self._held: dict[ids.CustomerId, int] = {}
        self._limits: dict[ids.CustomerId, int] | None = None
        self._divisions: tuple[LimitDivision, ...] = ()
        self._parts: dict[ids.CustomerId, float] = {}
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

    def set_holds(self, limits: Mapping[ids.CustomerId, int]) -> None:
        """Replace the customers' whole holding limits.

        A customer that is not named may hold nothing. Before the first call
        there are no limits.
        """
        self._limits = dict(limits)
        self._parts.clear()
        self.changed.on_next(None)

    def set_divisions(self, divisions: Iterable[LimitDivision]) -> None:
        """Hold each customer to its smallest part; the limit if none."""
        self._divisions = tuple(divisions)
        self._parts.clear()
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
        if not self._own_allowed(customer):
            return lent_to_us
        if self._free_names is None:
            self._free_names = tuple(self._free)
        if not lent_to_us:
            return self._free_names
        return self._free_names + tuple(
            endpoint for endpoint in lent_to_us if endpoint not in self._free
        )

    def take(
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
        loan = self.borrowed.take(endpoint, customer, now)
        if loan is None:
            if endpoint not in self._free or not self._own_allowed(customer):
                return None
            self._hold(endpoint, customer, 1)
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
            self._hold(ticket.endpoint, ticket.customer, -1)
        else:
            self.borrowed.release(loan, now)

    def lend(
        self, customer: ids.CustomerId, count: int
    ) -> dict[ids.EndpointId, int]:
        """Set up to ``count`` own free slots aside for a borrower."""
        left = min(count, self.part(customer) - self._held.get(customer, 0))
        lots: dict[ids.EndpointId, int] = {}
        for endpoint, free in list(self._free.items()):
            lot = int(min(left, free))
            if lot <= 0:
                break
            lots[endpoint] = lot
            left -= lot
            self._hold(endpoint, customer, lot)
        return lots

    def take_back(
        self, customer: ids.CustomerId, endpoint: ids.EndpointId, count: int
    ) -> None:
        """End a loan; the caller makes ``changed`` emit."""
        self._hold(endpoint, customer, -count)

    def part(self, customer: ids.CustomerId) -> float:
        """Return this VM's part of the customer's holding limit."""
        part = self._parts.get(customer)
        if part is None:
            part = self._compute_part(customer)
            self._parts[customer] = part
        return part

    def fits(
        self, owned: Mapping[ids.EndpointId, int], division: LimitDivision
    ) -> bool:
        """Tell whether all use and loans are within what a view gives."""
        if any(
            busy > owned.get(endpoint, 0)
            for endpoint, busy in self._busy.items()
        ):
            return False
        limits = self._limits
        return limits is None or all(
            held <= division.part(customer, limits.get(customer, 0))
            for customer, held in self._held.items()
        )

    def state(self, *, now: float) -> dict[str, object]:
        """Return the counts for the state dump."""
        return {
            'owned': dict(self._owned),
            'busy': dict(self._busy),
            'held': dict(self._held),
            'parts': {
                customer: self.part(customer)
                for customer in (self._limits or {})
            },
            'valid': now < self._valid_until,
            'reserved': self.reserved,
            'borrowed': self.borrowed.state(),
        }

    def _own_allowed(self, customer: ids.CustomerId) -> bool:
        if self.free_slots <= self.reserved:
            return False
        return self._held.get(customer, 0) < self.part(customer)

    def _compute_part(self, customer: ids.CustomerId) -> float:
        if self._limits is None:
            return math.inf
        limit = self._limits.get(customer, 0)
        return min(
            (division.part(customer, limit) for division in self._divisions),
            default=limit,
        )

    def _hold(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId, by: int
    ) -> None:
        busy = self._busy.get(endpoint, 0) + by
        held = self._held.get(customer, 0) + by
        self._busy[endpoint] = busy
        self._held[customer] = held
        if not busy:
            self._busy.pop(endpoint)
        if not held:
            self._held.pop(customer)
        self._refresh(endpoint)

    def _refresh(self, endpoint: ids.EndpointId) -> None:
        free = self._owned.get(endpoint, 0) - self._busy.get(endpoint, 0)
        known = self._free.get(endpoint, 0)
        free = max(free, 0)
        self.free_slots += free - known
        if free:
            self._free[endpoint] = free
        else:
            self._free.pop(endpoint, None)
        if bool(free) != bool(known):
            self._free_names = None
