"""Interface to the platform: tables, objects, and the list of VMs."""

import dataclasses
import enum
from typing import Protocol

import result

from sardineproxy import ids
from sardineproxy.process import store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row of the table service."""

    key: str

    #: Number of writes to this row so far; 0 means that it does not exist.
    revision: int
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
    ) -> result.Result[tuple[Row, ...], store.StoreError]:
        """Return rows whose key starts with ``prefix``, sorted by key.

        Only keys greater than ``after`` are returned. A strict read is
        linearizable; others may be stale.
        """

    async def transact(
        self,
        *,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> result.Result[None, store.StoreError]:
        """Write all rows if all conditions hold, else none."""

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, store.StoreError]:
        """Return the object, or None if there is no such object."""

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, store.StoreError]:
        """Store the object."""

    async def list_vms(self) -> result.Result[VmList, store.StoreError]:
        """Return the list of VMs, which may lag."""

    async def close(self) -> None:
        """Close the client's connections."""
