"""Choice of a worker for a task."""

from typing import Iterable

from sardineproxy.process.shards import agent, runs

#: Share by which an empty worker is rated slower than a full one, so that
#: tasks fill partly used workers first.
EMPTY_WORKER_COST = 0.15


def usable_workers(
    agents: Iterable[agent.Agent], now: float
) -> list[agent.Agent]:
    """Return the workers on which runs may be started now."""
    return [candidate for candidate in agents if candidate.accepts_work(now)]


def distance_penalty(
    batch: runs.Batch, candidate: agent.Agent, distance_factor: float
) -> float:
    """Return the factor by which a task takes longer on a worker.

    It is ``distance_factor`` if the worker's rack does not have the task's
    data, otherwise 1.
    """
    if not batch.rack or batch.rack in candidate.worker.labels:
        return 1
    return distance_factor


def find_fastest_speed(candidates: Iterable[agent.Agent]) -> float:
    """Return the speed of the fastest worker, 1 if there is none."""
    return max(
        (candidate.health.speed for candidate in candidates), default=1.0
    )


def choose_worker(
    batch: runs.Batch,
    candidates: Iterable[agent.Agent],
    *,
    fastest_speed: float,
    distance_factor: float,
    now: float,
) -> agent.Agent | None:
    """Return the best candidate for a task, None if the task must wait.

    A task that would be late on a slow worker waits for a faster one as long
    as that one could still complete it on time; ``fastest_speed`` is the
    speed of the fastest worker. On racks without its data a task takes
    ``distance_factor`` times as long.
    """
    required_speed = _required_speed(batch, fastest_speed, now)
    chosen: agent.Agent | None = None
    lowest_cost: float = 0
    for candidate in candidates:
        penalty = distance_penalty(batch, candidate, distance_factor)
        if candidate.health.speed < required_speed * penalty:
            continue
        if not _has_capacity(batch, candidate):
            continue
        cost = _cost(batch, candidate) * penalty
        if chosen is None or cost < lowest_cost:
            chosen, lowest_cost = candidate, cost
    return chosen


def _required_speed(
    batch: runs.Batch, fastest_speed: float, now: float
) -> float:
    """Return the lowest speed that completes a task on time.

    Returns 0 if no worker is fast enough, so that any may be chosen.
    """
    remaining_s = batch.due_at - now
    if remaining_s <= 0:
        return 0
    required_speed = batch.expected_s / remaining_s
    return required_speed if required_speed <= fastest_speed else 0


def count_startable(millicores: int, candidates: Iterable[agent.Agent]) -> int:
    """Return how many tasks of ``millicores`` each could start."""
    if not millicores:
        return 0
    return sum(
        max(0, candidate.ledger.free_capacity.millicores // millicores)
        for candidate in candidates
    )


def _has_capacity(batch: runs.Batch, candidate: agent.Agent) -> bool:
    return (
        batch.resources.millicores <= candidate.ledger.free_capacity.millicores
        and batch.resources.fits(candidate.ledger.free_capacity)
        and _is_allowed(batch, candidate)
    )


def _is_allowed(batch: runs.Batch, candidate: agent.Agent) -> bool:
    """Return whether constraints other than capacity allow a placement."""
    if candidate.worker.service != batch.service:
        return False
    if (
        batch.required_label
        and batch.required_label not in candidate.worker.labels
    ):
        return False
    if not batch.per_worker:
        return True
    return candidate.ledger.count_tasks(batch) < batch.per_worker


def _cost(batch: runs.Batch, candidate: agent.Agent) -> float:
    capacity = candidate.worker.capacity.millicores or 1
    unused_share = (
        candidate.ledger.free_capacity.millicores - batch.resources.millicores
    ) / capacity
    return (1 + EMPTY_WORKER_COST * unused_share) / candidate.health.speed
