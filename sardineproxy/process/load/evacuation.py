"""Decisions on the work of a shard whose zone is evacuated.

Load pattern: an operator evacuates a zone at a busy time. Its waiting tasks
must not wait for a zone that starts nothing, and must not overload the others;
most of its runs end soon and are best left alone. When the evacuation ends, the
workers are cold, and tasks that all return at once are all late.
"""

import dataclasses
from typing import Mapping

from sardineproxy import ids

#: Time that it takes to stop a run and to start the task elsewhere, in
#: seconds: the platform's bound for a stop, a poll and the orders.
MOVE_S = 0.2

#: Shortest time after which the progress of a run tells its end, in seconds,
#: and the smallest progress that is used, in percent.
PROJECTION_MIN_RUN_S = 0.1
PROJECTION_MIN_PERCENT = 2

#: Number and duration of the steps in which the cold workers of a zone get
#: tasks after an evacuation. In the time of a step, other leaders have seen two
#: reports of the free capacity.
REOPEN_STEPS = 4
REOPEN_STEP_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingTasks:
    """Waiting tasks of one step of a job."""

    count: int

    #: True if the job can be refused: nothing of it may have run.
    is_refusable: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Tasks to move, by destination; the others keep waiting."""

    counts: Mapping[ids.ShardId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """No shard has free capacity, and the job can be refused."""


def place_elsewhere(
    tasks: WaitingTasks, free_capacity: Mapping[ids.ShardId, int]
) -> Move | Refuse:
    """Decide where the waiting tasks of an evacuated shard go.

    ``free_capacity`` lists the other shards, the largest first. A job that may
    be refused and does not fit goes as a whole to the first one, which decides
    on its admission: a part of it would be of no use.
    """
    if tasks.is_refusable and not free_capacity:
        return Refuse()
    if tasks.is_refusable and sum(free_capacity.values()) < tasks.count:
        return Move(counts={next(iter(free_capacity)): tasks.count})
    counts: dict[ids.ShardId, int] = {}
    remaining = tasks.count
    for shard, free_count in free_capacity.items():
        if not remaining:
            break
        counts[shard] = min(remaining, free_count)
        remaining -= counts[shard]
    return Move(counts=counts)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ActiveRun:
    """A run in an evacuated zone; times are local, in seconds."""

    started_at: float

    #: Expected run time on its worker and on one of speed 1, in seconds.
    expected_here_s: float
    expected_elsewhere_s: float

    #: Newest progress, in percent.
    percent: float

    #: Latest end that is on time.
    due_at: float


def should_stop(run: ActiveRun, *, patience_ends_at: float, now: float) -> bool:
    """Return whether to stop a run and to start its task elsewhere.

    This is so if its end is neither expected on time nor before
    ``patience_ends_at``, and a new run elsewhere would end earlier.
    """
    end = _expected_end(run, now)
    useful_until = max(run.due_at, patience_ends_at)
    return end > max(useful_until, now + MOVE_S + run.expected_elsewhere_s)


def open_share(reopened_s: float) -> float:
    """Return the share of the cold workers that get tasks after the end.

    ``reopened_s`` is the time since the end of the evacuation.
    """
    step = 1 + int(reopened_s / REOPEN_STEP_S)
    return min(1, step / REOPEN_STEPS)


def _expected_end(run: ActiveRun, now: float) -> float:
    ran_s = now - run.started_at
    if ran_s < PROJECTION_MIN_RUN_S or ran_s < run.expected_here_s:
        return run.started_at + run.expected_here_s
    return run.started_at + ran_s * 100 / max(
        run.percent, PROJECTION_MIN_PERCENT
    )
