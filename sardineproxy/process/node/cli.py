"""Command-line parsing of the node program."""

import dataclasses
import pathlib

import result
from absl import flags

from sardineproxy import command_line

USAGE = """Run the entry process of one entry VM on the users' platform.

Reads the platform's settings file from the path in SARDINEPROXY_CONFIG, and
serves clients until SIGTERM. SIGHUP reloads the settings. Logs are written to
standard output, one JSON object per line.

Example: sardineproxy-node --policy deploy/policy.jsonc --metrics_port 9464
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arguments:
    """Parsed arguments of the node program."""

    #: Policy file of the program, None for the default policy.
    policy: pathlib.Path | None

    #: Port for metrics and the state dump, None to disable the listener.
    metrics_port: int | None

    #: Validate all settings and exit.
    check: bool


def parse(argv: list[str]) -> result.Result[Arguments | command_line.Help, str]:
    """Return the parsed command line or help, or an error sentence."""
    values = _define_flags()
    parsed = command_line.parse_flags(values, argv, USAGE)
    if isinstance(parsed, result.Err):
        return parsed
    if parsed.ok_value is not None:
        return result.Ok(parsed.ok_value)
    return result.Ok(
        Arguments(
            policy=pathlib.Path(values.policy) if values.policy else None,
            metrics_port=values.metrics_port,
            check=values.check,
        )
    )


def _define_flags() -> flags.FlagValues:
    values = command_line.new_flags()
    flags.DEFINE_string(
        'policy',
        None,
        "File with the program's policy settings, JSON with comments.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        'metrics_port',
        None,
        "Port for metrics and the state dump on the VM's address.",
        lower_bound=1,
        upper_bound=65_535,
        flag_values=values,
    )
    flags.DEFINE_bool(
        'check',
        default=False,
        help='Validate the settings and exit without opening a port.',
        flag_values=values,
    )
    return values
