"""Callers' connections, with limits on the size and duration of requests.

The aiohttp parser rejects requests that two parsers could interpret
differently. It bounds neither the size of a whole head nor the time that a
request takes to arrive; ``Connection`` adds both.
"""

import asyncio
import dataclasses
import enum
import types

import result
from aiohttp import HttpVersion11, http_exceptions, web

from sardineproxy import logs, problems, verdicts
from sardineproxy.connection import client_guard
from sardineproxy.request import admission, documents, keys

KEY_HEADER = 'Idempotency-Key'

#: Headers that a request may contain only once, as one parser could use the
#: first and another the last.
SINGLE_HEADERS = ('Authorization', KEY_HEADER)

#: Largest number of header lines in a request.
MAX_HEADER_LINES = 100

#: Bytes of the separator and the line end in a header line.
HEADER_LINE_OVERHEAD_BYTES = 4

#: Memory of a piece of a chunked body in the parser, for each of the two line
#: ends that enclose it.
FRAMING_MEMORY_BYTES = 25

#: Bytes of a body that are buffered before it is read, and at least one
#: segment. The parser buffers up to a sixteenth as many pieces.
READ_BUFFER_BYTES = 65_536

HEAD_END = b'\r\n\r\n'

#: Time for which a connection may stay open without a request, in seconds.
IDLE_TIMEOUT_S = 75

#: Time for which received bytes are discarded after a rejection, in seconds.
LINGER_S = 2

_HEAD_TOO_LARGE = problems.refusal(
    code='head_too_large',
    status=431,
    detail='The request line and headers are too large.',
)
_BODY_TOO_LARGE = problems.refusal(
    code='body_too_large',
    status=413,
    detail='The body is too large.',
)
_READ_TIMEOUT = problems.refusal(
    code='read_timeout',
    status=408,
    detail='The request did not arrive whole in time.',
)
_MALFORMED_HTTP = problems.refusal(
    code='malformed_http',
    status=400,
    detail='The request is not well-formed HTTP/1.1.',
)
_REPEATED_HEADER = problems.outcome_unknown(
    code='repeated_header',
    status=400,
    detail=f'Only one each is allowed of {", ".join(SINGLE_HEADERS)}.',
)
_ENCODED_BODY = problems.refusal(
    code='encoded_body',
    status=415,
    detail='Content-Encoding is not supported.',
)
_INTERNAL_ERROR = problems.outcome_unknown(
    code='internal_error',
    status=500,
    detail='The request failed inside this VM.',
    final=False,
)

Body = result.Result[bytes, problems.Problem]
_LOG = logs.get_logger('caller')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """Limits on the size and duration of callers' requests."""

    #: Largest request line and headers together, in bytes.
    header_bytes: int = 16_384
    body_bytes: int = documents.MAX_BODY_BYTES

    #: Total size of the requests on all connections, in bytes.
    reading_bytes: int = 268_435_456
    connections: int = 10_000

    #: Connections that the kernel accepts before the process does.
    backlog: int = 1024

    #: At the largest number of connections, one that has been idle for this
    #: time is closed for a new one, in seconds.
    min_idle_s: float = 15

    #: Name of the listener in metrics and log lines.
    listener: str = 'callers'

    #: Timeout from the first byte of a request to its last, in seconds.
    read_timeout_s: float = 10

    #: Timeout for the caller to read a response, in seconds.
    write_timeout_s: float = 30

    #: Timeout for pending responses when the listener closes, in seconds.
    close_timeout_s: float = 10


class _Phase(enum.Enum):
    """How much of a request has been received."""

    IDLE = 'nothing'
    HEAD = 'head'
    BODY = 'body'
    COMPLETE = 'whole'

    #: The request was rejected; further bytes are discarded.
    REJECTED = 'refused'


_GUARD_PHASES = types.MappingProxyType(
    {
        _Phase.IDLE: client_guard.Phase.IDLE,
        _Phase.HEAD: client_guard.Phase.ARRIVING,
        _Phase.BODY: client_guard.Phase.ARRIVING,
        _Phase.COMPLETE: client_guard.Phase.ACCEPTED,
        _Phase.REJECTED: client_guard.Phase.IDLE,
    }
)


