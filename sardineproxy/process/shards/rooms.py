"""How much room other cells have, as their owners told."""

import dataclasses

from sardineproxy import ids

#: Age up to which a figure is used, in seconds. Owners of cells tell theirs
#: every 0.2 s; one that has missed two of them may be lost, and what is sent
#: to it would wait for another owner.
FRESH_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Room:
    """The newest figure of one cell."""

    #: How many more average tasks the cell could start.
    tasks: int

    #: Local time, in seconds.
    told_at: float


class Rooms:
    """Newest figures of all cells."""

    def __init__(self) -> None:
        """Start without figures."""
        self._rooms: dict[ids.ShardId, Room] = {}

    def note(self, shard: ids.ShardId, tasks: int, now: float) -> None:
        """Use a figure that an owner told."""
        self._rooms[shard] = Room(tasks=tasks, told_at=now)

    def forget(self, shard: ids.ShardId) -> None:
        """Forget a cell that has no owner."""
        self._rooms.pop(shard, None)

    def free(self, now: float) -> dict[ids.ShardId, int]:
        """Return the cells that have room, the largest first."""
        fresh = {
            shard: room.tasks
            for shard, room in self._rooms.items()
            if room.tasks > 0 and now - room.told_at <= FRESH_S
        }
        return dict(sorted(fresh.items(), key=lambda each: -each[1]))

    def state(self, now: float) -> dict[str, object]:
        """Return figures and ages, for the state dump."""
        return {
            shard: {
                'tasks': room.tasks,
                'age_s': round(now - room.told_at, 3),
            }
            for shard, room in self._rooms.items()
        }
