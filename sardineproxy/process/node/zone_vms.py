"""Entry VMs of the own zone that have lost their link to this one.

Fault pattern: a VM is cut off from the leader of its zone's shard, but not from
its clients nor from other zones, and has their leaders run the jobs that it
accepts. The leader of its zone knows nothing of them.
"""

from typing import Container

from sardineproxy import ids

#: Longest time for which such a VM is expected to accept jobs, in seconds. One
#: that is gone for good does not return.
MAX_APART_S = 15.0


class ZoneVms:
    """Since when VMs of the zone have had no link to this one."""

    def __init__(self) -> None:
        """Create an instance for a zone whose VMs all have links."""
        self._lost_at: dict[ids.VmId, float] = {}

    def lost(self, vm: ids.VmId, now: float) -> None:
        """Record that a link to a VM of the zone was lost."""
        self._lost_at[vm] = now

    def are_linked(self, linked: Container[ids.VmId], now: float) -> bool:
        """Return whether no VM of the zone accepts jobs without a link.

        ``linked`` are the VMs with a link.
        """
        self._lost_at = {
            vm: lost_at
            for vm, lost_at in self._lost_at.items()
            if vm not in linked and now - lost_at < MAX_APART_S
        }
        return not self._lost_at
