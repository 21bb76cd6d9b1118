"""Run stand-in relays: TCP proxies that simulate network faults.

Control requests: ``POST /control/mode`` changes all relays of the process and
``POST /control/NAME/mode`` one of them; ``GET /control/state`` returns counts.
"""

import asyncio
import functools
import ipaddress
import signal
import sys

import pydantic
from absl import flags
from aiohttp import web

from sardineproxy import command_line, exit_status
from sardineproxy.process import ready
from sardineproxy.standin import relay_modes, relay_server

Target = tuple[str, int]
Relays = dict[str, relay_server.Relay]

MAX_PORT = 65_535


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Relay connections until SIGTERM or SIGINT."""
    cfg = _define_flags()
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    if not cfg.target:
        sys.stderr.write('--target IP:PORT is required; see --help.\n')
        return exit_status.ExitStatus.USAGE
    try:
        targets = [_parse_target(text) for text in cfg.target]
    except ValueError as exc:
        sys.stderr.write(f'--target: {exc}\n')
        return exit_status.ExitStatus.USAGE
    asyncio.run(_serve(cfg, targets))
    return exit_status.ExitStatus.SUCCESS


def _define_flags() -> flags.FlagValues:
    cfg = command_line.new_flags()
    flags.DEFINE_string(
        'host', '127.0.0.1', 'IP address to listen on.', flag_values=cfg
    )
    flags.DEFINE_integer(
        'port',
        0,
        'Port of the first relay; 0 lets the kernel choose, as for the others.',
        0,
        MAX_PORT,
        flag_values=cfg,
    )
    flags.DEFINE_list(
        'target',
        None,
        'IP address and port to relay to, such as 127.0.0.1:4711; with several '
        'the relays are named relay-1, relay-2 ...',
        flag_values=cfg,
    )
    return cfg


def _parse_target(text: str) -> Target:
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'"{port}" is not a port from 1 to {MAX_PORT}')
    return host.strip('[]'), int(port)


async def _serve(cfg: flags.FlagValues, targets: list[Target]) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    relays = _build_relays(targets)
    port_numbers = await asyncio.gather(
        *(
            relay.listen(cfg.host, 0 if index else cfg.port)
            for index, relay in enumerate(relays.values())
        )
    )
    ports = dict(zip(relays, port_numbers))
    control = await loop.create_server(
        web.Server(functools.partial(_handle_control, relays), access_log=None),
        cfg.host,
        0,
    )
    ports['control'] = control.sockets[0].getsockname()[1]
    ready.announce(ports)
    await stop.wait()


def _build_relays(targets: list[Target]) -> Relays:
    names = ['relay']
    if len(targets) > 1:
        names = [f'relay-{number + 1}' for number in range(len(targets))]
    return {
        name: relay_server.Relay(host=host, port=port)
        for name, (host, port) in zip(names, targets)
    }


async def _handle_control(relays: Relays, req: web.BaseRequest) -> web.Response:
    match (req.method, req.path.split('/')):
        case ('GET', ['', 'control', 'state']):
            return web.json_response(
                {name: relay.dump() for name, relay in relays.items()}
            )
        case ('POST', ['', 'control', 'mode']):
            return _apply(await req.read(), list(relays.values()))
        case ('POST', ['', 'control', name, 'mode']) if name in relays:
            return _apply(await req.read(), [relays[name]])
    return web.json_response({'error': 'no such control'}, status=404)


def _apply(body: bytes, relays: list[relay_server.Relay]) -> web.Response:
    try:
        setting = relay_modes.Setting.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return web.json_response({'error': str(exc)}, status=400)
    for relay in relays:
        relay.apply(setting)
    return web.json_response(setting.model_dump(mode='json'))
