"""Connections to endpoints, reused only when no unread bytes remain."""

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

#: Headers that aiohttp adds to requests with a body.
_SKIPPED_HEADERS: Any = frozenset((aiohttp.hdrs.CONTENT_TYPE,))
_LAST_CHUNK = b'0\r\n\r\n'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Framing:
    """How the length of a response body is determined."""

    #: Length of the body in bytes, or None for the chunked coding.
    length: int | None


class InvalidResponseError(Exception):
    """The response is malformed or may be incomplete."""


class ConnectionLimiter:
    """Limits the concurrent attempts at one endpoint."""

    def __init__(self, *, limit: int) -> None:
        """Allow ``limit`` concurrent attempts."""
        self.in_use = 0
        self.limit = limit
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def try_acquire(self) -> bool:
        """Start an attempt and return True if the limit allows it."""
        if self.in_use >= self.limit:
            return False
        self.in_use += 1
        return True

    async def acquire(self) -> None:
        """Wait in FIFO order until an attempt ends, and start one."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """End an attempt; the first waiter starts in its place."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.in_use -= 1


class Exchange:
    """State of one attempt."""

    def __init__(self) -> None:
        """Start without a connection."""
        #: Number of idle connections that the endpoint's limit allows.
        self.max_idle = 0

        #: Set when a connection is assigned; bytes may be sent from then on.
        self.protocol: Protocol | None = None


current_exchange: contextvars.ContextVar[Exchange] = contextvars.ContextVar(
    'current_exchange'
)


class Protocol(client_proto.ResponseHandler):
    """Connection that detects received bytes outside of complete responses."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without exchanges."""
        super().__init__(loop=loop)
        self.exchange_count = 0
        self._received_bytes = 0
        self._complete_bytes = 0
        self._head_buffer = b''
        self._head_size = 0
        self._last_data = b''
        self._input_poller: select.poll | None = None

    def begin_exchange(self) -> None:
        """Reset the byte counts; call it before a request is written."""
        self.exchange_count += 1
        self._received_bytes = 0
        self._complete_bytes = -1
        self._head_buffer = b''
        self._head_size = 0

    def data_received(self, data: bytes) -> None:
        """Count the bytes and pass them to the parser."""
        if data:
            self._received_bytes += len(data)
            self._last_data = data
            if not self._head_size:
                self._scan_head(data)
        super().data_received(data)

    def mark_complete(self, framing: Framing) -> None:
        """Record that a complete response was read.

        Raises ``InvalidResponseError`` if more bytes follow it.
        """
        if framing.length is None:
            if self._last_data.endswith(_LAST_CHUNK):
                self._complete_bytes = self._received_bytes
            return
        body_size = self._received_bytes - self._head_size
        if self._head_size and body_size != framing.length:
            self.force_close()
            raise InvalidResponseError('wrong_length')
        if self._head_size:
            self._complete_bytes = self._received_bytes

    def is_reusable(self) -> bool:
        """Return whether it is open and received only complete responses."""
        if self.should_close or self.transport is None:
            return False
        if self.exchange_count and self._complete_bytes != self._received_bytes:
            return False
        return self._has_no_unread_input(self.transport)

    def _has_no_unread_input(self, transport: asyncio.BaseTransport) -> bool:
        """Return whether the socket has neither unread bytes nor a close."""
        if self._input_poller is None:
            self._input_poller = select.poll()
            self._input_poller.register(
                transport.get_extra_info('socket').fileno(),
                select.POLLIN | select.POLLRDHUP,
            )
        return not self._input_poller.poll(0)

    def _scan_head(self, data: bytes) -> None:
        """Find the end of the final response head, after interim responses."""
        self._head_buffer += data
        start = 0
        end = self._head_buffer.find(_HEAD_END)
        while end >= 0 and self._head_buffer.startswith(b'HTTP/1.1 1', start):
            start = end + len(_HEAD_END)
            end = self._head_buffer.find(_HEAD_END, start)
        if end >= 0:
            self._head_size = end + len(_HEAD_END)
            self._head_buffer = b''


class Request(aiohttp.ClientRequest):
    """Request with only the given headers, ``Host`` and the body length."""

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add none of aiohttp's default headers."""
        self._skip_auto_headers = _SKIPPED_HEADERS


class Connector(aiohttp.TCPConnector):
    """Assigns each attempt one connection that holds no unread bytes."""

    def __init__(self, *, min_idle_s: float, **options: Any) -> None:
        """Create connections that count the received bytes."""
        super().__init__(**options)
        self._min_idle_s = min_idle_s
        self._factory = functools.partial(  # type: ignore[assignment]
            Protocol, loop=self._loop
        )

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Return a connection that holds no bytes of an earlier response."""
        exchange = current_exchange.get()
        if exchange.protocol is not None:
            raise aiohttp.ClientConnectionError('the request was already sent')
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol = conn.protocol
            assert isinstance(protocol, Protocol)
            if protocol.is_reusable():
                protocol.begin_exchange()
                exchange.protocol = protocol
                return conn
            conn.close()
            if not protocol.exchange_count:
                raise aiohttp.ClientConnectionError(
                    'the endpoint closed a new connection'
                )

    async def _get(self, key: Any, traces: Any) -> Any:
        """Return a connection that was idle long enough, or None.

        The minimum idle time lets late bytes after a response be detected
        before the next request is written. The longest idle connection is
        first.
        """
        idle_conns = self._conns.get(key)
        if idle_conns and len(idle_conns) <= current_exchange.get().max_idle:
            if time.monotonic() - idle_conns[0][1] < self._min_idle_s:
                return None
        return await super()._get(key, traces)
