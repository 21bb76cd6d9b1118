"""Adapter of configuration and VM list to the exchange between peers."""

from sardineproxy.process import listing
from sardineproxy.version import follower


class Gossip:
    """Implements ``config_exchange.Gossip`` with the two followers."""

    def __init__(
        self,
        *,
        version_follower: follower.Follower,
        list_follower: listing.ListFollower,
    ) -> None:
        """Create the adapter of both followers."""
        self._version_follower = version_follower
        self._list_follower = list_follower

    def version_number(self) -> int:
        """Return the number of the active version, 0 if there is none."""
        return self._version_follower.number()

    def changes_since(self, number: int) -> bytes | None:
        """Return the changes after version ``number``, None if not stored."""
        return self._version_follower.changes_since(number)

    def offer_changes(self, payload: bytes) -> None:
        """Apply configuration changes that another entry process sent."""
        self._version_follower.offer(payload)

    def listing_revision(self) -> int:
        """Return the revision of the newest VM list."""
        return self._list_follower.revision()

    def listing(self) -> bytes:
        """Return the newest VM list, encoded."""
        return self._list_follower.encode()

    def offer_listing(self, payload: bytes) -> None:
        """Apply a VM list that another entry process sent, if newer."""
        self._list_follower.offer(payload)
