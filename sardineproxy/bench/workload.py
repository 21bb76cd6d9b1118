"""Offered work: seeded submissions with arrival times and true run times.

The same seed and arguments give the same work. Arrivals are a Poisson
process whose time axis is scaled so that the offered run time is exactly the
wanted fraction of the slots' capacity.
"""

import dataclasses
import math
import random
from typing import Mapping, Sequence

from sardineproxy.demo import tasks

#: Most tasks take 50 ms to 1 s at speed 1, spread evenly by logarithm.
SHORT_MS = (50, 1000)

#: A few take several seconds.
LONG_MS = (2000, 5000)
LONG_FRACTION = 0.02

#: Tasks of a job, spread evenly by logarithm.
JOB_TASKS = (10, 400)

#: Fraction of all tasks that belong to jobs.
JOB_FRACTION = 0.5

#: Fraction of single requests that must not run twice and so carry a key.
STAMP_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """One single request or job."""

    #: Seconds after the start of the phase.
    arrival: float
    customer: str

    #: Index of the entry VM that the balancer chose.
    entry: int
    tasks: tuple[tasks.Task, ...]
    is_job: bool

    @property
    def label(self) -> str:
        """Return the label of the first task, which is unique in a run."""
        return self.tasks[0].label

    @property
    def needs_key(self) -> bool:
        """Tell whether the caller has to mint a key."""
        return self.is_job or not self.tasks[0].idempotent

    @property
    def run_s(self) -> float:
        """Return the run time of all tasks at speed 1, in seconds."""
        return sum(task.run_ms for task in self.tasks) / 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What a phase offers."""

    #: Unique in a run; prefix of the tasks' labels.
    name: str
    seed: int
    duration_s: float

    #: Seconds of run time at speed 1 that are offered each second.
    offered: float

    #: Customers and the part of the tasks that each submits.
    customers: Mapping[str, float]
    entries: int
    job_fraction: float = JOB_FRACTION
    job_tasks: tuple[int, int] = JOB_TASKS
    long_ms: tuple[int, int] = LONG_MS


def generate(plan: Plan) -> list[Submission]:
    """Return the plan's submissions in order of arrival."""
    rng = random.Random(plan.seed)
    wanted_s = plan.offered * plan.duration_s
    submissions: list[Submission] = []
    now = float(0)
    offered_s = float(0)
    while offered_s < wanted_s:
        now += rng.expovariate(1)
        submission = _draw(plan, rng, len(submissions), now)
        submissions.append(submission)
        offered_s += submission.run_s
    scale = offered_s / plan.offered / max(now, 1e-9)
    return [
        dataclasses.replace(one, arrival=one.arrival * scale)
        for one in submissions
    ]


def merge(*parts: Sequence[Submission]) -> list[Submission]:
    """Return all submissions in order of arrival."""
    return sorted(
        (submission for part in parts for submission in part),
        key=lambda submission: submission.arrival,
    )


def _draw(
    plan: Plan, rng: random.Random, number: int, arrival: float
) -> Submission:
    is_job = rng.random() < _job_probability(plan)
    size = round(_log_uniform(rng, plan.job_tasks)) if is_job else 1
    name = f'{plan.name}-{number}'
    names, shares = zip(*plan.customers.items())
    return Submission(
        arrival=arrival,
        customer=rng.choices(names, shares)[0],
        entry=rng.randrange(plan.entries),
        tasks=tuple(
            _draw_task(plan, rng, f'{name}-{index}') for index in range(size)
        ),
        is_job=is_job,
    )


def _draw_task(plan: Plan, rng: random.Random, label: str) -> tasks.Task:
    bounds = plan.long_ms if rng.random() < LONG_FRACTION else SHORT_MS
    return tasks.Task(
        label=label,
        run_ms=round(_log_uniform(rng, bounds), 1),
        body=f'Certificate {label}',
        idempotent=rng.random() >= STAMP_FRACTION,
    )


def _job_probability(plan: Plan) -> float:
    """Return the part of submissions that gives the part of tasks."""
    low, high = plan.job_tasks
    mean = (high - low) / math.log(high / low) if high > low else low
    in_jobs = plan.job_fraction / mean
    return in_jobs / (in_jobs + 1 - plan.job_fraction)


def _log_uniform(rng: random.Random, bounds: tuple[int, int]) -> float:
    low, high = bounds
    return math.exp(rng.uniform(math.log(low), math.log(high)))
