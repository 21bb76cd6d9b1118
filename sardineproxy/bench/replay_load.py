"""Seeded load patterns for the replay of placement decisions.

A pattern is a function that returns the factor of the arrival rate for a time,
a zone and a kind of jobs, with the faults of workers that go with it.
"""

import dataclasses
import math
import random
import types
from typing import Callable, Iterator

#: Replayed time, in seconds.
DURATION_S = 40.0
ZONES = ('z0', 'z1', 'z2')
WORKERS_PER_ZONE = 12

#: A third of the workers is 1.5 times as large; speeds recur in this order.
WORKER_MILLICORES = 16_000
LARGE_WORKER_FACTOR = 1.5
SPEEDS = (0.7, 0.7, 1.7)

#: Average task size, its standard deviation and its largest value.
TASK_MILLICORES = 8_000
TASK_SPREAD = 0.2
TASK_MAX_FACTOR = 1.5

#: Largest error of an estimate, spread of the tasks of a job, and share and
#: factor of the run times that are much longer.
ESTIMATE_ERROR = 1.4
TASK_TIME_SPREAD = 0.15

#: Standard deviation of the logarithm of the jobs' run times within a kind, so
#: that the run times of a kind do not replace an estimate entirely.
JOB_TIME_SPREAD = 0.2
LONG_SHARE = 0.03
LONG_FACTOR = 7

#: Longest wait of a client in seconds, and share of the clients that give up
#: much earlier.
PATIENCE_S = 30.0
IMPATIENT_SHARE = 0.1

#: Length of a shift of the traffic to one zone and of its period, in seconds.
SHIFT_S = 5.5
SHIFT_PERIOD_S = 12

