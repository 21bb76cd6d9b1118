"""Run stand-in endpoints: HTTP back ends that record the tasks they start.

Control requests are served under ``/control/`` at each endpoint's port and
under ``/control/NAME/`` at one control port, which stays usable while an
endpoint is at its connection limit.
"""

import asyncio
import functools
import signal
import sys

from absl import flags
from aiohttp import web

from sardineproxy import clock as clocks, command_line
from sardineproxy import exit_status
from sardineproxy.process import ready
from sardineproxy.standin import endpoint_server

#: Limit of endpoints in one process.
MAX_COUNT = 256

#: Limit of connections that wait to be accepted.
BACKLOG = 1024


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Serve endpoints until SIGTERM or SIGINT."""
    cfg = _define_flags()
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    speeds = _parse_speeds(cfg)
    if speeds is None:
        sys.stderr.write(
            f'--speeds: expected {cfg.count} positive numbers, one for each '
            'endpoint\n'
        )
        return exit_status.ExitStatus.USAGE
    asyncio.run(_serve(cfg, speeds))
    return exit_status.ExitStatus.SUCCESS


def _define_flags() -> flags.FlagValues:
    cfg = command_line.new_flags()
    flags.DEFINE_string(
        'host', '127.0.0.1', 'IP address to listen on.', flag_values=cfg
    )
    flags.DEFINE_integer(
        'port',
        0,
        'Port of the first endpoint; 0 lets the kernel choose, as for the '
        'others.',
        0,
        65_535,
        flag_values=cfg,
    )
    flags.DEFINE_string(
        'name',
        'endpoint',
        'Name of the endpoint; with --count, -1, -2 ... are appended.',
        flag_values=cfg,
    )
    flags.DEFINE_integer(
        'count', 1, 'Endpoints to serve.', 1, MAX_COUNT, flag_values=cfg
    )
    flags.DEFINE_integer(
        'slots', 8, 'Limit of concurrent tasks.', 1, flag_values=cfg
    )
    flags.DEFINE_integer(
        'connections', 64, 'Limit of open connections.', 1, flag_values=cfg
    )
    flags.DEFINE_float(
        'speed', 1.0, 'Divides the run time of tasks.', 0.001, flag_values=cfg
    )
    flags.DEFINE_list(
        'speeds', [], 'Speed of each endpoint of --count.', flag_values=cfg
    )
    return cfg


def _parse_speeds(cfg: flags.FlagValues) -> list[float] | None:
    if not cfg.speeds:
        return [cfg.speed for _ in range(cfg.count)]
    try:
        speeds = [float(speed) for speed in cfg.speeds]
    except ValueError:
        return None
    if len(speeds) == cfg.count and min(speeds) > 0:
        return speeds
    return None


async def _serve(cfg: flags.FlagValues, speeds: list[float]) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    endpoints = _build_endpoints(cfg, speeds)
    port_numbers = await asyncio.gather(
        *(
            _listen(
                endpoint_server.Server(
                    endpoint=endpoint, connections=cfg.connections
                ),
                cfg.host,
                0 if index else cfg.port,
            )
            for index, endpoint in enumerate(endpoints.values())
        )
    )
    ports = dict(zip(endpoints, port_numbers))
    control_server = web.Server(
        functools.partial(_handle_control, endpoints), access_log=None
    )
    ports['control'] = await _listen(control_server, cfg.host, 0)
    ready.announce(ports)
    await stop.wait()


def _build_endpoints(
    cfg: flags.FlagValues, speeds: list[float]
) -> dict[str, endpoint_server.Endpoint]:
    names = [cfg.name]
    if cfg.count > 1:
        names = [f'{cfg.name}-{number + 1}' for number in range(cfg.count)]
    return {
        name: endpoint_server.Endpoint(
            clock=clocks.SystemClock(), name=name, slots=cfg.slots, speed=speed
        )
        for name, speed in zip(names, speeds)
    }


async def _handle_control(
    endpoints: dict[str, endpoint_server.Endpoint], req: web.BaseRequest
) -> web.StreamResponse:
    parts = req.path.split('/')
    if len(parts) == 4 and parts[2] in endpoints:
        return await endpoint_server.handle_control(endpoints[parts[2]], req)
    return web.json_response({'error': 'no such endpoint'}, status=404)


async def _listen(server: web.Server, host: str, port: int) -> int:
    listener = await asyncio.get_running_loop().create_server(
        server, host, port, backlog=BACKLOG
    )
    return listener.sockets[0].getsockname()[1]
