"""Which VMs keep the stored jobs of the cells that they own."""

import dataclasses
from typing import Iterable

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadedShard:
    """A VM knows all stored jobs of a cell, and has asked for their tasks."""

    vm: ids.VmId

    #: Local time since when it says so, in seconds.
    since: float


class LoadedShards:
    """Newest words of owners about the stored jobs of their cells."""

    def __init__(self) -> None:
        """Start without words."""
        self._by_shard: dict[ids.ShardId, LoadedShard] = {}

    def update(
        self, vm: ids.VmId, shards: Iterable[ids.ShardId], now: float
    ) -> None:
        """Note of which cells a VM knows all stored jobs."""
        kept = set(shards)
        for shard, known in list(self._by_shard.items()):
            if known.vm == vm and shard not in kept:
                self._by_shard.pop(shard)
        for shard in kept:
            known_here = self._by_shard.get(shard)
            if known_here is None or known_here.vm != vm:
                self._by_shard[shard] = LoadedShard(vm=vm, since=now)

    def get(
        self, shard: ids.ShardId, leader: ids.VmId | None
    ) -> LoadedShard | None:
        """Return what a cell's owner has said, None if nothing."""
        known = self._by_shard.get(shard)
        return known if known is not None and known.vm == leader else None
