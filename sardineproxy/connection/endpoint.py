"""One attempt to run a task at an endpoint over HTTP/1.1.

The outcome is "not run" only until a connection is assigned to the request.
From then on a byte may have been sent, and only a complete response proves
what happened.
"""

import asyncio
import contextlib
import dataclasses
import functools
import re

import aiohttp
import yarl
from aiohttp import http

from sardineproxy import clock, ids, problems
from sardineproxy.connection import deadlines, endpoint_pool
from sardineproxy.process import metrics, platform
from sardineproxy.request import work

#: Problem code of an attempt that got no connection; the task may be run at
#: another endpoint.
UNREACHABLE = 'endpoint_unreachable'

#: Hop-by-hop headers, which are not forwarded.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

#: Request headers that the client sets itself, and ``Expect``, which would
#: delay the body until the endpoint sends an interim response.
_DROPPED_HEADERS = HOP_BY_HOP | {'content-length', 'expect', 'host'}

#: Response headers that determine the framing or list hop-by-hop headers.
_CONTROL_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'transfer-encoding',
    )
)

_MIN_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))

#: CONNECT opens a tunnel and TRACE echoes the request; tasks use neither.
_METHOD = re.compile('(?!CONNECT$|TRACE$)[A-Z]{1,20}')
_TARGET = re.compile('/[!"$-~]*')
_HEADER_NAME = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_TEXT = re.compile('[\t -~\x80-\ud7ff\ue000-\U0010ffff]*')


_Headers = tuple[tuple[str, str], ...]

