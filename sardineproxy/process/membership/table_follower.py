"""Maintains a copy of a table of the store by polling its change feed."""

import asyncio
import dataclasses
import math
import random
from typing import Callable, Mapping

import result

from sardineproxy import background, clock, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.load import table_age

#: Minimum and maximum backoff after a failed call, in seconds. All entry VMs
#: share the store's rate limits, so the backoff is exponential.
BACK_OFF_MIN_S = 0.1
BACK_OFF_MAX_S = 1.0

#: Interval at which a follower that reads on request checks its timing, in
#: seconds.
TIMING_CHECK_S = 1.0

_LOG = logs.get_logger('store')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollTiming:
    """Polling intervals of a table, in seconds."""

    #: Long-poll timeout: how long the store may wait for a change.
    wait_s: float

    #: Pause after every response, for tables that change constantly.
    pause_s: float

    #: If the last read is older than this, the whole table is read: it is
    #: smaller than the list of changes since then.
    max_changes_age_s: float = math.inf

    #: True if the table is read only on request, by ``poll_now``.
    on_request: bool = False


class TableFollower:
    """Keeps a copy of a table up to date."""

    def __init__(
        self,
        *,
        table: str,
        source: store.Store,
        timing: Callable[[], PollTiming],
        clock: clock.Clock,
        rng: random.Random,
        metrics: metrics.Metrics,
        on_rows: Callable[[tuple[store.Row, ...]], None],
    ) -> None:
        """Create a follower that passes changed rows to ``on_rows``."""
        self.table = table
        self._store = source
        self._timing = timing
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._on_rows = on_rows
        self._rows: dict[str, store.Row] = {}
        self._revision: int | None = None
        self._failures = 0
        self._outage_since: float | None = None

        #: Time of the last successful call, None before the first.
        self.last_success_at: float | None = None

        #: Time at which that call was sent. The rows may be as old as this.
        self.read_at: float | None = None

        #: Start of the current period without failed calls, None before the
        #: first successful call and during an outage.
        self.healthy_since: float | None = None
        self._poll_requested = asyncio.Event()

    @property
    def rows(self) -> Mapping[str, store.Row]:
        """Return the rows by key."""
        return self._rows

    @property
    def revision(self) -> int | None:
        """Return the revision of the rows, None before the first read."""
        return self._revision

    @property
    def is_loaded(self) -> bool:
        """Return whether the table has been read at least once."""
        return self._revision is not None

    def reads(self, responded_at: float) -> table_age.Reads:
        """Return the outcome of the reads.

        ``responded_at`` is the time of the store's last response on any table.
        """
        return table_age.Reads(
            read_at=self.read_at,
            failures=self._failures,
            responded_at=responded_at,
        )

    def poll_now(self) -> None:
        """End the current pause, or the next one if no pause is in progress."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self._wait_until_needed()
            sent_at = self._clock.now()
            response = await self._fetch_changes()
            self._record_outcome(response)
            if isinstance(response, result.Ok):
                self.read_at = sent_at
                self._apply(response.ok_value)
            await self._pause(response)

    def _is_outdated(self) -> bool:
        """Return whether the whole table is smaller than its changes."""
        assert self.last_success_at is not None
        age_s = self._clock.now() - self.last_success_at
        return age_s > self._timing().max_changes_age_s

    async def _wait_until_needed(self) -> None:
        """Wait while the table is read on request and none was made."""
        while self._timing().on_request:
            if self._poll_requested.is_set():
                self._poll_requested.clear()
                return
            await self._pause_for(TIMING_CHECK_S)

    async def _fetch_changes(
        self,
    ) -> result.Result[store.Rows, store.StoreError]:
        self._metrics.count('store_calls_total', table=self.table)
        if self._revision is None or self._is_outdated():
            return await self._fetch_all()
        # After a failure, do not long-poll: an immediate response shows that
        # the store is available again.
        response = await self._store.changes(
            self.table,
            after=self._revision,
            wait_s=0 if self._failures else self._timing().wait_s,
        )
        if isinstance(response, result.Err):
            if response.err_value.kind is store.ErrorKind.HISTORY_LOST:
                _LOG.info(
                    'Change history is not available; reading the whole table.',
                    extra={'table': self.table},
                )
                return await self._fetch_all()
        return response

    async def _fetch_all(self) -> result.Result[store.Rows, store.StoreError]:
        """Read the whole table; report absent rows as removed.

        They get the highest revision at which they may have been removed.
        """
        response = await self._store.read(self.table)
        if isinstance(response, result.Err):
            return response
        present = {row.key for row in response.ok_value.rows}
        revision = max(
            response.ok_value.revision, response.ok_value.last_revision
        )
        removed = tuple(
            store.Row(key=key, revision=revision, body=None)
            for key in self._rows
            if key not in present
        )
        return result.Ok(
            dataclasses.replace(
                response.ok_value, rows=response.ok_value.rows + removed
            )
        )

    def _apply(self, changed: store.Rows) -> None:
        for row in changed.rows:
            if row.body is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        is_first = self._revision is None
        self._revision = changed.revision
        if changed.rows or is_first:
            self._pass_on(changed.rows)

    def _pass_on(self, rows: tuple[store.Row, ...]) -> None:
        """Pass rows on; if that fails, without those that cause the error."""
        try:
            self._on_rows(rows)
        except Exception as exc:
            background.report(f'table {self.table}', exc)
            if len(rows) > 1:
                for row in rows:
                    self._pass_on((row,))

    def _record_outcome(
        self, response: result.Result[store.Rows, store.StoreError]
    ) -> None:
        """Update the health state; log the start and the end of an outage."""
        now = self._clock.now()
        if isinstance(response, result.Ok):
            self._failures = 0
            self.last_success_at = now
            if self.healthy_since is None:
                self.healthy_since = now
            if self._outage_since is not None:
                _LOG.info(
                    'Store available again.',
                    extra={
                        'table': self.table,
                        'away_s': round(now - self._outage_since, 3),
                    },
                )
                self._outage_since = None
            return
        self._failures += 1
        self.healthy_since = None
        if self._outage_since is None:
            self._outage_since = now
            _LOG.warning(
                'Store unavailable.',
                extra={
                    'table': self.table,
                    'cause': response.err_value.detail,
                },
            )

    async def _pause(
        self, response: result.Result[store.Rows, store.StoreError]
    ) -> None:
        pause_s = self._timing().pause_s
        if isinstance(response, result.Err):
            max_pause_s = min(
                BACK_OFF_MIN_S * 2 ** min(self._failures, 8), BACK_OFF_MAX_S
            )
            pause_s = max_pause_s * self._rng.uniform(0.5, 1)
        if not pause_s:
            return
        # A call of ``poll_now`` during the preceding store call ends this
        # pause as well.
        if await self._pause_for(pause_s):
            self._poll_requested.clear()

    async def _pause_for(self, pause_s: float) -> bool:
        """Pause; return whether a request has ended the pause early."""
        try:
            async with asyncio.timeout(pause_s):
                await self._poll_requested.wait()
        except TimeoutError:
            return False
        return True
