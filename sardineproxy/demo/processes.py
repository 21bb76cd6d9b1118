"""Child processes, a temporary directory and an HTTP session."""

import asyncio
import contextlib
import pathlib
import signal
import tempfile
from types import TracebackType
from typing import Any, Coroutine, Mapping, Self, TypeVar

import aiohttp

from sardineproxy.demo import child, controls

#: Time limit of one command of the operator's program.
COMMAND_TIMEOUT_S = 60

#: Time limit of one control request to a stand-in.
CONTROL_TIMEOUT_S = 30


Outcome = TypeVar('Outcome')


class DeploymentError(Exception):
    """A component of the deployment failed to start or to be configured."""


class Processes:
    """Asynchronous context manager of processes and a temporary directory.

    Every process is stopped on exit from the context, also after an error.
    """

    def __init__(self, *, module: str = 'sardineproxy') -> None:
        """Use ``python -m MODULE NAME`` to run programs."""
        self._module = module
        self._stack = contextlib.AsyncExitStack()
        self._children: list[child.Child] = []

    async def __aenter__(self) -> Self:
        """Create the temporary directory and the HTTP session."""
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
        """Stop all processes and remove the directory."""
        await self._stack.aclose()

    async def start_program(
        self, name: str, *args: str, module: str | None = None
    ) -> child.Child:
        """Start a program and wait for its ready line."""
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
        """Run the operator's program and return its standard output."""
        command = child.Child('ctl', args, self.directory, module=self._module)
        self._children.append(command)
        try:
            return await command.run(text, timeout_s=COMMAND_TIMEOUT_S)
        except child.ChildError as exc:
            raise DeploymentError(str(exc)) from exc

    async def request(
        self, method: str, url: str, body: Mapping[str, Any] | None = None
    ) -> str:
        """Send a request with a JSON body and return the response body."""
        try:
            return await controls.request(self.session, method, url, body)
        except controls.ControlError as exc:
            raise DeploymentError(str(exc)) from exc

    async def _stop_all(self) -> None:
        await asyncio.gather(
            *(process.stop() for process in reversed(self._children))
        )


def run(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run ``main``; SIGTERM or SIGINT cancels it and lets it clean up."""
    try:
        return asyncio.run(_run_until_signal(main))
    except (asyncio.CancelledError, KeyboardInterrupt) as exc:
        raise DeploymentError('interrupted by a signal') from exc


async def _run_until_signal(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    task = asyncio.ensure_future(main)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
