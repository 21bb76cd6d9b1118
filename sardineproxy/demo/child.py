"""Child process that runs one of the programs of a package."""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import signal
import sys
from typing import Sequence

import sardineproxy

#: Longest wait for the ready line; long enough for a loaded machine.
READY_TIMEOUT_S = 60

#: Longest wait for an orderly exit after SIGTERM, before SIGKILL.
STOP_TIMEOUT_S = 20

#: Size limit of a line on the standard output of a child.
MAX_LINE_BYTES = 1_048_576

#: Limit of the standard error that an error message quotes.
MAX_QUOTED_BYTES = 2000

#: Operation of ``prctl(2)``.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None)


class ChildError(Exception):
    """The process did not start, timed out or failed."""


class Child:
    """A process that runs one of this package's programs."""

    def __init__(
        self,
        name: str,
        args: Sequence[str],
        directory: pathlib.Path,
        *,
        module: str = 'sardineproxy',
    ) -> None:
        """Prepare the command ``python -m MODULE NAME ARGS``."""
        self.name = name
        self.ports: dict[str, int] = {}
        self._args = (sys.executable, '-m', module, name, *args)
        self._stderr = directory / f'{name}-{id(self)}.stderr'
        self._process: asyncio.subprocess.Process | None = None
        self._output_task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        return self._process.returncode if self._process else None

    async def start(self) -> None:
        """Start the process and read its ready line."""
        await self._spawn()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                self.ports = await self._read_ready()
        except (TimeoutError, ValueError, ChildError) as exc:
            await self.stop()
            raise ChildError(f'{self.describe_end()} ({exc!r})') from exc
        self._output_task = asyncio.create_task(self._discard_output())

    async def run(self, text: str, *, timeout_s: float) -> str:
        """Run the process with ``text`` as input; return its output."""
        process = await self._spawn()
        try:
            async with asyncio.timeout(timeout_s):
                output, _ = await process.communicate(text.encode())
        except TimeoutError as exc:
            await self.stop()
            raise ChildError(
                f'{self.name} did not exit within {timeout_s} s'
            ) from exc
        if process.returncode:
            raise ChildError(self.describe_end())
        return output.decode()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signum)

    async def stop(self) -> None:
        """Terminate the process; kill it after ``STOP_TIMEOUT_S``."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self.kill()
        finally:
            self.signal(signal.SIGKILL)
        if self._output_task is not None:
            await self._output_task
            self._output_task = None

    async def kill(self) -> None:
        """Kill the process and wait until it exits."""
        self.signal(signal.SIGKILL)
        assert self._process is not None
        await self._process.wait()

    def describe_end(self) -> str:
        """Return a message with the exit status and the last log lines."""
        try:
            log = self._stderr.read_bytes()[-MAX_QUOTED_BYTES:].decode(
                errors='replace'
            )
        except OSError:
            log = ''
        return (
            f'{self.name} exited with status {self.returncode}: {log.strip()}'
        )

    async def _spawn(self) -> asyncio.subprocess.Process:
        root = pathlib.Path(sardineproxy.__file__).parent.parent
        with self._stderr.open('wb') as stderr:
            self._process = await asyncio.create_subprocess_exec(
                *self._args,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
                limit=MAX_LINE_BYTES,
                env={**os.environ, 'PYTHONPATH': str(root)},
                preexec_fn=set_parent_death_signal,
            )
        return self._process

    async def _read_ready(self) -> dict[str, int]:
        assert self._process is not None
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line:
            await self._process.wait()
            raise ChildError('standard output closed before the ready line')
        document = json.loads(line)
        if 'ready' not in document:
            raise ChildError(f'expected a ready line, found {document}')
        return dict(document['ready'])

    async def _discard_output(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        stdout = self._process.stdout
        while not stdout.at_eof():
            await stdout.read(MAX_LINE_BYTES)


def set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent exits."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
