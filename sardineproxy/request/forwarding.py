"""Interfaces for forwarding requests to the entry VM that issued their key."""

import dataclasses
from typing import Protocol

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replied:
    """The issuing process replied."""

    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gone:
    """The issuing incarnation has ended; its VM runs another one now."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """The issuing process was not reached, or its VM is not listed."""


#: The names of these classes are values of a metric label.
Reply = Replied | Gone | Unreachable


class Forwarder(Protocol):
    """Sends payloads to other entry processes, possibly more than once."""

    async def forward(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        deadline: float,
    ) -> Reply:
        """Send ``payload`` to that incarnation and return the reply."""


class Handler(Protocol):
    """Handles payloads that other entry processes forward."""

    async def handle(self, payload: bytes) -> bytes:
        """Return the reply to one forwarded payload."""
