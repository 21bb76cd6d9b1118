"""Decision on a job's tasks when they arrive at the leader of a shard.

Load patterns: a burst of all kinds, in which a job that cannot be on time must
be rejected at once instead of when its time has passed; a shift of clients to
one zone, in which the other zones have capacity; and the return of rejected
clients, who must not come back all at the same time.
"""

import dataclasses

from sardineproxy.process.load import forecast

#: A job is rejected if its expected wait is this many times the longest wait
#: with which it is on time. Clients' estimates are off by a factor of 1.5.
FORECAST_TOLERANCE = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Tasks that arrive, and the capacity for them."""

    task_count: int

    #: Tasks of this size that could start in this shard now.
    startable_here: int

    #: Tasks that could start now in shards to which these may be moved.
    startable_elsewhere: int

    #: Waiting tasks that are started before these.
    tasks_ahead: int

    #: Latest start on time, in local seconds.
    latest_start: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accept:
    """All tasks are expected to start in time."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """Some tasks are not expected to start in time."""

    #: Expected start of the last task, in local seconds.
    expected_start: float


Decision = Accept | Reject


def decide(demand: Demand, ends: forecast.EndForecast, now: float) -> Decision:
    """Return whether to accept tasks.

    They are never rejected while there is free capacity for all of them.
    """
    missing_count = (
        demand.task_count - demand.startable_here - demand.startable_elsewhere
    )
    if missing_count <= 0:
        return Accept()
    expected_start = ends.time_of_end(demand.tasks_ahead + missing_count, now)
    if expected_start is None:
        return Accept()
    longest_wait_s = FORECAST_TOLERANCE * (demand.latest_start - now)
    if expected_start - now <= longest_wait_s:
        return Accept()
    return Reject(expected_start=expected_start)
