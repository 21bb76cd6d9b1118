"""HTTP calls to the platform, with limits on time, size and connections."""

import asyncio
import dataclasses
import functools
from typing import Any, Mapping

import aiohttp
import result
import yarl

from sardineproxy import deployment, json_text

#: Largest response body that is accepted, in bytes. A page of the store has
#: up to 1 MB of row contents, and base64 adds a third.
MAX_RESPONSE_BYTES = 4_194_304

#: Maximum number of connections to one server of the platform. The platform
#: allows 64 connections to a worker from all entry VMs together.
MAX_CONNECTIONS = 8

#: Idle connections are closed after this time, in seconds; it is shorter than
#: the 7 s after which workers close theirs.
KEEPALIVE_S = 6

_CONTENT_TYPE = 'application/json'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response."""

    status: int

    #: Decoded JSON object of the body; empty if there is no body.
    document: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoResponse:
    """No complete response was received."""

    #: True if no connection was established, so nothing was sent.
    unsent: bool

    #: Description of the failure, for logs.
    cause: str


def new_session() -> aiohttp.ClientSession:
    """Return the session for all calls of a process."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=MAX_CONNECTIONS,
            keepalive_timeout=KEEPALIVE_S,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        trust_env=False,
    )


@functools.lru_cache(maxsize=4096)
def make_url(
    address: deployment.Address, path: str, **query: str | int
) -> yarl.URL:
    """Return the URL of a call, cached because worker URLs are reused."""
    return yarl.URL.build(
        scheme='http',
        host=address.host,
        port=address.port,
        path=path,
        query=query,
    )


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    *,
    timeout_s: float,
    document: Mapping[str, Any] | None = None,
    headers: Mapping[str, str] | None = None,
) -> Response | NoResponse:
    """Send one request and read the response."""
    body = None if document is None else json_text.encode(document)
    request_headers = dict(headers or {})
    if body is not None:
        request_headers['Content-Type'] = _CONTENT_TYPE
    try:
        async with asyncio.timeout(timeout_s):
            async with session.request(
                method,
                url,
                data=body,
                headers=request_headers,
                allow_redirects=False,
            ) as response:
                return await _read_response(response)
    except aiohttp.ClientConnectorError as exc:
        return NoResponse(unsent=True, cause=f'not connected: {exc.strerror}')
    except TimeoutError:
        return NoResponse(
            unsent=False, cause=f'no response in {timeout_s:.3f} s'
        )
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        return NoResponse(unsent=False, cause=f'{type(exc).__name__}: {exc}')


async def _read_response(response: aiohttp.ClientResponse) -> Response:
    length = response.content_length
    if length is not None and length > MAX_RESPONSE_BYTES:
        raise ValueError(f'response of {length} bytes is too large')
    body = await response.read()
    if not body:
        return Response(status=response.status, document={})
    decoded = json_text.decode_object(body, max_bytes=MAX_RESPONSE_BYTES)
    if isinstance(decoded, result.Err):
        raise ValueError(decoded.err_value)
    return Response(status=response.status, document=decoded.ok_value)
