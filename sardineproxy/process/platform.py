"""Interface to the platform: tables, objects, and the list of VMs."""

import dataclasses
import enum
from typing import Protocol

import result

from sardineproxy import ids


class ErrorKind(enum.Enum):
    """Why a call to the platform failed."""

    #: The call certainly had no effect.
    UNAVAILABLE = 'unavailable'

    #: The write may have taken effect.
    UNKNOWN = 'unknown'

    #: A condition of a transaction did not hold; nothing was written.
    CONFLICT = 'conflict'

    #: The platform's answer was malformed or over its bound.
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformError:
    """A failed call to the platform."""

    kind: ErrorKind

    #: One sentence for a person.
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row of the table service."""

    key: str

    #: Number of writes to this row so far; 0 means that it does not exist.
    revision: int
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """A row's revision that a transaction depends on, 0 for no such row."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A row's new contents."""

    key: str
    body: bytes


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """One VM of the platform's list."""

    #: The entry VM's id, or the endpoint's.
    name: str
    role: VmRole
    state: VmState
    zone: ids.ZoneId
    region: ids.RegionId

    #: IP number of the VM.
    host: str

    #: Port of the peer listener of an entry VM, or of an endpoint's HTTP.
    port: int

    #: Slots of an endpoint, or relative size of an entry VM.
    slots: int

    #: Most connections to an endpoint at once; 0 for an entry VM.
    connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmList:
    """The list of live and leaving VMs, possibly out of date."""

    revision: int
    vms: tuple[Vm, ...]


class Platform(Protocol):
    """The platform's services, as all parts use them."""

    async def read_rows(
        self, prefix: str, *, after: str = '', strict: bool = False
    ) -> result.Result[tuple[Row, ...], PlatformError]:
        """Return rows whose key starts with ``prefix``, sorted by key.

        Only keys greater than ``after`` are returned. A strict read is
        linearizable; others may be stale.
        """

    async def transact(
        self, *, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> result.Result[None, PlatformError]:
        """Write all rows if all conditions hold, else none."""

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, PlatformError]:
        """Return the object, or None if there is no such object."""

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, PlatformError]:
        """Store the object."""

    async def list_vms(self) -> result.Result[VmList, PlatformError]:
        """Return the list of VMs, which may lag."""

    async def close(self) -> None:
        """Close the client's connections."""
