"""Counts of stored jobs that have not started, from the leaders' heartbeats."""

import dataclasses

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.membership import loaded_shards

_Counts = tuple[messages.PendingJobs, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Former:
    """Last counts of a leader that no longer manages some shards."""

    counts: _Counts
    shards: frozenset[ids.ShardId]


class PendingJobs:
    """Latest counts of each VM, and those of leaders that were lost.

    The jobs of a lost leader still wait. Its counts hold until other leaders
    have loaded the jobs of its shards, and count them.
    """

    def __init__(self) -> None:
        """Create an instance without counts."""
        self._counts: dict[ids.VmId, _Counts] = {}
        self._managed: dict[ids.VmId, frozenset[ids.ShardId]] = {}
        self._former: list[_Former] = []

    def update(self, vm: ids.VmId, heartbeat: messages.Heartbeat) -> None:
        """Apply the counts of a VM for the shards whose jobs it has loaded."""
        managed = frozenset(
            status[0] for status in heartbeat.shards if status[-1]
        )
        self._keep_former(vm, managed)
        self._counts[vm] = heartbeat.pending
        self._managed[vm] = managed

    def remove(self, vm: ids.VmId) -> None:
        """Remove a VM to which there is no link."""
        self._keep_former(vm, frozenset())
        self._counts.pop(vm, None)
        self._managed.pop(vm, None)

    def count(
        self, route: ids.RouteId, loaded: loaded_shards.LoadedShards
    ) -> int:
        """Return how many jobs of a route have not started at other VMs."""
        self._former = [
            former
            for former in self._former
            if not all(map(loaded.is_loaded, former.shards))
        ]
        counts = [
            *self._counts.values(),
            *(former.counts for former in self._former),
        ]
        return sum(
            count
            for vm_counts in counts
            for pending_route, count in vm_counts
            if pending_route == route
        )

    def _keep_former(
        self, vm: ids.VmId, managed: frozenset[ids.ShardId]
    ) -> None:
        """Keep the counts of a VM that manages fewer shards than before."""
        lost = self._managed.get(vm, frozenset()) - managed
        counts = self._counts.get(vm, ())
        if lost:
            # Each shard's newest former leader counts.
            self._former = [
                former for former in self._former if not former.shards & lost
            ]
            if counts:
                self._former.append(_Former(counts=counts, shards=lost))