class Connection(web.RequestHandler):
    """One caller's connection."""

    def __init__(
        self,
        server: web.Server,
        *,
        limits: ConnectionLimits,
        guard: client_guard.ClientGuard,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a connection; all those of a process share ``guard``."""
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=LINGER_S,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADER_LINES,
            max_line_size=limits.header_bytes,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._limits = limits
        self._guard = guard
        self._phase = _Phase.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._head_tail = b''

        #: Bytes received after the head.
        self._body_bytes = 0

        #: Memory of the pieces of a chunked body beside their bytes.
        self._framing_bytes = 0

        #: True once a handler may have the request.
        self._is_handled = False

        #: True once bytes of the next request may have been received already.
        self._pipelined = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and refuse it if it exceeds the limit."""
        super().connection_made(transport)
        is_accepted = self._guard.add(
            self,
            listener=self._limits.listener,
            max_connections=self._limits.connections,
            min_idle_s=self._limits.min_idle_s,
        )
        if not is_accepted:
            self._refuse(admission.overloaded())

    def close_excess(self, cause: client_guard.Cause) -> None:
        """Close at once; refuse a request that no handler has seen."""
        self._guard.count(self._limits.listener, cause)
        if not self._is_handled and cause is client_guard.Cause.MEMORY:
            self._refuse(admission.overloaded())
            return
        self._stop_timer()
        self._phase = _Phase.REJECTED
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Apply the limits to the bytes and pass them to the parser."""
        if self._phase is _Phase.REJECTED:
            return
        if self._phase is _Phase.IDLE:
            self._start_request()
        if self._phase is _Phase.HEAD:
            self._scan_head(data)
        else:
            self._body_bytes += len(data)
            self._framing_bytes += FRAMING_MEMORY_BYTES * data.count(b'\n')
            self._pipelined |= self._phase is _Phase.COMPLETE
        if self._head_bytes > self._limits.header_bytes:
            self._guard.count(self._limits.listener, client_guard.Cause.HEAD)
            self._reject(_HEAD_TOO_LARGE)
            return
        self._update_guard()
        if self._phase is _Phase.REJECTED:
            return
        self._is_handled = self._phase is not _Phase.HEAD
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer; requests in progress continue."""
        self._guard.remove(self)
        self._stop_timer()
        super().connection_lost(exc)

    async def read_body(self, req: web.BaseRequest) -> Body:
        """Read the rest of the request within the read timeout."""
        body = await self._read_with_timeout(req)
        if isinstance(body, result.Ok):
            self._phase = _Phase.COMPLETE
            if self._body_bytes != (req.content_length or 0):
                self._pipelined = True
            self._update_guard()
        return body

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response within the write timeout; then expect a request."""
        if self._phase is _Phase.REJECTED:
            return resp, True
        self._stop_timer()
        if isinstance(resp, web.HTTPException):
            resp = _render_exception(request, resp)
        if self._phase is not _Phase.COMPLETE:
            # The rest of the body must not be parsed as a request.
            resp.force_close()
        try:
            async with asyncio.timeout(self._limits.write_timeout_s):
                outcome = await super().finish_response(
                    request, resp, start_time
                )
        except TimeoutError:
            self.force_close()
            return resp, True
        if self._phase is _Phase.COMPLETE:
            self._phase = _Phase.IDLE
            if self._pipelined:
                self._start_request()
            self._update_guard()
        return outcome

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond with a problem document; log no part of the request."""
        if isinstance(exc, http_exceptions.LineTooLong):
            problem = _HEAD_TOO_LARGE
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            problem = _MALFORMED_HTTP
        else:
            problem = _INTERNAL_ERROR
            _LOG.error('Request handler raised an exception.', exc_info=exc)
        _LOG.info('Request failed.', extra={'code': problem.code})
        if request.writer.output_size > 0:
            raise ConnectionError('the response has been sent in part')
        resp = render(documents.render_problem(_for_unread_key(problem)))
        resp.force_close()
        return resp

    async def _read_with_timeout(self, req: web.BaseRequest) -> Body:
        deadline = self._timer.when() if self._timer else None
        self._stop_timer()
        try:
            async with asyncio.timeout_at(deadline):
                return result.Ok(await req.read())
        except TimeoutError:
            return result.Err(_READ_TIMEOUT)
        except web.HTTPRequestEntityTooLarge:
            return result.Err(_BODY_TOO_LARGE)
        except web.RequestPayloadError:
            return result.Err(_MALFORMED_HTTP)

    def _start_request(self) -> None:
        self._phase = _Phase.HEAD
        self._head_bytes = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._is_handled = False
        self._head_tail = b''
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.read_timeout_s, self._handle_read_timeout
        )

    def _scan_head(self, data: bytes) -> None:
        window = self._head_tail + data
        end = window.find(HEAD_END)
        if end < 0:
            self._head_bytes += len(data)
            self._head_tail = window[1 - len(HEAD_END) :]
            return
        self._phase = _Phase.BODY
        self._body_bytes = len(window) - end - len(HEAD_END)
        self._head_bytes += len(data) - self._body_bytes

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_read_timeout(self) -> None:
        self._timer = None
        self._guard.count(self._limits.listener, client_guard.Cause.SLOW)
        self._reject(_READ_TIMEOUT)

    def _update_guard(self) -> None:
        """Tell the guard what this connection does and holds."""
        held_bytes = 0
        if self._phase is not _Phase.IDLE:
            held_bytes = (
                self._head_bytes + self._body_bytes + self._framing_bytes
            )
        self._guard.update(self, _GUARD_PHASES[self._phase], held_bytes)

    def _refuse(self, problem: problems.Problem) -> None:
        """Respond and close; wait for the caller if few others do."""
        if self._guard.may_linger(self):
            self._reject(problem)
            return
        self._write_problem(problem)
        if self.transport is not None:
            self.transport.close()

    def _reject(self, problem: problems.Problem) -> None:
        """Respond to a request with an incomplete head, and close."""
        self._write_problem(problem)
        if self.transport is None:
            return
        # Closing at once would reset the connection while the caller still
        # sends, and the caller could miss the response.
        self.transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(
            LINGER_S, self.force_close
        )

    def _write_problem(self, problem: problems.Problem) -> None:
        reply = documents.render_problem(_for_unread_key(problem))
        lines = [
            f'HTTP/1.1 {reply.status} {problem.code}',
            *(f'{name}: {text}' for name, text in reply.headers),
            f'Content-Length: {len(reply.body)}',
            'Connection: close',
        ]
        self._stop_timer()
        self._phase = _Phase.REJECTED
        if self.transport is not None:
            head = '\r\n'.join(lines).encode()
            self.transport.write(head + HEAD_END + reply.body)


