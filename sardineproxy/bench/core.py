"""Measure a deployment under load against an ideal, floors and baselines.

Starts three zones with 24 workers of 8 slots and 6 entry VMs on loopback,
offers seeded work without waiting for answers, and prints one "name: value"
line for each figure. Figures of the baselines have the prefix "random." or
"round_robin.": they send the main phase's work straight to the endpoints.
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
class Seconds:
    """Durations of the run, in seconds."""

    #: Main phase, and each baseline.
    main: float

    #: Other phases.
    short: float
    floor: float

    #: Longest wait for answers after a phase's last arrival.
    drain: float

    #: Run times of the few long tasks, in milliseconds.
    long_ms: tuple[int, int] = workload.LONG_MS

    #: After this time, phases end and figures are not measured.
    limit: float


FULL = Seconds(main=35, short=12, floor=5, drain=12, limit=285)
# Shorter long tasks, because phases wait for their end.
QUICK = Seconds(
    main=5, short=3, floor=2, drain=6, limit=100, long_ms=(1500, 2000)
)

#: Requests a second of the floors: about those of one entry process.
FLOOR_RATE = 70

MAIN_FIGURES = (
    *ratios.NAMES,
    'dispatch_cpu_us_per_task',
    'dispatch_cpu_over_floor',
    'wasted_messages_per_task',
)
OTHER_FIGURES = (
    'victim_slowdown',
    'slot_utilisation_saturated',
    'wasted_messages_per_task_faults',
)
SENDERS = ('random', 'round_robin')


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Run all phases; succeed if every figure was measured."""
    cfg = _define_flags()
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    out = report.Report(clock=clocks.SystemClock())
    try:
        processes.run(
            run(
                out=out,
                seconds=QUICK if cfg.quick else FULL,
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
    flags.DEFINE_integer('seed', 1, 'Seed of the work.', flag_values=cfg)
    flags.DEFINE_float(
        'load',
        0.7,
        'Offered load of the main phase, as a part of the capacity.',
        0.01,
        2,
        flag_values=cfg,
    )
    return cfg


async def run(
    *,
    out: report.Report,
    seconds: Seconds,
    seed: int,
    load: float,
    module: str = 'sardineproxy',
) -> None:
    """Run all phases on programs of ``module``."""
    out.stop_after(seconds.limit)
    async with deployment.Deployment(module=module) as dep:
        measured = fleet.Fleet(dep)
        await measured.start_endpoints()
        shared = phases.Run(
            fleet=measured,
            out=out,
            seed=seed,
            load=load,
            main_s=seconds.main,
            short_s=seconds.short,
            drain_s=seconds.drain,
            long_ms=seconds.long_ms,
        )
        bare = await _measure_floor(shared, seconds.floor, 'baselines.')
        await _measure_baselines(shared, bare)
        # Other load on the machine changes the floor within minutes, so it is
        # measured again right before the figures that depend on it.
        bare = await _measure_floor(shared, seconds.floor, '')
        await _measure_ours(shared, bare)


async def _measure_floor(
    run: phases.Run, seconds: float, prefix: str
) -> floor.Floor:
    await run.fleet.wait_idle()
    bare = await floor.measure(run.fleet.dep, seconds=seconds, rate=FLOOR_RATE)
    run.out.add(f'{prefix}round_trip_ms', 1000 * bare.round_trip_s)
    run.out.add(f'{prefix}floor_cpu_us_per_job_task', 1e6 * bare.job_task_cpu_s)
    run.out.add(f'{prefix}floor_cpu_us_per_single', 1e6 * bare.single_cpu_s)
    return bare


async def _measure_ours(run: phases.Run, bare: floor.Floor) -> None:
    out = run.out
    # Without entry processes all figures are missing, for one reason.
    async with out.measuring('set-up', *MAIN_FIGURES, *OTHER_FIGURES):
        await run.fleet.start_entries()
        async with out.measuring('main', *MAIN_FIGURES):
            await phases.measure_main(run, bare)
        async with out.measuring('saturated', 'slot_utilisation_saturated'):
            await phases.measure_saturation(run)
        async with out.measuring('victim', 'victim_slowdown'):
            await phases.measure_victim(run)
        async with out.measuring('faults', 'wasted_messages_per_task_faults'):
            await phases.measure_faults(run)


async def _measure_baselines(run: phases.Run, bare: floor.Floor) -> None:
    endpoints = list(run.fleet.dep.endpoints.values())
    for name in SENDERS:
        figures = [f'{name}.{one}' for one in ratios.NAMES]
        async with run.out.measuring(name, *figures):  # noqa: WPS476
            sender = _open_sender(name, endpoints, run.seed)
            await phases.measure_baseline(run, bare, name, sender)  # noqa: WPS476


def _open_sender(
    name: str, endpoints: list[parts.Endpoint], seed: int
) -> senders.RandomSender | senders.RoundRobinSender:
    if name == 'round_robin':
        return senders.RoundRobinSender(endpoints)
    entries = len(fleet.ZONES) * len(fleet.ENTRY_SIZES)
    return senders.RandomSender(endpoints, entries=entries, seed=seed)
