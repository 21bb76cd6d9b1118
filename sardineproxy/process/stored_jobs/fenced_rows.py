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

        #: Held while the writer row is compared with what was written here.
        self._writer_lock = asyncio.Lock()

        #: Number of failed calls since the last successful write.
        self.consecutive_failures = 0

    async def acquire(self) -> WriteOutcome:
        """Write this process into the writer row."""
        self._count_call()
        response = await self._store.get(WRITER_KEY, part=self.shard)
        if isinstance(response, result.Err):
            self._record_failure(response.err_value)
            return WriteOutcome.UNKNOWN
        row = response.ok_value
        if row is not None:
            self._writer_revision = row.revision
            writer = _decode_writer(row)
            if writer == self.writer:
                return WriteOutcome.DONE
            if writer.token > self.writer.token:
                return WriteOutcome.SUPERSEDED
        return await self._store_writer()

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
            case _:
                return WriteOutcome.UNKNOWN

    async def is_writer(self) -> bool | None:
        """Return whether no other process has become the writer until now.

        None if the call fails.
        """
        async with self._writer_lock:
            row = await self._get(WRITER_KEY)
            if row is None:
                return None
            return row.revision == self._writer_revision

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
        writer_row = await self._get(WRITER_KEY)
        if writer_row is None:
            return WriteOutcome.UNKNOWN
        if writer_row.revision != self._writer_revision:
            return WriteOutcome.SUPERSEDED
        written = [key for key, body in changes.items() if body is not None]
        row = await self._get(written[0]) if written else writer_row
        if row is None:
            return WriteOutcome.UNKNOWN
        self._record_revisions(changes, row.revision)
        return WriteOutcome.DONE

    async def _get(self, key: str) -> store.Row | None:
        """Return a row, None if it is missing or the call fails."""
        self._count_call()
        response = await self._store.get(key, part=self.shard)
        if isinstance(response, result.Err):
            self._record_failure(response.err_value)
            return None
        return response.ok_value

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
