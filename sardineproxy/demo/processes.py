"""Processes, a temporary directory and an HTTP session, ended together."""

import asyncio
import contextlib
import pathlib
import signal
import tempfile
from types import TracebackType
from typing import Any, Coroutine, Mapping, Self, TypeVar

import aiohttp

from sardineproxy.demo import child, controls

#: Longest wait for one run of the operator's program, in seconds.
COMMAND_TIMEOUT_S = 60

#: Longest wait for a control request to a stand-in, in seconds.
CONTROL_TIMEOUT_S = 30


Outcome = TypeVar('Outcome')


class DeploymentError(Exception):
    """A part of the deployment could not be started or set up."""


class Processes:
    """Asynchronous context that owns processes and a temporary directory.

    Leaving the context, for whatever reason, ends every process.
    """

    def __init__(self, *, module: str = 'sardineproxy') -> None:
        """Run programs by ``python -m MODULE NAME``."""
        self._module = module
        self._stack = contextlib.AsyncExitStack()
        self._children: list[child.Child] = []

    async def __aenter__(self) -> Self:
        """Make the temporary directory and the HTTP session."""
        directory = self._stack.enter_context(
            tempfile.TemporaryDirectory(prefix='sardineproxy-')
        )
        self.directory = pathlib.Path(directory)
        self._stack.push_async_callback(self._stop_all)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
            )
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes and remove the directory."""
        await self._stack.aclose()

    async def start_program(
        self, name: str, *args: str, module: str | None = None
    ) -> child.Child:
        """Start any program that prints a ready line."""
        process = child.Child(
            name, args, self.directory, module=module or self._module
        )
        self._children.append(process)
        try:
            await process.start()
        except child.ChildError as exc:
            raise DeploymentError(str(exc)) from exc
        return process

    async def run_ctl(self, *args: str, text: str = '') -> str:
        """Run the operator's program and return what it prints."""
        command = child.Child('ctl', args, self.directory, module=self._module)
        self._children.append(command)
        try:
            return await command.run(text, timeout_s=COMMAND_TIMEOUT_S)
        except child.ChildError as exc:
            raise DeploymentError(str(exc)) from exc

    async def request(
        self, method: str, url: str, body: Mapping[str, Any] | None = None
    ) -> str:
        """Send a request with a JSON body and return the answer's text."""
        try:
            return await controls.request(self.session, method, url, body)
        except controls.ControlError as exc:
            raise DeploymentError(str(exc)) from exc

    async def _stop_all(self) -> None:
        await asyncio.gather(
            *(process.stop() for process in reversed(self._children))
        )


def run(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run ``main``; a signal cancels it, so that it can end its processes."""
    try:
        return asyncio.run(_run_until_signal(main))
    except (asyncio.CancelledError, KeyboardInterrupt) as exc:
        raise DeploymentError('ended by a signal') from exc


async def _run_until_signal(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    task = asyncio.ensure_future(main)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