#: Bound of the arrival factors, for the thinning of the arrivals.
_MAX_FACTOR = 6.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of jobs."""

    name: str
    priority: int
    mean_tasks: int
    max_tasks: int
    run_s: float

    #: Share of the arriving jobs.
    share: float


KINDS = (
    Kind(
        name='short',
        priority=0,
        mean_tasks=8,
        max_tasks=32,
        run_s=0.06,
        share=0.5,
    ),
    Kind(
        name='long',
        priority=2,
        mean_tasks=4,
        max_tasks=16,
        run_s=0.9,
        share=0.2,
    ),
    Kind(
        name='middle',
        priority=1,
        mean_tasks=2,
        max_tasks=8,
        run_s=0.2,
        share=0.3,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A job of a client."""

    name: str
    kind: Kind
    zone: str
    arrives_at: float
    millicores: int
    estimate_s: float

    #: Run time of each task on a worker of speed 1, in seconds.
    work_s: tuple[float, ...]

    #: The client disconnects after this time, in seconds.
    patience_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A period in which one worker drains, is slow or hangs."""

    how: str
    zone: str
    worker: int
    starts_at: float
    ends_at: float


#: Factor of the arrival rate by time, zone index and kind.
Rate = Callable[[float, int, Kind], float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pattern:
    """A load on all zones."""

    rate: Rate

    #: Share of the capacity of the workers that the jobs need on average.
    load: float
    faults: int = 0


def _waves(now: float, zone: int, kind: Kind) -> float:
    phase = zone / len(ZONES)
    return 1 + 0.5 * math.sin(2 * math.pi * (now / 17 + phase))


def _burst(now: float, zone: int, kind: Kind) -> float:
    """Return the factor of bursts of one kind after the other."""
    bursting = KINDS[int(now // 8) % len(KINDS)]
    return 2.6 if kind is bursting and now % 8 < 4 else 1


def _shift(now: float, zone: int, kind: Kind) -> float:
    """Return the factor while one zone gets 0.6 of the traffic."""
    if now % SHIFT_PERIOD_S >= SHIFT_S:
        return 1
    crowded = int(now // SHIFT_PERIOD_S) % len(ZONES)
    return 1.8 if zone == crowded else 0.6


def _mix(now: float, zone: int, kind: Kind) -> float:
    return _waves(now, zone, kind) * _burst(now, zone, kind)


PATTERNS = types.MappingProxyType(
    {
        'waves': Pattern(rate=_waves, load=0.6),
        'bursts': Pattern(rate=_burst, load=0.4),
        'shift': Pattern(rate=_shift, load=0.6),
        'faults': Pattern(rate=_waves, load=0.5, faults=18),
        'mix': Pattern(rate=_mix, load=0.45, faults=9),
        'overload': Pattern(rate=_waves, load=0.9),
    }
)


def worker_shape(number: int) -> tuple[int, float]:
    """Return the millicores and the speed of a zone's worker."""
    is_large = number % 3 == 0
    factor = LARGE_WORKER_FACTOR if is_large else 1
    return int(WORKER_MILLICORES * factor), SPEEDS[number // 3 % len(SPEEDS)]


def make_jobs(
    pattern: Pattern, rng: random.Random, *, exact: bool
) -> Iterator[Job]:
    """Yield the jobs in order of arrival; ``exact`` for exact estimates."""
    shapes = [worker_shape(number) for number in range(WORKERS_PER_ZONE)]
    capacity = sum(millicores * speed for millicores, speed in shapes)
    work_per_job = TASK_MILLICORES * sum(
        kind.share * kind.mean_tasks * kind.run_s for kind in KINDS
    )
    jobs_per_s = len(ZONES) * pattern.load * capacity / work_per_job
    now = rng.expovariate(jobs_per_s * _MAX_FACTOR)
    number = 0
    while now < DURATION_S:
        zone = rng.randrange(len(ZONES))
        kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        if rng.random() * _MAX_FACTOR < pattern.rate(now, zone, kind):
            number += 1
            yield _make_job(number, kind, ZONES[zone], now, rng, exact=exact)
        now += rng.expovariate(jobs_per_s * _MAX_FACTOR)


def make_faults(pattern: Pattern, rng: random.Random) -> Iterator[Fault]:
    """Yield the faults of workers."""
    for number in range(pattern.faults):
        starts_at = rng.uniform(2, DURATION_S - 8)
        yield Fault(
            how=('drain', 'slow', 'hang')[number % 3],
            zone=rng.choice(ZONES),
            worker=rng.randrange(WORKERS_PER_ZONE),
            starts_at=starts_at,
            ends_at=starts_at + rng.uniform(3, 6),
        )


def _make_job(
    number: int,
    kind: Kind,
    zone: str,
    now: float,
    rng: random.Random,
    *,
    exact: bool,
) -> Job:
    count = 1 + int(rng.expovariate(1 / (kind.mean_tasks - 0.5)))
    millicores = rng.gauss(TASK_MILLICORES, TASK_SPREAD * TASK_MILLICORES)
    error = math.exp(rng.uniform(-1, 1) * math.log(ESTIMATE_ERROR))
    run_s = kind.run_s * rng.lognormvariate(0, JOB_TIME_SPREAD)
    work_s = tuple(
        run_s * _draw_time_factor(rng)
        for _ in range(min(count, kind.max_tasks))
    )
    return Job(
        name=f'job{number}',
        kind=kind,
        zone=zone,
        arrives_at=now,
        millicores=int(
            min(max(millicores, 1000), TASK_MAX_FACTOR * TASK_MILLICORES)
        ),
        estimate_s=run_s if exact else run_s * error,
        work_s=work_s,
        patience_s=(
            0.5 + 2 * kind.run_s
            if rng.random() < IMPATIENT_SHARE
            else PATIENCE_S
        ),
    )


def _draw_time_factor(rng: random.Random) -> float:
    """Return the run time of a task relative to that of its kind."""
    factor = max(0.2, rng.gauss(1, TASK_TIME_SPREAD))
    return factor * LONG_FACTOR if rng.random() < LONG_SHARE else factor
