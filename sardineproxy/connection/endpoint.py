"""One attempt to run a task at an endpoint over HTTP/1.1.

"Not run" is said only while no connection was handed to the request. From
that moment on a byte may have left, and only a whole answer is certain.
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

#: Problem code of an attempt that got no connection, so that another
#: endpoint may run the task.
UNREACHABLE = 'endpoint_unreachable'

#: Headers that concern one connection only and never pass through.
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

#: Request headers that the connection sets itself. ``Expect`` would hold the
#: body back until the endpoint asks for it.
_OWN_HEADERS = HOP_BY_HOP | {'content-length', 'expect', 'host'}

#: Answer headers that say where the answer ends or what to drop.
_SPECIAL_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'transfer-encoding',
    )
)

_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))

#: Methods that open a tunnel or echo the request are not for tasks.
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
    """Bounds of connections and answers."""

    #: Longest wait for a TCP connection to be established, in seconds.
    connect_timeout_s: float = 1

    #: Idle connections are closed after this time, in seconds. Common servers
    #: close theirs after 5 s; a request must not meet that close.
    keepalive_s: float = 4

    #: A connection is used again only after this time, in seconds, while the
    #: endpoint takes further ones: an endpoint that answers twice would
    #: otherwise shift all later answers on it by one.
    min_idle_s: float = 0.01

    #: Most connections to an endpoint, whatever the list says.
    max_connections: int = 64

    #: Largest answer of an endpoint, in bytes.
    max_response_bytes: int = 8_388_608


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseLost(work.OutcomeUnknown):
    """No whole answer came from a known endpoint."""

    endpoint: ids.EndpointId


class EndpointClient:
    """Sends tasks to endpoints and classifies what came back."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        cfg: Config | None = None,
    ) -> None:
        """Prepare a client; ``start`` opens its session."""
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
        # aiohttp repeats idempotent methods on a new connection otherwise.
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
        if headers is None or not _is_sound(task.method, task.path):
            return work.Refused(problem=_bad_task())
        self._metrics.count('endpoint_attempts_total', kind=task.kind.value)
        exchange = endpoint_pool.Exchange()
        endpoint_pool.current_exchange.set(exchange)
        watch = self._deadline_timer.start(timeout_s=timeout_s)
        try:
            return await self._limited_exchange(task, vm, headers, exchange)
        except asyncio.CancelledError:
            if not self._deadline_timer.finish(watch):
                raise
            outcome = _cut_off(vm, exchange)
        except _ATTEMPT_ERRORS as exc:
            outcome = _failed(vm, exchange, exc)
        finally:
            self._deadline_timer.finish(watch)
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
        """Keep within the number of connections that the endpoint takes."""
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
        reply = await self._session.request(
            task.method,
            yarl.URL(f'http://{host}:{vm.port}{task.path}', encoded=True),
            headers=headers,
            data=task.body or None,
            allow_redirects=False,
        )
        with contextlib.ExitStack() as on_failure:
            # A cancelled task must not leave its answer on the connection.
            on_failure.callback(reply.close)
            kept, framing = _read_headers(reply, task.method)
            body = await self._read_body(reply, framing)
            on_failure.pop_all()
        assert exchange.protocol is not None
        exchange.protocol.mark_complete(framing)
        return work.Response(
            status=reply.status,
            headers=kept,
            body=body,
            endpoint=ids.EndpointId(vm.name),
        )

    async def _read_body(
        self, reply: aiohttp.ClientResponse, framing: endpoint_pool.Framing
    ) -> bytes:
        limit = self._cfg.max_response_bytes
        if framing.length is not None and framing.length > limit:
            raise endpoint_pool.InvalidResponseError('answer_too_large')
        parts = []
        size = 0
        while size != framing.length:
            part = await reply.content.readany()
            if not part:
                break
            parts.append(part)
            size += len(part)
            if size > limit:
                raise endpoint_pool.InvalidResponseError('answer_too_large')
        if framing.length is not None and size != framing.length:
            raise endpoint_pool.InvalidResponseError('wrong_length')
        return parts[0] if len(parts) == 1 else b''.join(parts)


def deadline_passed() -> problems.Problem:
    """Describe a task whose deadline passed before it was sent."""
    return problems.refusal(
        code='deadline_passed',
        status=504,
        detail='The deadline passed before the task started.',
        retry_after_s=1,
    )


def _is_sound(method: str, path: str) -> bool:
    """Tell whether the request line reads the same to all parsers."""
    return bool(_METHOD.fullmatch(method) and _TARGET.fullmatch(path))


@functools.lru_cache(maxsize=256)
def _request_headers(headers: _Headers) -> _Headers | None:
    """Return the headers to send, or None if one of them is malformed."""
    dropped: frozenset[str] = _OWN_HEADERS
    for name, text in headers:
        if not _HEADER_NAME.fullmatch(name) or not _HEADER_TEXT.fullmatch(text):
            return None
        if name.lower() == 'connection':
            dropped |= _tokens(text)
    return tuple(
        header for header in headers if header[0].lower() not in dropped
    )


def _read_headers(
    reply: aiohttp.ClientResponse, method: str
) -> tuple[_Headers, endpoint_pool.Framing]:
    """Return the end-to-end headers and the framing of an answer."""
    special: dict[str, list[str]] = {}
    headers = []
    for raw_name, raw_text in reply.raw_headers:
        name, lowered, is_special = _read_name(raw_name)
        text = raw_text.decode('latin-1')
        if is_special:
            special.setdefault(lowered, []).append(text)
        if lowered not in HOP_BY_HOP:
            headers.append((name, text))
    framing = _find_framing(
        reply.status,
        method,
        special.get('content-length', []),
        special.get('transfer-encoding', []),
    )
    connection = special.get('connection')
    if connection:
        named = _tokens(','.join(connection))
        headers = [
            header for header in headers if header[0].lower() not in named
        ]
    return tuple(headers), framing


@functools.lru_cache(maxsize=512)
def _read_name(raw_name: bytes) -> tuple[str, str, bool]:
    """Return a name, the same in lower case, and whether it is special."""
    name = raw_name.decode('latin-1')
    lowered = name.lower()
    return name, lowered, lowered in _SPECIAL_HEADERS


def _find_framing(
    status: int, method: str, lengths: list[str], codings: list[str]
) -> endpoint_pool.Framing:
    if status < _FIRST_FINAL_STATUS or len(lengths) + len(codings) > 1:
        raise endpoint_pool.InvalidResponseError('malformed_answer')
    if method == 'HEAD' or status in _BODILESS_STATUSES:
        return endpoint_pool.Framing(length=0)
    if [coding.lower() for coding in codings] == ['chunked']:
        return endpoint_pool.Framing(length=None)
    # A body that ends with the connection may have been cut anywhere.
    if not lengths or not lengths[0].isdecimal():
        raise endpoint_pool.InvalidResponseError('unknown_length')
    return endpoint_pool.Framing(length=int(lengths[0]))


@functools.lru_cache(maxsize=64)
def _tokens(text: str) -> frozenset[str]:
    return frozenset(token.strip().lower() for token in text.split(','))


def _bad_task() -> problems.Problem:
    return problems.refusal(
        code='bad_task',
        status=400,
        detail='The method, path or headers are not valid in HTTP/1.1.',
    )


def _cut_off(
    vm: platform.Vm, exchange: endpoint_pool.Exchange
) -> work.Refused | work.OutcomeUnknown:
    if exchange.protocol is None:
        return work.Refused(problem=deadline_passed())
    return _failed(vm, exchange, TimeoutError())


def _failed(
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
