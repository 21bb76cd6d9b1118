"""Limits on what a caller's connection may send, and for how long.

The aiohttp parser refuses requests that two parsers could interpret
differently. It bounds neither the size of a whole head nor the time that a
request takes to arrive; ``Connection`` adds both.
"""

import asyncio
import dataclasses
import enum

import result
from aiohttp import HttpVersion11, http_exceptions, web

from sardineproxy import logs, problems, verdicts
from sardineproxy.request import admission, documents, keys

KEY_HEADER = 'Idempotency-Key'

#: Headers of which a request may have one only, as the last or the first
#: could count.
SINGLE_HEADERS = ('Authorization', KEY_HEADER)

#: Most header lines in a request.
MAX_HEADER_LINES = 100

#: Bytes that separate a header's name and text and end its line.
HEADER_LINE_EXTRA = 4

HEAD_END = b'\r\n\r\n'

#: Seconds for which a connection may stay open without a request.
IDLE_TIMEOUT_S = 75

#: Seconds for which an unread body is skipped after a refusal.
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
_log = logs.get_logger('caller')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """What a caller may send and how long it may take."""

    #: Request line and headers together, in bytes.
    header_bytes: int = 16_384
    body_bytes: int = documents.MAX_BODY_BYTES

    #: Bodies that all connections together may be sending, in bytes.
    reading_bytes: int = 268_435_456
    connections: int = 10_000

    #: Seconds from the first byte of a request to its last.
    read_timeout_s: float = 10

    #: Seconds for which a caller may leave an answer unread.
    write_timeout_s: float = 30

    #: Seconds that answers get to leave when the listener closes.
    close_timeout_s: float = 10


class ListenerLoad:
    """What all connections of one listener use together."""

    def __init__(self, *, limits: ConnectionLimits) -> None:
        """Start with no connections."""
        self._limits = limits
        self.connections = 0
        self.reading_bytes = 0

    def has_capacity(self, *, reading_bytes: int) -> bool:
        """Tell whether so many more bytes may be read now."""
        wanted = self.reading_bytes + reading_bytes
        return wanted <= self._limits.reading_bytes

    def has_too_many_connections(self) -> bool:
        """Tell whether the newest connection has to be closed."""
        return self.connections > self._limits.connections


class _Phase(enum.Enum):
    """How much of a request has arrived."""

    NOTHING = 'nothing'
    HEAD = 'head'
    BODY = 'body'
    WHOLE = 'whole'

    #: Refused; what still arrives is dropped.
    REFUSED = 'refused'


