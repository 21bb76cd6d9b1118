"""HTTP/1.1 requests and responses, and the configuration of a server."""

import dataclasses
from typing import Awaitable, Callable, Mapping
from urllib.parse import unquote

import httptools

_REASONS = {  # noqa: WPS407
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    410: 'Gone',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A request with its whole body."""

    method: str = ''

    #: Path without the query, percent-decoded.
    path: str = ''

    #: Headers with names in lower case, only those that the server keeps.
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    #: None if the body is too large, arrives too slowly, or is malformed.
    body: bytes | None = b''
    keep_alive: bool = True

    #: Bytes that the request holds in memory.
    held_bytes: int = 0

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
    """Limits of requests and connections."""

    #: Largest body of a request, in bytes.
    max_body_bytes: int

    #: Longest time from the first byte of a request to its last, in seconds;
    #: empty lines before a request are part of it.
    read_timeout_s: float

    #: Longest time for which a client may leave a reply unread, in seconds.
    write_timeout_s: float = 15

    #: Connections that the kernel accepts before the process does.
    backlog: int = 1024

    #: Largest number of connections.
    max_connections: int = 10_000

    #: At ``max_connections``, a connection that has been idle for this time
    #: is closed for a new one, in seconds.
    min_idle_s: float = 15

    #: Name of the listener in metrics and log lines.
    listener: str = 'http'

    #: Names of the headers to keep, in lower case; None for all.
    kept_headers: frozenset[str] | None = None


def decode_path(target: bytes) -> str:
    """Return the decoded path of a request target, empty if malformed."""
    try:
        path = httptools.parse_url(target).path
    except httptools.HttpParserInvalidURLError:
        return ''
    return unquote((path or b'').decode('latin-1'))


def encode(response: Response, method: str, *, keep_alive: bool) -> bytes:
    """Return the bytes of a response to a request with ``method``."""
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
