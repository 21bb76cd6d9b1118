"""Submissions that belong to the entry VM that minted their key."""

import dataclasses
from typing import Protocol

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replied:
    """The minting process answered."""

    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gone:
    """The minting incarnation has ended: another one answers for its VM."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """The minting process could not be asked, or its VM is not listed."""


Reply = Replied | Gone | Unreachable


class Forwarder(Protocol):
    """Asks another entry process; the same payload may be sent again."""

    async def forward(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        deadline: float,
    ) -> Reply:
        """Send ``payload`` to that incarnation and return what it replied."""


class Handler(Protocol):
    """Answers payloads that other entry processes forwarded."""

    async def handle(self, payload: bytes) -> bytes:
        """Return the reply to one forwarded payload."""
