"""Reads versions from the tables and objects of the platform."""

import collections
import dataclasses

import result

from sardineproxy.process import platform, store
from sardineproxy.version import codec, versions

HEAD_KEY = 'config/head'
CHANGE_PREFIX = 'config/change/'

#: A snapshot object is written for each version number divisible by this.
SNAPSHOT_EVERY = 64

#: Number of snapshots that are tried, latest first, before all changes are
#: read.
MAX_SNAPSHOTS_TRIED = 4

#: Number of latest versions that are retained in case the newest cannot be
#: parsed.
MAX_SNAPSHOTS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeadRow:
    """The head and the revision of its row; None and 0 before version 1."""

    head: versions.Head | None
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchedVersions:
    """Versions that were read, in ascending order."""

    #: The latest ``MAX_SNAPSHOTS`` versions, including the start version.
    snapshots: tuple[versions.Snapshot, ...]

    #: All changes that were applied.
    changes: tuple[versions.Change, ...]

    #: Cause if the change after the newest could not be applied, else None.
    error: str | None = None

    @property
    def newest(self) -> versions.Snapshot:
        """Return the newest version that was reached."""
        return self.snapshots[-1]


def change_key(number: int) -> str:
    """Return the row key of a change; keys sort by number."""
    return f'{CHANGE_PREFIX}{number:012d}'


def snapshot_name(number: int, digest: str) -> str:
    """Return the name of a snapshot object.

    The name includes the digest because the object is written before the
    version is committed: of two concurrent writers, the one that fails to
    commit must not replace the object of the other.
    """
    return f'config/snapshot/{number:012d}-{digest}'


async def read_head(
    client: platform.Platform, *, strict: bool
) -> result.Result[HeadRow, store.StoreError]:
    """Return the head of the configuration."""
    read = await client.read_rows(HEAD_KEY, strict=strict)
    if isinstance(read, result.Err):
        return read
    for row in read.ok_value:
        if row.key == HEAD_KEY:
            return _decode_head(row)
    return result.Ok(HeadRow(head=None, revision=0))


async def read_changes(
    client: platform.Platform, *, after: int, strict: bool
) -> result.Result[tuple[platform.Row, ...], store.StoreError]:
    """Return the rows of changes with a number greater than ``after``."""
    return await client.read_rows(
        CHANGE_PREFIX, after=change_key(after), strict=strict
    )


async def read_change(
    client: platform.Platform, number: int, *, strict: bool = True
) -> result.Result[versions.Change | None, store.StoreError]:
    """Return one change, or None if it is absent or malformed."""
    key = change_key(number)
    read = await client.read_rows(key, strict=strict)
    if isinstance(read, result.Err):
        return read
    for row in read.ok_value:
        decoded = codec.decode_change(row.body)
        if row.key == key and isinstance(decoded, result.Ok):
            return decoded
    return result.Ok(None)


async def catch_up(
    client: platform.Platform,
    *,
    base: versions.Snapshot,
    head: versions.Head,
    strict: bool,
) -> result.Result[FetchedVersions, store.StoreError]:
    """Return the newest version that can be reached from ``base``.

    Uses the changes after ``base``. If these are many or cannot be applied,
    uses the latest valid snapshot object and the changes after it.
    """
    has_few_changes = head.number - base.number <= SNAPSHOT_EVERY
    reached = FetchedVersions(snapshots=(base,), changes=())
    if has_few_changes:
        from_base = await _apply_changes_after(client, base, strict)
        if isinstance(from_base, result.Err):
            return from_base
        reached = from_base.ok_value
    if reached.newest.number >= head.number:
        return result.Ok(reached)
    start = await _find_snapshot(client, reached.newest, head, strict)
    if isinstance(start, result.Err):
        return start
    if start.ok_value is not None:
        return await _apply_changes_after(client, start.ok_value, strict)
    if has_few_changes:
        return result.Ok(reached)
    return await _apply_changes_after(client, base, strict)


def apply_rows(
    base: versions.Snapshot, rows: tuple[platform.Row, ...]
) -> FetchedVersions:
    """Apply the changes in the rows in order, up to the first error."""
    snapshots = collections.deque([base], maxlen=MAX_SNAPSHOTS)
    changes: list[versions.Change] = []
    error = None
    for row in rows:
        applied = _apply_row(snapshots[-1], row)
        if isinstance(applied, result.Err):
            error = f'row {row.key}: {applied.err_value}'
            break
        change, snapshot = applied.ok_value
        changes.append(change)
        snapshots.append(snapshot)
    return FetchedVersions(
        snapshots=tuple(snapshots), changes=tuple(changes), error=error
    )


def _apply_row(
    base: versions.Snapshot, row: platform.Row
) -> result.Result[tuple[versions.Change, versions.Snapshot], str]:
    decoded = codec.decode_change(row.body)
    if isinstance(decoded, result.Err):
        return decoded
    change = decoded.ok_value
    return versions.apply(base, change).map(lambda reached: (change, reached))


async def _apply_changes_after(
    client: platform.Platform, base: versions.Snapshot, strict: bool
) -> result.Result[FetchedVersions, store.StoreError]:
    read = await read_changes(client, after=base.number, strict=strict)
    return read.map(lambda rows: apply_rows(base, rows))


async def _find_snapshot(
    client: platform.Platform,
    base: versions.Snapshot,
    head: versions.Head,
    strict: bool,
) -> result.Result[versions.Snapshot | None, store.StoreError]:
    """Return the latest valid snapshot newer than ``base``, else None."""
    number = head.number - head.number % SNAPSHOT_EVERY
    oldest = max(base.number, number - SNAPSHOT_EVERY * MAX_SNAPSHOTS_TRIED)
    while number > oldest:
        snapshot = await _read_snapshot(client, number, strict)
        if isinstance(snapshot, result.Err) or snapshot.ok_value is not None:
            return snapshot
        number -= SNAPSHOT_EVERY
    return result.Ok(None)


async def _read_snapshot(
    client: platform.Platform, number: int, strict: bool
) -> result.Result[versions.Snapshot | None, store.StoreError]:
    """Return one snapshot, or None if it is absent or malformed."""
    change = await read_change(client, number, strict=strict)
    if isinstance(change, result.Err):
        return change
    if change.ok_value is None:
        return result.Ok(None)
    digest = change.ok_value.head.digest
    body = await client.get_object(snapshot_name(number, digest))
    if isinstance(body, result.Err):
        return body
    if body.ok_value is None:
        return result.Ok(None)
    decoded = codec.decode_snapshot(body.ok_value)
    return result.Ok(_verify_snapshot(decoded, number, digest))


def _verify_snapshot(
    decoded: result.Result[versions.Snapshot, str], number: int, digest: str
) -> versions.Snapshot | None:
    if isinstance(decoded, result.Err):
        return None
    snapshot = decoded.ok_value
    if (snapshot.number, snapshot.digest) != (number, digest):
        return None
    return snapshot


def _decode_head(
    row: platform.Row,
) -> result.Result[HeadRow, store.StoreError]:
    decoded = codec.decode_head(row.body)
    if isinstance(decoded, result.Err):
        return result.Err(
            store.StoreError(
                kind=store.ErrorKind.INVALID,
                detail=f'row {row.key}: {decoded.err_value}',
            )
        )
    return result.Ok(HeadRow(head=decoded.ok_value, revision=row.revision))
