"""Hunt for broken rules: real nodes under random faults in virtual time.

Plays one hunt for each seed, and prints a line for each violation and each
fault of the hunts that have one. A hunt takes about two seconds.
"""

import sys

from absl import flags

from sardineproxy import command_line, exit_status
from sardineproxy.emulator import hunt


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Play the hunts; return SUCCESS if no rule was broken."""
    cfg = command_line.new_flags()
    flags.DEFINE_integer('seed', 1, 'Seed of the first hunt.', flag_values=cfg)
    flags.DEFINE_integer(
        'count', 20, 'Number of hunts.', lower_bound=1, flag_values=cfg
    )
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    seeds = range(cfg.seed, cfg.seed + cfg.count)
    broken = [report for report in map(hunt.hunt, seeds) if not _show(report)]
    sys.stdout.write(f'hunts: {cfg.count}\nbroken: {len(broken)}\n')
    if broken:
        return exit_status.ExitStatus.ERROR
    return exit_status.ExitStatus.SUCCESS


def _show(report: hunt.Report) -> bool:
    """Print a hunt with a violation; return whether there is none."""
    for line in report.violations:
        sys.stdout.write(f'seed {report.seed}: {line}\n')
    if report.violations:
        for fault in report.faults:
            sys.stdout.write(f'seed {report.seed}: fault: {fault}\n')
    return not report.violations
