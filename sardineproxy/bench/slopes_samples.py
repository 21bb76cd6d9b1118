"""Sample VMs, contracts, tasks and a platform for measuring slopes."""

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
SLOTS_PER_ENDPOINT = 8
CONNECTIONS_PER_ENDPOINT = 64
HOST = '127.0.0.1'
CREDENTIAL = 'secret-0'

#: Long enough that nothing expires during a measurement.
NO_EXPIRY_S = 3600

_revisions = itertools.count(1)


def make_endpoints(
    count: int,
    *,
    zones: int = 1,
    slots: int = SLOTS_PER_ENDPOINT,
    port: int = 9000,
    connections: int = CONNECTIONS_PER_ENDPOINT,
) -> list[platform.Vm]:
    """Return endpoints that are distributed evenly over the zones."""
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


def make_entry_vms(
    count: int, *, zone: str = ZONE, first_number: int = 0
) -> list[platform.Vm]:
    """Return entry VMs of one zone; the port is the number of the VM."""
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
        for number in range(first_number, first_number + count)
    ]


def make_vm_list(*vms: platform.Vm) -> platform.VmList:
    """Return a VM list with a higher revision than all previous ones."""
    return platform.VmList(revision=next(_revisions), vms=vms)


def make_documents(
    count: int, *, weight: float = 1
) -> dict[ids.CustomerId, str]:
    """Return the canonical documents of contracts."""
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


def make_payload(
    old_snapshot: versions.Snapshot, documents: versions.Documents
) -> codec.Payload:
    """Return the payload with the change to the next version."""
    changed, removed = versions.diff_documents(
        old_snapshot.documents, documents
    )
    head = versions.Head(
        number=ids.VersionNumber(old_snapshot.number + 1),
        digest=versions.compute_digest(documents),
        operator='operator',
        apply_id='0' * 32,
    )
    return codec.Payload(
        snapshot=None,
        changes=(
            versions.Change(head=head, documents=changed, removed=removed),
        ),
    )


def make_snapshot(documents: versions.Documents) -> versions.Snapshot:
    """Return the snapshot of version 1."""
    return versions.Snapshot(
        number=ids.VersionNumber(1),
        digest=versions.compute_digest(documents),
        documents=documents,
    )


def make_tasks(count: int, *, customers: int = 1) -> list[work.Task]:
    """Return tasks, each with its own headers and body."""
    deadline = time.monotonic() + NO_EXPIRY_S
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


def make_entry_settings(vm: str = 'entry-00000') -> settings.Settings:
    """Return settings whose ports the kernel chooses."""
    ephemeral_port = settings.Address(host=HOST, port=0)
    return settings.Settings(
        vm=vm,
        zone=ZONE,
        region=REGION,
        callers=ephemeral_port,
        admin=ephemeral_port,
        peers=ephemeral_port,
        platform=ephemeral_port,
    )


class InMemoryPlatform:
    """In-memory platform that counts calls and bytes."""

    def __init__(
        self, *, vm_list: platform.VmList, contracts: versions.Documents
    ) -> None:
        """Create a platform with a fixed VM list and ``contracts`` as version 1."""
        self.reset_counts()
        self._vm_list = vm_list
        self._rows: dict[str, platform.Row] = {}
        self._objects: dict[str, bytes] = {}
        first_change = make_payload(versions.EMPTY, contracts).changes[0]
        self._write_row(fetching.HEAD_KEY, codec.encode_head(first_change.head))
        self._write_row(
            fetching.change_key(1), codec.encode_change(first_change)
        )

    def reset_counts(self) -> None:
        """Reset all counts to 0."""
        self.reads = 0
        self.read_bytes = 0
        self.writes = 0
        self.written_bytes = 0

    async def read_rows(
        self, prefix: str, *, after: str = '', strict: bool = False
    ) -> result.Result[tuple[platform.Row, ...], store.StoreError]:
        """Return all rows with the prefix in one page."""
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
        """Write all rows; with a single writer the conditions always hold."""
        for write in writes:
            self._write_row(write.key, write.body)
        self._count_write(sum(len(row_write.body) for row_write in writes))
        return result.Ok(None)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, store.StoreError]:
        """Return the object, or None."""
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
        """Return the VM list."""
        self._count_read(0)
        return result.Ok(self._vm_list)

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""

    def _write_row(self, key: str, body: bytes) -> None:
        old_row = self._rows.get(key)
        revision = 1 if old_row is None else old_row.revision + 1
        self._rows[key] = platform.Row(key=key, revision=revision, body=body)

    def _count_read(self, byte_count: int) -> None:
        self.reads += 1
        self.read_bytes += byte_count

    def _count_write(self, byte_count: int) -> None:
        self.writes += 1
        self.written_bytes += byte_count


def make_clock() -> clocks.Clock:
    """Return the clock of the operating system."""
    return clocks.SystemClock()


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
