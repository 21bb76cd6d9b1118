"""Make a new configuration version, if nobody else made one first."""

import dataclasses

import result

from sardineproxy import ids
from sardineproxy.process import platform, store
from sardineproxy.version import codec, fetching, versions

#: Reads of the newest version before giving up because it keeps changing.
MAX_READS = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyRequest:
    """What one run of ``apply`` asks for."""

    documents: versions.Documents
    base: int
    operator: str
    apply_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Newest:
    """The newest version, and the revision of the head's row."""

    head: versions.Head | None
    revision: int
    snapshot: versions.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """This run made the version."""

    head: versions.Head


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unchanged:
    """The base has exactly the wanted contracts."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyApplied:
    """The newest version was made from the base with the wanted contracts."""

    head: versions.Head


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """Another change came first; nothing of this run was written."""

    #: The change that was made from the base, if it could be read.
    winner: versions.Head | None
    newest: versions.Head

    #: Whether the winner had exactly the wanted contracts.
    was_wanted: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchBase:
    """The base has a higher number than the newest version."""

    newest: int


Outcome = Applied | Unchanged | AlreadyApplied | Lost | NoSuchBase
Applying = result.Result[Outcome, store.StoreError]


async def read_newest(
    client: platform.Platform,
) -> result.Result[Newest, store.StoreError]:
    """Return the newest version by strict reads."""
    reads = 0
    while reads < MAX_READS:
        reads += 1
        newest = await _read_once(client)
        if isinstance(newest, result.Err):
            return newest
        if newest.ok_value is not None:
            return result.Ok(newest.ok_value)
    return _invalid('the newest version changes faster than it can be read')


async def apply(client: platform.Platform, wanted: ApplyRequest) -> Applying:
    """Make version ``base + 1`` if the newest version is ``base``."""
    newest = await read_newest(client)
    if isinstance(newest, result.Err):
        return newest
    if newest.ok_value.snapshot.number != wanted.base:
        return await _judge(client, wanted, newest.ok_value)
    if newest.ok_value.snapshot.documents == wanted.documents:
        return result.Ok(Unchanged(number=wanted.base))
    written = await _write(client, wanted, newest.ok_value)
    if isinstance(written, result.Ok):
        return result.Ok(Applied(head=written.ok_value))
    if written.err_value.kind is not store.ErrorKind.CONFLICT:
        return written
    newest = await read_newest(client)
    if isinstance(newest, result.Err):
        return newest
    if newest.ok_value.snapshot.number == wanted.base:
        return written
    return await _judge(client, wanted, newest.ok_value)


async def _read_once(
    client: platform.Platform,
) -> result.Result[Newest | None, store.StoreError]:
    """Return the newest version, or None if it changed during the read."""
    read = await fetching.read_head(client, strict=True)
    if isinstance(read, result.Err):
        return read
    head, revision = read.ok_value.head, read.ok_value.revision
    if head is None:
        return result.Ok(Newest(head=None, revision=0, snapshot=versions.EMPTY))
    fetched = await fetching.catch_up(
        client, base=versions.EMPTY, head=head, strict=True
    )
    if isinstance(fetched, result.Err):
        return fetched
    snapshot = fetched.ok_value.newest
    if snapshot.number > head.number:
        return result.Ok(None)
    if snapshot.number < head.number:
        return _invalid(
            f'version {head.number} cannot be read: {fetched.ok_value.fault}'
        )
    return _agree(head, revision, snapshot)


async def _write(
    client: platform.Platform, wanted: ApplyRequest, newest: Newest
) -> result.Result[versions.Head, store.StoreError]:
    head = versions.Head(
        number=ids.VersionNumber(wanted.base + 1),
        digest=versions.compute_digest(wanted.documents),
        operator=wanted.operator,
        apply_id=wanted.apply_id,
    )
    changed, removed = versions.diff_documents(
        newest.snapshot.documents, wanted.documents
    )
    body = codec.encode_change(
        versions.Change(head=head, documents=changed, removed=removed)
    )
    if len(body) > codec.MAX_CHANGE_BYTES:
        return _invalid(
            f'the change has {len(body)} bytes, at most '
            f'{codec.MAX_CHANGE_BYTES} are accepted; apply it in parts'
        )
    stored = await _store_snapshot(client, head, wanted.documents)
    if isinstance(stored, result.Err):
        return stored
    written = await client.transact(
        conditions=(
            store.Condition(key=fetching.HEAD_KEY, revision=newest.revision),
        ),
        writes=(
            store.Write(key=fetching.change_key(head.number), body=body),
            store.Write(key=fetching.HEAD_KEY, body=codec.encode_head(head)),
        ),
    )
    return written.map(lambda _: head)


async def _store_snapshot(
    client: platform.Platform,
    head: versions.Head,
    documents: versions.Documents,
) -> result.Result[None, store.StoreError]:
    """Write the snapshot object before its version exists.

    A version whose operator fails after the transaction then still has its
    snapshot.
    """
    if head.number % fetching.SNAPSHOT_EVERY:
        return result.Ok(None)
    snapshot = versions.Snapshot(
        number=head.number, digest=head.digest, documents=documents
    )
    stored = await client.put_object(
        fetching.snapshot_name(head.number, head.digest),
        codec.encode_snapshot(snapshot),
    )
    # No version refers to the object yet, so its fate changes nothing.
    return stored.map_err(
        lambda error: store.StoreError(
            kind=store.ErrorKind.UNAVAILABLE, detail=error.detail
        )
    )


async def _judge(
    client: platform.Platform, wanted: ApplyRequest, newest: Newest
) -> Applying:
    """Tell an earlier run of the same apply from another operator's."""
    head = newest.head
    if head is None or head.number < wanted.base:
        return result.Ok(NoSuchBase(newest=newest.snapshot.number))
    digest = versions.compute_digest(wanted.documents)
    if head.number == wanted.base + 1 and head.digest == digest:
        return result.Ok(AlreadyApplied(head=head))
    winner = await fetching.read_change(client, wanted.base + 1)
    if isinstance(winner, result.Err):
        return winner
    found = winner.ok_value
    return result.Ok(
        Lost(
            winner=None if found is None else found.head,
            newest=head,
            was_wanted=found is not None and found.head.digest == digest,
        )
    )


def _agree(
    head: versions.Head, revision: int, snapshot: versions.Snapshot
) -> result.Result[Newest | None, store.StoreError]:
    if head.digest != snapshot.digest:
        return _invalid(
            f'the head states digest {head.digest} for version '
            f'{head.number}, its changes lead to {snapshot.digest}'
        )
    return result.Ok(Newest(head=head, revision=revision, snapshot=snapshot))


def _invalid(detail: str) -> result.Err[store.StoreError]:
    return result.Err(
        store.StoreError(kind=store.ErrorKind.INVALID, detail=detail)
    )
