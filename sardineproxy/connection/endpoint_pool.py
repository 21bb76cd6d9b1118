"""Connections to endpoints that never carry bytes of an earlier answer."""

import asyncio
import collections
import contextvars
import dataclasses
import functools
import select
import time
from typing import Any

import aiohttp
from aiohttp import client_proto

_HEAD_END = b'\r\n\r\n'

#: Headers that aiohttp adds for a body.
_SKIPPED_HEADERS: Any = frozenset((aiohttp.hdrs.CONTENT_TYPE,))
_LAST_CHUNK = b'0\r\n\r\n'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Framing:
    """How the end of an answer's body is found."""

    #: Bytes of the body, or None if it comes in chunks.
    length: int | None


class InvalidResponseError(Exception):
    """The answer cannot be trusted to be whole."""


class ConnectionLimiter:
    """Bound of the attempts at one endpoint at once."""

    def __init__(self, *, limit: int) -> None:
        """Let ``limit`` attempts in."""
        self.in_use = 0
        self.limit = limit
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def try_acquire(self) -> bool:
        """Enter if there is room."""
        if self.in_use >= self.limit:
            return False
        self.in_use += 1
        return True

    async def acquire(self) -> None:
        """Enter when an attempt leaves."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Make room, or hand the place to the first waiter."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.in_use -= 1


class Exchange:
    """What one attempt has done so far."""

    def __init__(self) -> None:
        """Start without a connection."""
        #: Idle connections that the endpoint's bound leaves room for.
        self.max_idle = 0

        #: Set when a connection is handed over; bytes may leave from then on.
        self.protocol: Protocol | None = None


current_exchange: contextvars.ContextVar[Exchange] = contextvars.ContextVar(
    'current_exchange'
)


class Protocol(client_proto.ResponseHandler):
    """Connection that knows whether it holds bytes of no known answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without exchanges."""
        super().__init__(loop=loop)
        self.exchanges = 0
        self._received = 0
        self._approved = 0
        self._head = b''
        self._head_size = 0
        self._last = b''
        self._poller: select.poll | None = None

    def begin_exchange(self) -> None:
        """Note that a request is about to be written."""
        self.exchanges += 1
        self._received = 0
        self._approved = -1
        self._head = b''
        self._head_size = 0

    def data_received(self, data: bytes) -> None:
        """Count the bytes before they are parsed."""
        if data:
            self._received += len(data)
            self._last = data
            if not self._head_size:
                self._find_head(data)
        super().data_received(data)

    def mark_complete(self, framing: Framing) -> None:
        """Note that a whole answer was read; raise if more bytes follow it."""
        if framing.length is None:
            if self._last.endswith(_LAST_CHUNK):
                self._approved = self._received
            return
        body_size = self._received - self._head_size
        if self._head_size and body_size != framing.length:
            self.force_close()
            raise InvalidResponseError('wrong_length')
        if self._head_size:
            self._approved = self._received

    def is_reusable(self) -> bool:
        """Tell whether nothing was received but whole answers."""
        if self.should_close or self.transport is None:
            return False
        if self.exchanges and self._approved != self._received:
            return False
        return self._is_quiet(self.transport)

    def _is_quiet(self, transport: asyncio.BaseTransport) -> bool:
        """Tell whether the kernel holds no bytes and no close to be read."""
        if self._poller is None:
            self._poller = select.poll()
            self._poller.register(
                transport.get_extra_info('socket').fileno(),
                select.POLLIN | select.POLLRDHUP,
            )
        return not self._poller.poll(0)

    def _find_head(self, data: bytes) -> None:
        """Find the end of the final answer's head, past interim answers."""
        self._head += data
        start = 0
        end = self._head.find(_HEAD_END)
        while end >= 0 and self._head.startswith(b'HTTP/1.1 1', start):
            start = end + len(_HEAD_END)
            end = self._head.find(_HEAD_END, start)
        if end >= 0:
            self._head_size = end + len(_HEAD_END)
            self._head = b''


class Request(aiohttp.ClientRequest):
    """Request with no headers but the caller's, ``Host`` and the length."""

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add none of the library's headers."""
        self._skip_auto_headers = _SKIPPED_HEADERS


class Connector(aiohttp.TCPConnector):
    """Hands out clean connections, one for each attempt."""

    def __init__(self, *, min_idle_s: float, **options: Any) -> None:
        """Make connections that count what they receive."""
        super().__init__(**options)
        self._rest_s = min_idle_s
        self._factory = functools.partial(  # type: ignore[assignment]
            Protocol, loop=self._loop
        )

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Return a connection that holds no bytes of an earlier answer."""
        exchange = current_exchange.get()
        if exchange.protocol is not None:
            raise aiohttp.ClientConnectionError('the request was sent before')
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol = conn.protocol
            assert isinstance(protocol, Protocol)
            if protocol.is_reusable():
                protocol.begin_exchange()
                exchange.protocol = protocol
                return conn
            conn.close()
            if not protocol.exchanges:
                raise aiohttp.ClientConnectionError(
                    'the endpoint closed a new connection'
                )

    async def _get(self, key: Any, traces: Any) -> Any:
        """Return an idle connection that has rested, or None.

        Bytes that follow an answer late are then seen before the next
        request is written. Idle connections come oldest first.
        """
        idle = self._conns.get(key)
        if idle and len(idle) <= current_exchange.get().max_idle:
            if time.monotonic() - idle[0][1] < self._rest_s:
                return None
        return await super()._get(key, traces)
