"""Tracks which leaders have loaded the stored jobs of their shards."""

import dataclasses
from typing import Iterable

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadedShard:
    """A shard whose leader has loaded all stored jobs.

    The leader has also submitted the tasks of these jobs to shards.
    """

    #: VM of the leader.
    vm: ids.VmId

    #: Local time at which the VM first reported it, in seconds.
    since: float


class LoadedShards:
    """Latest reports of leaders on the stored jobs of their shards."""

    def __init__(self) -> None:
        """Create an instance without reports."""
        self._by_shard: dict[ids.ShardId, LoadedShard] = {}

    def update(
        self, vm: ids.VmId, shards: Iterable[ids.ShardId], now: float
    ) -> None:
        """Replace the set of shards whose stored jobs a VM has loaded."""
        reported = set(shards)
        for shard, entry in list(self._by_shard.items()):
            if entry.vm == vm and shard not in reported:
                self._by_shard.pop(shard)
        for shard in reported:
            existing = self._by_shard.get(shard)
            if existing is None or existing.vm != vm:
                self._by_shard[shard] = LoadedShard(vm=vm, since=now)

    def is_loaded(self, shard: ids.ShardId) -> bool:
        """Return whether a VM reports that it has loaded a shard's jobs."""
        return shard in self._by_shard

    def get(
        self, shard: ids.ShardId, leader: ids.VmId | None
    ) -> LoadedShard | None:
        """Return the report of a shard's leader, None if it sent none."""
        entry = self._by_shard.get(shard)
        return entry if entry is not None and entry.vm == leader else None
