"""Free capacities of other shards as their leaders report them."""

import dataclasses
import sys
from typing import Collection

from sardineproxy import ids
from sardineproxy.process.load import free_capacity

#: Age up to which a report is used, in seconds. Leaders report every 0.2 s. A
#: leader that has missed two reports may be lost, and tasks that are sent to
#: it would wait for its successor.
MAX_REPORT_AGE_S = 0.5

#: Time after which a report of a shard shows the tasks that were referred to
#: it, in seconds, for jobs that are not stored and for stored ones. The new
#: shard of stored tasks is committed first, which takes up to 41 ms, and
#: reports come every 0.2 s.
RESERVATION_S = 0.05
STORED_RESERVATION_S = 0.25

#: Most reservations of a shard that are applied to its next reports.
MAX_RESERVATIONS = 256

_Classes = tuple[free_capacity.WorkerClass, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reservation:
    """Tasks that were referred to a shard."""

    task: free_capacity.TaskClass
    count: int

    #: Local time until which reports may not show the tasks, in seconds.
    until: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _ShardCapacity:
    """The newest report of one shard, less what was reserved."""

    #: None if the shard accepts no tasks from other shards.
    classes: _Classes | None

    #: Number of tasks of average size that could start.
    startable_tasks: int

    #: Local time of the report, in seconds.
    reported_at: float
    reservations: list[_Reservation]


class ShardCapacities:
    """The newest capacity reports of all shards."""

    def __init__(self) -> None:
        """Create an instance without reports."""
        self._capacities: dict[ids.ShardId, _ShardCapacity] = {}

        #: Shards of evacuated zones. Their reports are not used, as a report
        #: may be older than the evacuation.
        self.evacuated: Collection[ids.ShardId] = frozenset()

    def update(
        self,
        shard: ids.ShardId,
        classes: _Classes | None,
        now: float,
        *,
        startable_tasks: int = 0,
    ) -> None:
        """Record a leader's report.

        ``classes`` is None if the shard accepts no tasks, and at a VM that
        leads no shard.
        """
        former = self._capacities.get(shard)
        former_reservations = [] if former is None else former.reservations
        reservations = [
            reservation
            for reservation in former_reservations
            if now < reservation.until
        ]
        if classes is not None:
            for reservation in reservations:
                classes = free_capacity.reserve(
                    classes, reservation.task, reservation.count
                )
        self._capacities[shard] = _ShardCapacity(
            classes=classes,
            startable_tasks=startable_tasks,
            reported_at=now,
            reservations=reservations,
        )

    def reserve(
        self,
        shard: ids.ShardId,
        task: free_capacity.TaskClass,
        count: int,
        *,
        stored: bool,
        now: float,
    ) -> None:
        """Subtract tasks that are referred to a shard from its report."""
        capacity = self._capacities.get(shard)
        if capacity is None or capacity.classes is None:
            return
        capacity.classes = free_capacity.reserve(capacity.classes, task, count)
        if len(capacity.reservations) < MAX_RESERVATIONS:
            lasting_s = STORED_RESERVATION_S if stored else RESERVATION_S
            capacity.reservations.append(
                _Reservation(task=task, count=count, until=now + lasting_s)
            )

    def remove(self, shard: ids.ShardId) -> None:
        """Remove the report of a shard without a leader."""
        self._capacities.pop(shard, None)

    def find_accepting(self, now: float) -> dict[ids.ShardId, _Classes]:
        """Return the free capacity of the shards that accept tasks now."""
        return {
            shard: capacity.classes
            for shard, capacity in self._capacities.items()
            if capacity.classes is not None
            and shard not in self.evacuated
            and now - capacity.reported_at <= MAX_REPORT_AGE_S
        }

    def find_available(
        self,
        task: free_capacity.TaskClass,
        now: float,
        limit: int = sys.maxsize,
    ) -> dict[ids.ShardId, int]:
        """Return by shard how many tasks could start there, most first.

        Shards in which none could start are left out.
        """
        counts = {
            shard: free_capacity.count_startable(classes, task, limit)
            for shard, classes in self.find_accepting(now).items()
        }
        return {
            shard: count
            for shard, count in sorted(
                counts.items(), key=lambda entry: -entry[1]
            )
            if count
        }

    def startable_tasks(self, now: float) -> dict[ids.ShardId, int]:
        """Return by shard how many tasks of average size could start.

        Also at VMs that lead no shard, which get no free capacity by class.
        """
        return {
            shard: capacity.startable_tasks
            for shard, capacity in self._capacities.items()
            if now - capacity.reported_at <= MAX_REPORT_AGE_S
        }

    def state(self, now: float) -> dict[str, object]:
        """Return the reports and their ages for the state dump."""
        return {
            shard: {
                'accepts': capacity.classes is not None,
                'classes': [
                    dataclasses.asdict(worker_class)
                    for worker_class in capacity.classes or ()
                ],
                'age_s': round(now - capacity.reported_at, 3),
            }
            for shard, capacity in self._capacities.items()
        }
