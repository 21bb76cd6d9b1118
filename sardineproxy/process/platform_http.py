"""HTTP client of the platform's services."""

import asyncio
import base64
import binascii
import dataclasses
import json
from typing import Any, Mapping

import aiohttp
import result
import yarl

from sardineproxy import json_text
from sardineproxy.process import listing, metrics, platform, store

#: Timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 2

#: Maximum size of a page of rows, in bytes of JSON.
MAX_PAGE_BYTES = 4_194_304

#: Maximum total size of the rows of one read, in bytes.
MAX_ROWS_BYTES = 33_554_432

#: Maximum size of an object, in bytes.
MAX_OBJECT_BYTES = 16_777_216

#: Maximum bytes of an error response that are quoted in the error's detail.
MAX_DETAIL_BYTES = 300

_CHUNK_BYTES = 65_536

_Error = store.StoreError
_Kind = store.ErrorKind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Request:
    method: str
    path: str
    max_bytes: int
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None

    @property
    def is_write(self) -> bool:
        return self.method != 'GET'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Response:
    status: int
    body: bytes


class HttpPlatform:
    """Implements ``platform.Platform``."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        host: str,
        port: int,
        timeout_s: float = 5,
        metrics: metrics.Metrics | None = None,
    ) -> None:
        """Create a client that uses ``session``; ``close`` closes it."""
        self._session = session
        self._metrics = metrics
        self._base_url = yarl.URL.build(scheme='http', host=host, port=port)
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        self._vm_list: platform.VmList | None = None

    async def read_rows(
        self, prefix: str, *, after: str = '', strict: bool = False
    ) -> result.Result[tuple[platform.Row, ...], _Error]:
        """Return the rows with keys that start with ``prefix``, by key.

        The platform returns pages, so the result is not a snapshot: a write
        during a read is visible only in later pages.
        """
        rows: list[platform.Row] = []
        size = 0
        while True:
            page = await self._read_page(prefix, after, strict)
            if isinstance(page, result.Err):
                return page
            page_rows, has_more = page.ok_value
            rows.extend(page_rows)
            size += sum(len(row.body) for row in page_rows)
            if not has_more:
                return result.Ok(tuple(rows))
            if not page_rows or size > MAX_ROWS_BYTES:
                return _invalid(
                    f'rows under {prefix} exceed {MAX_ROWS_BYTES} bytes or a '
                    'page is empty'
                )
            after = page_rows[-1].key

    async def transact(
        self,
        *,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> result.Result[None, _Error]:
        """Write all rows if all conditions hold, else none."""
        body = json.dumps(
            {
                'conditions': [
                    {'key': condition.key, 'revision': condition.revision}
                    for condition in conditions
                ],
                'writes': [
                    {'key': write.key, 'body_base64': _to_base64(write.body)}
                    for write in writes
                ],
            }
        )
        response = await self._exchange(
            _Request(
                method='POST',
                path='/v1/transactions',
                max_bytes=MAX_PAGE_BYTES,
                headers={'Content-Type': 'application/json'},
                body=body.encode(),
            )
        )
        return response.and_then(_check_write)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, _Error]:
        """Return an object, None if it does not exist."""
        response = await self._exchange(
            _Request(
                method='GET',
                path=f'/v1/objects/{name}',
                max_bytes=MAX_OBJECT_BYTES,
            )
        )
        if isinstance(response, result.Ok) and response.ok_value.status == 404:
            return result.Ok(None)
        return response.and_then(_check_read).map(
            lambda response: response.body
        )

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, _Error]:
        """Store an object."""
        response = await self._exchange(
            _Request(
                method='PUT',
                path=f'/v1/objects/{name}',
                max_bytes=MAX_PAGE_BYTES,
                body=body,
            )
        )
        return response.and_then(_check_write)

    async def list_vms(self) -> result.Result[platform.VmList, _Error]:
        """Return the list of VMs, which may be out of date.

        The request carries the revision of the last response, and the
        platform sends the list only if its revision differs.
        """
        cached = self._vm_list
        headers = (
            {} if cached is None else {'If-None-Match': f'"{cached.revision}"'}
        )
        response = await self._exchange(
            _Request(
                method='GET',
                path='/v1/vms',
                max_bytes=listing.MAX_LIST_BYTES,
                headers=headers,
            )
        )
        if isinstance(response, result.Ok) and response.ok_value.status == 304:
            if cached is not None:
                return result.Ok(cached)
        # Decoding 9,700 VMs takes 0.13 s, which would block the event loop.
        listed = await asyncio.to_thread(_parse_vm_list, response)
        if isinstance(listed, result.Ok):
            self._vm_list = listed.ok_value
        return listed

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def _read_page(
        self, prefix: str, after: str, strict: bool
    ) -> result.Result[tuple[tuple[platform.Row, ...], bool], _Error]:
        response = await self._exchange(
            _Request(
                method='GET',
                path='/v1/rows',
                max_bytes=MAX_PAGE_BYTES,
                query={
                    'prefix': prefix,
                    'after': after,
                    'strict': str(int(strict)),
                },
            )
        )
        return (
            response.and_then(_check_read)
            .and_then(lambda response: _parse(response, MAX_PAGE_BYTES))
            .and_then(lambda document: _to_page(document, prefix, after))
        )

    async def _exchange(
        self, req: _Request
    ) -> result.Result[_Response, _Error]:
        if self._metrics is not None:
            access = 'write' if req.is_write else 'read'
            self._metrics.count('platform_calls_total', kind=access)
        try:
            return await self._send(req)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return _call_failed(_Kind.UNAVAILABLE, req, exc)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            kind = _Kind.UNKNOWN if req.is_write else _classify_read_error(exc)
            return _call_failed(kind, req, exc)

    async def _send(self, req: _Request) -> result.Result[_Response, _Error]:
        url = self._base_url.with_path(req.path).with_query(req.query)
        async with self._session.request(
            req.method,
            url,
            headers=req.headers,
            data=req.body,
            timeout=self._timeout,
            allow_redirects=False,
        ) as response:
            body = bytearray()
            async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
                body += chunk
                if len(body) > req.max_bytes and not req.is_write:
                    return _invalid(
                        f'response to {req.path} exceeds {req.max_bytes} bytes'
                    )
                if req.is_write:
                    # Only the start of the response to a write is used.
                    body = body[:MAX_DETAIL_BYTES]
            return result.Ok(
                _Response(status=response.status, body=bytes(body))
            )


def _call_failed(
    kind: store.ErrorKind, req: _Request, exc: BaseException
) -> result.Err[_Error]:
    cause = str(exc) or type(exc).__name__
    return result.Err(
        _Error(kind=kind, detail=f'{req.method} {req.path} failed: {cause}')
    )


def _classify_read_error(exc: BaseException) -> store.ErrorKind:
    if isinstance(
        exc, (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)
    ):
        return _Kind.INVALID
    return _Kind.UNAVAILABLE


def _invalid(detail: str) -> result.Err[_Error]:
    return result.Err(_Error(kind=_Kind.INVALID, detail=detail))


def _describe(response: _Response) -> str:
    text = response.body[:MAX_DETAIL_BYTES].decode(errors='replace')
    return f'the platform responded with status {response.status}: {text}'


def _check_read(response: _Response) -> result.Result[_Response, _Error]:
    if response.status == 200:
        return result.Ok(response)
    is_busy = response.status == 429 or response.status >= 500
    kind = _Kind.UNAVAILABLE if is_busy else _Kind.INVALID
    return result.Err(_Error(kind=kind, detail=_describe(response)))


def _check_write(response: _Response) -> result.Result[None, _Error]:
    """Map the status of a write to its outcome.

    Only the statuses of rejected requests rule out that the write took effect;
    with any other error or redirect its outcome is unknown.
    """
    if response.status in {200, 204}:
        return result.Ok(None)
    kinds = {
        400: _Kind.INVALID,
        409: _Kind.CONFLICT,
        413: _Kind.INVALID,
        429: _Kind.UNAVAILABLE,
        507: _Kind.UNAVAILABLE,
    }
    kind = kinds.get(response.status, _Kind.UNKNOWN)
    return result.Err(_Error(kind=kind, detail=_describe(response)))


def _parse(response: _Response, max_bytes: int) -> result.Result[Any, _Error]:
    try:
        text = response.body.decode()
    except UnicodeDecodeError:
        return _invalid('response of the platform is not valid UTF-8')
    return json_text.parse_object(
        text, max_bytes=max_bytes, comments=False
    ).map_err(_invalid_response)


def _invalid_response(detail: str) -> _Error:
    return _Error(
        kind=_Kind.INVALID, detail=f'invalid response of the platform: {detail}'
    )


def _parse_vm_list(
    response: result.Result[_Response, _Error],
) -> result.Result[platform.VmList, _Error]:
    return (
        response.and_then(_check_read)
        .and_then(lambda response: _parse(response, listing.MAX_LIST_BYTES))
        .and_then(_to_vm_list)
    )


def _to_vm_list(document: Any) -> result.Result[platform.VmList, _Error]:
    return listing.from_document(document).map_err(_invalid_response)


def _to_page(
    document: Any, prefix: str, after: str
) -> result.Result[tuple[tuple[platform.Row, ...], bool], _Error]:
    try:
        rows = tuple(_to_row(row) for row in document['rows'])
        has_more = document['more']
    except (KeyError, TypeError, ValueError):
        return _invalid('response of the platform is not a valid page of rows')
    keys = [after, *(row.key for row in rows)]
    is_sorted = all(low < high for low, high in zip(keys, keys[1:]))
    has_prefix = all(row.key.startswith(prefix) for row in rows)
    if not is_sorted or not has_prefix or not isinstance(has_more, bool):
        return _invalid(
            'response of the platform has rows outside the requested range'
        )
    return result.Ok((rows, has_more))


def _to_row(row: Mapping[str, Any]) -> platform.Row:
    key, revision = row['key'], row['revision']
    is_number = isinstance(revision, int) and not isinstance(revision, bool)
    if not isinstance(key, str) or not is_number or revision < 1:
        raise ValueError('row with an invalid key or revision')
    # Reject lone surrogates: the key of the last row is sent in the request
    # for the next page, which needs valid UTF-8.
    key.encode()
    return platform.Row(
        key=key,
        revision=revision,
        body=_from_base64(row['body_base64']),
    )


def _to_base64(body: bytes) -> str:
    return base64.b64encode(body).decode()


def _from_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as exc:
        raise ValueError('row body is not valid base64') from exc
