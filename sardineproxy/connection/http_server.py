"""HTTP/1.1 server for small requests and responses.

Importing aiohttp takes 0.25 s of processor time, which delays each start of a
process on a small VM; docs/platform.md has the figures.
"""

import asyncio
import collections
import dataclasses
import typing
from typing import Awaitable, Callable, Mapping
from urllib.parse import unquote

import httptools

from sardineproxy import background, deployment, logs

#: Largest request line and headers together, in bytes.
MAX_HEAD_BYTES = 16_384

#: Bytes of a body that is too large which are read and discarded before the
#: connection is closed; a client that is still sending sees no response.
MAX_DISCARDED_BYTES = 4_194_304

#: Requests that may wait on one connection until those before are answered.
MAX_PIPELINED = 16

#: Idle connections are closed after this time, in seconds.
KEEPALIVE_S = 75

_REASONS = {  # noqa: WPS407
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    410: 'Gone',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_LOG = logs.get_logger('http')


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A request with its whole body."""

    method: str = ''

    #: Path without the query, percent-decoded.
    path: str = ''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    #: None if the body is too large, arrives too slowly, or is malformed.
    body: bytes | None = b''
    keep_alive: bool = True

    @property
    def host(self) -> str:
        """Return the ``Host`` header, empty if there is none."""
        return self.headers.get('host', '')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Status, body and headers of a response."""

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)

    #: True if the connection is closed after the response.
    close: bool = False


