"""HTTP/1.1 client for many small calls to few servers.

A leader makes two calls for each task. aiohttp's client takes several times
the processor time of this one for a call; docs/platform.md has the figures.
"""

import asyncio
import collections
import dataclasses
import typing

import httptools

from sardineproxy import deployment

#: Largest status line and headers of a response, in bytes.
MAX_HEAD_BYTES = 16_384

#: Passes of the event loop after the timeout of a call. A process that was
#: paused may find both the timeout and the response.
LATE_PASSES = 4

_MIN_FINAL_STATUS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientConfig:
    """Limits of connections and responses."""

    #: Largest number of connections to one server.
    max_connections: int

    #: Idle connections are not reused after this time, in seconds.
    keepalive_s: float

    #: Largest body of a response, in bytes.
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RawResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoResponse:
    """No complete response was received."""

    #: True if nothing was sent.
    unsent: bool

    #: Description of the failure, for logs.
    cause: str


_Outcome = RawResponse | NoResponse


class HttpClient:
    """Sends requests over reused connections."""

    def __init__(self, *, cfg: ClientConfig) -> None:
        """Create a client without connections."""
        self._cfg = cfg
        self._servers: dict[deployment.Address, _Server] = {}

    async def aclose(self) -> None:
        """Close all connections; calls in progress get no response."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()

    async def send(
        self, address: deployment.Address, request: bytes, *, timeout_s: float
    ) -> RawResponse | NoResponse:
        """Send a whole request and wait for the response.

        A call that is cancelled leaves its connection open for the response.
        """
        server = self._servers.get(address)
        if server is None:
            server = _Server(address=address, cfg=self._cfg)
            self._servers[address] = server
        deadline = asyncio.get_running_loop().time() + timeout_s
        acquired = server.take_idle() or await server.acquire(deadline)
        if isinstance(acquired, NoResponse):
            return acquired
        return await acquired.call(request, deadline=deadline)


class _Server:
    """The connections to one server."""

    def __init__(
        self, *, address: deployment.Address, cfg: ClientConfig
    ) -> None:
        self._address = address
        self._cfg = cfg
        self._open: set[_Connection] = set()
        self._idle: list[_Connection] = []
        self._connecting_count = 0
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self._open):
            conn.abort()

    def take_idle(self) -> '_Connection | None':
        """Return the most recently used connection, None if there is none."""
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable():
                return conn
            conn.abort()
        return None

    async def acquire(self, deadline: float) -> '_Connection | NoResponse':
        """Open a connection, or wait for one if there are enough."""
        loop = asyncio.get_running_loop()
        while self._is_full():
            waiter = loop.create_future()
            self._waiters.append(waiter)
            if not await _wait(waiter, deadline):
                self._waiters.remove(waiter)
                return NoResponse(
                    unsent=True, cause='all connections are in use'
                )
            conn = self.take_idle()
            if conn is not None:
                return conn
        self._connecting_count += 1
        try:
            return await self._connect(deadline)
        finally:
            self._connecting_count -= 1

    def released(self, conn: '_Connection') -> None:
        """Keep a connection for the next call."""
        self._idle.append(conn)
        self._wake_waiter()

    def opened(self, conn: '_Connection') -> None:
        """Count a new connection."""
        self._open.add(conn)

    def lost(self, conn: '_Connection') -> None:
        """Forget a closed connection."""
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._wake_waiter()

    def timed_out(self) -> None:
        """Close the idle connections after a call without a response.

        What lost the response may have silenced them too.
        """
        for conn in list(self._idle):
            conn.abort()
        self._idle.clear()

    async def _connect(self, deadline: float) -> '_Connection | NoResponse':
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.create_connection(
                lambda: _Connection(server=self, cfg=self._cfg),
                self._address.host,
                self._address.port,
            )
        )
        try:
            is_open = await _wait(opening, deadline)
        except asyncio.CancelledError:
            _discard(opening)
            raise
        if not is_open:
            _discard(opening)
            return NoResponse(unsent=True, cause='not connected in time')
        exc = opening.exception()
        if isinstance(exc, OSError):
            return NoResponse(
                unsent=True, cause=f'not connected: {exc.strerror}'
            )
        _, conn = opening.result()
        return conn

    def _is_full(self) -> bool:
        return (
            len(self._open) + self._connecting_count
            >= self._cfg.max_connections
        )

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class _Connection(asyncio.Protocol):
    """One connection; it carries one call at a time."""

    def __init__(self, *, server: _Server, cfg: ClientConfig) -> None:
        self._server = server
        self._cfg = cfg
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._idle_since = self._loop.time()
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._outcome: asyncio.Future[_Outcome] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def is_usable(self) -> bool:
        """Return whether an idle connection may carry another call."""
        idle_s = self._loop.time() - self._idle_since
        return idle_s < self._cfg.keepalive_s and (
            not self._transport.is_closing()
        )

    def abort(self) -> None:
        """Close the connection; the call in progress gets no response."""
        self._finish(NoResponse(unsent=False, cause='connection closed'))
        self._transport.abort()

    async def call(
        self, request: bytes, *, deadline: float
    ) -> RawResponse | NoResponse:
        """Send a request and wait for the response until ``deadline``."""
        outcome: asyncio.Future[_Outcome] = self._loop.create_future()
        self._outcome = outcome
        self._received_bytes = 0
        self._timer = self._loop.call_at(deadline, self._expire, LATE_PASSES)
        self._transport.write(request)
        return await outcome

    # Implementation of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.opened(self)

    def data_received(self, received: bytes) -> None:
        """Parse a part of the response."""
        if self._outcome is None:
            # A response without a request would be taken for the next one's.
            self.abort()
            return
        self._received_bytes += len(received)
        limit = self._cfg.max_body_bytes + MAX_HEAD_BYTES
        if self._received_bytes > limit:
            self._fail(f'response of over {limit} bytes is too large')
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as exc:
            self._fail(f'malformed response: {exc}')

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call without a response."""
        cause = 'connection closed' if exc is None else f'{exc!r}'
        self._finish(NoResponse(unsent=False, cause=cause))
        self._server.lost(self)

    # Callbacks of the parser.

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """End the call with its response, unless it is an interim one."""
        status = self._parser.get_status_code()
        body = b''.join(self._body)
        self._body.clear()
        if status < _MIN_FINAL_STATUS:
            return
        if self._outcome is None:
            # A second response: the connection is out of step.
            self._transport.abort()
            return
        self._finish(RawResponse(status=status, body=body))
        if self._parser.should_keep_alive():
            self._idle_since = self._loop.time()
            self._server.released(self)
        else:
            self._transport.abort()

    def _expire(self, passes: int) -> None:
        """End the call, unless its response arrives in the next passes."""
        if self._outcome is None:
            return
        if passes:
            self._timer = self._loop.call_later(0, self._expire, passes - 1)
            return
        self._fail('no response in time')
        self._server.timed_out()

    def _fail(self, cause: str) -> None:
        self._finish(NoResponse(unsent=False, cause=cause))
        self._transport.abort()

    def _finish(self, outcome: _Outcome) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pending = self._outcome
        self._outcome = None
        if pending is not None and not pending.done():
            pending.set_result(outcome)


def _discard(
    opening: asyncio.Task[tuple[asyncio.Transport, _Connection]],
) -> None:
    """Close a connection that is not needed any more, also if it opens."""
    opening.cancel()
    opening.add_done_callback(_abort_opened)


def _abort_opened(
    opening: asyncio.Task[tuple[asyncio.Transport, _Connection]],
) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[1].abort()


async def _wait(awaited: 'asyncio.Future[typing.Any]', deadline: float) -> bool:
    """Wait for ``awaited``; return whether it was done by ``deadline``."""
    timeout_s = deadline - asyncio.get_running_loop().time()
    await asyncio.wait((awaited,), timeout=max(0, timeout_s))
    for _ in range(LATE_PASSES):
        if awaited.done():
            return True
        await asyncio.sleep(0)
    return awaited.done()
