"""Main function of the node program, from arguments to exit status."""

import asyncio
import gc
import os
import pathlib
import signal
import sys
from typing import Any, Mapping, TextIO

import result
import uvloop

from sardineproxy import (
    background,
    clock,
    command_line,
    deployment,
    exit_status,
    logs,
)
from sardineproxy.platform import settings
from sardineproxy.process.node import cli, policy, service

#: Garbage collection thresholds of the three generations. With the default of
#: 700 allocations, collections cost more than they free: requests create few
#: reference cycles.
GC_THRESHOLDS = (10_000, 20, 20)

_STATUS = exit_status.ExitStatus
_LOG = logs.get_logger('node')


def main(
    argv: list[str],
    *,
    environ: Mapping[str, str] = os.environ,
    out: TextIO | None = None,
) -> exit_status.ExitStatus:
    """Validate arguments and settings, then serve until SIGTERM or SIGINT.

    Help is written to ``out``, or to standard output if it is None.
    """
    out = out or sys.stdout
    parsed = cli.parse(argv)
    if isinstance(parsed, result.Err):
        return _fail(parsed.err_value, _STATUS.USAGE)
    args = parsed.ok_value
    if isinstance(args, command_line.Help):
        out.write(args.text)
        return _STATUS.SUCCESS
    if settings.PATH_ENV_VARIABLE not in environ:
        return _fail(f'{settings.PATH_ENV_VARIABLE} is not set.', _STATUS.USAGE)
    path = pathlib.Path(environ[settings.PATH_ENV_VARIABLE])
    loaded = settings.load(path)
    if isinstance(loaded, result.Err):
        return _fail(f'{loaded.err_value}.', _STATUS.INVALID_INPUT)
    node_policy = _load_policy(args)
    if isinstance(node_policy, result.Err):
        return _fail(f'{node_policy.err_value}.', _STATUS.INVALID_INPUT)
    if args.check:
        out.write(f'{path}: settings are valid.\n')
        return _STATUS.SUCCESS
    process = _NodeProcess(
        path=path, args=args, node_policy=node_policy.ok_value
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(process.serve(loaded.ok_value))


def _load_policy(args: cli.Arguments) -> result.Result[policy.Policy, str]:
    if args.policy is None:
        return result.Ok(policy.Policy())
    return policy.load(args.policy)


class _NodeProcess:
    """Lifetime of one process: signals, settings reloads and exit status."""

    def __init__(
        self,
        *,
        path: pathlib.Path,
        args: cli.Arguments,
        node_policy: policy.Policy,
    ) -> None:
        self._path = path
        self._args = args
        self._node_policy = node_policy
        self._settings_body = b''
        self._stop_requested: asyncio.Event | None = None
        self._has_failed = False
        self._service: service.Service | None = None

    async def serve(self, cfg: deployment.Deployment) -> exit_status.ExitStatus:
        """Serve until SIGTERM, SIGINT or a fatal error."""
        loop = asyncio.get_running_loop()
        log_handler = logs.configure_bounded(fd=sys.stdout.fileno(), loop=loop)
        stop_requested = asyncio.Event()
        loop.set_exception_handler(self._handle_loop_error)
        self._stop_requested = stop_requested
        reload_requested = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
        node_service = service.Service(
            cfg=cfg,
            node_policy=self._node_policy,
            metrics_port=self._args.metrics_port,
            clock=clock.BootClock(),
        )
        self._service = node_service
        started = await node_service.start()
        if isinstance(started, result.Err):
            return _fail(f'{started.err_value}.', _STATUS.UNAVAILABLE)
        _configure_gc()
        watcher = asyncio.create_task(
            self._watch_settings(node_service, reload_requested)
        )
        await stop_requested.wait()
        watcher.cancel()
        await node_service.shut_down()
        log_handler.close()
        return _STATUS.ERROR if self._has_failed else _STATUS.SUCCESS

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an unhandled error; stop the process if it is fatal.

        The platform then restarts the process. Otherwise the node would
        continue without one of its background tasks, and misbehave unnoticed.
        """
        is_fatal = bool(context.get(background.FATAL))
        unit = context.get(background.UNIT)
        if unit is not None and self._service is not None:
            self._service.record_failure(unit)
        _LOG.error(
            'Error confined to one unit.'
            if unit
            else 'Unhandled error in the event loop.',
            extra={
                'what': context.get('message'),
                'unit': unit,
                'ends': is_fatal,
            },
            exc_info=context.get('exception'),
        )
        if is_fatal and self._stop_requested is not None:
            self._has_failed = True
            self._stop_requested.set()

    async def _watch_settings(
        self, node_service: service.Service, reload_requested: asyncio.Event
    ) -> None:
        """Reload the settings on SIGHUP and at regular intervals."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_RELOAD_INTERVAL_S):
                    await reload_requested.wait()
                _LOG.info('Reloading settings on SIGHUP.')
            except TimeoutError:
                pass  # noqa: WPS420
            reload_requested.clear()
            body = settings.read(self._path)
            if isinstance(body, result.Err):
                _log_invalid_settings(body.err_value)
            elif body.ok_value != self._settings_body:
                self._settings_body = body.ok_value
                _apply_settings(node_service, body.ok_value)


#: Interval at which the settings are reloaded without a signal, in seconds,
#: as the file may change without a SIGHUP.
SETTINGS_RELOAD_INTERVAL_S = 5.0


def _configure_gc() -> None:
    """Exclude startup objects from garbage collection; set thresholds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _apply_settings(node_service: service.Service, body: bytes) -> None:
    decoded = settings.decode(body)
    if isinstance(decoded, result.Err):
        _log_invalid_settings(decoded.err_value)
    else:
        node_service.update_settings(decoded.ok_value)


def _log_invalid_settings(cause: str) -> None:
    _LOG.error(
        'Settings file is invalid; keeping the current settings.',
        extra={'cause': cause},
    )


def _fail(
    message: str, status: exit_status.ExitStatus
) -> exit_status.ExitStatus:
    sys.stderr.write(f'sardineproxy-node: {message}\n')
    return status
