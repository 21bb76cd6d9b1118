"""Fenced rows of one shard's stored jobs, written only by its newest leader.

Each transaction is conditional on the revision of the writer row, which a new
leader of the shard rewrites, and on the revisions of the rows that it
changes. So a write whose response was lost cannot take effect after a later
write of the same row, nor after a takeover.
"""

import asyncio
import dataclasses
import enum
from typing import Mapping

import msgpack
import result

from sardineproxy import ids, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import fencing

#: Table of stored jobs in the platform's store, one part for each shard.
TABLE = 'sardineproxy_jobs'

#: Key of the row that names the process that may write the part.
WRITER_KEY = f'{TABLE}/guard'

_LOG = logs.get_logger('jobs')


class WriteOutcome(enum.Enum):
    """Outcome of a write."""

    DONE = 'done'

    #: The write had no effect and will have none.
    NOT_APPLIED = 'not_sent'

    #: The write may have taken effect, or may still take effect.
    UNKNOWN = 'unknown'

    #: The store does not accept one of the rows, and nothing was written.
    REJECTED = 'rejected'

    #: A newer leader has become the writer of the rows.
    SUPERSEDED = 'superseded'


#: New bodies of rows by key, None for rows to remove.
RowChanges = Mapping[str, bytes | None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Writer:
    """Process that writes the rows, with its fencing token."""

    token: fencing.FencingToken
    incarnation: ids.Incarnation


class FencedRows:
    """Reads and conditionally writes the rows of one shard."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        writer: Writer,
        store: store.Store,
        metrics: metrics.Metrics,
    ) -> None:
        """Create the client; ``acquire`` must succeed before other calls."""
        self.shard = shard
        self.writer = writer
        self._store = store
        self._metrics = metrics
        self._writer_revision = 0
        self._revisions: dict[str, int] = {}

        #: Revision of the writer row before ``acquire`` wrote it, None before
        #: that.
        self._revision_before: int | None = None

        #: Held while the writer row is compared with what was written here.
        self._writer_lock = asyncio.Lock()

        #: Fencing token of the process that has become the writer, None before
        #: that is known.
        self.newer_token: fencing.FencingToken | None = None

        #: Number of failed calls since the last successful write.
        self.consecutive_failures = 0

    def set_token(self, token: fencing.FencingToken) -> None:
        """Set the token that ``acquire`` writes."""
        self.writer = dataclasses.replace(self.writer, token=token)

    async def acquire(self) -> WriteOutcome:
        """Write this process into the writer row.

        The row is written even if it names this process and token already, so
        that delayed commits of an earlier instance fail.
        """
        row = await self._get(WRITER_KEY)
        if isinstance(row, result.Err):
            return WriteOutcome.UNKNOWN
        revision = 0
        if row.ok_value is not None:
            revision = row.ok_value.revision
            writer = _decode_writer(row.ok_value)
            if writer.token > self.writer.token:
                self.newer_token = writer.token
                return WriteOutcome.SUPERSEDED
            if writer == self.writer and self._is_after_write(revision):
                self._writer_revision = revision
                return WriteOutcome.DONE
        self._revision_before = revision
        self._writer_revision = revision
        return await self._store_writer()

    async def renew(self, token: fencing.FencingToken) -> WriteOutcome:
        """Write a higher token into the writer row.

        The outcome is SUPERSEDED if another process has written the row. No
        ``commit`` may be in progress.
        """
        async with self._writer_lock:
            self.set_token(token)
            row = await self._get_existing(WRITER_KEY)
            if row is None:
                return WriteOutcome.UNKNOWN
            writer = _decode_writer(row)
            if writer == self.writer:
                # The response to an earlier call was lost.
                self._writer_revision = row.revision
                return WriteOutcome.DONE
            if row.revision == self._writer_revision:
                return await self._store_writer()
            self.newer_token = writer.token
            return WriteOutcome.SUPERSEDED

    async def read(self) -> tuple[store.Row, ...] | None:
        """Return all rows, None if the call fails."""
        self._count_call()
        response = await self._store.read(TABLE, part=self.shard)
        if isinstance(response, result.Err):
            self._record_failure(response.err_value)
            return None
        rows = response.ok_value.rows
        self._revisions = {row.key: row.revision for row in rows}
        return rows

    async def commit(self, changes: RowChanges) -> WriteOutcome:
        """Write or remove rows.

        After UNKNOWN the same changes may be sent again.
        """
        self._count_call()
        response = await self._store.transact(
            conditions=(
                self._condition(WRITER_KEY, self._writer_revision),
                *(
                    self._condition(key, self._revisions.get(key, 0))
                    for key in changes
                ),
            ),
            writes=tuple(
                store.Write(key=key, part=self.shard, body=body)
                for key, body in changes.items()
                if body is not None
            ),
            removals=tuple(
                store.Removal(key=key, part=self.shard)
                for key, body in changes.items()
                if body is None and key in self._revisions
            ),
        )
        if isinstance(response, result.Ok):
            self.consecutive_failures = 0
            self._record_revisions(changes, response.ok_value)
            return WriteOutcome.DONE
        self._record_failure(response.err_value)
        match response.err_value.kind:
            case store.ErrorKind.CONFLICT:
                return await self._resolve_conflict(changes)
            case store.ErrorKind.UNAVAILABLE:
                return WriteOutcome.NOT_APPLIED
            case store.ErrorKind.INVALID:
                return WriteOutcome.REJECTED
            case _:
                return WriteOutcome.UNKNOWN

    async def is_writer(self) -> bool | None:
        """Return whether no other process has become the writer until now.

        None if the call fails.
        """
        async with self._writer_lock:
            row = await self._get_existing(WRITER_KEY)
            if row is None:
                return None
            writer = _decode_writer(row)
            if writer == self.writer or row.revision == self._writer_revision:
                return True
            self.newer_token = writer.token
            return False

    async def _store_writer(self) -> WriteOutcome:
        self._count_call()
        response = await self._store.transact(
            conditions=(self._condition(WRITER_KEY, self._writer_revision),),
            writes=(
                store.Write(
                    key=WRITER_KEY,
                    part=self.shard,
                    body=_encode_writer(self.writer),
                ),
            ),
        )
        if isinstance(response, result.Err):
            self._record_failure(response.err_value)
            return WriteOutcome.UNKNOWN
        self.consecutive_failures = 0
        self._writer_revision = response.ok_value
        return WriteOutcome.DONE

    async def _resolve_conflict(self, changes: RowChanges) -> WriteOutcome:
        """Return the outcome of a write whose conditions did not hold.

        If the writer row is unchanged, an earlier attempt to write the same
        changes took effect and its response was lost.
        """
        writer_row = await self._get_existing(WRITER_KEY)
        if writer_row is None:
            return WriteOutcome.UNKNOWN
        if writer_row.revision != self._writer_revision:
            self.newer_token = _decode_writer(writer_row).token
            return WriteOutcome.SUPERSEDED
        written = [key for key, body in changes.items() if body is not None]
        row = await self._get_existing(written[0]) if written else writer_row
        if row is None:
            return WriteOutcome.UNKNOWN
        self._record_revisions(changes, row.revision)
        return WriteOutcome.DONE

    async def _get(
        self, key: str
    ) -> result.Result[store.Row | None, store.StoreError]:
        self._count_call()
        response = await self._store.get(key, part=self.shard)
        if isinstance(response, result.Err):
            self._record_failure(response.err_value)
        return response

    async def _get_existing(self, key: str) -> store.Row | None:
        """Return a row, None if it is missing or the call fails."""
        response = await self._get(key)
        return response.ok_value if isinstance(response, result.Ok) else None

    def _is_after_write(self, revision: int) -> bool:
        """Return whether ``acquire`` wrote the row, and nobody did before."""
        before = self._revision_before
        return before is not None and revision > before

    def _condition(self, key: str, revision: int) -> store.Condition:
        return store.Condition(key=key, part=self.shard, revision=revision)

    def _record_revisions(self, changes: RowChanges, revision: int) -> None:
        for key, body in changes.items():
            if body is None:
                self._revisions.pop(key, None)
            else:
                self._revisions[key] = revision

    def _count_call(self) -> None:
        self._metrics.count('store_calls_total', table=TABLE)

    def _record_failure(self, error: store.StoreError) -> None:
        self.consecutive_failures += 1
        _LOG.info(
            'Call to the job store failed.',
            extra={
                'cell': self.shard,
                'epoch': self.writer.token.epoch,
                'kind': error.kind.value,
                'cause': error.detail,
                'failures': self.consecutive_failures,
            },
        )


def _encode_writer(writer: Writer) -> bytes:
    packed: bytes = msgpack.packb(
        [writer.token.epoch, writer.token.rank, writer.incarnation]
    )
    return packed


def _decode_writer(row: store.Row) -> Writer:
    epoch, rank, incarnation = msgpack.unpackb(row.body or b'')
    return Writer(
        token=fencing.FencingToken(epoch=epoch, rank=rank),
        incarnation=ids.Incarnation(incarnation),
    )
