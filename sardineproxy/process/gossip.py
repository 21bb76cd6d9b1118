"""Configuration and VM list that entry processes exchange."""

from sardineproxy.process import listing
from sardineproxy.version import follower


class Gossip:
    """Combines the version follower and the VM list for peer streams."""

    def __init__(
        self,
        *,
        versions: follower.Follower,
        vm_list: listing.ListFollower,
    ) -> None:
        """Create the adapter of both followers."""
        self._versions = versions
        self._vm_list = vm_list

    def version_number(self) -> int:
        """Return the number of the version in force, 0 if there is none."""
        return self._versions.number()

    def changes_since(self, number: int) -> bytes | None:
        """Return the changes after version ``number``, None if not kept."""
        return self._versions.changes_since(number)

    def offer_changes(self, payload: bytes) -> None:
        """Apply configuration changes that another entry process sent."""
        self._versions.offer(payload)

    def listing_revision(self) -> int:
        """Return the revision of the newest VM list."""
        return self._vm_list.revision()

    def listing(self) -> bytes:
        """Return the newest VM list, encoded."""
        return self._vm_list.encode()

    def offer_listing(self, payload: bytes) -> None:
        """Apply a VM list that another entry process sent, if newer."""
        self._vm_list.offer(payload)
