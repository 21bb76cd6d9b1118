"""Rows of one cell's stored jobs that only the cell's newest owner writes.

Each call holds only while the guard row is unchanged, which a new owner of
the cell rewrites, and while the rows are as they were last written. So a
write whose answer was lost cannot take effect after a later one of the same
row, nor after a takeover.
"""

import dataclasses
import enum
from typing import Mapping

import msgpack
import result

from sardineproxy import ids, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import fences

#: Table of stored jobs in the platform's store, in one part for each cell.
TABLE = 'sardineproxy_jobs'

WRITER_KEY = f'{TABLE}/guard'

_LOG = logs.get_logger('jobs')


class WriteOutcome(enum.Enum):
    """What became of a call."""

    DONE = 'done'

    #: It had no effect and never will have.
    NOT_APPLIED = 'not_sent'
    UNKNOWN = 'unknown'

    #: A newer owner writes the rows.
    SUPERSEDED = 'superseded'


#: New contents of rows by key, None for rows that are to be removed.
RowChanges = Mapping[str, bytes | None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Writer:
    """Who writes the rows."""

    token: fences.Right
    incarnation: ids.Incarnation


class FencedRows:
    """Calls to the store for the rows of one cell."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        writer: Writer,
        store: store.Store,
        metrics: metrics.Metrics,
    ) -> None:
        """Prepare; ``take`` comes before all else."""
        self.shard = shard
        self.writer = writer
        self._store = store
        self._metrics = metrics
        self._writer_revision = 0
        self._revisions: dict[str, int] = {}

        #: Calls in a row that did not succeed.
        self.consecutive_failures = 0

    async def acquire(self) -> WriteOutcome:
        """Become the writer of the rows."""
        self._count_call()
        found = await self._store.get(WRITER_KEY, part=self.shard)
        if isinstance(found, result.Err):
            self._record_failure(found.err_value)
            return WriteOutcome.UNKNOWN
        row = found.ok_value
        if row is not None:
            self._writer_revision = row.revision
            writer = _decode_writer(row)
            if writer == self.writer:
                return WriteOutcome.DONE
            if writer.token > self.writer.token:
                return WriteOutcome.SUPERSEDED
        return await self._store_writer()

    async def read(self) -> tuple[store.Row, ...] | None:
        """Return all rows, None if the store does not tell them."""
        self._count_call()
        answer = await self._store.read(TABLE, part=self.shard)
        if isinstance(answer, result.Err):
            self._record_failure(answer.err_value)
            return None
        rows = answer.ok_value.rows
        self._revisions = {row.key: row.revision for row in rows}
        return rows

    async def commit(self, changes: RowChanges) -> WriteOutcome:
        """Change rows; after UNKNOWN the same changes may be sent again."""
        self._count_call()
        answer = await self._store.transact(
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
        if isinstance(answer, result.Ok):
            self.consecutive_failures = 0
            self._record_revisions(changes, answer.ok_value)
            return WriteOutcome.DONE
        self._record_failure(answer.err_value)
        match answer.err_value.kind:
            case store.ErrorKind.CONFLICT:
                return await self._resolve_conflict(changes)
            case store.ErrorKind.UNAVAILABLE:
                return WriteOutcome.NOT_APPLIED
            case _:
                return WriteOutcome.UNKNOWN

    async def _store_writer(self) -> WriteOutcome:
        self._count_call()
        answer = await self._store.transact(
            conditions=(self._condition(WRITER_KEY, self._writer_revision),),
            writes=(
                store.Write(
                    key=WRITER_KEY,
                    part=self.shard,
                    body=_encode_writer(self.writer),
                ),
            ),
        )
        if isinstance(answer, result.Err):
            self._record_failure(answer.err_value)
            return WriteOutcome.UNKNOWN
        self.consecutive_failures = 0
        self._writer_revision = answer.ok_value
        return WriteOutcome.DONE

    async def _resolve_conflict(self, changes: RowChanges) -> WriteOutcome:
        """Tell who wrote what is in the way of a call.

        While the guard is that of this owner, it was an earlier call for the
        same changes whose answer was lost.
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
        """Return a row, None if the store does not tell it."""
        self._count_call()
        answer = await self._store.get(key, part=self.shard)
        if isinstance(answer, result.Err):
            self._record_failure(answer.err_value)
            return None
        return answer.ok_value

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
            'Store did not answer well.',
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
        token=fences.Right(epoch=epoch, rank=rank),
        incarnation=ids.Incarnation(incarnation),
    )