Handler = Callable[[Request], Awaitable[Response]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerConfig:
    """Limits of requests."""

    #: Largest body of a request, in bytes.
    max_body_bytes: int

    #: Longest time from the first byte of a request to its last, in seconds.
    read_timeout_s: float

    #: Connections that the kernel accepts before the process does.
    backlog: int = 1024


class HttpServer:
    """Passes requests to a handler; the client's disconnect cancels it."""

    def __init__(self, *, handler: Handler, cfg: ServerConfig) -> None:
        """Create a server; ``start`` opens the listener."""
        self._handler = handler
        self._cfg = cfg
        self._connections: set[_Connection] = set()
        self._server: asyncio.AbstractServer | None = None
        self._tasks = background.Tasks()

    async def start(self, address: deployment.Address) -> None:
        """Open the listener; raises OSError if that is not possible."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            address.host,
            address.port,
            backlog=self._cfg.backlog,
        )

    async def close(self) -> None:
        """Close the listener and all connections, and cancel all requests."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.close()
        await self._tasks.close()

    def _make_connection(self) -> asyncio.Protocol:
        return _Connection(
            handler=self._handler,
            cfg=self._cfg,
            connections=self._connections,
            tasks=self._tasks,
        )


class _Connection(asyncio.Protocol):
    """One client connection; requests are handled one after the other."""

    def __init__(
        self,
        *,
        handler: Handler,
        cfg: ServerConfig,
        connections: set['_Connection'],
        tasks: background.Tasks,
    ) -> None:
        self._handler = handler
        self._cfg = cfg
        self._connections = connections
        self._tasks = tasks
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._head_bytes = 0
        self._body_bytes = 0
        self._body: list[bytes] = []
        self._request: Request | None = None
        self._is_last_request_read = False
        self._waiting: collections.deque[Request] = collections.deque()
        self._handling: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Close the connection after the data that is being sent."""
        self._transport.close()

    # Implementation of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._start_timer(KEEPALIVE_S, self.close)

    def data_received(self, received: bytes) -> None:
        """Parse a part of a request."""
        if self._is_last_request_read:
            return
        if self._request is None and not self._handling:
            self._start_timer(self._cfg.read_timeout_s, self._read_timed_out)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            # The upgrade is not accepted; what follows is no request.
            self._is_last_request_read = True
        except httptools.HttpParserError as exc:
            _LOG.info('Malformed request.', extra={'cause': str(exc)})
            self._reject()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._connections.discard(self)
        self._stop_timer()
        self._waiting.clear()
        if self._handling is not None:
            self._handling.cancel()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._request = Request()
        self._url = b''
        self._head_bytes = 0
        self._body_bytes = 0
        self._body.clear()

    def on_url(self, part: bytes) -> None:
        """Collect the request target."""
        self._count_head(part)
        self._url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; names are in lower case."""
        self._count_head(name + value)
        if self._request is not None:
            self._request.headers[name.decode('latin-1').lower()] = (
                value.decode('latin-1')
            )

    def on_headers_complete(self) -> None:
        """Decode the target; ask for a body that the client holds back."""
        req = self._request
        if req is None:
            return
        req.method = self._parser.get_method().decode('latin-1')
        req.path = _decode_path(self._url)
        req.keep_alive = self._parser.should_keep_alive()
        if req.headers.get('expect', '').lower() == '100-continue':
            self._transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body, or discard it if there is too much."""
        self._body_bytes += len(chunk)
        if self._body_bytes <= self._cfg.max_body_bytes:
            self._body.append(chunk)
        elif self._body_bytes > MAX_DISCARDED_BYTES:
            self._transport.abort()

    def on_message_complete(self) -> None:
        """Handle the request, after those before it."""
        req = self._request
        self._request = None
        if req is None or self._transport.is_closing():
            return
        is_too_large = self._body_bytes > self._cfg.max_body_bytes
        req.body = None if is_too_large else b''.join(self._body)
        self._body.clear()
        self._waiting.append(req)
        if len(self._waiting) > MAX_PIPELINED:
            self._transport.abort()
        elif self._handling is None:
            self._stop_timer()
            self._handling = self._loop.create_task(self._handle_waiting())
            self._handling.add_done_callback(self._handled)

    async def _handle_waiting(self) -> None:
        """Answer the waiting requests in order."""
        while self._waiting:
            req = self._waiting.popleft()
            response = await self._respond(req)
            keep_alive = req.keep_alive and not response.close
            if self._is_last_request_read and not self._waiting:
                keep_alive = False
            self._transport.write(
                _encode(response, req.method, keep_alive=keep_alive)
            )
            if not keep_alive:
                self._transport.close()
                return

    async def _respond(self, req: Request) -> Response:
        """Return the handler's response, 500 if it fails."""
        try:
            return await self._handler(req)
        except Exception:
            # One failed request must not end the process or the connection.
            _LOG.exception('Request failed.', extra={'path': req.path})
            return Response(status=500)

    def _handled(self, handling: asyncio.Task[None]) -> None:
        self._handling = None
        if not handling.cancelled() and handling.exception() is not None:
            _LOG.error('Connection failed.', exc_info=handling.exception())
            self._transport.abort()
        elif self._transport.is_closing():
            return
        elif self._request is None:
            self._start_timer(KEEPALIVE_S, self.close)
        else:
            self._start_timer(self._cfg.read_timeout_s, self._read_timed_out)

    def _count_head(self, part: bytes) -> None:
        """Raise an error, which ends the parsing, if the head is too large."""
        self._head_bytes += len(part)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(
                f'head of a request exceeds {MAX_HEAD_BYTES} bytes'
            )

    def _read_timed_out(self) -> None:
        _LOG.info('Request arrives too slowly.')
        self._reject()

    def _reject(self) -> None:
        """Answer a request that cannot be read, and close the connection."""
        if self._transport.is_closing():
            return
        if self._handling is None:
            self._transport.write(
                _encode(Response(status=400), 'GET', keep_alive=False)
            )
        self._transport.close()

    def _start_timer(
        self, delay_s: float, callback: Callable[[], None]
    ) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _decode_path(target: bytes) -> str:
    """Return the decoded path of a request target, empty if malformed."""
    try:
        path = httptools.parse_url(target).path
    except httptools.HttpParserInvalidURLError:
        return ''
    return unquote((path or b'').decode('latin-1'))


def _encode(response: Response, method: str, *, keep_alive: bool) -> bytes:
    reason = _REASONS.get(response.status, '')
    lines = [
        f'HTTP/1.1 {response.status} {reason}',
        f'Content-Length: {len(response.body)}',
    ]
    if not keep_alive:
        lines.append('Connection: close')
    lines.extend(
        f'{name}: {header}' for name, header in response.headers.items()
    )
    head = '\r\n'.join(lines).encode('latin-1')
    body = b'' if method == 'HEAD' else response.body
    return b'%s\r\n\r\n%s' % (head, body)
