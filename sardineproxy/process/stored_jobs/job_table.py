"""Rows of one shard's stored jobs, written to the store in group commits."""

import asyncio
import dataclasses
import functools
import random
from typing import Iterable

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import messages
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import fencing, times
from sardineproxy.process.stored_jobs import (
    authority,
    fenced_rows,
    writer_check,
)

JOB_PREFIX = f'{fenced_rows.TABLE}/job/'
PROGRESS_PREFIX = f'{fenced_rows.TABLE}/progress/'

#: Maximum number of rows in one commit. The store accepts 100 entries: a
#: condition and a change for each row, and the condition on the writer row.
MAX_COMMIT_ROWS = 49

#: Maximum size of the rows in one commit, in bytes. The store accepts 1 MB, and
#: base64 adds a third.
MAX_COMMIT_BYTES = 500_000

#: Maximum number of concurrent commits.
MAX_CONCURRENT_COMMITS = 4

#: Bounds of the exponential delay after a failed call, in seconds. The
#: store's rate limits are shared by all entry VMs.
BACK_OFF_MIN_S = 0.05
BACK_OFF_MAX_S = 0.5

#: Delay before a row that the store has rejected is sent again, in seconds.
REJECTED_DELAY_S = 1.0

#: Default of the setting ``unconfirmed_s``, in seconds.
DEFAULT_UNCONFIRMED_S = times.ShardTiming().unconfirmed_s

_LOG = logs.get_logger('jobs')

_Outcome = fenced_rows.WriteOutcome


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingWrite:
    body: bytes | None
    stored_fut: asyncio.Future[bool]

    #: Local times of creation and of the latest start of its commit, in
    #: seconds.
    created_at: float
    due_at: float

    #: True if the row gets a commit of its own, as the store has rejected one
    #: with it.
    is_alone: bool = False

    def is_on_hold(self, now: float) -> bool:
        """Return whether a rejected row must not be sent again yet."""
        return self.is_alone and now < self.due_at


_Batch = dict[str, _PendingWrite]

#: Outcomes after which the same changes need not be sent again.
_RESOLVED = frozenset((_Outcome.DONE, _Outcome.SUPERSEDED, _Outcome.REJECTED))


