"""Decides whether to take over the stored jobs of a zone that is gone.

Fault pattern: all VMs and workers of a zone are lost for good. Nobody claims its
shard, as none of its workers responds, although the store has its jobs and
other zones have free capacity.
"""

from typing import Iterable

import result

from sardineproxy import ids, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.stored_jobs import fenced_rows, stored_rows

#: Additional delay of each further shard's leader, in seconds, so that only one
#: of them reads the jobs of a lost zone and claims its shard. A read takes
#: up to 0.6 s with a slow store.
LEADER_STEP_S = 1.0

#: Interval at which the jobs of a lost zone are read, in seconds.
READ_INTERVAL_S = 2.0

_LOG = logs.get_logger('claim')


def takeover_delay_s(
    own_shard: ids.ShardId, led_shards: Iterable[ids.ShardId], base_s: float
) -> float:
    """Return the time without a leader after which to take over a shard.

    ``led_shards`` are the shards that have a leader. After ``base_s`` no run
    of the lost zone's former leader can exist.
    """
    others = sorted(shard for shard in led_shards if shard < own_shard)
    return base_s + LEADER_STEP_S * len(others)


class LostZones:
    """Reads from the store whether shards without a leader have jobs."""

    def __init__(self, *, store: store.Store, metrics: metrics.Metrics) -> None:
        """Create an instance that has read no jobs."""
        self._store = store
        self._metrics = metrics
        self._read_at: dict[ids.ShardId, float] = {}
        self._with_jobs: set[ids.ShardId] = set()

    async def has_unfinished_jobs(self, shard: ids.ShardId, now: float) -> bool:
        """Return whether the store has unfinished jobs of a shard.

        They are read at most every ``READ_INTERVAL_S`` seconds.
        """
        read_at = self._read_at.get(shard)
        if read_at is None or now - read_at >= READ_INTERVAL_S:
            self._read_at[shard] = now
            self._with_jobs.discard(shard)
            if await self._read(shard):
                self._with_jobs.add(shard)
        return shard in self._with_jobs

    async def _read(self, shard: ids.ShardId) -> bool:
        self._metrics.count('store_calls_total', table=fenced_rows.TABLE)
        response = await self._store.read(fenced_rows.TABLE, part=shard)
        if isinstance(response, result.Err):
            return False
        unfinished = stored_rows.decode(response.ok_value.rows).unfinished
        _LOG.info(
            'Read the stored jobs of a shard without a leader.',
            extra={'cell': shard, 'open': len(unfinished)},
        )
        return bool(unfinished)
