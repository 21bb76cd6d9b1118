"""Program: stand-in for the platform's tables, objects and VM list."""

import asyncio
import signal
import sys

from absl import flags

from sardineproxy import clock, exit_status
from sardineproxy.process import ready
from sardineproxy.standin import platform_control, platform_server

_INTRODUCTION = """\
Usage: sardineproxy-standin-platform [--host IP] [--port PORT] [flags]

Stands in for the platform in tests and demos. Keeps everything in memory.
Prints {"ready": {"http": PORT}} when its port is open; ends on SIGTERM.

Faults are set by POST with a JSON object:
  /control/down          {"down": true}     answer everything with 503
  /control/slow          {"ms": 500}        wait before each request
  /control/stale-reads   {"stale": true}    plain reads see the present rows
                                            until {"stale": false}
  /control/list-lag      {"seconds": 5}     answer with the list of then
  /control/lose-answers  {"writes": 2}      close the connection after the
                                            next writes that take effect
  /control/vms           {"vms": [...]}     replace the list of VMs
GET /control/state shows the faults and counts of requests.
"""


def make_flags() -> flags.FlagValues:
    """Return the program's flags."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        'host', '127.0.0.1', 'IP number to listen on.', flag_values=values
    )
    flags.DEFINE_integer(
        'port',
        0,
        'Port to listen on; 0 lets the kernel choose.',
        lower_bound=0,
        upper_bound=65_535,
        flag_values=values,
    )
    flags.DEFINE_float(
        'writes_per_s',
        300,
        'Writes a second over which the answer is 429.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_float(
        'reads_per_s',
        2000,
        'Reads a second over which the answer is 429.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'help', False, 'Show this text.', short_name='h', flag_values=values
    )
    return values


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Serve until SIGTERM or SIGINT."""
    values = make_flags()
    try:
        rest = values(argv)[1:]
    except flags.Error as exc:
        return _refuse(str(exc))
    if values.help:
        sys.stdout.write(
            _INTRODUCTION + values.get_help(include_special_flags=False)
        )
        return exit_status.ExitStatus.SUCCESS
    if rest:
        return _refuse(f'unexpected argument "{rest[0]}"')
    return asyncio.run(_serve(values))


async def _serve(values: flags.FlagValues) -> exit_status.ExitStatus:
    server = platform_server.PlatformServer(
        clock=clock.SystemClock(),
        limits=platform_server.Limits(
            writes_per_s=values.writes_per_s, reads_per_s=values.reads_per_s
        ),
    )
    app = server.application()
    platform_control.Control(server=server).add_routes(app)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    serving = platform_server.serving(app, host=values.host, port=values.port)
    try:
        async with serving as port:
            ready.announce({'http': port})
            await stopped.wait()
    except OSError as exc:
        sys.stderr.write(f'Cannot listen on {values.host}: {exc}.\n')
        return exit_status.ExitStatus.ERROR
    return exit_status.ExitStatus.SUCCESS


def _refuse(reason: str) -> exit_status.ExitStatus:
    sys.stderr.write(f'{reason}; see --help.\n')
    return exit_status.ExitStatus.USAGE
