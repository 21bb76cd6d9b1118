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
from sardineproxy.connection import (
    caller_body,
    caller_framing,
    client_guard,
    parse_turns,
)
from sardineproxy.request import admission, documents, keys

KEY_HEADER = 'Idempotency-Key'

#: Headers that a request may contain only once, as one parser could use the
#: first and another the last.
SINGLE_HEADERS = ('Authorization', KEY_HEADER)

#: Largest number of header lines in a request.
MAX_HEADER_LINES = 100

#: Bytes of the separator and the line end in a header line.
HEADER_LINE_OVERHEAD_BYTES = 4

#: Bytes of a body that are buffered before it is read, and at least one
#: segment. The parser buffers up to a sixteenth as many pieces.
READ_BUFFER_BYTES = 65_536

#: Bytes of requests behind the one that is being handled, above which a
#: connection is not read. The kernel then holds back the caller.
MAX_WAITING_BYTES = 65_536

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


#: Causes of a close at which a request that no handler has seen is answered.
_REFUSED_CAUSES = frozenset(
    (client_guard.Cause.MEMORY, client_guard.Cause.SLOW)
)


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
        self._progress = caller_framing.Progress()

        #: Received bytes that wait for a turn of this connection, or for the
        #: response to the request before.
        self._unparsed = bytearray()

        self._body = caller_body.BodyReader(max_bytes=limits.body_bytes)

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
        if not self._is_handled and cause in _REFUSED_CAUSES:
            self._refuse(admission.overloaded())
            return
        self._stop_timer()
        self._phase = _Phase.REJECTED
        self._release()
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request, or keep it for this connection's turn."""
        if self._phase is _Phase.REJECTED:
            return
        if not data:
            # The parser continues with what it has kept.
            super().data_received(data)
            self._continue()
            return
        is_next = not self._unparsed and self._can_parse()
        if is_next and len(data) <= parse_turns.AT_ONCE_BYTES:
            self._parse(data)
            return
        self._unparsed += data
        self._continue()
        self._update_guard()

    def take_turn(self) -> None:
        """Parse some of the bytes that wait."""
        if not self._can_parse():
            return
        piece = bytes(self._unparsed[: parse_turns.TURN_BYTES])
        del self._unparsed[: parse_turns.TURN_BYTES]
        self._parse(piece)
        self._continue()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer; requests in progress continue."""
        self._guard.remove(self)
        self._stop_timer()
        self._release()
        super().connection_lost(exc)
        if self._phase not in {_Phase.IDLE, _Phase.COMPLETE}:
            self._guard.cycles.count_closed()

    async def read_body(self, req: web.BaseRequest) -> Body:
        """Read the rest of the request within the read timeout."""
        deadline = self._timer.when() if self._timer else None
        self._stop_timer()
        try:
            async with asyncio.timeout_at(deadline):
                body = await self._body.read(req.content)
        except TimeoutError:
            return result.Err(_READ_TIMEOUT)
        except web.RequestPayloadError:
            return result.Err(_MALFORMED_HTTP)
        if body is None:
            return result.Err(_BODY_TOO_LARGE)
        self._phase = _Phase.COMPLETE
        self._pipelined = self._progress.body_length is None
        self._update_guard()
        return result.Ok(body)

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
            self._continue()
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

    def _parse(self, data: bytes) -> None:
        """Apply the limits to the bytes and pass them to the parser."""
        if self._phase is _Phase.IDLE:
            self._start_request()
        own_bytes = self._progress.add(data)
        if own_bytes < len(data):
            # The next request waits for the response to this one.
            self._unparsed = bytearray(data[own_bytes:] + self._unparsed)
        if self._phase is _Phase.HEAD and self._progress.has_whole_head:
            self._phase = _Phase.BODY
        if self._progress.head_bytes > self._limits.header_bytes:
            self._guard.count(self._limits.listener, client_guard.Cause.HEAD)
            self._reject(_HEAD_TOO_LARGE)
            return
        self._update_guard()
        if self._phase is _Phase.REJECTED:
            return
        self._is_handled = self._phase is not _Phase.HEAD
        web.RequestHandler.data_received(self, data[:own_bytes])

    def _start_request(self) -> None:
        self._phase = _Phase.HEAD
        self._progress = caller_framing.Progress()
        self._is_handled = False
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.read_timeout_s, self._handle_read_timeout
        )

    def _can_parse(self) -> bool:
        """Return whether the request that is being received needs more."""
        if self._progress.is_whole and self._phase is not _Phase.IDLE:
            return False
        is_receiving = self._phase not in {_Phase.COMPLETE, _Phase.REJECTED}
        return is_receiving and not self._reading_paused

    def _continue(self) -> None:
        """Parse what waits, if it may be parsed; read as much as may wait."""
        if self._unparsed and self._can_parse():
            self._guard.turns.add(self)
        if len(self._unparsed) > MAX_WAITING_BYTES:
            self._pause_transport_reading()
        elif not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _release(self) -> None:
        """Release what has been received of requests that nobody handles."""
        self._unparsed = bytearray()
        self._body.close()
        for _, content in self._messages:
            caller_body.discard(content)
        if self._current_request is not None:
            caller_body.discard(self._current_request.content)
        self._guard.turns.discard(self)

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
        held_bytes = len(self._unparsed)
        if self._phase is not _Phase.IDLE:
            held_bytes += self._progress.held_bytes
        phase = _GUARD_PHASES[self._phase]
        if self._unparsed and self._phase is _Phase.IDLE:
            phase = client_guard.Phase.ARRIVING
        self._guard.update(self, phase, held_bytes)

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
        self._release()
        # What the caller still sends is discarded.
        self._resume_transport_reading()
        if self.transport is not None:
            head = '\r\n'.join(lines).encode()
            self.transport.write(head + caller_framing.HEAD_END + reply.body)


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
