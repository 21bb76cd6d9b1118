"""The program ``sardineproxyctl``, with which operators manage versions."""

import asyncio
import types
from typing import Awaitable, Callable, Mapping

from absl import flags

from sardineproxy import exit_status
from sardineproxy.operator import (
    commands,
    credential,
    environment,
    fleet,
    options,
)

_Command = Callable[
    [environment.Environment, options.Options],
    Awaitable[exit_status.ExitStatus],
]

_COMMANDS: Mapping[str, _Command] = types.MappingProxyType(
    {
        'check': commands.check,
        'diff': commands.diff,
        'apply': commands.apply,
        'history': commands.history,
        'versions': fleet.versions,
        'state': fleet.state,
        'hash-credential': credential.hash_credential,
    }
)


def main(
    argv: list[str], env: environment.Environment | None = None
) -> exit_status.ExitStatus:
    """Run the command that ``argv`` names."""
    env = env or environment.from_process()
    values = options.make_flags()
    try:
        arguments = values(argv)[1:]
    except flags.Error as exc:
        return _report_usage_error(env, str(exc))
    if values.help:
        env.stdout.write(options.help_text(values))
        return exit_status.ExitStatus.SUCCESS
    name = arguments[0] if arguments else ''
    if name not in _COMMANDS:
        names = ', '.join(_COMMANDS)
        return _report_usage_error(
            env, f'Expected one of the commands {names}, found "{name}"'
        )
    parsed = options.parse(name, arguments[1:], values)
    if parsed.is_err():
        return _report_usage_error(env, parsed.unwrap_err())
    try:
        return asyncio.run(_run(_COMMANDS[name], env, parsed.unwrap()))
    except KeyboardInterrupt:
        env.print_error(
            'Interrupted. An apply command may have taken effect; run the same '
            'command again to find out.'
        )
        return exit_status.ExitStatus.UNKNOWN


async def _run(
    command: _Command, env: environment.Environment, opts: options.Options
) -> exit_status.ExitStatus:
    return await command(env, opts)


def _report_usage_error(
    env: environment.Environment, reason: str
) -> exit_status.ExitStatus:
    env.print_error(f'{reason}; see --help.')
    return exit_status.ExitStatus.USAGE
