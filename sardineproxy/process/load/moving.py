"""Which waiting tasks leave a shard, and where to.

Load patterns: the loss of a rack or of all workers of one kind, after which
tasks wait in a shard that cannot run them; and a burst in one zone, while the
others become idle again. A move costs a message, and a commit if the job is
stored, so that only tasks move which would start sooner elsewhere.
"""

import dataclasses
from typing import Iterable, Mapping, Sequence

from sardineproxy import ids
from sardineproxy.process.load import free_capacity
from sardineproxy.process.shards import runs, workers

#: Batches that are looked at in one tick, the most urgent first.
MAX_BATCHES = 64

#: Longest wait of tasks that have come back several times, in seconds.
MAX_WAIT_S = 16.0

#: A move is forgotten after this time, in seconds.
HISTORY_S = 60.0

#: Most batches whose moves are remembered.
MAX_HISTORY = 4096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Waiting tasks of a batch that go to another shard."""

    shard: ids.ShardId
    indices: tuple[int, ...]


class MoveHistory:
    """Recent moves of batches out of a shard; safe to lose."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._moves: dict[runs.BatchKey, tuple[int, float]] = {}

    def record(self, batch: runs.BatchKey, now: float) -> None:
        """Record a move of tasks of a batch."""
        count = self.count(batch, now)
        self._moves.pop(batch, None)
        self._moves[batch] = (count + 1, now)
        if len(self._moves) > MAX_HISTORY:
            self._moves.pop(next(iter(self._moves)))

    def count(self, batch: runs.BatchKey, now: float) -> int:
        """Return how often tasks of a batch have left the shard recently."""
        count, moved_at = self._moves.get(batch, (0, now))
        return count if now - moved_at < HISTORY_S else 0


def wait_s(
    batch: runs.Batch, moves: int, *, move_wait_s: float, moved_wait_s: float
) -> float | None:
    """Return how long tasks wait here before they may leave, in seconds.

    None if they may not leave: only the coordinator of a job that is not
    stored may move its pinned tasks. ``moves`` is how often tasks of the batch
    have left before; with each move they stay twice as long.
    """
    if not batch.pinned:
        return move_wait_s
    if not batch.stored:
        return None
    return min(MAX_WAIT_S, moved_wait_s * 2 ** min(moves, 8))


def choose(
    indices: Sequence[int], available: Mapping[ids.ShardId, int]
) -> list[Move]:
    """Return the moves of waiting tasks to shards with free capacity.

    ``available`` is how many of the tasks each shard could start now, most
    first. The last tasks move, as the first ones are started first.
    """
    moves: list[Move] = []
    remaining = list(indices)
    for shard, count in available.items():
        taken = remaining[-count:] if count else []
        if taken:
            del remaining[-len(taken) :]
            moves.append(Move(shard=shard, indices=tuple(taken)))
    return moves


def can_run(
    task: free_capacity.TaskClass, listed: Iterable[workers.Worker]
) -> bool:
    """Return whether a worker could run a task if nothing else ran there."""
    return any(
        worker.service == task.service
        and worker.state is workers.WorkerState.READY
        and (not task.label or task.label in worker.labels)
        and task.resources.fits(worker.capacity)
        for worker in listed
    )


def find_capable(
    task: free_capacity.TaskClass,
    listed: Mapping[ids.ShardId, Iterable[workers.Worker]],
) -> ids.ShardId | None:
    """Return a shard with workers that could run a task if they were idle.

    The one with the most such workers; None if there is none.
    """
    counts = {
        shard: sum(can_run(task, (worker,)) for worker in shard_workers)
        for shard, shard_workers in listed.items()
    }
    best = max(counts, key=lambda shard: counts[shard], default=None)
    return best if best is not None and counts[best] else None
