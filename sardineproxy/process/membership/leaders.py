"""Which entry VM owns each cell, as the owners themselves say."""

import dataclasses
from typing import Mapping

from sardineproxy import ids, logs
from sardineproxy.connection import messages
from sardineproxy.process.shards import fences, rooms
from sardineproxy.process.membership import loaded_shards

_LOG = logs.get_logger('owners')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipChange:
    """What a new choice of owners changed."""

    #: Cells of this VM that another VM owns under a higher right.
    lost: dict[ids.ShardId, ids.VmId]

    #: Cells that have a new owner.
    with_new_leader: list[ids.ShardId]


class Leaders:
    """Newest rights that VMs in reach have told, and the highest of each."""

    def __init__(self, *, me: ids.VmId) -> None:
        """Start without owners."""
        self._me = me
        self._offers: dict[ids.VmId, dict[ids.ShardId, fences.Right]] = {}
        #: Owner of each cell.
        self.by_shard: dict[ids.ShardId, ids.VmId] = {}

        #: How much room each cell has.
        self.rooms = rooms.Rooms()

        #: Which owners know the stored jobs of their cells.
        self.loaded_shards = loaded_shards.LoadedShards()

        #: Stored jobs that have not begun, by VM that owns their cells.
        self._pending: dict[ids.VmId, tuple[messages.Pending, ...]] = {}

    def update(self, vm: ids.VmId, beat: messages.Beat, now: float) -> bool:
        """Note what a VM owns; tell whether that has changed."""
        rights: dict[ids.ShardId, fences.Right] = {}
        for shard, epoch, rank, free, _ in beat.shards:
            rights[shard] = fences.Right(epoch=epoch, rank=rank)
            self.rooms.note(shard, free, now)
        self.loaded_shards.update(
            vm, (offer[0] for offer in beat.shards if offer[-1]), now
        )
        self._pending[vm] = beat.pending
        changed = self._offers.get(vm) != rights
        self._offers[vm] = rights
        return changed

    def remove(self, vm: ids.VmId, shard: ids.ShardId | None = None) -> None:
        """Forget what a VM owns, or that it owns one cell."""
        if shard is None:
            self._offers.pop(vm, None)
            self._pending.pop(vm, None)
            self.loaded_shards.update(vm, (), 0)
        else:
            self._offers.get(vm, {}).pop(shard, None)

    def pending_jobs(self, route: ids.RouteId) -> int:
        """Return how many stored jobs of a route wait at other VMs."""
        return sum(
            count
            for of_vm in self._pending.values()
            for waiting, count in of_vm
            if waiting == route
        )

    def choose(
        self, own: Mapping[ids.ShardId, fences.Right]
    ) -> LeadershipChange:
        """Use the owner with the highest right for each cell.

        ``own`` are the rights of this VM.
        """
        best = self._highest_offers()
        lost: dict[ids.ShardId, ids.VmId] = {}
        for shard, right in own.items():
            offered = best.get(shard)
            if offered is not None and offered[0] > right:
                lost[shard] = offered[1]
            else:
                best[shard] = (right, self._me)
        former = self.by_shard
        self.by_shard = {owned: chosen[1] for owned, chosen in best.items()}
        for gone in set(former).difference(best):
            self.rooms.forget(gone)
        found = [
            owned
            for owned, leader in self.by_shard.items()
            if former.get(owned) != leader
        ]
        for changed in found:
            _log_leader(changed, *best[changed])
        return LeadershipChange(lost=lost, with_new_leader=found)

    def _highest_offers(
        self,
    ) -> dict[ids.ShardId, tuple[fences.Right, ids.VmId]]:
        best: dict[ids.ShardId, tuple[fences.Right, ids.VmId]] = {}
        for vm, rights in self._offers.items():
            for shard, right in rights.items():
                if shard not in best or right > best[shard][0]:
                    best[shard] = (right, vm)
        return best


def _log_leader(shard: ids.ShardId, right: fences.Right, vm: ids.VmId) -> None:
    _LOG.info(
        'Owner of cell.',
        extra={
            'cell': shard,
            'owner': vm,
            'epoch': right.epoch,
            'rank': right.rank,
        },
    )
