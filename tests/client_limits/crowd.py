"""Crowds of hostile clients, and the resources of the process they reach."""

import asyncio
import contextlib
import dataclasses
import fcntl
import itertools
import pathlib
import socket
import sys
import tempfile
from typing import Any, Awaitable, Callable, Iterator, Mapping

import aiohttp

#: Size limit of a body, as in the platform's configuration.
MAX_BODY_BYTES = 262_144

#: Largest time for which a client tries to send, in seconds. Only a server
#: that neither reads nor closes exceeds it.
SEND_TIMEOUT_S = 60

#: Time for which all connections stay open after the last client has sent
#: its bytes, in seconds.
HOLD_S = 1.0

#: Number of times that a client connects again after its connection was
#: closed by the server.
RECONNECTS = 2

#: Pause of a client that comes back before it connects again, in seconds.
RETURN_DELAY_S = 0.01

#: Bytes that a client sends at once.
PIECE_BYTES = 65_536

SAMPLE_INTERVAL_S = 0.02

#: Time within which an ordinary request is answered after a crowd, and the
#: pause before it is sent again.
ANSWER_TIMEOUT_S = 60
RETRY_DELAY_S = 0.2

#: Only one crowd at a time runs on a machine, as each needs processor time
#: and hundreds of connections. A lock works with any distribution of the
#: tests to the processes of pytest-xdist.
LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / 'sardineproxy-crowd.lock'

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.contextmanager
def exclusive() -> Iterator[None]:
    """Wait until no other crowd test runs, and keep others from starting."""
    with LOCK_PATH.open('w') as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        yield


@dataclasses.dataclass(kw_only=True)
class Usage:
    """Resources of a process while a crowd is connected."""

    pid: int
    max_fds: int = 0

    #: Resident memory before the crowd, in 1,000,000 bytes.
    before_mb: float = 0

    @property
    def peak_mb(self) -> float:
        """Return the peak of resident memory, in 1,000,000 bytes."""
        return self._read_status('VmHWM')

    @property
    def current_mb(self) -> float:
        """Return the resident memory, in 1,000,000 bytes."""
        return self._read_status('VmRSS')

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self._status_path.exists() and self._state() != 'Z'

    def describe(self) -> str:
        """Return all figures."""
        return (
            f'memory {self.before_mb:.0f} MB before, '
            f'{self.peak_mb:.0f} MB at the peak, '
            f'{self.current_mb:.0f} MB afterwards; '
            f'{self.max_fds} descriptors'
        )

    def report(self, test: str) -> None:
        """Print all figures; pytest shows them with -rP."""
        sys.stdout.write(f'{test}: {self.describe()}\n')

    async def watch_fds(self) -> None:
        """Record the largest number of open descriptors, until cancelled."""
        fd_path = pathlib.Path(f'/proc/{self.pid}/fd')
        while True:
            with contextlib.suppress(OSError):
                self.max_fds = max(
                    self.max_fds, sum(1 for _ in fd_path.iterdir())
                )
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    @property
    def _status_path(self) -> pathlib.Path:
        return pathlib.Path(f'/proc/{self.pid}/status')

    def _state(self) -> str:
        return self._read_field('State').split()[0]

    def _read_status(self, name: str) -> float:
        return int(self._read_field(name).split()[0]) * 1024 / 1_000_000

    def _read_field(self, name: str) -> str:
        for line in self._status_path.read_text().splitlines():
            key, _, field = line.partition(':')
            if key == name:
                return field.strip()
        raise LookupError(name)


async def run(usage: Usage, *crowds: tuple[int, str, int, Script]) -> None:
    """Connect crowds (count, host, port, script) and hold their connections.

    Each client runs its script once, and again on a new connection if the
    server has closed the first. Returns after all clients have disconnected.
    """
    usage.before_mb = usage.current_mb
    release = asyncio.Event()
    watcher = asyncio.create_task(usage.watch_fds())
    clients = [
        asyncio.create_task(_Client(host, port, script, release).run())
        for count, host, port, script in crowds
        for _ in range(count)
    ]
    holders: list[asyncio.Task[Any]] = await asyncio.gather(*clients)
    await asyncio.sleep(HOLD_S)
    release.set()
    await asyncio.gather(*holders)
    watcher.cancel()
    if not usage.is_alive():
        raise AssertionError('the process has ended')


