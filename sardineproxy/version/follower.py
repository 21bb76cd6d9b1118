"""Follow the newest configuration version from the platform and peers."""

import asyncio
import collections
import random
from typing import Any

import result
from reactivex import subject

from sardineproxy import clock, ids, logs
from sardineproxy.process import metrics, platform, store
from sardineproxy.version import codec, fetching, polling, versions

#: Changes kept for peers that are a few versions behind.
MAX_CACHED_CHANGES = 128

#: Bytes of all kept changes. Peers that need older ones get a snapshot.
MAX_CACHED_BYTES = 1_048_576

_LOG = logs.get_logger('config')

Config = polling.Config


class Follower:
    """Keeps the newest version that this process can take.

    The number of ``active_version`` never decreases. Versions whose contracts
    cannot be parsed are followed as texts, so that a later version that can
    be parsed becomes active.
    """

    def __init__(
        self,
        *,
        platform: platform.Platform,
        clock: clock.Clock,
        rng: random.Random,
        metrics: metrics.Metrics,
        cfg: Config,
    ) -> None:
        """Start without a version."""
        self.active_version: subject.BehaviorSubject[
            versions.Version | None
        ] = subject.BehaviorSubject(None)
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._schedule = polling.PollSchedule(rng=rng, cfg=cfg)
        self._newest = versions.EMPTY
        self._untried: collections.deque[versions.Snapshot] = collections.deque(
            maxlen=fetching.MAX_SNAPSHOTS
        )
        self._changes: collections.deque[versions.Change] = collections.deque()
        self._cached_bytes = 0
        self._last_read: float | None = None
        self._faults: dict[str, str] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            await asyncio.sleep(self._schedule.next_wait_s())

    async def poll_once(self) -> None:
        """Read the head and catch up with it if it is newer."""
        before = self._schedule.failures
        error = await self._schedule.run_with_timeout(self._poll())
        if error is None:
            if before:
                _LOG.info('platform answers after %d failures', before)
            self._last_read = self._clock.now()
            self._faults.pop('platform', None)
            return
        fault = f'{error.kind.value}: {error.detail}'
        if not before:
            _LOG.warning('platform fails: %s', fault)
        self._metrics.count('config_platform_failures_total')
        self._faults['platform'] = fault

    def number(self) -> ids.VersionNumber:
        """Return the number of the version in force, 0 if there is none."""
        version = self.active_version.value
        return ids.VersionNumber(0) if version is None else version.number

    def changes_since(self, number: int) -> bytes | None:
        """Return what brings a peer at ``number`` to the newest version.

        None if this process has nothing newer.
        """
        if number >= self._newest.number:
            return None
        changes = tuple(
            change for change in self._changes if change.head.number > number
        )
        is_chain = bool(changes) and changes[0].head.number == number + 1
        payload = codec.Payload(snapshot=None, changes=changes)
        if not is_chain:
            payload = codec.Payload(snapshot=self._newest, changes=())
        return codec.encode_payload(payload)

    def offer(self, payload: bytes) -> None:
        """Take what a peer's ``changes_since`` returned, if it is newer."""
        decoded = codec.decode_payload(payload)
        if isinstance(decoded, result.Err):
            self._metrics.count('config_bad_offers_total')
            _LOG.warning('peer sent a bad payload: %s', decoded.err_value)
            return
        snapshot = decoded.ok_value.snapshot
        if snapshot is not None and self._is_newer(snapshot):
            self._forget_changes()
            self._advance(snapshot)
        for change in decoded.ok_value.changes:
            if self._is_newer(change.head) and not self._take_change(change):
                break
        self._put_in_force()

    def state(self, *, now: float) -> dict[str, Any]:
        """Return the state for the state dump."""
        version = self.active_version.value
        return {
            'number': self.number(),
            'digest': None if version is None else version.digest,
            'newest_known': self._newest.number,
            'platform_read_age_s': (
                None if self._last_read is None else now - self._last_read
            ),
            'faults': dict(self._faults),
        }

    async def _poll(self) -> result.Result[None, store.StoreError]:
        strict = self.active_version.value is None
        read = await fetching.read_head(self._platform, strict=strict)
        if isinstance(read, result.Err):
            return read
        head = read.ok_value.head
        if head is None or not self._is_newer(head):
            return result.Ok(None)
        fetched = await fetching.catch_up(
            self._platform, base=self._newest, head=head, strict=strict
        )
        return fetched.map(self._take_fetched)

    def _is_newer(self, other: versions.Head | versions.Snapshot) -> bool:
        """Compare with the newest version; report a conflict."""
        newest = self._newest
        if other.number == newest.number and other.digest != newest.digest:
            self._metrics.count('config_conflicts_total')
            self._report(
                'conflict',
                f'version {other.number} has digest {newest.digest} here '
                f'and {other.digest} elsewhere; the one here stays',
            )
        return other.number > newest.number

    def _take_change(self, change: versions.Change) -> bool:
        applied = versions.apply(self._newest, change)
        if isinstance(applied, result.Err):
            self._metrics.count('config_bad_offers_total')
            _LOG.warning('peer sent a bad change: %s', applied.err_value)
            return False
        self._keep(change)
        self._advance(applied.ok_value)
        return True

    def _take_fetched(self, fetched: fetching.FetchedVersions) -> None:
        if self._is_newer(fetched.newest):
            first = fetched.changes[0].head.number if fetched.changes else 0
            if first != self._newest.number + 1:
                self._forget_changes()
            for change in fetched.changes:
                self._keep(change)
            for snapshot in fetched.snapshots:
                self._advance(snapshot)
            self._put_in_force()
        if fetched.error is not None:
            self._report('change', fetched.error)

    def _advance(self, snapshot: versions.Snapshot) -> None:
        """Make the snapshot the newest unless it is older."""
        if snapshot.number <= self._newest.number:
            return
        self._newest = snapshot
        self._untried.append(snapshot)
        self._faults.pop('change', None)

    def _put_in_force(self) -> None:
        """Put the newest version that can be parsed in force."""
        fault = None
        while self._untried:
            parsed = versions.parse(self._untried.pop())
            if isinstance(parsed, result.Ok):
                self._untried.clear()
                self._take_version(parsed.ok_value)
            else:
                fault = fault or parsed.err_value
        if fault is not None:
            self._metrics.count('config_unparsable_total')
            self._report(
                'unparsable',
                f'version {self._newest.number} cannot be parsed, '
                f'{self.number()} stays in force: {fault}',
            )

    def _take_version(self, version: versions.Version) -> None:
        if version.number == self._newest.number:
            self._faults.pop('unparsable', None)
        self._faults.pop('conflict', None)
        self._metrics.count('config_versions_total')
        _LOG.info('version %d is in force', version.number)
        self.active_version.on_next(version)

    def _keep(self, change: versions.Change) -> None:
        self._changes.append(change)
        self._cached_bytes += _size_of(change)
        while self._changes and self._is_over_bound():
            self._cached_bytes -= _size_of(self._changes.popleft())

    def _is_over_bound(self) -> bool:
        return (
            len(self._changes) > MAX_CACHED_CHANGES
            or self._cached_bytes > MAX_CACHED_BYTES
        )

    def _forget_changes(self) -> None:
        self._changes.clear()
        self._cached_bytes = 0

    def _report(self, kind: str, fault: str) -> None:
        """Log an error once, until it changes."""
        if self._faults.get(kind) != fault:
            _LOG.error('%s', fault)
        self._faults[kind] = fault


def _size_of(change: versions.Change) -> int:
    """Return about the bytes that the change takes in a payload."""
    texts = (*change.documents.values(), *change.removed)
    return sum(len(text) for text in texts)
