"""Choice of the shard that gets the jobs of a VM.

Load pattern: the evacuation of a zone, whose clients' jobs must be spread over
the other zones by their free capacity. If all went to the zone with the most
free capacity, they would fill it before its next report.
"""

from typing import Collection, Mapping

from sardineproxy import ids


def choose(
    *,
    home: ids.ShardId,
    led: Collection[ids.ShardId],
    evacuated: Collection[ids.ShardId],
    free_capacity: Mapping[ids.ShardId, int],
    point: float,
) -> ids.ShardId | None:
    """Return the shard for a VM's jobs, None if no shard has a leader.

    This is the home shard if it has a leader, else the shard with the most
    free capacity. Instead of an evacuated home shard, one of the others is
    drawn by free capacity with ``point``, a random number from 0 to below 1.
    If all shards with a leader are evacuated, their leaders refuse the jobs.
    """
    candidates = sorted(shard for shard in led if shard not in evacuated)
    if home in candidates or (home in led and not candidates):
        return home
    if home in evacuated:
        return _draw(candidates, free_capacity, point)
    return min(
        candidates or led,
        key=lambda shard: (-free_capacity.get(shard, 0), shard),
        default=None,
    )


def _draw(
    candidates: list[ids.ShardId],
    free_capacity: Mapping[ids.ShardId, int],
    point: float,
) -> ids.ShardId | None:
    """Return a candidate drawn by free capacity, or evenly if all are full."""
    weights = [max(0, free_capacity.get(shard, 0)) for shard in candidates]
    if not any(weights):
        weights = [1 for _ in candidates]
    remaining = point * sum(weights)
    for shard, weight in zip(candidates, weights):
        if remaining < weight:
            return shard
        remaining -= weight
    return None
