"""Free capacities of other shards as their leaders report them."""

import dataclasses
from typing import Collection

from sardineproxy import ids

#: Age up to which a report is used, in seconds. Leaders report every 0.2 s. A
#: leader that has missed two reports may be lost, and tasks that are sent to
#: it would wait for its successor.
MAX_REPORT_AGE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardCapacity:
    """The newest report of one shard."""

    #: Number of additional tasks of average size that the shard could start.
    startable_tasks: int

    #: Local time of the report, in seconds.
    reported_at: float


class ShardCapacities:
    """The newest capacity reports of all shards."""

    def __init__(self) -> None:
        """Create an instance without reports."""
        self._capacities: dict[ids.ShardId, ShardCapacity] = {}

        #: Shards of evacuated zones. Their reports are not used, as a report
        #: may be older than the evacuation.
        self.evacuated: Collection[ids.ShardId] = frozenset()

    def update(
        self, shard: ids.ShardId, startable_tasks: int, now: float
    ) -> None:
        """Record a leader's report."""
        self._capacities[shard] = ShardCapacity(
            startable_tasks=startable_tasks, reported_at=now
        )

    def reserve(self, shard: ids.ShardId, task_count: int) -> None:
        """Subtract tasks that were referred to a shard since its report."""
        capacity = self._capacities.get(shard)
        if capacity is not None:
            self._capacities[shard] = dataclasses.replace(
                capacity,
                startable_tasks=capacity.startable_tasks - task_count,
            )

    def remove(self, shard: ids.ShardId) -> None:
        """Remove the report of a shard without a leader."""
        self._capacities.pop(shard, None)

    def find_available(self, now: float) -> dict[ids.ShardId, int]:
        """Return free capacities by shard, the largest first.

        A free capacity is a number of additional average tasks.
        """
        fresh = {
            shard: capacity.startable_tasks
            for shard, capacity in self._capacities.items()
            if capacity.startable_tasks > 0
            and shard not in self.evacuated
            and now - capacity.reported_at <= MAX_REPORT_AGE_S
        }
        return dict(sorted(fresh.items(), key=lambda item: -item[1]))

    def state(self, now: float) -> dict[str, object]:
        """Return the reports and their ages for the state dump."""
        return {
            shard: {
                'tasks': capacity.startable_tasks,
                'age_s': round(now - capacity.reported_at, 3),
            }
            for shard, capacity in self._capacities.items()
        }
