"""One HTTP call to the platform, with bounds, as a value."""

import asyncio
import dataclasses
import functools
import json
from typing import Any, Mapping

import aiohttp
import yarl

from sardineproxy import deployment

#: Largest answer that is read, in bytes. A page of the store has 1 MB of
#: contents, which are a third longer in base64.
MAX_RESPONSE_BYTES = 4_194_304

#: Most connections to one server of the platform. The sheets allow 64 to a
#: worker from all entry VMs together.
MAX_CONNECTIONS = 8

#: Idle connections are closed after this time, in seconds. Workers keep
#: theirs for 7 s.
KEEPALIVE_S = 6

_CONTENT_TYPE = 'application/json'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A whole answer."""

    status: int

    #: Decoded JSON object, empty if the answer has none.
    document: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoResponse:
    """No whole answer came."""

    #: True if no connection was established, so nothing was sent.
    unsent: bool

    #: Cause in a few words.
    cause: str


def new_session() -> aiohttp.ClientSession:
    """Return a session for all calls of a process."""
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
    """Return the URL of a call; those of workers are used again and again."""
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
    """Send one request and read its answer."""
    body = None if document is None else json.dumps(document).encode()
    sent = dict(headers or {})
    if body is not None:
        sent['Content-Type'] = _CONTENT_TYPE
    try:
        async with asyncio.timeout(timeout_s):
            async with session.request(
                method, url, data=body, headers=sent, allow_redirects=False
            ) as reply:
                return await _read(reply)
    except aiohttp.ClientConnectorError as exc:
        return NoResponse(unsent=True, cause=f'not connected: {exc.strerror}')
    except TimeoutError:
        return NoResponse(unsent=False, cause=f'no answer in {timeout_s:.3f} s')
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        return NoResponse(unsent=False, cause=f'{type(exc).__name__}: {exc}')


async def _read(reply: aiohttp.ClientResponse) -> Response:
    length = reply.content_length
    if length is not None and length > MAX_RESPONSE_BYTES:
        raise ValueError(f'answer of {length} bytes is too large')
    body = await reply.read()
    if len(body) > MAX_RESPONSE_BYTES:
        raise ValueError(f'answer of {len(body)} bytes is too large')
    if not body:
        return Response(status=reply.status, document={})
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError('answer is not a JSON object')
    return Response(status=reply.status, document=document)
