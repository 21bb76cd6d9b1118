"""Choice of a worker for a task."""

from typing import Iterable

from sardineproxy.process.shards import agent, runs

#: A worker that keeps all its room free counts as this much slower, so that
#: tasks fill workers up before they open new ones.
OPEN_ROOM_COST = 0.15


def usable(agents: Iterable[agent.Agent], now: float) -> list[agent.Agent]:
    """Return the workers that may be given work now."""
    return [candidate for candidate in agents if candidate.takes_work(now)]


def distance(
    batch: runs.Batch, candidate: agent.Agent, distance_factor: float
) -> float:
    """Return how many times as long a task takes for want of its data."""
    if not batch.rack or batch.rack in candidate.worker.labels:
        return 1
    return distance_factor


def best_speed(candidates: Iterable[agent.Agent]) -> float:
    """Return the speed of the fastest worker."""
    return max((each.health.speed for each in candidates), default=1.0)


def choose(
    batch: runs.Batch,
    candidates: Iterable[agent.Agent],
    *,
    best: float,
    distance_factor: float,
    now: float,
) -> agent.Agent | None:
    """Return the usable worker where a task ends soonest, or None.

    A task that would be late on a slow worker waits for a faster one as long
    as that one could still be in time; ``best`` is the fastest one's speed.
    On racks without its data a task takes ``distance_factor`` times as long.
    """
    least_speed = _least_speed(batch, best, now)
    chosen: agent.Agent | None = None
    least_cost: float = 0
    for candidate in candidates:
        factor = distance(batch, candidate, distance_factor)
        if candidate.health.speed < least_speed * factor:
            continue
        if not _has_room(batch, candidate):
            continue
        cost = _cost(batch, candidate) * factor
        if chosen is None or cost < least_cost:
            chosen, least_cost = candidate, cost
    return chosen


def _least_speed(batch: runs.Batch, best: float, now: float) -> float:
    """Return the speed from which a worker ends a task in time."""
    left_s = batch.due_at - now
    if left_s <= 0:
        return 0
    least = batch.work_s / left_s
    return least if least <= best else 0


def count_free(millicores: int, candidates: Iterable[agent.Agent]) -> int:
    """Return how many tasks of a size could start on usable workers."""
    if not millicores:
        return 0
    return sum(
        max(0, candidate.ledger.free.millicores // millicores)
        for candidate in candidates
    )


def _has_room(batch: runs.Batch, candidate: agent.Agent) -> bool:
    return (
        batch.resources.millicores <= candidate.ledger.free.millicores
        and batch.resources.fits(candidate.ledger.free)
        and _is_allowed(batch, candidate)
    )


def _is_allowed(batch: runs.Batch, candidate: agent.Agent) -> bool:
    """Tell whether a task may run on a worker that has room."""
    if candidate.worker.service != batch.service:
        return False
    if batch.requires and batch.requires not in candidate.worker.labels:
        return False
    if not batch.per_worker:
        return True
    return candidate.ledger.count_of(batch) < batch.per_worker


def _cost(batch: runs.Batch, candidate: agent.Agent) -> float:
    capacity = candidate.worker.capacity.millicores or 1
    left = (
        candidate.ledger.free.millicores - batch.resources.millicores
    ) / capacity
    return (1 + OPEN_ROOM_COST * left) / candidate.health.speed
