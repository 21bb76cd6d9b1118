"""Run the soak test: random faults in real node processes on loopback.

Each seed is one run. The plan of a failed run is printed, and its logs are
kept. Seeds that have failed before are listed in tests/soak/cases.txt.
"""

import asyncio
import dataclasses
import pathlib
import random
import shutil
import sys
import tempfile
import time

from absl import flags

from sardineproxy import command_line, exit_status
from tests.soak import soak_run

CASES = pathlib.Path(__file__).with_name('cases.txt')

MAX_SEED = 2**32


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Run seeds one after the other; fail if one violates a guarantee."""
    cfg = _define_flags()
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    size = soak_run.Size(
        zones=cfg.zones,
        vms=cfg.vms,
        workers=cfg.workers,
        clients=cfg.clients,
        faults=cfg.faults,
        length_s=cfg.length_s,
    )
    failed_seeds = [
        seed
        for seed in _select_seeds(cfg)
        if not run_seed(seed, size, log_directory=pathlib.Path(cfg.logs))
    ]
    sys.stdout.write(f'failed seeds: {failed_seeds}\n')
    return exit_status.ExitStatus.ERROR if failed_seeds else _SUCCESS


_SUCCESS = exit_status.ExitStatus.SUCCESS


def read_cases() -> list[int]:
    """Return the seeds that have failed before."""
    return [
        int(line.split()[0])
        for line in CASES.read_text(encoding='utf-8').splitlines()
        if line and not line.startswith('#')
    ]


def run_seed(
    seed: int, size: soak_run.Size, *, log_directory: pathlib.Path
) -> bool:
    """Run one seed, print its report, and keep the logs of a failed run."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(
        prefix='sardineproxy-soak-'
    ) as directory_name:
        directory = pathlib.Path(directory_name)
        report = asyncio.run(soak_run.run(seed, size, directory))
        duration_s = time.monotonic() - started_at
        sys.stdout.write(f'seed {seed}: {report.summary}, {duration_s:.0f} s\n')
        if not report.violations:
            return True
        for violation in report.violations[:20]:
            sys.stdout.write(f'  FAILED: {violation}\n')
        for fault in report.plan:
            sys.stdout.write(f'  {dataclasses.astuple(fault)}\n')
        run_logs = log_directory / f'seed-{seed}'
        shutil.copytree(directory, run_logs, dirs_exist_ok=True)
        sys.stdout.write(f'  logs: {run_logs}\n')
    return False


def _select_seeds(cfg: flags.FlagValues) -> list[int]:
    if cfg.cases:
        return read_cases()
    if cfg.seed is None:
        first_seed = random.SystemRandom().randrange(MAX_SEED)
    else:
        first_seed = cfg.seed
    return list(range(first_seed, first_seed + cfg.count))


def _define_flags() -> flags.FlagValues:
    cfg = command_line.new_flags()
    size = soak_run.Size()
    flags.DEFINE_integer(
        'seed', None, 'First seed, random by default.', flag_values=cfg
    )
    flags.DEFINE_integer(
        'count', 1, 'Number of seeds to run.', 1, flag_values=cfg
    )
    flags.DEFINE_bool(
        'cases',
        False,
        'Run the seeds that have failed before.',
        flag_values=cfg,
    )
    flags.DEFINE_string(
        'logs',
        'build/soak',
        'Directory for the logs of failed runs.',
        flag_values=cfg,
    )
    for name in ('zones', 'vms', 'workers', 'clients', 'faults'):
        flags.DEFINE_integer(
            name, getattr(size, name), f'Number of {name}.', 1, flag_values=cfg
        )
    flags.DEFINE_float(
        'length_s',
        size.length_s,
        'Period in which faults start, in seconds.',
        flag_values=cfg,
    )
    return cfg


if __name__ == '__main__':
    sys.exit(main(sys.argv))
