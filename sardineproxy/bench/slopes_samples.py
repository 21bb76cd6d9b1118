"""VMs, contracts and tasks of the sizes that the slopes are measured with."""

import hashlib
import itertools
import time

import result

from sardineproxy import clock as clocks
from sardineproxy import ids
from sardineproxy.process import platform, settings
from sardineproxy.request import work
from sardineproxy.version import codec, contracts, fetching, versions

ZONE = 'zone-0'
REGION = 'region-0'
SLOTS = 8
CONNECTIONS = 64
HOST = '127.0.0.1'
CREDENTIAL = 'secret-0'

#: Far enough away that nothing expires during a measurement, in seconds.
LONG_S = 3600

_revisions = itertools.count(1)


def endpoints(
    count: int,
    *,
    zones: int = 1,
    slots: int = SLOTS,
    port: int = 9000,
    connections: int = CONNECTIONS,
) -> list[platform.Vm]:
    """Return endpoints that are spread evenly over the zones."""
    return [
        platform.Vm(
            name=f'worker-{number:05d}',
            role=platform.VmRole.ENDPOINT,
            state=platform.VmState.LIVE,
            zone=ids.ZoneId(f'zone-{number % zones}'),
            region=ids.RegionId(REGION),
            host=HOST,
            port=port,
            slots=slots,
            connections=connections,
        )
        for number in range(count)
    ]


def entry_vms(
    count: int, *, zone: str = ZONE, first: int = 0
) -> list[platform.Vm]:
    """Return entry VMs of one zone; the port is the VM's number."""
    return [
        platform.Vm(
            name=f'entry-{number:05d}',
            role=platform.VmRole.ENTRY,
            state=platform.VmState.LIVE,
            zone=ids.ZoneId(zone),
            region=ids.RegionId(REGION),
            host=HOST,
            port=number,
            slots=1,
        )
        for number in range(first, first + count)
    ]


def listing(*vms: platform.Vm) -> platform.VmList:
    """Return a list that is newer than those returned before."""
    return platform.VmList(revision=next(_revisions), vms=vms)


def documents(count: int, *, weight: float = 1) -> dict[ids.CustomerId, str]:
    """Return the canonical texts of contracts."""
    return versions.documents_of(
        contracts.Contract(
            customer=f'team-{number}',
            credential_sha256=[_sha256(f'secret-{number}')],
            weight=weight,
            submit_per_s=1_000_000,
            submit_burst=1_000_000,
            hold=1_000_000,
            queue=1_000_000,
        )
        for number in range(count)
    )


def change(old: versions.Snapshot, wanted: versions.Documents) -> codec.Payload:
    """Return the change that leads from one version to the next."""
    changed, removed = versions.difference(old.documents, wanted)
    head = versions.Head(
        number=ids.VersionNumber(old.number + 1),
        digest=versions.digest_of(wanted),
        operator='operator',
        apply_id='0' * 32,
    )
    return codec.Payload(
        snapshot=None,
        changes=(
            versions.Change(head=head, documents=changed, removed=removed),
        ),
    )


def snapshot(wanted: versions.Documents) -> versions.Snapshot:
    """Return version 1."""
    return versions.Snapshot(
        number=ids.VersionNumber(1),
        digest=versions.digest_of(wanted),
        documents=wanted,
    )


def tasks(count: int, *, customers: int = 1) -> list[work.Task]:
    """Return tasks with headers and a body of their own."""
    deadline = time.monotonic() + LONG_S
    return [
        work.Task(
            request_id=ids.RequestId(f'request-{number}'),
            index=0,
            customer=ids.CustomerId(f'team-{number % customers}'),
            kind=work.Kind.SINGLE,
            idempotent=True,
            method='POST',
            path='/tasks',
            headers=(('X-Task', f'task-{number}'), ('X-Run-Ms', '0')),
            body=b'%0100d' % number,
            deadline=deadline,
        )
        for number in range(count)
    ]


def entry_settings(vm: str = 'entry-00000') -> settings.Settings:
    """Return settings with ports that the kernel chooses."""
    any_port = settings.Address(host=HOST, port=0)
    return settings.Settings(
        vm=vm,
        zone=ZONE,
        region=REGION,
        callers=any_port,
        admin=any_port,
        peers=any_port,
        platform=any_port,
    )


class SteadyPlatform:
    """Platform with one version and one list, answered at once."""

    def __init__(
        self, *, vm_list: platform.VmList, contracts: versions.Documents
    ) -> None:
        """Answer with these all the time."""
        self._vm_list = vm_list
        found = change(versions.EMPTY, contracts).changes[0]
        self._rows = {
            fetching.HEAD_KEY: codec.encode_head(found.head),
            fetching.change_key(1): codec.encode_change(found),
        }

    async def read_rows(
        self, prefix: str, *, after: str = '', strict: bool = False
    ) -> result.Result[tuple[platform.Row, ...], platform.PlatformError]:
        """Return rows by prefix."""
        return result.Ok(
            tuple(
                platform.Row(key=key, revision=1, body=body)
                for key, body in sorted(self._rows.items())
                if key.startswith(prefix) and key > after
            )
        )

    async def transact(
        self,
        *,
        conditions: tuple[platform.Condition, ...],
        writes: tuple[platform.Write, ...],
    ) -> result.Result[None, platform.PlatformError]:
        """Write nothing."""
        return result.Ok(None)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, platform.PlatformError]:
        """Have no objects."""
        return result.Ok(None)

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, platform.PlatformError]:
        """Store nothing."""
        return result.Ok(None)

    async def list_vms(
        self,
    ) -> result.Result[platform.VmList, platform.PlatformError]:
        """Return the list."""
        return result.Ok(self._vm_list)

    async def close(self) -> None:
        """Close nothing."""


def system_clock() -> clocks.Clock:
    """Return the clock of the operating system."""
    return clocks.SystemClock()


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
