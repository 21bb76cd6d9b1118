"""Run the stand-in for the platform's tables, objects and VM list."""

import asyncio
import signal
import sys

from absl import flags

from sardineproxy import clock, exit_status
from sardineproxy.process import ready
from sardineproxy.standin import platform_control, platform_server

_INTRODUCTION = """\
Usage: sardineproxy-standin-platform [--host IP] [--port PORT] [flags]

Simulates the platform in tests and demos. Stores everything in memory.
Prints {"ready": {"http": PORT}} when its port is open; exits on SIGTERM.

Faults are set by POST with a JSON object:
  /control/down          {"down": true}     respond with 503 to all requests
  /control/slow          {"ms": 500}        delay each request
  /control/stale-reads   {"stale": true}    reads that are not strict return the
                                            current rows until {"stale": false}
  /control/list-lag      {"seconds": 5}     return the VM list of 5 s ago
  /control/lose-answers  {"writes": 2}      commit the next 2 writes and close
                                            the connection without a response
  /control/vms           {"vms": [...]}     replace the list of VMs
GET /control/state returns the faults and counts of requests.
"""


def make_flags() -> flags.FlagValues:
    """Return the program's flags."""
    cfg = flags.FlagValues()
    flags.DEFINE_string(
        'host', '127.0.0.1', 'IP address to listen on.', flag_values=cfg
    )
    flags.DEFINE_integer(
        'port',
        0,
        'Port to listen on; 0 lets the kernel choose.',
        lower_bound=0,
        upper_bound=65_535,
        flag_values=cfg,
    )
    flags.DEFINE_float(
        'writes_per_s',
        300,
        'Writes per second; further ones get status 429.',
        lower_bound=0,
        flag_values=cfg,
    )
    flags.DEFINE_float(
        'reads_per_s',
        2000,
        'Reads per second; further ones get status 429.',
        lower_bound=0,
        flag_values=cfg,
    )
    flags.DEFINE_boolean(
        'help', False, 'Show this text.', short_name='h', flag_values=cfg
    )
    return cfg


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Serve until SIGTERM or SIGINT."""
    cfg = make_flags()
    try:
        arguments = cfg(argv)[1:]
    except flags.Error as exc:
        return _report_usage_error(str(exc))
    if cfg.help:
        sys.stdout.write(
            _INTRODUCTION + cfg.get_help(include_special_flags=False)
        )
        return exit_status.ExitStatus.SUCCESS
    if arguments:
        return _report_usage_error(f'unexpected argument "{arguments[0]}"')
    return asyncio.run(_serve(cfg))


async def _serve(cfg: flags.FlagValues) -> exit_status.ExitStatus:
    server = platform_server.PlatformServer(
        clock=clock.SystemClock(),
        limits=platform_server.Limits(
            writes_per_s=cfg.writes_per_s, reads_per_s=cfg.reads_per_s
        ),
    )
    app = server.application()
    platform_control.Control(server=server).add_routes(app)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    serving = platform_server.serving(app, host=cfg.host, port=cfg.port)
    try:
        async with serving as port:
            ready.announce({'http': port})
            await stop.wait()
    except OSError as exc:
        sys.stderr.write(f'Cannot listen on {cfg.host}: {exc}.\n')
        return exit_status.ExitStatus.ERROR
    return exit_status.ExitStatus.SUCCESS


def _report_usage_error(reason: str) -> exit_status.ExitStatus:
    sys.stderr.write(f'{reason}; see --help.\n')
    return exit_status.ExitStatus.USAGE
