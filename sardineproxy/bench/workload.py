"""Random workload: submissions with arrival times and true run times.

The same plan gives the same submissions. Arrivals are a Poisson process whose
time axis is scaled so that the run time that arrives per second is exactly the
offered load of the plan.
"""

import dataclasses
import math
import random
from typing import Mapping, Sequence

from sardineproxy.demo import tasks

#: Run time of most tasks at speed 1, log-uniform.
SHORT_MS = (50, 1000)

#: Run time of the few long tasks at speed 1, log-uniform.
LONG_MS = (2000, 5000)
LONG_FRACTION = 0.02

#: Number of tasks of a job, log-uniform.
JOB_TASKS = (10, 400)

#: Fraction of all tasks that belong to jobs.
JOB_FRACTION = 0.5

#: Fraction of tasks that are not idempotent; such single requests carry a key.
NON_IDEMPOTENT_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """One single request or job."""

    #: Seconds after the start of the phase.
    arrival_s: float
    customer: str

    #: Index of the entry VM to which the load balancer sends it.
    entry_index: int
    tasks: tuple[tasks.Task, ...]
    is_job: bool

    @property
    def label(self) -> str:
        """Return the label of the first task, which is unique in a run."""
        return self.tasks[0].label

    @property
    def needs_key(self) -> bool:
        """True if the caller needs an idempotency key."""
        return self.is_job or not self.tasks[0].idempotent

    @property
    def run_s(self) -> float:
        """Return the total run time of all tasks at speed 1, in seconds."""
        return sum(task.run_ms for task in self.tasks) / 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Parameters of the load of a phase."""

    #: Unique in a run; prefix of the task labels.
    name: str
    seed: int
    duration_s: float

    #: Seconds of run time at speed 1 that arrive each second.
    offered_load: float

    #: Share of the tasks that each customer submits.
    customers: Mapping[str, float]
    entry_vms: int
    job_fraction: float = JOB_FRACTION
    job_tasks: tuple[int, int] = JOB_TASKS
    long_ms: tuple[int, int] = LONG_MS


def generate(plan: Plan) -> list[Submission]:
    """Return the submissions of the plan in order of arrival."""
    rng = random.Random(plan.seed)
    target_s = plan.offered_load * plan.duration_s
    submissions: list[Submission] = []
    arrival_s = float(0)
    offered_s = float(0)
    while offered_s < target_s:
        arrival_s += rng.expovariate(1)
        submission = _generate_submission(
            plan, rng, len(submissions), arrival_s
        )
        submissions.append(submission)
        offered_s += submission.run_s
    scale = offered_s / plan.offered_load / max(arrival_s, 1e-9)
    return [
        dataclasses.replace(submission, arrival_s=submission.arrival_s * scale)
        for submission in submissions
    ]


def merge(*parts: Sequence[Submission]) -> list[Submission]:
    """Return all submissions in order of arrival."""
    return sorted(
        (submission for part in parts for submission in part),
        key=lambda submission: submission.arrival_s,
    )


def _generate_submission(
    plan: Plan, rng: random.Random, number: int, arrival_s: float
) -> Submission:
    is_job = rng.random() < _job_probability(plan)
    task_count = round(_log_uniform(rng, plan.job_tasks)) if is_job else 1
    submission_label = f'{plan.name}-{number}'
    customers, shares = zip(*plan.customers.items())
    return Submission(
        arrival_s=arrival_s,
        customer=rng.choices(customers, shares)[0],
        entry_index=rng.randrange(plan.entry_vms),
        tasks=tuple(
            _generate_task(plan, rng, f'{submission_label}-{index}')
            for index in range(task_count)
        ),
        is_job=is_job,
    )


def _generate_task(plan: Plan, rng: random.Random, label: str) -> tasks.Task:
    bounds = plan.long_ms if rng.random() < LONG_FRACTION else SHORT_MS
    return tasks.Task(
        label=label,
        run_ms=round(_log_uniform(rng, bounds), 1),
        body=f'Certificate {label}',
        idempotent=rng.random() >= NON_IDEMPOTENT_FRACTION,
    )


def _job_probability(plan: Plan) -> float:
    """Return the fraction of submissions that are jobs.

    It makes ``plan.job_fraction`` of all tasks belong to jobs. The number of
    tasks of a job has a log-uniform distribution.
    """
    low, high = plan.job_tasks
    mean_tasks = (high - low) / math.log(high / low) if high > low else low
    jobs_per_task = plan.job_fraction / mean_tasks
    return jobs_per_task / (jobs_per_task + 1 - plan.job_fraction)


def _log_uniform(rng: random.Random, bounds: tuple[int, int]) -> float:
    low, high = bounds
    return math.exp(rng.uniform(math.log(low), math.log(high)))
