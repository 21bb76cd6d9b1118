"""Tracks which entry VM leads each shard, based on heartbeats."""

import dataclasses
from typing import Mapping

from sardineproxy import ids, logs
from sardineproxy.connection import messages
from sardineproxy.process.shards import fencing, shard_capacities
from sardineproxy.process.membership import (
    capacity_rows,
    loaded_shards,
    pending_jobs,
)

_LOG = logs.get_logger('owners')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeadershipChange:
    """Differences between two successive choices of leaders."""

    #: Shards led by this VM for which another VM holds a higher fencing token,
    #: with that VM.
    lost_shards: dict[ids.ShardId, ids.VmId]

    #: Shards with a leader other than before.
    shards_with_new_leader: list[ids.ShardId]


class Leaders:
    """Fencing tokens reported by connected VMs, and the leaders they imply."""

    def __init__(self, *, own_vm: ids.VmId) -> None:
        """Create an instance in which no shard has a leader."""
        self._own_vm = own_vm
        #: Latest fencing tokens that each VM has reported.
        self._tokens: dict[
            ids.VmId, dict[ids.ShardId, fencing.FencingToken]
        ] = {}

        #: Leader of each shard.
        self.by_shard: dict[ids.ShardId, ids.VmId] = {}

        #: Free capacities of shards, as reported by other VMs.
        self.capacities = shard_capacities.ShardCapacities()

        #: Leaders that have loaded the stored jobs of their shards.
        self.loaded_shards = loaded_shards.LoadedShards()

        #: Counts of stored jobs that have not started.
        self._pending_jobs = pending_jobs.PendingJobs()

    def update(
        self, vm: ids.VmId, heartbeat: messages.Heartbeat, now: float
    ) -> bool:
        """Apply a VM's heartbeat.

        Returns whether its shards or their fencing tokens have changed.
        """
        tokens = {
            status[0]: fencing.FencingToken(epoch=status[1], rank=status[2])
            for status in heartbeat.shards
        }
        classes = capacity_rows.decode(heartbeat)
        for shard, _, _, startable_tasks, _ in heartbeat.shards:
            self.capacities.update(
                shard, classes[shard], now, startable_tasks=startable_tasks
            )
        self.loaded_shards.update(
            vm, (status[0] for status in heartbeat.shards if status[-1]), now
        )
        self._pending_jobs.update(vm, heartbeat)
        changed = self._tokens.get(vm) != tokens
        self._tokens[vm] = tokens
        return changed

    def remove(self, vm: ids.VmId, shard: ids.ShardId | None = None) -> None:
        """Remove a VM as leader of one shard, or of all its shards if None."""
        if shard is None:
            self._tokens.pop(vm, None)
            self._pending_jobs.remove(vm)
            self.loaded_shards.update(vm, (), 0)
        else:
            self._tokens.get(vm, {}).pop(shard, None)

    def pending_jobs(self, route: ids.RouteId) -> int:
        """Return how many stored jobs of a route are unstarted at other VMs."""
        return self._pending_jobs.count(route, self.loaded_shards)

    def choose(
        self, own_tokens: Mapping[ids.ShardId, fencing.FencingToken]
    ) -> LeadershipChange:
        """Set the holder of the highest fencing token as leader of each shard.

        ``own_tokens`` are the tokens that this VM holds.
        """
        highest = self._highest_tokens()
        lost_shards: dict[ids.ShardId, ids.VmId] = {}
        for shard, token in own_tokens.items():
            remote_holder = highest.get(shard)
            if remote_holder is not None and remote_holder[0] > token:
                lost_shards[shard] = remote_holder[1]
            else:
                highest[shard] = (token, self._own_vm)
        former_leaders = self.by_shard
        self.by_shard = {
            led_shard: holder[1] for led_shard, holder in highest.items()
        }
        for removed_shard in set(former_leaders).difference(highest):
            self.capacities.remove(removed_shard)
        shards_with_new_leader = [
            led_shard
            for led_shard, leader in self.by_shard.items()
            if former_leaders.get(led_shard) != leader
        ]
        for changed_shard in shards_with_new_leader:
            _log_leader(changed_shard, *highest[changed_shard])
        return LeadershipChange(
            lost_shards=lost_shards,
            shards_with_new_leader=shards_with_new_leader,
        )

    def _highest_tokens(
        self,
    ) -> dict[ids.ShardId, tuple[fencing.FencingToken, ids.VmId]]:
        highest: dict[ids.ShardId, tuple[fencing.FencingToken, ids.VmId]] = {}
        for vm, tokens in self._tokens.items():
            for shard, token in tokens.items():
                if shard not in highest or token > highest[shard][0]:
                    highest[shard] = (token, vm)
        return highest


def _log_leader(
    shard: ids.ShardId, token: fencing.FencingToken, vm: ids.VmId
) -> None:
    _LOG.info(
        'Shard leader changed.',
        extra={
            'cell': shard,
            'owner': vm,
            'epoch': token.epoch,
            'rank': token.rank,
        },
    )
