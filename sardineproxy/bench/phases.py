"""Phases of the benchmark: each offers work and prints its figures."""

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

#: Offered load while faults are injected, as a fraction of the capacity.
FAULTS_LOAD = 0.5

#: Load of the polite customer as a fraction of the capacity. Its fair share is
#: a half.
POLITE_LOAD = 0.45

#: Load of the rival as a multiple of the capacity. Its fair share is a half.
RIVAL_LOAD = 5.0
RIVAL_JOB_TASKS = (100, 101)

#: Offered load of the saturated phase, as a fraction of the capacity.
SATURATED_LOAD = 1.3

#: Fraction of the saturated phase whose submissions are all sent at its start,
#: so that there is a backlog during the rest.
BURST_FRACTION = 0.1

#: Fraction of the saturated phase before slot utilisation is measured.
WARM_UP_FRACTION = 0.2

#: Faulty endpoints of the faults phase: index and mode.
ENDPOINT_FAULTS = ((0, 'fail'), (7, 'close_idle'), (9, 'refuse'), (18, 'cut'))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PhaseContext:
    """Deployment, report and parameters that all phases share."""

    fleet: fleet.Fleet
    out: report.Report
    seed: int

    #: Offered load of the main phase, as a fraction of the capacity.
    load: float
    main_s: float
    short_s: float

    #: Timeout for replies after the last arrival.
    drain_s: float

    #: Shortest and longest run time of the few long tasks, in milliseconds.
    long_ms: tuple[int, int]

    def make_plan(
        self, name: str, *, load: float, **overrides: Any
    ) -> workload.Plan:
        """Return a plan that offers ``load`` times the capacity."""
        return workload.Plan(
            name=name,
            seed=self.seed,
            offered_load=load * self.fleet.capacity,
            entry_vms=len(fleet.ZONES) * len(fleet.ENTRY_SIZES),
            **{
                'duration_s': self.main_s,
                'long_ms': self.long_ms,
                'customers': dict(fleet.CUSTOMERS),
                **overrides,
            },
        )


async def _offer_to_entries(
    ctx: PhaseContext, submissions: Sequence[workload.Submission]
) -> tuple[driver.Driver, list[driver.Sample]]:
    """Send submissions to the entry processes and return the samples."""
    sender = senders.EntrySender(ctx.fleet.create_callers())
    await sender.prepare(submissions)
    await ctx.fleet.wait_idle()
    load_driver = driver.Driver(clock=clocks.SystemClock(), sender=sender)
    return load_driver, await load_driver.run(
        submissions, drain_timeout_s=ctx.drain_s
    )


async def measure_main(ctx: PhaseContext, floors: floor.Floors) -> None:
    """Offer the main load and print ratios, messages and CPU time."""
    submissions = workload.generate(ctx.make_plan('main', load=ctx.load))
    await ctx.fleet.read_and_clear_starts()
    counters_before, cpu_s_before = await asyncio.gather(
        ctx.fleet.read_counters(), ctx.fleet.read_cpu()
    )
    _, samples = await _offer_to_entries(ctx, submissions)
    cpu_s = await ctx.fleet.read_cpu() - cpu_s_before
    counter_increase = measures.subtract_counters(
        await ctx.fleet.read_counters(), counters_before
    )
    ideals = ratios.compute_ideals(
        samples, ctx.fleet.slot_speeds, floors.round_trip_s
    )
    ratios.add_ratios(ctx.out, samples, ideals)
    lateness_ms = [1000 * sample.lateness_s for sample in samples]
    ctx.out.add('driver_lateness_p50_ms', measures.percentile(lateness_ms, 50))
    ctx.out.add('driver_lateness_p99_ms', measures.percentile(lateness_ms, 99))
    await ctx.fleet.wait_idle()
    _add_cpu_figures(ctx.out, submissions, cpu_s, floors)
    _add_start_figures(
        ctx.out, await ctx.fleet.read_and_clear_starts(), submissions
    )
    _add_waste_figures(
        ctx.out, counter_increase, samples, 'wasted_messages_per_task'
    )


