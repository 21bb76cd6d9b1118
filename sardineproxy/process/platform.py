"""Interface of the platform: tables, objects, and the list of VMs."""

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

    #: Number of writes to this row; 0 means that the row does not exist.
    revision: int
    body: bytes


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmRole(enum.Enum):
    """Role of a VM."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """A VM of the platform's list."""

    #: Id of the entry VM or of the endpoint.
    name: str
    role: VmRole
    state: VmState
    zone: ids.ZoneId
    region: ids.RegionId

    #: IP address of the VM.
    host: str

    #: Port of an entry VM's peer listener or of an endpoint's HTTP server.
    port: int

    #: Number of slots of an endpoint, or relative size of an entry VM.
    slots: int

    #: Maximum concurrent connections to an endpoint; 0 for an entry VM.
    connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmList:
    """List of live and leaving VMs, possibly out of date."""

    revision: int
    vms: tuple[Vm, ...]


class Platform(Protocol):
    """Client of the platform's services."""

    async def read_rows(
        self, prefix: str, *, after: str = '', strict: bool = False
    ) -> result.Result[tuple[Row, ...], store.StoreError]:
        """Return the rows with keys that start with ``prefix``, by key.

        Only keys greater than ``after`` are returned. A strict read is
        linearizable; other reads may be stale.
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
        """Return an object, None if it does not exist."""

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, store.StoreError]:
        """Store an object."""

    async def list_vms(self) -> result.Result[VmList, store.StoreError]:
        """Return the list of VMs, which may be out of date."""

    async def close(self) -> None:
        """Close the client's connections."""
