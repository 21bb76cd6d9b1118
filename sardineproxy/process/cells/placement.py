"""Choice of a worker for a task."""

from typing import Iterable

from sardineproxy.process.cells import agent, runs

#: A worker that keeps all its room free counts as this much slower, so that
#: tasks fill workers up before they open new ones.
OPEN_ROOM_COST = 0.15


def can_run(batch: runs.Batch, candidate: agent.Agent, now: float) -> bool:
    """Tell whether a worker may be given a task of a batch now."""
    return (
        candidate.worker.service == batch.service
        and batch.shape.fits(candidate.free)
        and (not batch.requires or batch.requires in candidate.worker.labels)
        and candidate.takes_work(now)
    )


def expected_s(batch: runs.Batch, candidate: agent.Agent) -> float:
    """Return the expected run time on a worker, in seconds."""
    return batch.work_s / candidate.health.speed


def choose(
    batch: runs.Batch, agents: Iterable[agent.Agent], now: float
) -> agent.Agent | None:
    """Return the worker where a task ends soonest, or None."""
    best: agent.Agent | None = None
    best_cost = 0.0
    for candidate in agents:
        if not can_run(batch, candidate, now):
            continue
        cost = _cost(batch, candidate)
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


def _cost(batch: runs.Batch, candidate: agent.Agent) -> float:
    capacity = candidate.worker.capacity.millicores or 1
    left = (candidate.free.millicores - batch.shape.millicores) / capacity
    return expected_s(batch, candidate) * (1 + OPEN_ROOM_COST * left)


def count_free(
    batch_shape_millicores: int, agents: Iterable[agent.Agent], now: float
) -> int:
    """Return how many tasks of a size could start now."""
    if not batch_shape_millicores:
        return 0
    return sum(
        max(0, candidate.free.millicores) // batch_shape_millicores
        for candidate in agents
        if candidate.takes_work(now)
    )
