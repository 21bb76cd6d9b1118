"""Main function of the entry program."""

import asyncio
import gc
import signal
import sys

import result

from sardineproxy import command_line, exit_status, logs
from sardineproxy.process import cli, entry, ready, settings

_STATUS = exit_status.ExitStatus


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Validate arguments and settings; serve until SIGTERM or SIGINT."""
    parsed = cli.parse(argv)
    if isinstance(parsed, result.Err):
        return _fail(parsed.err_value, status=_STATUS.USAGE)
    args = parsed.ok_value
    if isinstance(args, command_line.Help):
        sys.stdout.write(args.text)
        return _STATUS.SUCCESS
    loaded = settings.load(args.settings)
    if isinstance(loaded, result.Err):
        return _fail(*loaded.err_value, status=_STATUS.INVALID_INPUT)
    if args.check:
        sys.stdout.write(f'{args.settings}: settings are valid.\n')
        return _STATUS.SUCCESS
    logs.configure()
    return asyncio.run(_serve(loaded.ok_value))


async def _serve(cfg: settings.Settings) -> exit_status.ExitStatus:
    process = entry.EntryProcess(cfg=cfg)
    started = await process.start()
    if isinstance(started, result.Err):
        return _fail(started.err_value, status=_STATUS.UNAVAILABLE)
    # Collections then take milliseconds.
    gc.collect()
    gc.freeze()
    ready.announce(started.ok_value)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    return await process.shut_down()


def _fail(
    *errors: str, status: exit_status.ExitStatus
) -> exit_status.ExitStatus:
    for error in errors:
        sys.stderr.write(f'sardineproxy-entry: {error}\n')
    return status
