"""One run of the node program, from arguments to exit status."""

import asyncio
import gc
import os
import pathlib
import signal
import sys
from typing import Any, Mapping, TextIO

import result

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

#: Allocations until a collection of each generation. The default of 700 costs
#: more than it frees, as requests leave few cycles.
GC_THRESHOLDS = (10_000, 20, 20)

_STATUS = exit_status.ExitStatus
_LOG = logs.get_logger('node')


def main(
    argv: list[str],
    *,
    environ: Mapping[str, str] = os.environ,
    out: TextIO | None = None,
) -> exit_status.ExitStatus:
    """Check arguments and settings, then serve until SIGTERM or SIGINT.

    Help goes to ``out``, the standard output if None.
    """
    out = out or sys.stdout
    parsed = cli.parse(argv)
    if isinstance(parsed, result.Err):
        return _fail(parsed.err_value, _STATUS.USAGE)
    args = parsed.ok_value
    if isinstance(args, command_line.Help):
        out.write(args.text)
        return _STATUS.SUCCESS
    if settings.PATH_VARIABLE not in environ:
        return _fail(f'{settings.PATH_VARIABLE} is not set.', _STATUS.USAGE)
    path = pathlib.Path(environ[settings.PATH_VARIABLE])
    loaded = settings.load(path)
    if isinstance(loaded, result.Err):
        return _fail(f'{loaded.err_value}.', _STATUS.INVALID_INPUT)
    rules = _load_policy(args)
    if isinstance(rules, result.Err):
        return _fail(f'{rules.err_value}.', _STATUS.INVALID_INPUT)
    if args.check:
        out.write(f'{path}: settings are valid.\n')
        return _STATUS.SUCCESS
    run = _Run(path=path, args=args, rules=rules.ok_value)
    return asyncio.run(run.serve(loaded.ok_value))


def _load_policy(args: cli.Arguments) -> result.Result[policy.Policy, str]:
    if args.policy is None:
        return result.Ok(policy.Policy())
    return policy.load(args.policy)


class _Run:
    """One process from its settings to its end."""

    def __init__(
        self, *, path: pathlib.Path, args: cli.Arguments, rules: policy.Policy
    ) -> None:
        self._path = path
        self._args = args
        self._rules = rules
        self._stop: asyncio.Event | None = None
        self._has_failed = False

    async def serve(self, cfg: deployment.Deployment) -> exit_status.ExitStatus:
        """Serve until a signal to stop."""
        loop = asyncio.get_running_loop()
        handler = logs.configure_bounded(fd=sys.stdout.fileno(), loop=loop)
        stop = asyncio.Event()
        loop.set_exception_handler(self._handle_loop_error)
        self._stop = stop
        reload_requested = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
        own = service.Service(
            cfg=cfg,
            rules=self._rules,
            metrics_port=self._args.metrics_port,
            clock=clock.BootClock(),
        )
        started = await own.start()
        if isinstance(started, result.Err):
            return _fail(f'{started.err_value}.', _STATUS.UNAVAILABLE)
        _configure_gc()
        watcher = asyncio.create_task(
            self._watch_settings(own, reload_requested)
        )
        await stop.wait()
        watcher.cancel()
        await own.shut_down()
        handler.close()
        return _STATUS.ERROR if self._has_failed else _STATUS.SUCCESS

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error that nothing handled; end the process on a fatal one.

        The platform starts it anew; a node without one of its tasks would
        serve wrongly, and nobody would know.
        """
        is_fatal = bool(context.get(background.FATAL))
        _LOG.error(
            'Error that nothing handled.',
            extra={'what': context.get('message'), 'ends': is_fatal},
            exc_info=context.get('exception'),
        )
        if is_fatal and self._stop is not None:
            self._has_failed = True
            self._stop.set()

    async def _watch_settings(
        self, own: service.Service, reload_requested: asyncio.Event
    ) -> None:
        """Read the settings on SIGHUP, and now and then without it."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_PERIOD_S):
                    await reload_requested.wait()
                _LOG.info('Settings are read again: SIGHUP.')
            except TimeoutError:
                pass  # noqa: WPS420
            reload_requested.clear()
            loaded = settings.load(self._path)
            if isinstance(loaded, result.Err):
                _LOG.error(
                    'Settings refused, the former ones stay.',
                    extra={'cause': loaded.err_value},
                )
            else:
                own.update_settings(loaded.ok_value)


#: Time between two readings of the settings without a signal, in seconds.
#: They may change without one.
SETTINGS_PERIOD_S = 5.0


def _configure_gc() -> None:
    """Leave what was loaded at the start out of garbage collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _fail(
    sentence: str, status: exit_status.ExitStatus
) -> exit_status.ExitStatus:
    sys.stderr.write(f'sardineproxy-node: {sentence}\n')
    return status
