"""Benchmark a deployment against an ideal schedule, floors and baselines.

Starts three zones with 24 workers of 8 slots and 6 entry VMs on loopback,
offers an open-loop load from a seed, and prints one "name: value" line for
each figure. The baselines send the work of the main phase directly to the
endpoints; their figures have the prefix "random." or "round_robin.".
A figure that could not be measured is printed as "not measured", with the
reason on standard error. Takes under five minutes, or about one with --quick.
"""

import dataclasses
import sys

from absl import flags

from sardineproxy import clock as clocks, command_line
from sardineproxy import exit_status
from sardineproxy.bench import (
    fleet,
    floor,
    phases,
    ratios,
    report,
    senders,
    workload,
)
from sardineproxy.demo import deployment, parts, processes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Durations:
    """Durations of the phases."""

    #: Main phase, and each baseline.
    main_s: float

    #: Other phases.
    short_s: float
    floor_s: float

    #: Timeout for replies after the last arrival of a phase.
    drain_s: float

    #: Shortest and longest run time of the few long tasks, in milliseconds.
    long_ms: tuple[int, int] = workload.LONG_MS

    #: Time limit of the whole run. Figures that are missing by then are
    #: reported as not measured.
    limit_s: float


FULL = Durations(main_s=35, short_s=12, floor_s=5, drain_s=12, limit_s=285)
# The long tasks are shorter here because each phase waits for them to end.
QUICK = Durations(
    main_s=5, short_s=3, floor_s=2, drain_s=6, limit_s=100, long_ms=(1500, 2000)
)

#: Request rate for measuring the floors: about that of one entry process.
FLOOR_REQUESTS_PER_S = 70

MAIN_FIGURES = (
    *ratios.RATIO_NAMES,
    'dispatch_cpu_us_per_task',
    'dispatch_cpu_over_floor',
    'wasted_messages_per_task',
)
OTHER_FIGURES = (
    'victim_slowdown',
    'slot_utilisation_saturated',
    'wasted_messages_per_task_faults',
)
BASELINES = ('random', 'round_robin')


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Run all phases; return SUCCESS if every figure was measured."""
    cfg = _define_flags()
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    out = report.Report(clock=clocks.SystemClock())
    try:
        processes.run(
            run(
                out=out,
                durations=QUICK if cfg.quick else FULL,
                seed=cfg.seed,
                load=cfg.load,
            )
        )
    except processes.DeploymentError as exc:
        sys.stderr.write(f'{exc}\n')
        return exit_status.ExitStatus.ERROR
    if None in out.figures.values():
        return exit_status.ExitStatus.ERROR
    return exit_status.ExitStatus.SUCCESS


def _define_flags() -> flags.FlagValues:
    cfg = command_line.new_flags()
    flags.DEFINE_bool(
        'quick', False, 'Run for about one minute.', flag_values=cfg
    )
    flags.DEFINE_integer(
        'seed', 1, 'Seed of the random workload.', flag_values=cfg
    )
    flags.DEFINE_float(
        'load',
        0.7,
        'Offered load of the main phase, as a fraction of the capacity.',
        0.01,
        2,
        flag_values=cfg,
    )
    return cfg


async def run(
    *,
    out: report.Report,
    durations: Durations,
    seed: int,
    load: float,
    module: str = 'sardineproxy',
) -> None:
    """Run all phases; start the programs with ``python -m module``."""
    out.set_time_limit(durations.limit_s)
    async with deployment.Deployment(module=module) as dep:
        bench_fleet = fleet.Fleet(dep)
        await bench_fleet.start_endpoints()
        ctx = phases.PhaseContext(
            fleet=bench_fleet,
            out=out,
            seed=seed,
            load=load,
            main_s=durations.main_s,
            short_s=durations.short_s,
            drain_s=durations.drain_s,
            long_ms=durations.long_ms,
        )
        floors = await _measure_floors(ctx, durations.floor_s, 'baselines.')
        await _measure_baselines(ctx, floors)
        # Other load on the machine changes the floors within minutes, so they
        # are measured again right before the figures that depend on them.
        floors = await _measure_floors(ctx, durations.floor_s, '')
        await _measure_entry_processes(ctx, floors)


async def _measure_floors(
    ctx: phases.PhaseContext, duration_s: float, prefix: str
) -> floor.Floors:
    await ctx.fleet.wait_idle()
    floors = await floor.measure_floors(
        ctx.fleet.dep,
        duration_s=duration_s,
        requests_per_s=FLOOR_REQUESTS_PER_S,
    )
    ctx.out.add(f'{prefix}round_trip_ms', 1000 * floors.round_trip_s)
    ctx.out.add(
        f'{prefix}floor_cpu_us_per_job_task', 1e6 * floors.job_task_cpu_s
    )
    ctx.out.add(f'{prefix}floor_cpu_us_per_single', 1e6 * floors.single_cpu_s)
    return floors


async def _measure_entry_processes(
    ctx: phases.PhaseContext, floors: floor.Floors
) -> None:
    out = ctx.out
    # If the entry processes do not start, all figures are reported as not
    # measured for that one reason.
    async with out.measure_phase('set-up', *MAIN_FIGURES, *OTHER_FIGURES):
        await ctx.fleet.start_entries()
        async with out.measure_phase('main', *MAIN_FIGURES):
            await phases.measure_main(ctx, floors)
        async with out.measure_phase('saturated', 'slot_utilisation_saturated'):
            await phases.measure_saturation(ctx)
        async with out.measure_phase('victim', 'victim_slowdown'):
            await phases.measure_victim(ctx)
        async with out.measure_phase(
            'faults', 'wasted_messages_per_task_faults'
        ):
            await phases.measure_faults(ctx)


async def _measure_baselines(
    ctx: phases.PhaseContext, floors: floor.Floors
) -> None:
    endpoints = list(ctx.fleet.dep.endpoints.values())
    for baseline in BASELINES:
        figures = [f'{baseline}.{name}' for name in ratios.RATIO_NAMES]
        async with ctx.out.measure_phase(baseline, *figures):  # noqa: WPS476
            sender = _create_sender(baseline, endpoints, ctx.seed)
            await phases.measure_baseline(ctx, floors, baseline, sender)  # noqa: WPS476


def _create_sender(
    baseline: str, endpoints: list[parts.Endpoint], seed: int
) -> senders.RandomSender | senders.RoundRobinSender:
    if baseline == 'round_robin':
        return senders.RoundRobinSender(endpoints)
    entry_vms = len(fleet.ZONES) * len(fleet.ENTRY_SIZES)
    return senders.RandomSender(endpoints, entry_vms=entry_vms, seed=seed)