async def run_returning(
    usage: Usage,
    complete_request: Callable[[], Awaitable[None]],
    *crowds: tuple[int, str, int, Script],
) -> None:
    """Complete an ordinary request beside crowds that always come back.

    Each client runs its script, waits until the server closes its connection,
    and begins again. Returns after all clients have disconnected.
    """
    usage.before_mb = usage.current_mb
    watcher = asyncio.create_task(usage.watch_fds())
    clients = [
        asyncio.create_task(
            _Client(host, port, script, asyncio.Event()).run_again()
        )
        for count, host, port, script in crowds
        for _ in range(count)
    ]
    await asyncio.sleep(HOLD_S)
    await complete_request()
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    watcher.cancel()
    if not usage.is_alive():
        raise AssertionError('the process has ended')


async def complete(
    url: str, document: dict[str, Any], headers: Mapping[str, str]
) -> None:
    """Send an ordinary request until it is completed."""
    async with (
        asyncio.timeout(ANSWER_TIMEOUT_S),
        aiohttp.ClientSession(headers=headers) as session,
    ):
        while await _post(session, url, document) != 200:
            await asyncio.sleep(RETRY_DELAY_S)


async def _post(
    session: aiohttp.ClientSession, url: str, document: dict[str, Any]
) -> int:
    try:
        async with session.post(url, json=document) as reply:
            return reply.status
    except aiohttp.ClientError:
        return 0


class _Client:
    def __init__(
        self, host: str, port: int, script: Script, release: asyncio.Event
    ) -> None:
        self._host = host
        self._port = port
        self._script = script
        self._release = release

        #: Error that ended the last connection, for a debugger.
        self.last_error: OSError | None = None

    async def run(self) -> asyncio.Task[None]:
        """Send; return a task that ends once the connection is closed."""
        writer: asyncio.StreamWriter | None = None
        for _ in range(1 + RECONNECTS):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    reader, writer = await self._connect()
                    await self._script(reader, writer)
                break
            if writer is not None:
                writer.transport.abort()
        return asyncio.create_task(self._hold(writer))

    async def run_again(self) -> None:
        """Send on one connection after the other, until cancelled."""
        while True:
            writer: asyncio.StreamWriter | None = None
            try:
                reader, writer = await self._connect()
                await self._script(reader, writer)
                await self._read_until_closed(reader)
            except OSError as exc:
                self.last_error = exc
            finally:
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(RETURN_DELAY_S)

    async def _read_until_closed(self, reader: asyncio.StreamReader) -> None:
        received = b'none yet'
        while received:
            received = await reader.read(PIECE_BYTES)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        sock.setblocking(False)
        # The kernel then holds few of the replies that a client does not
        # read; the rest stays in the server.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.get_running_loop().sock_connect(
            sock, (self._host, self._port)
        )
        # A small limit makes the transport stop reading.
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        writer.transport.set_write_buffer_limits(high=PIECE_BYTES)
        return reader, writer

    async def _hold(self, writer: asyncio.StreamWriter | None) -> None:
        await self._release.wait()
        if writer is not None:
            writer.transport.abort()


async def send(writer: asyncio.StreamWriter, sent: bytes) -> None:
    """Send bytes as fast as the server reads them."""
    for start in range(0, len(sent), PIECE_BYTES):
        writer.write(sent[start : start + PIECE_BYTES])
        await writer.drain()
        # ``drain`` does not yield while the kernel accepts the bytes.
        await asyncio.sleep(0)


def sending(*parts: bytes) -> Script:
    """Return a script that sends bytes once."""
    whole = b''.join(parts)

    async def script(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await send(writer, whole)

    return script


def pausing(part: bytes, *, count: int, pause_s: float) -> Script:
    """Return a script that sends the same bytes again and again."""

    async def script(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(count):
            await send(writer, part)
            await asyncio.sleep(pause_s)

    return script


def head(target: str, host: str, *lines: bytes) -> bytes:
    """Return the head of a POST request."""
    first = f'POST {target} HTTP/1.1\r\nHost: {host}\r\n'.encode()
    return first + b''.join(line + b'\r\n' for line in lines) + b'\r\n'


def many_lines(target: str, host: str) -> bytes:
    """Return a head of legal size with 2,700 lines of different names."""
    digits = b'abcdefghijklmnopqrstuvwxyz0123456789'
    letters = itertools.product(b'xyz', digits, digits)
    names = [bytes(name) for name in letters]
    lines = [name + b':' for name in names[:2700]]
    return head(target, host, b'Content-Length: 100', *lines) + b'short'


def endless_line(target: str, host: str, size: int) -> bytes:
    """Return a head with one header line that does not end."""
    return head(target, host)[:-2] + b'x-long: ' + b'a' * size


def chunks(target: str, host: str, *, size: int, total: int) -> bytes:
    """Return a chunked body that lacks its last chunk."""
    chunk = b'%x\r\n%s\r\n' % (size, b'a' * size)
    return head(target, host, b'Transfer-Encoding: chunked') + chunk * (
        total // size
    )