async def measure_faults(ctx: PhaseContext) -> None:
    """Offer load while the platform is down and some endpoints are faulty."""
    submissions = workload.generate(
        ctx.make_plan('faults', load=FAULTS_LOAD, duration_s=ctx.short_s)
    )
    counters_before = await ctx.fleet.read_counters()
    dep = ctx.fleet.dep
    endpoint_names = list(dep.endpoints)
    await asyncio.gather(
        dep.set_platform_faults(down=True),
        *(
            dep.set_endpoint_mode(endpoint_names[index], mode)
            for index, mode in ENDPOINT_FAULTS
        ),
    )
    try:
        _, samples = await _offer_to_entries(ctx, submissions)
    finally:
        await asyncio.gather(
            dep.set_platform_faults(down=False),
            *(
                dep.set_endpoint_mode(endpoint_names[index], 'normal')
                for index, _ in ENDPOINT_FAULTS
            ),
        )
    counter_increase = measures.subtract_counters(
        await ctx.fleet.read_counters(), counters_before
    )
    incorrect_count = sum(
        sample.outcome.error is not None for sample in samples
    )
    ctx.out.add('faults.submissions', len(samples))
    ctx.out.add('faults.submissions_not_right', incorrect_count)
    starts = await ctx.fleet.read_and_clear_starts()
    _add_start_figures(ctx.out, starts, submissions, 'faults.')
    _add_waste_figures(
        ctx.out, counter_increase, samples, 'wasted_messages_per_task_faults'
    )


async def measure_victim(ctx: PhaseContext) -> None:
    """Compare the mean response time of a customer alone and beside a rival.

    The victim is the polite customer, which stays below its fair share; the
    rival exceeds its own.
    """
    alone_s = await _measure_polite_response(ctx, 'alone', ())
    rival_submissions = workload.generate(
        ctx.make_plan(
            'rival',
            load=RIVAL_LOAD,
            duration_s=ctx.short_s,
            customers={fleet.RIVAL_CUSTOMER: 1},
            job_fraction=1,
            job_tasks=RIVAL_JOB_TASKS,
        )
    )
    beside_s = await _measure_polite_response(ctx, 'beside', rival_submissions)
    ctx.out.add('victim_response_alone_ms', 1000 * alone_s)
    ctx.out.add('victim_response_beside_rival_ms', 1000 * beside_s)
    ctx.out.add('victim_slowdown', beside_s / alone_s)


async def measure_saturation(ctx: PhaseContext) -> None:
    """Offer more than the capacity and measure slot utilisation."""
    submissions = workload.generate(
        ctx.make_plan('saturated', load=SATURATED_LOAD, duration_s=ctx.short_s)
    )
    submissions = [
        dataclasses.replace(
            submission,
            arrival_s=max(
                0, submission.arrival_s - BURST_FRACTION * ctx.short_s
            ),
        )
        for submission in submissions
    ]
    await ctx.fleet.read_and_clear_starts()
    load_driver, _ = await _offer_to_entries(ctx, submissions)
    await ctx.fleet.wait_idle()
    window = (
        load_driver.started_at + WARM_UP_FRACTION * ctx.short_s,
        load_driver.started_at + ctx.short_s,
    )
    starts = await ctx.fleet.read_and_clear_starts()
    busy_s = _busy_slot_seconds(_flatten(starts), window)
    ctx.out.add(
        'slot_utilisation_saturated',
        busy_s / (window[1] - window[0]) / len(ctx.fleet.slot_speeds),
    )


async def measure_baseline(
    ctx: PhaseContext, floors: floor.Floors, baseline: str, sender: Any
) -> None:
    """Send the main load directly to the endpoints."""
    submissions = workload.generate(ctx.make_plan(baseline, load=ctx.load))
    await ctx.fleet.wait_idle()
    load_driver = driver.Driver(clock=clocks.SystemClock(), sender=sender)
    samples = await load_driver.run(submissions, drain_timeout_s=ctx.drain_s)
    await sender.close()
    ideals = ratios.compute_ideals(
        samples, ctx.fleet.slot_speeds, floors.round_trip_s
    )
    ratios.add_ratios(ctx.out, samples, ideals, prefix=f'{baseline}.')


