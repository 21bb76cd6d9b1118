"""Slots of endpoints that this process may use, and who uses them."""

import dataclasses
from typing import Mapping

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The right to run one task at an endpoint until it is released."""

    number: int
    endpoint: ids.EndpointId
    customer: ids.CustomerId


class SlotTable:
    """Counts the slots that are owned and in use at each endpoint."""

    def __init__(self) -> None:
        """Start without slots."""
        self._owned: dict[ids.EndpointId, int] = {}
        self._used: dict[ids.EndpointId, int] = {}
        self._tickets: dict[int, Ticket] = {}
        self._last_number = 0

    def set_owned(self, owned: Mapping[ids.EndpointId, int]) -> None:
        """Replace the owned slots; tickets in use stay valid."""
        self._owned = dict(owned)

    def free_endpoints(
        self, *, customer: ids.CustomerId, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return endpoints with a free slot that ``customer`` may use."""
        return tuple(
            endpoint
            for endpoint, slots in self._owned.items()
            if self._used.get(endpoint, 0) < slots
        )

    def take(
        self,
        *,
        endpoint: ids.EndpointId,
        customer: ids.CustomerId,
        now: float,
    ) -> Ticket | None:
        """Take a free slot of the endpoint, or return None."""
        if self._used.get(endpoint, 0) >= self._owned.get(endpoint, 0):
            return None
        self._used[endpoint] = self._used.get(endpoint, 0) + 1
        self._last_number += 1
        ticket = Ticket(
            number=self._last_number, endpoint=endpoint, customer=customer
        )
        self._tickets[ticket.number] = ticket
        return ticket

    def release(self, *, ticket: Ticket, now: float) -> None:
        """Give the slot back; a second release of a ticket is a no-op."""
        if self._tickets.pop(ticket.number, None) is None:
            return
        self._used[ticket.endpoint] -= 1
