"""Command line of the node program, apart from its execution."""

import dataclasses
import pathlib

import result
from absl import flags

from sardineproxy import command_line

USAGE = """Run the entry process of one entry VM on the users' platform.

Reads the platform's settings file, whose path stands in SARDINEPROXY_CONFIG,
and serves clients until SIGTERM. SIGHUP reads the settings again. Logs go to
standard output, one JSON object a line.

Example: sardineproxy-node --policy deploy/policy.jsonc --metrics_port 9464
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arguments:
    """Checked arguments of the node program."""

    #: Settings of the program's own policy, None for the defaults.
    policy: pathlib.Path | None

    #: Port for metrics and the state dump, None for no listener.
    metrics_port: int | None

    #: Only check all settings and end.
    check: bool


def parse(argv: list[str]) -> result.Result[Arguments | command_line.Help, str]:
    """Parse the command line; the error is one sentence."""
    values = _define()
    asked = command_line.read(values, argv, USAGE)
    if isinstance(asked, result.Err):
        return asked
    if asked.ok_value is not None:
        return result.Ok(asked.ok_value)
    return result.Ok(
        Arguments(
            policy=pathlib.Path(values.policy) if values.policy else None,
            metrics_port=values.metrics_port,
            check=values.check,
        )
    )


def _define() -> flags.FlagValues:
    values = command_line.new_flags()
    flags.DEFINE_string(
        'policy',
        None,
        "Settings of the program's own policy, JSON with comments.",
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
        help='Check the settings, open no port, and end.',
        flag_values=values,
    )
    return values