_ATTEMPT_ERRORS = (
    aiohttp.ClientError,
    http.HttpProcessingError,
    OSError,
    endpoint_pool.InvalidResponseError,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Limits of connections and responses."""

    #: Timeout for establishing a TCP connection, in seconds.
    connect_timeout_s: float = 1

    #: Idle connections are closed after this time, in seconds. Common servers
    #: close theirs after 5 s; a request must not be sent during that close.
    keepalive_s: float = 4

    #: While the endpoint accepts more connections, a connection is reused only
    #: after being idle for this time, in seconds. Otherwise an endpoint that
    #: responds twice to a request would shift all later responses by one.
    min_idle_s: float = 0.01

    #: Upper bound on concurrent connections to an endpoint, even if its entry
    #: in the VM list states a higher number.
    max_connections: int = 64

    #: Largest response body of an endpoint, in bytes.
    max_response_bytes: int = 8_388_608


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseLost(work.OutcomeUnknown):
    """A known endpoint sent no complete response."""

    endpoint: ids.EndpointId


class EndpointClient:
    """Sends tasks to endpoints and classifies the outcomes."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        cfg: Config | None = None,
    ) -> None:
        """Create a client without a session; ``start`` opens it."""
        self._clock = clock
        self._metrics = metrics
        self._cfg = cfg or Config()
        self._session: aiohttp.ClientSession | None = None
        self._deadline_timer = deadlines.DeadlineTimer()
        self._limiters: dict[
            tuple[str, int], endpoint_pool.ConnectionLimiter
        ] = {}

    async def start(self) -> None:
        """Open the session on the running event loop."""
        self._session = aiohttp.ClientSession(
            connector=endpoint_pool.Connector(
                min_idle_s=self._cfg.min_idle_s,
                limit=0,
                keepalive_timeout=self._cfg.keepalive_s,
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._cfg.connect_timeout_s
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            request_class=endpoint_pool.Request,
            auto_decompress=False,
            trust_env=False,
        )
        # Keeps aiohttp from repeating idempotent methods on a new connection.
        # The connector refuses a second connection in any case.
        self._session._retry_connection = False  # noqa: SLF001

    async def close(self) -> None:
        """Close all connections."""
        self._deadline_timer.close()
        if self._session is not None:
            await self._session.close()

    async def attempt(
        self, *, task: work.Task, vm: platform.Vm
    ) -> work.Outcome:
        """Run ``task`` once at ``vm`` and return its outcome."""
        timeout_s = task.deadline - self._clock.now()
        if timeout_s <= 0:
            return work.Refused(problem=deadline_passed())
        headers = _request_headers(task.headers)
        if headers is None or not _is_valid_request_line(
            task.method, task.path
        ):
            return work.Refused(problem=_invalid_task())
        self._metrics.count('endpoint_attempts_total', kind=task.kind.value)
        exchange = endpoint_pool.Exchange()
        endpoint_pool.current_exchange.set(exchange)
        deadline = self._deadline_timer.start(timeout_s=timeout_s)
        try:
            return await self._limited_exchange(task, vm, headers, exchange)
        except asyncio.CancelledError:
            if not self._deadline_timer.finish(deadline):
                raise
            outcome = _classify_timeout(vm, exchange)
        except _ATTEMPT_ERRORS as exc:
            outcome = _classify_failure(vm, exchange, exc)
        finally:
            self._deadline_timer.finish(deadline)
        self._metrics.count(
            'endpoint_attempts_failed_total', code=outcome.problem.code
        )
        return outcome

    async def _limited_exchange(
        self,
        task: work.Task,
        vm: platform.Vm,
        headers: _Headers,
        exchange: endpoint_pool.Exchange,
    ) -> work.Response:
        """Exchange within the endpoint's limit of connections."""
        key = (vm.host, vm.port)
        limiter = self._limiters.get(key)
        if limiter is None:
            limit = self._cfg.max_connections
            limiter = endpoint_pool.ConnectionLimiter(
                limit=min(vm.connections or limit, limit)
            )
            self._limiters[key] = limiter
        if not limiter.try_acquire():
            await limiter.acquire()
        exchange.max_idle = limiter.limit - limiter.in_use
        try:
            return await self._exchange(task, vm, headers, exchange)
        finally:
            limiter.release()
            if not limiter.in_use:
                self._limiters.pop(key, None)

    async def _exchange(
        self,
        task: work.Task,
        vm: platform.Vm,
        headers: _Headers,
        exchange: endpoint_pool.Exchange,
    ) -> work.Response:
        assert self._session is not None, 'start() was not called'
        host = f'[{vm.host}]' if ':' in vm.host else vm.host
        resp = await self._session.request(
            task.method,
            yarl.URL(f'http://{host}:{vm.port}{task.path}', encoded=True),
            headers=headers,
            data=task.body or None,
            allow_redirects=False,
        )
        with contextlib.ExitStack() as cleanup:
            # The response to a cancelled task must not stay unread on a
            # connection that is reused.
            cleanup.callback(resp.close)
            response_headers, framing = _parse_response_headers(
                resp, task.method
            )
            body = await self._read_body(resp, framing)
            cleanup.pop_all()
        assert exchange.protocol is not None
        exchange.protocol.mark_complete(framing)
        return work.Response(
            status=resp.status,
            headers=response_headers,
            body=body,
            endpoint=ids.EndpointId(vm.name),
        )

    async def _read_body(
        self, resp: aiohttp.ClientResponse, framing: endpoint_pool.Framing
    ) -> bytes:
        limit = self._cfg.max_response_bytes
        if framing.length is not None and framing.length > limit:
            raise endpoint_pool.InvalidResponseError('answer_too_large')
        chunks = []
        size = 0
        while size != framing.length:
            chunk = await resp.content.readany()
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                raise endpoint_pool.InvalidResponseError('answer_too_large')
        if framing.length is not None and size != framing.length:
            raise endpoint_pool.InvalidResponseError('wrong_length')
        return chunks[0] if len(chunks) == 1 else b''.join(chunks)


def deadline_passed() -> problems.Problem:
    """Return the problem of a task whose deadline passed before sending."""
    return problems.refusal(
        code='deadline_passed',
        status=504,
        detail='The deadline passed before the task started.',
        retry_after_s=1,
    )


def _is_valid_request_line(method: str, path: str) -> bool:
    """Return whether all parsers interpret the request line alike."""
    return bool(_METHOD.fullmatch(method) and _TARGET.fullmatch(path))


@functools.lru_cache(maxsize=256)
def _request_headers(headers: _Headers) -> _Headers | None:
    """Return the headers to send, or None if one of them is malformed."""
    dropped: frozenset[str] = _DROPPED_HEADERS
    for name, text in headers:
        if not _HEADER_NAME.fullmatch(name) or not _HEADER_TEXT.fullmatch(text):
            return None
        if name.lower() == 'connection':
            dropped |= _split_tokens(text)
    return tuple(
        header for header in headers if header[0].lower() not in dropped
    )


def _parse_response_headers(
    resp: aiohttp.ClientResponse, method: str
) -> tuple[_Headers, endpoint_pool.Framing]:
    """Return the end-to-end headers and the framing of a response."""
    control_headers: dict[str, list[str]] = {}
    headers = []
    for raw_name, raw_text in resp.raw_headers:
        name, lowered, is_control = _parse_header_name(raw_name)
        text = raw_text.decode('latin-1')
        if is_control:
            control_headers.setdefault(lowered, []).append(text)
        if lowered not in HOP_BY_HOP:
            headers.append((name, text))
    framing = _parse_framing(
        resp.status,
        method,
        control_headers.get('content-length', []),
        control_headers.get('transfer-encoding', []),
    )
    connection = control_headers.get('connection')
    if connection:
        hop_by_hop = _split_tokens(','.join(connection))
        headers = [
            header for header in headers if header[0].lower() not in hop_by_hop
        ]
    return tuple(headers), framing


@functools.lru_cache(maxsize=512)
def _parse_header_name(raw_name: bytes) -> tuple[str, str, bool]:
    """Return the name, its lower case, and whether it is a control header."""
    name = raw_name.decode('latin-1')
    lowered = name.lower()
    return name, lowered, lowered in _CONTROL_HEADERS


def _parse_framing(
    status: int,
    method: str,
    content_lengths: list[str],
    transfer_codings: list[str],
) -> endpoint_pool.Framing:
    if (
        status < _MIN_FINAL_STATUS
        or len(content_lengths) + len(transfer_codings) > 1
    ):
        raise endpoint_pool.InvalidResponseError('malformed_answer')
    if method == 'HEAD' or status in _BODILESS_STATUSES:
        return endpoint_pool.Framing(length=0)
    if [name.lower() for name in transfer_codings] == ['chunked']:
        return endpoint_pool.Framing(length=None)
    # A body that is ended by closing the connection may be truncated.
    if not content_lengths or not content_lengths[0].isdecimal():
        raise endpoint_pool.InvalidResponseError('unknown_length')
    return endpoint_pool.Framing(length=int(content_lengths[0]))


@functools.lru_cache(maxsize=64)
def _split_tokens(text: str) -> frozenset[str]:
    return frozenset(token.strip().lower() for token in text.split(','))


def _invalid_task() -> problems.Problem:
    return problems.refusal(
        code='bad_task',
        status=400,
        detail='The method, path or headers are not valid in HTTP/1.1.',
    )


def _classify_timeout(
    vm: platform.Vm, exchange: endpoint_pool.Exchange
) -> work.Refused | work.OutcomeUnknown:
    if exchange.protocol is None:
        return work.Refused(problem=deadline_passed())
    return _classify_failure(vm, exchange, TimeoutError())


def _classify_failure(
    vm: platform.Vm, exchange: endpoint_pool.Exchange, exc: Exception
) -> work.Refused | work.OutcomeUnknown:
    if exchange.protocol is None:
        return work.Refused(
            problem=problems.refusal(
                code=UNREACHABLE,
                status=503,
                detail=f'Endpoint {vm.name} could not be reached.',
                retry_after_s=1,
            )
        )
    cause = (
        str(exc)
        if isinstance(exc, endpoint_pool.InvalidResponseError)
        else type(exc).__name__
    )
    return ResponseLost(
        endpoint=ids.EndpointId(vm.name),
        problem=problems.outcome_unknown(
            code='no_whole_answer',
            status=504 if isinstance(exc, TimeoutError) else 502,
            detail=f'Endpoint {vm.name} gave no whole answer ({cause}).',
        ),
    )