def check_head(
    req: web.Request, limits: ConnectionLimits
) -> problems.Problem | None:
    """Return the problem of a head that is rejected, else None."""
    size = len(req.raw_path) + sum(
        len(name) + len(text) + HEADER_LINE_OVERHEAD_BYTES
        for name, text in req.raw_headers
    )
    if size > limits.header_bytes:
        return _HEAD_TOO_LARGE
    if any(len(req.headers.getall(name, ())) > 1 for name in SINGLE_HEADERS):
        return _REPEATED_HEADER
    if _is_framing_ambiguous(req):
        return _MALFORMED_HTTP
    if req.headers.get('Content-Encoding', 'identity') != 'identity':
        return _ENCODED_BODY
    if (req.content_length or 0) > limits.body_bytes:
        return _BODY_TOO_LARGE
    return None


def _for_unread_key(problem: problems.Problem) -> problems.Problem:
    """Return the problem of a request whose key was not read.

    Its verdict is ``MAY_HAVE_RUN``, as an earlier request with the same key
    may have run.
    """
    return dataclasses.replace(
        problem, verdict=verdicts.Verdict.MAY_HAVE_RUN, final=False
    )


def _is_framing_ambiguous(req: web.Request) -> bool:
    """Return whether another parser may find another end of the body.

    The aiohttp parser accepts other codings before "chunked", and accepts
    codings in HTTP/1.0, where other parsers ignore the header.
    """
    coding = req.headers.get('Transfer-Encoding')
    if coding is None:
        return False
    return req.version < HttpVersion11 or coding.lower() != 'chunked'


def _render_exception(
    req: web.BaseRequest, exc: web.HTTPException
) -> web.Response:
    """Return an error of aiohttp itself, such as 404, as a problem document."""
    problem = problems.refusal(
        code='no_such_resource',
        status=exc.status,
        detail='There is no such resource, method or expectation.',
    )
    key_text = req.headers.get(KEY_HEADER)
    return render(
        documents.render_problem(keys.without_issuer_verdict(problem, key_text))
    )


def render(reply: documents.Reply) -> web.Response:
    """Convert a reply to an aiohttp response."""
    return web.Response(
        status=reply.status, headers=reply.headers, body=reply.body
    )
