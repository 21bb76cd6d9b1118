"""VMs, contracts and tasks of the sizes that the slopes are measured with."""

import hashlib
import itertools
import time

import result

from sardineproxy import clock as clocks
from sardineproxy import ids
from sardineproxy.process import platform, settings, store
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
    return versions.encode_contracts(
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
    changed, removed = versions.diff_documents(old.documents, wanted)
    head = versions.Head(
        number=ids.VersionNumber(old.number + 1),
        digest=versions.compute_digest(wanted),
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
        digest=versions.compute_digest(wanted),
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
            kind=work.TaskKind.SINGLE,
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


class MemoryPlatform:
    """Platform in this process that counts what is asked of it."""

    def __init__(
        self, *, vm_list: platform.VmList, contracts: versions.Documents
    ) -> None:
        """Have one list all the time, and ``contracts`` as version 1."""
        self.reset_counts()
        self._vm_list = vm_list
        self._rows: dict[str, platform.Row] = {}
        self._objects: dict[str, bytes] = {}
        found = change(versions.EMPTY, contracts).changes[0]
        self._write(fetching.HEAD_KEY, codec.encode_head(found.head))
        self._write(fetching.change_key(1), codec.encode_change(found))

    def reset_counts(self) -> None:
        """Count from 0 again."""
        self.reads = 0
        self.read_bytes = 0
        self.writes = 0
        self.written_bytes = 0

    async def read_rows(
        self, prefix: str, *, after: str = '', strict: bool = False
    ) -> result.Result[tuple[platform.Row, ...], store.StoreError]:
        """Return rows by prefix, in one page."""
        rows = tuple(
            row
            for key, row in sorted(self._rows.items())
            if key.startswith(prefix) and key > after
        )
        self._count_read(sum(len(row.body) for row in rows))
        return result.Ok(rows)

    async def transact(
        self,
        *,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> result.Result[None, store.StoreError]:
        """Write all rows; the conditions hold, as there is one writer."""
        for write in writes:
            self._write(write.key, write.body)
        self._count_write(sum(len(each.body) for each in writes))
        return result.Ok(None)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, store.StoreError]:
        """Return the object, if there is one."""
        body = self._objects.get(name)
        self._count_read(len(body or b''))
        return result.Ok(body)

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, store.StoreError]:
        """Store the object."""
        self._objects[name] = body
        self._count_write(len(body))
        return result.Ok(None)

    async def list_vms(
        self,
    ) -> result.Result[platform.VmList, store.StoreError]:
        """Return the list."""
        self._count_read(0)
        return result.Ok(self._vm_list)

    async def close(self) -> None:
        """Close nothing."""

    def _write(self, key: str, body: bytes) -> None:
        old = self._rows.get(key)
        revision = 1 if old is None else old.revision + 1
        self._rows[key] = platform.Row(key=key, revision=revision, body=body)

    def _count_read(self, size: int) -> None:
        self.reads += 1
        self.read_bytes += size

    def _count_write(self, size: int) -> None:
        self.writes += 1
        self.written_bytes += size


def system_clock() -> clocks.Clock:
    """Return the clock of the operating system."""
    return clocks.SystemClock()


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