class JobTable:  # noqa: WPS214
    """Writes changes of one shard's stored jobs in group commits."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        writer: fenced_rows.Writer,
        store: store.Store,
        clock: clock.Clock,
        rng: random.Random,
        metrics: metrics.Metrics,
        unconfirmed_s: float = DEFAULT_UNCONFIRMED_S,
    ) -> None:
        """Create the table; ``open`` must succeed before ``run``.

        Its authority is unconfirmed after ``unconfirmed_s`` without contact.
        """
        self.shard = shard
        self.authority = authority.Authority(unconfirmed_s=unconfirmed_s)

        #: Newest fencing token, and the one that was last passed on to the
        #: writer row.
        self._token = writer.token
        self._stored_token = writer.token
        self._rows = fenced_rows.FencedRows(
            shard=shard, writer=writer, store=store, metrics=metrics
        )
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._waiting: _Batch = {}
        self._in_flight: _Batch = {}
        self._active_commits = 0
        self._wake = asyncio.Event()
        self._tasks = background.Tasks()
        self._writer_check = writer_check.WriterCheck(
            rows=self._rows, tasks=self._tasks, on_lost=self._mark_superseded
        )

        #: True once another leader writes the table.
        self.is_superseded = False

    @property
    def epoch(self) -> int:
        """Return the epoch of the newest fencing token."""
        return self._token.epoch

    @property
    def is_confirmed(self) -> bool:
        """Return whether work may be sent under the newest fencing token."""
        return (
            self.authority.is_confirmed
            and not self.is_superseded
            and not self._is_renewal_due()
        )

    def message_authority(self) -> messages.Authority:
        """Return the authority that messages to shard leaders carry."""
        return self.shard, self._token.epoch, self._token.rank

    def is_outdated_by(self, newer: messages.Authority) -> bool:
        """Give up the table if a token above its own was seen elsewhere.

        Returns whether that is so.
        """
        token = fencing.FencingToken(epoch=newer[1], rank=newer[2])
        if newer[0] != self.shard or token <= self._token:
            return False
        self._rows.newer_token = token
        self._mark_superseded()
        return True

    @property
    def newer_token(self) -> fencing.FencingToken | None:
        """Return the token of the leader that has taken over the table.

        None if that is not known.
        """
        return self._rows.newer_token

    def renew(self, token: fencing.FencingToken) -> None:
        """Write the table under a higher fencing token from now on.

        The token does not show that the table was written only here in the
        meantime: the store is asked before anything else is written.
        """
        self._token = token
        self.authority.invalidate()
        self._wake.set()

    async def open(self) -> tuple[store.Row, ...] | None:
        """Become the only writer and return all rows.

        Retries until the store responds. Returns None if a newer leader
        writes the table.
        """
        while not self.is_superseded:
            self._rows.set_token(self._token)
            self._stored_token = self._token
            mark = self.authority.mark(self._clock.now())
            outcome = await self._rows.acquire()
            if outcome is _Outcome.SUPERSEDED:
                self._mark_superseded()
            if outcome is _Outcome.DONE:
                # The former leader can no longer write, so this read sees
                # all its changes.
                rows = await self._rows.read()
                if rows is not None:
                    self.authority.confirm(mark)
                    return rows
            await asyncio.sleep(self._backoff_s())
        return None

    async def close(self) -> None:
        """Cancel all commits; the store may still apply them."""
        await self._tasks.close()

    def oldest_unstored_s(self, now: float) -> float:
        """Return the age in seconds of the oldest change not stored yet."""
        created_at = min(
            (
                change.created_at
                for changes in (self._waiting, self._in_flight)
                for change in changes.values()
            ),
            default=now,
        )
        return now - created_at

    def put(
        self, key: str, body: bytes | None, *, max_delay_s: float
    ) -> asyncio.Future[bool]:
        """Write a row, or remove it if ``body`` is None.

        The change replaces one of the same key that is still waiting. It
        waits up to ``max_delay_s`` seconds so that other changes can join its
        commit. The future resolves to True once the row is stored, and to
        False if another leader has taken over the table.
        """
        now = self._clock.now()
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.body = body
            waiting.due_at = min(waiting.due_at, now + max_delay_s)
            self._wake.set()
            return waiting.stored_fut
        change = _PendingWrite(
            body=body,
            stored_fut=asyncio.get_running_loop().create_future(),
            created_at=now,
            due_at=now + max_delay_s,
        )
        if self.is_superseded:
            change.stored_fut.set_result(False)
            return change.stored_fut
        self._waiting[key] = change
        self._wake.set()
        return change.stored_fut

    async def confirm(self, timeout_s: float) -> bool:
        """Return whether all changes of the rows up to now were made here.

        False if another leader has taken over the table, or if the store does
        not respond within ``timeout_s`` seconds.
        """
        mark = self.authority.mark(self._clock.now())
        is_writer = await self._writer_check.confirm(timeout_s)
        if is_writer:
            self.authority.confirm(mark)
        return is_writer

    def withdraw(self, key: str) -> bool:
        """Withdraw a waiting change; return False if it may have been sent."""
        change = self._waiting.pop(key, None)
        if change is None:
            return False
        change.stored_fut.cancel()
        return True

    async def run(self) -> None:
        """Commit changes until another leader takes over the table."""
        while not self.is_superseded:
            await self._wait_until_due()
            if self._is_renewal_due():
                if not self._active_commits:
                    await self._renew(self._token)
                continue
            batch = self._next_batch(self._clock.now())
            if batch:
                self._active_commits += 1
                self._in_flight.update(batch)
                self._tasks.spawn(
                    self._commit(batch),
                    unit='commit of stored jobs',
                    on_failure=functools.partial(self._abandon, batch),
                )

    def _is_renewal_due(self) -> bool:
        return self._token > self._stored_token

    async def _renew(self, token: fencing.FencingToken) -> None:
        """Write a new fencing token into the writer row."""
        while not self.is_superseded:
            mark = self.authority.mark(self._clock.now())
            match await self._rows.renew(token):
                case _Outcome.DONE:
                    self.authority.confirm(mark)
                    self._stored_token = token
                    return
                case _Outcome.SUPERSEDED:
                    self._mark_superseded()
                case _:
                    await asyncio.sleep(self._backoff_s())

    async def _wait_until_due(self) -> None:
        while not self.is_superseded:
            self._wake.clear()
            wait_s = self._next_due_in_s(self._clock.now())
            if wait_s is not None and wait_s <= 0:
                return
            try:
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _next_due_in_s(self, now: float) -> float | None:
        """Return the time until the next commit, None if none can start."""
        if self._is_renewal_due():
            return None if self._active_commits else 0
        if self._active_commits >= MAX_CONCURRENT_COMMITS:
            return None
        due_times = (
            change.due_at
            for key, change in self._waiting.items()
            if key not in self._in_flight
        )
        earliest = min(due_times, default=None)
        return None if earliest is None else earliest - now

    def _next_batch(self, now: float) -> _Batch:
        batch = _first_batch(
            (key, change)
            for key, change in self._waiting.items()
            if key not in self._in_flight and not change.is_on_hold(now)
        )
        for key in batch:
            self._waiting.pop(key)
        return batch

    async def _commit(self, batch: _Batch) -> None:
        """Commit a batch, and resolve or requeue its changes."""
        started_at = self._clock.now()
        outcome = await self._commit_until_resolved(batch)
        self._metrics.observe(
            'commit_seconds',
            self._clock.now() - started_at,
            outcome=outcome.value,
        )
        self._active_commits -= 1
        for key in batch:
            self._in_flight.pop(key)
        match outcome:
            case _Outcome.DONE:
                _resolve(batch.values(), stored=True)
            case _Outcome.SUPERSEDED:
                _resolve(batch.values(), stored=False)
                self._mark_superseded()
            case _Outcome.REJECTED:
                self._separate(batch)
            case _:
                self._requeue(batch, self._backoff_s())
        self._wake.set()

    def _abandon(self, batch: _Batch) -> None:
        """Give up the table after an error: what is stored is not known."""
        _resolve(batch.values(), stored=False)
        self._mark_superseded()

    async def _commit_until_resolved(
        self, batch: _Batch
    ) -> fenced_rows.WriteOutcome:
        changes = {key: change.body for key, change in batch.items()}
        may_be_stored = False
        while True:
            mark = self.authority.mark(self._clock.now())
            outcome = await self._rows.commit(changes)
            if outcome is _Outcome.DONE:
                self.authority.confirm(mark)
            if outcome in _RESOLVED or (
                outcome is _Outcome.NOT_APPLIED and not may_be_stored
            ):
                return outcome
            # Send the same changes again: their conditions let at most one
            # of the calls take effect.
            may_be_stored = True
            await asyncio.sleep(self._backoff_s())

    def _separate(self, batch: _Batch) -> None:
        """Queue the rows of a rejected commit again, each for its own one.

        A row that is rejected alone must not hold up the others.
        """
        if len(batch) == 1:
            _LOG.error(
                'The store rejects a row of a stored job.',
                extra={'cell': self.shard, 'key': next(iter(batch))},
            )
        for change in batch.values():
            change.is_alone = True
        self._requeue(batch, REJECTED_DELAY_S if len(batch) == 1 else 0)

    def _requeue(self, batch: _Batch, delay_s: float) -> None:
        """Queue changes again, except for rows with a newer waiting change."""
        due_at = self._clock.now() + delay_s
        for key, change in batch.items():
            newer = self._waiting.get(key)
            if newer is None:
                change.due_at = due_at
                self._waiting[key] = change
            else:
                newer.due_at = due_at
                newer.is_alone = change.is_alone
                _resolve_with(change, newer)

    def _backoff_s(self) -> float:
        max_backoff_s = min(
            BACK_OFF_MIN_S * 2 ** min(self._rows.consecutive_failures, 8),
            BACK_OFF_MAX_S,
        )
        return max_backoff_s * self._rng.uniform(0.5, 1)

    def _mark_superseded(self) -> None:
        if self.is_superseded:
            return
        self.is_superseded = True
        _LOG.warning(
            'Another leader has taken over the job table.',
            extra={'cell': self.shard, 'epoch': self.epoch},
        )
        _resolve(self._waiting.values(), stored=False)
        self._waiting.clear()
        self._wake.set()


def _first_batch(changes: Iterable[tuple[str, _PendingWrite]]) -> _Batch:
    """Return the first changes that fit into one commit."""
    batch: _Batch = {}
    size = 0
    for key, change in changes:
        size += len(change.body or b'')
        is_full = len(batch) >= MAX_COMMIT_ROWS or size > MAX_COMMIT_BYTES
        if batch and (is_full or change.is_alone):
            break
        batch[key] = change
        if change.is_alone:
            break
    return batch


def _resolve(changes: Iterable[_PendingWrite], *, stored: bool) -> None:
    for change in changes:
        if not change.stored_fut.done():
            change.stored_fut.set_result(stored)


def _resolve_with(change: _PendingWrite, newer: _PendingWrite) -> None:
    """Resolve a change with the outcome of a newer change of the same row."""

    def resolve(fut: asyncio.Future[bool]) -> None:  # noqa: WPS430
        if not change.stored_fut.done():
            change.stored_fut.set_result(not fut.cancelled() and fut.result())

    newer.stored_fut.add_done_callback(resolve)
