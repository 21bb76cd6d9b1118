"""Flags and their parsing, shared by the programs."""

import dataclasses
import sys

import result
from absl import flags

from sardineproxy import exit_status


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Help:
    """The person asked for help."""

    text: str


def read(
    values: flags.FlagValues, argv: list[str], usage: str
) -> result.Result[Help | None, str]:
    """Read ``argv`` into ``values``; the error is one sentence."""
    try:
        rest = values(argv)
    except flags.Error as exc:
        return result.Err(f'{exc}; see --help.')
    if values.help:
        return result.Ok(Help(text=usage + values.get_help()))
    if len(rest) > 1:
        return result.Err(f'unexpected argument "{rest[1]}"; see --help.')
    return result.Ok(None)


def new_flags() -> flags.FlagValues:
    """Return an empty set of flags that knows only ``--help``."""
    values = flags.FlagValues()
    flags.DEFINE_bool('help', False, 'Show this help.', flag_values=values)
    return values


def parse(
    values: flags.FlagValues, argv: list[str], about: str
) -> exit_status.ExitStatus | None:
    """Parse ``argv``; return a status if the program must end at once."""
    try:
        rest = values(argv)
    except flags.Error as exc:
        sys.stderr.write(f'{exc}\n')
        return exit_status.ExitStatus.USAGE
    if values.help:
        sys.stdout.write(f'{about}\n\n{values.get_help()}\n')
        return exit_status.ExitStatus.SUCCESS
    if len(rest) > 1:
        sys.stderr.write(f'Unexpected argument "{rest[1]}".\n')
        return exit_status.ExitStatus.USAGE
    return None