async def _measure_polite_response(
    ctx: PhaseContext,
    name: str,
    rival_submissions: Sequence[workload.Submission],
) -> float:
    """Return the mean response time of the polite customer, in seconds."""
    polite_submissions = workload.generate(
        ctx.make_plan(
            name,
            load=POLITE_LOAD,
            duration_s=ctx.short_s,
            customers={fleet.POLITE_CUSTOMER: 1},
        )
    )
    _, samples = await _offer_to_entries(
        ctx, workload.merge(polite_submissions, rival_submissions)
    )
    await ctx.fleet.read_and_clear_starts()
    polite_samples = [
        sample
        for sample in samples
        if sample.submission.customer == fleet.POLITE_CUSTOMER
    ]
    polite_errors = [
        sample.outcome.error
        for sample in polite_samples
        if sample.outcome.error
    ]
    ctx.out.add(f'victim_{name}.not_right', len(polite_errors))
    if rival_submissions:
        rival_error_count = sum(
            sample.outcome.error is not None for sample in samples
        ) - len(polite_errors)
        ctx.out.add('rival.submissions', len(rival_submissions))
        ctx.out.add('rival.not_right', rival_error_count)
    return statistics.fmean(
        [sample.response_s for sample in polite_samples if sample.is_counted]
    )


def _add_cpu_figures(
    out: report.Report,
    submissions: Sequence[workload.Submission],
    cpu_s: float,
    floors: floor.Floors,
) -> None:
    task_count = sum(len(submission.tasks) for submission in submissions)
    single_count = sum(not submission.is_job for submission in submissions)
    floor_s = (
        single_count * floors.single_cpu_s
        + (task_count - single_count) * floors.job_task_cpu_s
    )
    out.add('tasks', task_count)
    out.add('dispatch_cpu_us_per_task', 1e6 * cpu_s / task_count)
    out.add('floor_cpu_us_per_task', 1e6 * floor_s / task_count)
    out.add('dispatch_cpu_over_floor', cpu_s / floor_s)


def _add_waste_figures(
    out: report.Report,
    counter_increase: measures.Counters,
    samples: Sequence[driver.Sample],
    name: str,
) -> None:
    correct_tasks = sum(sample.outcome.correct_tasks for sample in samples)
    if not correct_tasks:
        raise ValueError('no task has a correct result')
    wasted_per_task = measures.waste_by_kind(counter_increase, correct_tasks)
    for kind, count_per_task in wasted_per_task.items():
        out.add(f'{name}.{kind}', count_per_task)
    missing_families = measures.find_missing_families(counter_increase)
    if missing_families:
        raise LookupError(f'no process exports {", ".join(missing_families)}')
    out.add(name, sum(wasted_per_task.values()))


def _add_start_figures(
    out: report.Report,
    starts: dict[str, list[dict[str, Any]]],
    submissions: Sequence[workload.Submission],
    prefix: str = '',
) -> None:
    """Print how many tasks started more than once and the peak per endpoint.

    The first figure excludes idempotent single requests, because they may be
    retried. The second is the highest number of tasks that ran at one endpoint
    at the same time.
    """
    keyed_labels = {
        task.label
        for submission in submissions
        if submission.needs_key
        for task in submission.tasks
    }
    start_counts = collections.Counter(
        start['task']
        for start in _flatten(starts)
        if start['task'] in keyed_labels
    )
    most_running = max(
        (start['running'] for start in _flatten(starts)), default=0
    )
    out.add(
        f'{prefix}tasks_started_twice_unduly',
        sum(count > 1 for count in start_counts.values()),
    )
    out.add(f'{prefix}most_tasks_at_one_endpoint', most_running)


def _flatten(starts: dict[str, list[dict[str, Any]]]) -> list[dict[str, Any]]:
    return [start for record in starts.values() for start in record]


def _busy_slot_seconds(
    starts: Iterable[dict[str, Any]], window: tuple[float, float]
) -> float:
    """Return the busy time of all slots within the window."""
    overlap = functools.partial(_overlap_s, window)
    return sum(overlap(start) for start in starts if start['end'])


def _overlap_s(window: tuple[float, float], start: dict[str, Any]) -> float:
    started_at = max(start['start'], window[0])
    return max(0, min(start['end'], window[1]) - started_at)