class Connection(web.RequestHandler):
    """One caller's connection."""

    def __init__(
        self,
        server: web.Server,
        *,
        limits: ConnectionLimits,
        load: ListenerLoad,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Wait for the first request; ``load`` is shared."""
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
        )
        self._limits = limits
        self._load = load
        self._phase = _Phase.NOTHING
        self._timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._last_bytes = b''

        #: Bytes that have arrived after the head.
        self._body_bytes = 0

        #: True once bytes of a next request may have come with another one.
        self._pipelined = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse one connection too many."""
        super().connection_made(transport)
        self._load.connections += 1
        if self._load.has_too_many_connections():
            self._refuse(admission.overloaded())

    def data_received(self, data: bytes) -> None:
        """Count and time the bytes, and pass them to the parser."""
        if self._phase is _Phase.REFUSED:
            return
        if self._phase is _Phase.NOTHING:
            self._begin()
        if self._phase is _Phase.HEAD:
            self._scan_head(data)
        else:
            self._body_bytes += len(data)
            self._pipelined |= self._phase is _Phase.WHOLE
        if self._head_bytes > self._limits.header_bytes:
            self._refuse(_HEAD_TOO_LARGE)
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer; work in progress goes on."""
        self._load.connections -= 1
        self._stop_timer()
        super().connection_lost(exc)

    async def read_body(self, req: web.BaseRequest) -> Body:
        """Read the rest of the request within its time."""
        size = req.content_length
        if size is None:
            size = self._limits.body_bytes if req.can_read_body else 0
        if not self._load.has_capacity(reading_bytes=size):
            return result.Err(admission.overloaded())
        self._load.reading_bytes += size
        try:
            body = await self._read_in_time(req)
        finally:
            self._load.reading_bytes -= size
        if isinstance(body, result.Ok):
            self._phase = _Phase.WHOLE
            if self._body_bytes != (req.content_length or 0):
                self._pipelined = True
        return body

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the answer within its time and expect the next request."""
        if self._phase is _Phase.REFUSED:
            return resp, True
        self._stop_timer()
        if isinstance(resp, web.HTTPException):
            resp = _render_exception(request, resp)
        if self._phase is not _Phase.WHOLE:
            # What is left of the body must not be taken for a request.
            resp.force_close()
        try:
            async with asyncio.timeout(self._limits.write_timeout_s):
                finished = await super().finish_response(
                    request, resp, start_time
                )
        except TimeoutError:
            self.force_close()
            return resp, True
        if self._phase is _Phase.WHOLE:
            self._phase = _Phase.NOTHING
            if self._pipelined:
                self._begin()
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer with a problem document, and log no part of the request."""
        if isinstance(exc, http_exceptions.LineTooLong):
            problem = _HEAD_TOO_LARGE
        elif isinstance(exc, http_exceptions.HttpProcessingError):
            problem = _MALFORMED_HTTP
        else:
            problem = _INTERNAL_ERROR
            _log.error('request failed', exc_info=exc)
        _log.info('refused', extra={'code': problem.code})
        if request.writer.output_size > 0:
            raise ConnectionError('the answer has been sent in part')
        resp = render(documents.render_problem(_without_key(problem)))
        resp.force_close()
        return resp

    async def _read_in_time(self, req: web.BaseRequest) -> Body:
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

    def _begin(self) -> None:
        self._phase = _Phase.HEAD
        self._head_bytes = 0
        self._body_bytes = 0
        self._last_bytes = b''
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.read_timeout_s, self._time_out
        )

    def _scan_head(self, data: bytes) -> None:
        seen = self._last_bytes + data
        end = seen.find(HEAD_END)
        if end < 0:
            self._head_bytes += len(data)
            self._last_bytes = seen[1 - len(HEAD_END) :]
            return
        self._phase = _Phase.BODY
        self._body_bytes = len(seen) - end - len(HEAD_END)
        self._head_bytes += len(data) - self._body_bytes

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        self._timer = None
        self._refuse(_READ_TIMEOUT)

    def _refuse(self, problem: problems.Problem) -> None:
        """Answer a request whose head is not whole, and close."""
        reply = documents.render_problem(_without_key(problem))
        lines = [
            f'HTTP/1.1 {reply.status} {problem.code}',
            *(f'{name}: {text}' for name, text in reply.headers),
            f'Content-Length: {len(reply.body)}',
            'Connection: close',
        ]
        self._stop_timer()
        self._phase = _Phase.REFUSED
        if self.transport is None:
            return
        head = '\r\n'.join(lines).encode()
        self.transport.write(head + HEAD_END + reply.body)
        # Closing at once would reset a connection that is still sending, and
        # the caller could lose the answer.
        self.transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(
            LINGER_S, self.force_close
        )


def check_head(
    req: web.Request, limits: ConnectionLimits
) -> problems.Problem | None:
    """Return why the head is refused, if so."""
    size = len(req.raw_path) + sum(
        len(name) + len(text) + HEADER_LINE_EXTRA
        for name, text in req.raw_headers
    )
    if size > limits.header_bytes:
        return _HEAD_TOO_LARGE
    if any(len(req.headers.getall(name, ())) > 1 for name in SINGLE_HEADERS):
        return _REPEATED_HEADER
    if _is_framing_unclear(req):
        return _MALFORMED_HTTP
    if req.headers.get('Content-Encoding', 'identity') != 'identity':
        return _ENCODED_BODY
    if (req.content_length or 0) > limits.body_bytes:
        return _BODY_TOO_LARGE
    return None


def _without_key(problem: problems.Problem) -> problems.Problem:
    """Return the problem for a request whose key could not be read.

    An earlier request with the same key may have run.
    """
    return dataclasses.replace(
        problem, verdict=verdicts.Verdict.MAY_HAVE_RUN, final=False
    )


def _is_framing_unclear(req: web.Request) -> bool:
    """Tell whether another parser may see another end of the body.

    The aiohttp parser accepts other codings before "chunked", and any of them
    in HTTP/1.0, where other parsers ignore the header.
    """
    coding = req.headers.get('Transfer-Encoding')
    if coding is None:
        return False
    return req.version < HttpVersion11 or coding.lower() != 'chunked'


def _render_exception(
    req: web.BaseRequest, exc: web.HTTPException
) -> web.Response:
    """Return aiohttp's own refusal, such as 404, as a problem document."""
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
    """Return the answer as aiohttp sends it."""
    return web.Response(
        status=reply.status, headers=reply.headers, body=reply.body
    )
