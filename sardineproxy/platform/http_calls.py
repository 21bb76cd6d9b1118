"""HTTP calls to the platform, with limits on time, size and connections."""

import dataclasses
import functools
from typing import Any, Mapping
from urllib.parse import urlencode

import result

from sardineproxy import deployment, json_text
from sardineproxy.connection import http_client

#: Largest response body that is accepted, in bytes. A page of the store has
#: up to 1 MB of row contents, and base64 adds a third.
MAX_RESPONSE_BYTES = 4_194_304

#: Maximum number of connections to one server of the platform. The platform
#: allows 64 connections to a worker from all entry VMs together.
MAX_CONNECTIONS = 8

#: Idle connections are closed after this time, in seconds; it is shorter than
#: the 7 s after which workers close theirs.
KEEPALIVE_S = 6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response."""

    status: int

    #: Decoded JSON object of the body; empty if there is no body.
    document: Mapping[str, Any]


NoResponse = http_client.NoResponse


def new_client() -> http_client.HttpClient:
    """Return the client for all calls of a process."""
    return http_client.HttpClient(
        cfg=http_client.ClientConfig(
            max_connections=MAX_CONNECTIONS,
            keepalive_s=KEEPALIVE_S,
            max_body_bytes=MAX_RESPONSE_BYTES,
        )
    )


async def get(
    client: http_client.HttpClient,
    address: deployment.Address,
    path: str,
    query: Mapping[str, str | int],
    *,
    timeout_s: float,
) -> Response | NoResponse:
    """Send a GET request and read the response."""
    target = f'{path}?{urlencode(query)}'
    request = f'GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n'
    response = await client.send(address, request.encode(), timeout_s=timeout_s)
    return _decode(response)


async def post(
    client: http_client.HttpClient,
    address: deployment.Address,
    path: str,
    document: Mapping[str, Any],
    *,
    timeout_s: float,
    instance: str = '',
) -> Response | NoResponse:
    """Send a POST request and read the response.

    ``instance`` is the only instance at the address that may execute it.
    """
    body = json_text.encode(document)
    head = _make_post_head(address, path, instance)
    response = await client.send(
        address,
        b'%s%d\r\n\r\n%s' % (head, len(body), body),
        timeout_s=timeout_s,
    )
    return _decode(response)


@functools.lru_cache(maxsize=4096)
def _make_post_head(
    address: deployment.Address, path: str, instance: str
) -> bytes:
    """Return the head up to the length of the body, cached for reuse."""
    headers = [
        f'POST {path} HTTP/1.1',
        f'Host: {address}',
        'Content-Type: application/json',
    ]
    if instance:
        headers.append(f'Target-Instance: {instance}')
    headers.append('Content-Length: ')
    return '\r\n'.join(headers).encode()


def _decode(
    response: http_client.RawResponse | NoResponse,
) -> Response | NoResponse:
    if isinstance(response, http_client.NoResponse):
        return response
    if not response.body:
        return Response(status=response.status, document={})
    decoded = json_text.decode_object(
        response.body, max_bytes=MAX_RESPONSE_BYTES
    )
    if isinstance(decoded, result.Err):
        return NoResponse(unsent=False, cause=decoded.err_value)
    return Response(status=response.status, document=decoded.ok_value)
