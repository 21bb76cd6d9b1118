"""Command line of the entry program."""

import dataclasses
import pathlib

import result
from absl import flags

from sardineproxy import command_line

USAGE = """Run the entry process of one entry VM.

Reads a settings file (JSON with comments, see docs/settings.md), polls the
platform for the configuration and the VM list, and serves callers until
SIGTERM. Prints one line with its ports on standard output, and its logs on
standard error.

Example: sardineproxy-entry --settings entry.jsonc
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arguments:
    """Validated arguments of the entry program."""

    settings: pathlib.Path

    #: Validate the settings and exit.
    check: bool


def parse(argv: list[str]) -> result.Result[Arguments | command_line.Help, str]:
    """Parse the command line; an error is one sentence."""
    values = _define_flags()
    parsed = command_line.parse_flags(values, argv, USAGE)
    if isinstance(parsed, result.Err):
        return parsed
    if parsed.ok_value is not None:
        return result.Ok(parsed.ok_value)
    if not values.settings:
        return result.Err('--settings FILE is required; see --help.')
    return result.Ok(
        Arguments(
            settings=pathlib.Path(values.settings),
            check=values.check,
        )
    )


def _define_flags() -> flags.FlagValues:
    values = command_line.new_flags()
    flags.DEFINE_string(
        'settings',
        None,
        'Settings file, JSON with comments.',
        flag_values=values,
        short_name='s',
    )
    flags.DEFINE_bool(
        'check',
        default=False,
        help='Validate the settings and exit without opening a port.',
        flag_values=values,
    )
    return values
