"""Phases of the run: each offers work and prints its figures."""

import asyncio
import collections
import dataclasses
import functools
import statistics
from typing import Any, Iterable, Sequence

from sardineproxy import clock as clocks
from sardineproxy.bench import (
    driver,
    fleet,
    floor,
    measures,
    ratios,
    report,
    senders,
    workload,
)

#: Offered load while endpoints and the platform show faults.
FAULTS_LOAD = 0.5

#: Part of the capacity that a polite customer offers; its share is a half.
POLITE_LOAD = 0.45

#: A rival's offer against its share of a half.
RIVAL_LOAD = 5.0
RIVAL_JOB_TASKS = (100, 101)

SATURATED_LOAD = 1.3

#: Part of the saturated phase whose arrivals all come at its start, so that
#: a backlog exists for all of the rest.
BURST = 0.1

#: Part of the saturated phase before its slots are watched.
WARM_UP = 0.2

#: Endpoint modes of the faults phase, by index of the endpoint.
FAULTS = ((0, 'fail'), (7, 'close_idle'), (9, 'refuse'), (18, 'cut'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """What all phases share."""

    fleet: fleet.Fleet
    out: report.Report
    seed: int

    #: Offered load of the main phase, as a part of the capacity.
    load: float
    main_s: float
    short_s: float

    #: Longest wait for answers after the last arrival, in seconds.
    drain_s: float

    #: Run times of the few long tasks, in milliseconds.
    long_ms: tuple[int, int]

    def plan(self, name: str, *, load: float, **more: Any) -> workload.Plan:
        """Return a plan that offers ``load`` of the capacity."""
        return workload.Plan(
            name=name,
            seed=self.seed,
            offered=load * self.fleet.capacity,
            entries=len(fleet.ZONES) * len(fleet.ENTRY_SIZES),
            **{
                'duration_s': self.main_s,
                'long_ms': self.long_ms,
                'customers': dict(fleet.CUSTOMERS),
                **more,
            },
        )


async def _offer(
    run: Run, submissions: Sequence[workload.Submission]
) -> tuple[driver.Driver, list[driver.Sample]]:
    """Offer work to the entry processes."""
    sender = senders.EntrySender(run.fleet.connect())
    await sender.prepare(submissions)
    await run.fleet.wait_idle()
    load = driver.Driver(clock=clocks.SystemClock(), sender=sender)
    return load, await load.drive(submissions, drain_limit_s=run.drain_s)


async def measure_main(run: Run, bare: floor.Floor) -> None:
    """Offer the main load and print ratios, messages and processor time."""
    submissions = workload.generate(run.plan('main', load=run.load))
    await run.fleet.read_starts()
    counters, cpu_s = await asyncio.gather(
        run.fleet.read_counters(), run.fleet.read_cpu()
    )
    _, samples = await _offer(run, submissions)
    cpu_s = await run.fleet.read_cpu() - cpu_s
    counted = measures.subtract(await run.fleet.read_counters(), counters)
    ideals = ratios.compute_ideals(samples, run.fleet.slots, bare.round_trip_s)
    ratios.add_ratios(run.out, samples, ideals)
    late_ms = [1000 * one.late_s for one in samples]
    run.out.add('driver_lateness_p50_ms', measures.percentile(late_ms, 50))
    run.out.add('driver_lateness_p99_ms', measures.percentile(late_ms, 99))
    await run.fleet.wait_idle()
    _add_cpu(run.out, submissions, cpu_s, bare)
    _add_starts(run.out, await run.fleet.read_starts(), submissions)
    _add_waste(run.out, counted, samples, 'wasted_messages_per_task')


async def measure_faults(run: Run) -> None:
    """Offer load while endpoints and the platform show faults."""
    submissions = workload.generate(
        run.plan('faults', load=FAULTS_LOAD, duration_s=run.short_s)
    )
    counters = await run.fleet.read_counters()
    dep = run.fleet.dep
    names = list(dep.endpoints)
    await asyncio.gather(
        dep.set_platform_faults(down=True),
        *(dep.set_endpoint_mode(names[index], mode) for index, mode in FAULTS),
    )
    try:
        _, samples = await _offer(run, submissions)
    finally:
        await asyncio.gather(
            dep.set_platform_faults(down=False),
            *(
                dep.set_endpoint_mode(names[index], 'normal')
                for index, _ in FAULTS
            ),
        )
    counted = measures.subtract(await run.fleet.read_counters(), counters)
    faults = sum(one.reply.fault is not None for one in samples)
    run.out.add('faults.submissions', len(samples))
    run.out.add('faults.submissions_not_right', faults)
    starts = await run.fleet.read_starts()
    _add_starts(run.out, starts, submissions, 'faults.')
    _add_waste(run.out, counted, samples, 'wasted_messages_per_task_faults')


async def measure_victim(run: Run) -> None:
    """Compare a polite customer's mean response without and with a rival."""
    alone = await _measure_polite(run, 'alone', ())
    rival = workload.generate(
        run.plan(
            'rival',
            load=RIVAL_LOAD,
            duration_s=run.short_s,
            customers={fleet.RIVAL: 1},
            job_fraction=1,
            job_tasks=RIVAL_JOB_TASKS,
        )
    )
    beside = await _measure_polite(run, 'beside', rival)
    run.out.add('victim_response_alone_ms', 1000 * alone)
    run.out.add('victim_response_beside_rival_ms', 1000 * beside)
    run.out.add('victim_slowdown', beside / alone)


async def measure_saturation(run: Run) -> None:
    """Offer more than the capacity and watch how busy the slots are."""
    submissions = workload.generate(
        run.plan('saturated', load=SATURATED_LOAD, duration_s=run.short_s)
    )
    submissions = [
        dataclasses.replace(
            one, arrival=max(0, one.arrival - BURST * run.short_s)
        )
        for one in submissions
    ]
    await run.fleet.read_starts()
    load, _ = await _offer(run, submissions)
    await run.fleet.wait_idle()
    window = (load.start + WARM_UP * run.short_s, load.start + run.short_s)
    starts = await run.fleet.read_starts()
    busy_s = _count_busy(_flatten(starts), window)
    run.out.add(
        'slot_utilisation_saturated',
        busy_s / (window[1] - window[0]) / len(run.fleet.slots),
    )


async def measure_baseline(
    run: Run, bare: floor.Floor, name: str, sender: Any
) -> None:
    """Offer the main load straight to the endpoints."""
    submissions = workload.generate(run.plan(name, load=run.load))
    await run.fleet.wait_idle()
    load = driver.Driver(clock=clocks.SystemClock(), sender=sender)
    samples = await load.drive(submissions, drain_limit_s=run.drain_s)
    await sender.close()
    ideals = ratios.compute_ideals(samples, run.fleet.slots, bare.round_trip_s)
    ratios.add_ratios(run.out, samples, ideals, prefix=f'{name}.')


async def _measure_polite(
    run: Run, name: str, rival: Sequence[workload.Submission]
) -> float:
    """Return the mean response of the polite customer in seconds."""
    polite = workload.generate(
        run.plan(
            name,
            load=POLITE_LOAD,
            duration_s=run.short_s,
            customers={fleet.POLITE: 1},
        )
    )
    _, samples = await _offer(run, workload.merge(polite, rival))
    await run.fleet.read_starts()
    chosen = [one for one in samples if one.submission.customer == fleet.POLITE]
    wrong = [one.reply.fault for one in chosen if one.reply.fault]
    run.out.add(f'victim_{name}.not_right', len(wrong))
    if rival:
        refused = sum(one.reply.fault is not None for one in samples) - len(
            wrong
        )
        run.out.add('rival.submissions', len(rival))
        run.out.add('rival.not_right', refused)
    return statistics.fmean([one.response_s for one in chosen if one.counts])


def _add_cpu(
    out: report.Report,
    submissions: Sequence[workload.Submission],
    cpu_s: float,
    bare: floor.Floor,
) -> None:
    count = sum(len(one.tasks) for one in submissions)
    singles = sum(not one.is_job for one in submissions)
    floor_s = (
        singles * bare.single_cpu_s + (count - singles) * bare.job_task_cpu_s
    )
    out.add('tasks', count)
    out.add('dispatch_cpu_us_per_task', 1e6 * cpu_s / count)
    out.add('floor_cpu_us_per_task', 1e6 * floor_s / count)
    out.add('dispatch_cpu_over_floor', cpu_s / floor_s)


def _add_waste(
    out: report.Report,
    counted: measures.Counters,
    samples: Sequence[driver.Sample],
    name: str,
) -> None:
    useful = sum(one.reply.useful for one in samples)
    if not useful:
        raise ValueError('no task was answered')
    waste = measures.waste_by_kind(counted, useful)
    for kind, part in waste.items():
        out.add(f'{name}.{kind}', part)
    absent = measures.find_absent(counted)
    if absent:
        raise LookupError(f'no process reports {", ".join(absent)}')
    out.add(name, sum(waste.values()))


def _add_starts(
    out: report.Report,
    starts: dict[str, list[dict[str, Any]]],
    submissions: Sequence[workload.Submission],
    prefix: str = '',
) -> None:
    """Print how many tasks were started twice, and the busiest moment.

    Idempotent single requests do not count: they may be tried again.
    """
    once = {
        task.label for one in submissions if one.needs_key for task in one.tasks
    }
    counts = collections.Counter(
        one['task'] for one in _flatten(starts) if one['task'] in once
    )
    busiest = max((one['running'] for one in _flatten(starts)), default=0)
    out.add(
        f'{prefix}tasks_started_twice_unduly',
        sum(count > 1 for count in counts.values()),
    )
    out.add(f'{prefix}most_tasks_at_one_endpoint', busiest)


def _flatten(starts: dict[str, list[dict[str, Any]]]) -> list[dict[str, Any]]:
    return [start for record in starts.values() for start in record]


def _count_busy(
    starts: Iterable[dict[str, Any]], window: tuple[float, float]
) -> float:
    """Return the slot seconds that were busy in the window."""
    overlap = functools.partial(_overlap, window)
    return sum(overlap(start) for start in starts if start['end'])


def _overlap(window: tuple[float, float], start: dict[str, Any]) -> float:
    began = max(start['start'], window[0])
    return max(0, min(start['end'], window[1]) - began)
