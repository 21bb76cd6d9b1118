"""Makes a new configuration version unless another operator made one first."""

import dataclasses

import result

from sardineproxy import ids
from sardineproxy.process import platform, store
from sardineproxy.version import codec, fetching, versions

#: Attempts to read the newest version, which may change during each of them.
MAX_READS = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ApplyRequest:
    """Contracts that an ``apply`` command sets, and the version they change."""

    documents: versions.Documents
    base: int
    operator: str
    apply_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewestVersion:
    """The newest version, and the revision of the row of its head."""

    head: versions.Head | None
    revision: int
    snapshot: versions.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """This command made the version."""

    head: versions.Head


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unchanged:
    """The base already has exactly the requested contracts."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyApplied:
    """The newest version has the requested contracts and follows the base.

    It was made by an earlier attempt or by another operator.
    """

    head: versions.Head


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another change was made first; this command wrote nothing."""

    #: The change that was made from the base, None if it is missing.
    first_change: versions.Head | None
    newest: versions.Head

    #: Whether ``first_change`` has exactly the requested contracts.
    had_same_contracts: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchBase:
    """The base has a higher number than the newest version."""

    newest: int


Outcome = Applied | Unchanged | AlreadyApplied | Conflict | NoSuchBase
ApplyResult = result.Result[Outcome, store.StoreError]


async def read_newest(
    client: platform.Platform,
) -> result.Result[NewestVersion, store.StoreError]:
    """Return the newest version, read with strict consistency."""
    attempts = 0
    while attempts < MAX_READS:
        attempts += 1
        newest = await _try_read_newest(client)
        if isinstance(newest, result.Err):
            return newest
        if newest.ok_value is not None:
            return result.Ok(newest.ok_value)
    return _invalid_data(
        'the newest version changes faster than it can be read'
    )


async def apply(
    client: platform.Platform, request: ApplyRequest
) -> ApplyResult:
    """Make version ``base + 1`` if the newest version is ``base``."""
    newest = await read_newest(client)
    if isinstance(newest, result.Err):
        return newest
    if newest.ok_value.snapshot.number != request.base:
        return await _classify_mismatch(client, request, newest.ok_value)
    if newest.ok_value.snapshot.documents == request.documents:
        return result.Ok(Unchanged(number=request.base))
    written = await _write_version(client, request, newest.ok_value)
    if isinstance(written, result.Ok):
        return result.Ok(Applied(head=written.ok_value))
    if written.err_value.kind is not store.ErrorKind.CONFLICT:
        return written
    newest = await read_newest(client)
    if isinstance(newest, result.Err):
        return newest
    if newest.ok_value.snapshot.number == request.base:
        return written
    return await _classify_mismatch(client, request, newest.ok_value)


async def _try_read_newest(
    client: platform.Platform,
) -> result.Result[NewestVersion | None, store.StoreError]:
    """Return the newest version, or None if it changed during the read."""
    read = await fetching.read_head(client, strict=True)
    if isinstance(read, result.Err):
        return read
    head, revision = read.ok_value.head, read.ok_value.revision
    if head is None:
        return result.Ok(
            NewestVersion(head=None, revision=0, snapshot=versions.EMPTY)
        )
    fetched = await fetching.catch_up(
        client, base=versions.EMPTY, head=head, strict=True
    )
    if isinstance(fetched, result.Err):
        return fetched
    snapshot = fetched.ok_value.newest
    if snapshot.number > head.number:
        return result.Ok(None)
    if snapshot.number < head.number:
        return _invalid_data(
            f'cannot read version {head.number}: {fetched.ok_value.error}'
        )
    return _verify_digest(head, revision, snapshot)


async def _write_version(
    client: platform.Platform, request: ApplyRequest, newest: NewestVersion
) -> result.Result[versions.Head, store.StoreError]:
    head = versions.Head(
        number=ids.VersionNumber(request.base + 1),
        digest=versions.compute_digest(request.documents),
        operator=request.operator,
        apply_id=request.apply_id,
    )
    changed, removed = versions.diff_documents(
        newest.snapshot.documents, request.documents
    )
    body = codec.encode_change(
        versions.Change(head=head, documents=changed, removed=removed)
    )
    if len(body) > codec.MAX_CHANGE_BYTES:
        return _invalid_data(
            f'the change has {len(body)} bytes, at most '
            f'{codec.MAX_CHANGE_BYTES} are accepted; apply it in parts'
        )
    stored = await _store_snapshot(client, head, request.documents)
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
    """Write the snapshot object, if the version needs one, before the version.

    The version then has its snapshot even if the command is interrupted after
    the transaction.
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
    # No version refers to the object yet, so it does not matter whether a
    # failed write took effect.
    return stored.map_err(
        lambda error: store.StoreError(
            kind=store.ErrorKind.UNAVAILABLE, detail=error.detail
        )
    )


async def _classify_mismatch(
    client: platform.Platform, request: ApplyRequest, newest: NewestVersion
) -> ApplyResult:
    """Return why the newest version is not the base of the request."""
    head = newest.head
    if head is None or head.number < request.base:
        return result.Ok(NoSuchBase(newest=newest.snapshot.number))
    digest = versions.compute_digest(request.documents)
    if head.number == request.base + 1 and head.digest == digest:
        return result.Ok(AlreadyApplied(head=head))
    read = await fetching.read_change(client, request.base + 1)
    if isinstance(read, result.Err):
        return read
    change = read.ok_value
    return result.Ok(
        Conflict(
            first_change=None if change is None else change.head,
            newest=head,
            had_same_contracts=change is not None
            and change.head.digest == digest,
        )
    )


def _verify_digest(
    head: versions.Head, revision: int, snapshot: versions.Snapshot
) -> result.Result[NewestVersion | None, store.StoreError]:
    if head.digest != snapshot.digest:
        return _invalid_data(
            f'the head states digest {head.digest} for version '
            f'{head.number}, but its changes result in {snapshot.digest}'
        )
    return result.Ok(
        NewestVersion(head=head, revision=revision, snapshot=snapshot)
    )


def _invalid_data(detail: str) -> result.Err[store.StoreError]:
    return result.Err(
        store.StoreError(kind=store.ErrorKind.INVALID, detail=detail)
    )
