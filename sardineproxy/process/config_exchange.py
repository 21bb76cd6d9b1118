"""Exchange of configuration versions and VM lists between peers."""

import random
from typing import Iterable, Protocol

from sardineproxy.connection import frames, peer

#: Bounds of the interval between two fetches, in seconds. The interval doubles
#: with each fetch until newer data has been received.
FETCH_INTERVAL_MIN_S = 0.5
FETCH_INTERVAL_MAX_S = 8


class Gossip(Protocol):
    """Configuration and VM list of this process, updated by its peers."""

    def version_number(self) -> int:
        """Return the number of the active version, 0 if none."""

    def changes_since(self, number: int) -> bytes | None:
        """Return the changes after version ``number``, None if not stored."""

    def offer_changes(self, payload: bytes) -> None:
        """Apply configuration changes that a peer sent."""

    def listing_revision(self) -> int:
        """Return the revision of the current VM list."""

    def listing(self) -> bytes:
        """Return the current VM list, encoded."""

    def offer_listing(self, payload: bytes) -> None:
        """Apply a VM list that a peer sent, if it is newer."""


class ConfigExchange:
    """Announces local updates and fetches newer data from peers."""

    def __init__(self, *, gossip: Gossip, rng: random.Random) -> None:
        """Create an exchange that has announced nothing."""
        self._gossip = gossip
        self._rng = rng
        self._last_announced = (0, 0)
        self._next_fetch_at: float = 0
        self._fetch_interval_s: float = FETCH_INTERVAL_MIN_S

    def local_versions(self) -> tuple[int, int]:
        """Return the local version number and VM list revision."""
        return self._gossip.version_number(), self._gossip.listing_revision()

    def tick(self, streams: Iterable[peer.Stream], now: float) -> None:
        """Announce local updates, and fetch from a peer with newer data."""
        version, revision = self.local_versions()
        if self._last_announced != (version, revision):
            self._last_announced = (version, revision)
            self._fetch_interval_s = FETCH_INTERVAL_MIN_S
            for receiver in streams:
                if receiver.version < version or receiver.revision < revision:
                    receiver.send(
                        frames.ConfigAnnounce(
                            version=version, revision=revision
                        )
                    )
        newer_peers = [
            stream
            for stream in streams
            if stream.version > version or stream.revision > revision
        ]
        if newer_peers and now >= self._next_fetch_at:
            self._next_fetch_at = now + self._fetch_interval_s
            self._fetch_interval_s = min(
                2 * self._fetch_interval_s, FETCH_INTERVAL_MAX_S
            )
            self._rng.choice(newer_peers).send(
                frames.ConfigFetch(version=version, revision=revision)
            )

    def handle_fetch(self, fetch: frames.ConfigFetch) -> frames.ConfigChanges:
        """Return the data that is newer than the peer's."""
        version, revision = self.local_versions()
        changes = None
        if version > fetch.version:
            changes = self._gossip.changes_since(fetch.version)
        return frames.ConfigChanges(
            changes=changes,
            listing=self._gossip.listing()
            if revision > fetch.revision
            else None,
        )

    def handle_changes(self, changes: frames.ConfigChanges) -> None:
        """Apply the configuration changes and the VM list that a peer sent."""
        if changes.changes is not None:
            self._gossip.offer_changes(changes.changes)
        if changes.listing is not None:
            self._gossip.offer_listing(changes.listing)
