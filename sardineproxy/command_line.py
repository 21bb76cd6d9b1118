"""Command-line flags and their parsing, shared by the programs."""

import dataclasses
import sys

import result
from absl import flags

from sardineproxy import exit_status


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Help:
    """The text to print because the command line has ``--help``."""

    text: str


def parse_flags(
    values: flags.FlagValues, argv: list[str], usage: str
) -> result.Result[Help | None, str]:
    """Parse ``argv`` into ``values`` without output.

    Returns the help if it is requested; the error is one sentence.
    """
    try:
        remaining = values(argv)
    except flags.Error as exc:
        return result.Err(f'{exc}; see --help.')
    if values.help:
        return result.Ok(Help(text=usage + values.get_help()))
    if len(remaining) > 1:
        return result.Err(f'unexpected argument "{remaining[1]}"; see --help.')
    return result.Ok(None)


def new_flags() -> flags.FlagValues:
    """Return a set of flags that contains only ``--help``."""
    values = flags.FlagValues()
    flags.DEFINE_bool('help', False, 'Show this help.', flag_values=values)
    return values


def parse(
    values: flags.FlagValues, argv: list[str], description: str
) -> exit_status.ExitStatus | None:
    """Parse ``argv`` and print errors or help.

    Returns the status to exit with, None if the program is to run.
    """
    try:
        remaining = values(argv)
    except flags.Error as exc:
        sys.stderr.write(f'{exc}\n')
        return exit_status.ExitStatus.USAGE
    if values.help:
        sys.stdout.write(f'{description}\n\n{values.get_help()}\n')
        return exit_status.ExitStatus.SUCCESS
    if len(remaining) > 1:
        sys.stderr.write(f'Unexpected argument "{remaining[1]}".\n')
        return exit_status.ExitStatus.USAGE
    return None
