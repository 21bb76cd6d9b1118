"""Follows the newest configuration version from the platform and peers."""

import asyncio
import collections
import random
from typing import Any

import result
from reactivex import subject

from sardineproxy import clock, ids, logs
from sardineproxy.process import metrics, platform, store
from sardineproxy.version import codec, fetching, polling, versions

#: Largest number of changes cached for peers that are a few versions behind.
MAX_CACHED_CHANGES = 128

#: Largest size of the cached changes, in bytes. Peers that need older changes
#: receive a snapshot.
MAX_CACHED_BYTES = 1_048_576

_LOG = logs.get_logger('config')

Config = polling.Config


class Follower:
    """Activates the newest version that this process can parse.

    The number of ``active_version`` never decreases. Versions whose contracts
    cannot be parsed are retained as texts to which later changes are applied,
    so that a later version that can be parsed becomes active.
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
        self._unparsed: collections.deque[versions.Snapshot] = (
            collections.deque(maxlen=fetching.MAX_SNAPSHOTS)
        )
        self._cached_changes: collections.deque[versions.Change] = (
            collections.deque()
        )
        self._cached_bytes = 0
        self._last_read_at: float | None = None
        self._errors: dict[str, str] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            await asyncio.sleep(self._schedule.next_wait_s())

    async def poll_once(self) -> None:
        """Read the head; read and apply the changes up to it if it is newer."""
        failures_before = self._schedule.failures
        failure = await self._schedule.run_with_timeout(self._poll())
        if failure is None:
            if failures_before:
                _LOG.info(
                    'Platform read succeeded after %d failures.',
                    failures_before,
                )
            self._last_read_at = self._clock.now()
            self._errors.pop('platform', None)
            return
        error = f'{failure.kind.value}: {failure.detail}'
        if not failures_before:
            _LOG.warning('Platform read failed: %s.', error)
        self._metrics.count('config_platform_failures_total')
        self._errors['platform'] = error

    def number(self) -> ids.VersionNumber:
        """Return the number of the active version, 0 if there is none."""
        version = self.active_version.value
        return ids.VersionNumber(0) if version is None else version.number

    def changes_since(self, number: int) -> bytes | None:
        """Return a payload that updates a peer from ``number`` to the newest.

        None if this process has no newer version.
        """
        if number >= self._newest.number:
            return None
        changes = tuple(
            change
            for change in self._cached_changes
            if change.head.number > number
        )
        is_contiguous = bool(changes) and changes[0].head.number == number + 1
        payload = codec.Payload(snapshot=None, changes=changes)
        if not is_contiguous:
            payload = codec.Payload(snapshot=self._newest, changes=())
        return codec.encode_payload(payload)

    def offer(self, payload: bytes) -> None:
        """Apply a payload of a peer's ``changes_since`` if it is newer."""
        decoded = codec.decode_payload(payload)
        if isinstance(decoded, result.Err):
            self._metrics.count('config_bad_offers_total')
            _LOG.warning(
                'Peer sent an invalid configuration payload: %s.',
                decoded.err_value,
            )
            return
        snapshot = decoded.ok_value.snapshot
        if snapshot is not None and self._is_newer(snapshot):
            self._clear_cache()
            self._set_newest(snapshot)
        for change in decoded.ok_value.changes:
            if self._is_newer(change.head) and not self._apply_change(change):
                break
        self._activate_newest()

    def state(self, *, now: float) -> dict[str, Any]:
        """Return the state for the state dump."""
        version = self.active_version.value
        return {
            'number': self.number(),
            'digest': None if version is None else version.digest,
            'newest_known': self._newest.number,
            'platform_read_age_s': (
                None if self._last_read_at is None else now - self._last_read_at
            ),
            'faults': dict(self._errors),
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
        return fetched.map(self._apply_fetched)

    def _is_newer(self, offered: versions.Head | versions.Snapshot) -> bool:
        """Return whether ``offered`` is newer; report a conflicting digest."""
        newest = self._newest
        if offered.number == newest.number and offered.digest != newest.digest:
            self._metrics.count('config_conflicts_total')
            self._report(
                'conflict',
                f'version {offered.number} has digest {newest.digest} here '
                f'and {offered.digest} elsewhere; keeping the local version',
            )
        return offered.number > newest.number

    def _apply_change(self, change: versions.Change) -> bool:
        applied = versions.apply(self._newest, change)
        if isinstance(applied, result.Err):
            self._metrics.count('config_bad_offers_total')
            _LOG.warning(
                'Peer sent an invalid configuration change: %s.',
                applied.err_value,
            )
            return False
        self._cache_change(change)
        self._set_newest(applied.ok_value)
        return True

    def _apply_fetched(self, fetched: fetching.FetchedVersions) -> None:
        if self._is_newer(fetched.newest):
            first = fetched.changes[0].head.number if fetched.changes else 0
            if first != self._newest.number + 1:
                self._clear_cache()
            for change in fetched.changes:
                self._cache_change(change)
            for snapshot in fetched.snapshots:
                self._set_newest(snapshot)
            self._activate_newest()
        if fetched.error is not None:
            self._report('change', fetched.error)

    def _set_newest(self, snapshot: versions.Snapshot) -> None:
        """Make the snapshot the newest version if it is newer."""
        if snapshot.number <= self._newest.number:
            return
        self._newest = snapshot
        self._unparsed.append(snapshot)
        self._errors.pop('change', None)

    def _activate_newest(self) -> None:
        """Activate the newest version that can be parsed."""
        error = None
        while self._unparsed:
            parsed = versions.parse(self._unparsed.pop())
            if isinstance(parsed, result.Ok):
                self._unparsed.clear()
                self._activate(parsed.ok_value)
            else:
                error = error or parsed.err_value
        if error is not None:
            self._metrics.count('config_unparsable_total')
            self._report(
                'unparsable',
                f'version {self._newest.number} cannot be parsed, '
                f'{self.number()} remains active: {error}',
            )

    def _activate(self, version: versions.Version) -> None:
        if version.number == self._newest.number:
            self._errors.pop('unparsable', None)
        self._errors.pop('conflict', None)
        self._metrics.count('config_versions_total')
        _LOG.info('Configuration version %d activated.', version.number)
        self.active_version.on_next(version)

    def _cache_change(self, change: versions.Change) -> None:
        self._cached_changes.append(change)
        self._cached_bytes += _approximate_size(change)
        while self._cached_changes and self._exceeds_cache_limits():
            self._cached_bytes -= _approximate_size(
                self._cached_changes.popleft()
            )

    def _exceeds_cache_limits(self) -> bool:
        return (
            len(self._cached_changes) > MAX_CACHED_CHANGES
            or self._cached_bytes > MAX_CACHED_BYTES
        )

    def _clear_cache(self) -> None:
        self._cached_changes.clear()
        self._cached_bytes = 0

    def _report(self, kind: str, error: str) -> None:
        """Record an error, and log it if it changed."""
        if self._errors.get(kind) != error:
            _LOG.error('Configuration error: %s.', error)
        self._errors[kind] = error


def _approximate_size(change: versions.Change) -> int:
    """Return the approximate size of the change in a payload, in bytes."""
    texts = (*change.documents.values(), *change.removed)
    return sum(len(text) for text in texts)
