"""Client of the platform's metadata store."""

import base64
from typing import Any, Mapping

import result

from sardineproxy import deployment, fields, logs
from sardineproxy.connection import http_client
from sardineproxy.platform import http_calls
from sardineproxy.process import store

#: Timeout of a call, in seconds, in addition to the time for which a feed may
#: wait for changes. The slowest store that the platform specifies takes 95
#: times 4 ms for a call.
RESPONSE_TIMEOUT_S = 0.6

#: Maximum number of rows that the store returns in one page.
PAGE_ROWS = 500

#: Size of the values in a page of the feed from which it may be incomplete, in
#: bytes: half of the store's limit, since values are sent as base64.
LARGE_PAGE_BYTES = 500_000

#: Maximum number of pages of one table that are read, to limit memory use.
MAX_PAGES = 64

_MS_PER_S = 1000

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503

_Error = store.StoreError
_Kind = store.ErrorKind

_LOG = logs.get_logger('store')


class HttpStore:
    """Implements ``store.Store``."""

    def __init__(
        self, *, client: http_client.HttpClient, address: deployment.Address
    ) -> None:
        """Use a client that the caller closes."""
        self._client = client
        self._address = address

    def set_address(self, address: deployment.Address) -> None:
        """Send subsequent calls to another address."""
        self._address = address

    async def read(
        self, table: str, *, part: str = ''
    ) -> result.Result[store.Rows, _Error]:
        """Return all rows of a part of a table, read page by page.

        The revision is that of the first page, so that the feed lists the
        changes that were made while later pages were read.
        """
        rows: list[store.Row] = []
        revision: int | None = None
        query: dict[str, str | int] = {'table': table, 'part': part}
        for _ in range(MAX_PAGES):
            response = await self._get('/v1/rows-get', query, wait_s=0)
            page = decode_rows(table, response)
            if isinstance(page, result.Err):
                return page
            rows.extend(page.ok_value.rows)
            if revision is None:
                revision = page.ok_value.revision
            assert isinstance(response, http_calls.Response)
            if not response.document.get('has_more') or not page.ok_value.rows:
                return result.Ok(
                    store.Rows(
                        rows=tuple(rows),
                        revision=revision,
                        last_revision=page.ok_value.revision,
                    )
                )
            # The smallest key after the last one of this page.
            query['from'] = f'{_strip_table(rows[-1].key)}\x00'
        return _error(
            _Kind.INVALID, f'table {table} has more than {MAX_PAGES} pages'
        )

    async def get(
        self, key: str, *, part: str = ''
    ) -> result.Result[store.Row | None, _Error]:
        """Return a row, None if it does not exist."""
        table, _, key_in_table = key.partition('/')
        response = await self._get(
            '/v1/rows-get',
            {
                'table': table,
                'part': part,
                'from': key_in_table,
                'target': f'{key_in_table}\x00',
            },
            wait_s=0,
        )
        page = decode_rows(table, response)
        if isinstance(page, result.Err):
            return page
        return result.Ok(next(iter(page.ok_value.rows), None))

    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> result.Result[store.Rows, _Error]:
        """Return all rows that changed after a revision, in order.

        The feed returns at most ``PAGE_ROWS`` changes and does not say whether
        there are more.
        """
        rows: list[store.Row] = []
        for _ in range(MAX_PAGES):
            response = await self._get_changes(table, after, wait_s)
            page = decode_rows(table, response)
            if isinstance(page, result.Err):
                return page
            rows.extend(page.ok_value.rows)
            after = page.ok_value.revision
            assert isinstance(response, http_calls.Response)
            if _is_last_page(response.document, page.ok_value):
                return result.Ok(store.Rows(rows=tuple(rows), revision=after))
            wait_s = 0
        return _error(
            _Kind.HISTORY_LOST,
            f'more than {MAX_PAGES} pages of changes of table {table}',
        )

    async def transact(
        self,
        *,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
        removals: tuple[store.Removal, ...] = (),
    ) -> result.Result[int, _Error]:
        """Apply all changes if all conditions hold; return the new revision."""
        document = {
            'expected': [
                {**_encode_key(condition), 'ver': condition.revision}
                for condition in conditions
            ],
            'writes': [
                {
                    **_encode_key(write),
                    'value': base64.b64encode(write.body).decode(),
                }
                for write in writes
            ],
            'remove': [_encode_key(removal) for removal in removals],
        }
        response = await http_calls.post(
            self._client,
            self._address,
            '/v1/rows-tx',
            document,
            timeout_s=RESPONSE_TIMEOUT_S,
        )
        return _decode_write(response)

    async def _get_changes(
        self, table: str, after: int, wait_s: float
    ) -> http_calls.Response | http_calls.NoResponse:
        return await self._get(
            '/v1/rows-feed',
            {
                'table': table,
                'after': after,
                'wait_ms': int(wait_s * _MS_PER_S),
            },
            wait_s=wait_s,
        )

    async def _get(
        self, path: str, query: dict[str, str | int], *, wait_s: float
    ) -> http_calls.Response | http_calls.NoResponse:
        return await http_calls.get(
            self._client,
            self._address,
            path,
            query,
            timeout_s=RESPONSE_TIMEOUT_S + wait_s,
        )


def _error(kind: store.ErrorKind, detail: str) -> result.Err[_Error]:
    return result.Err(_Error(kind=kind, detail=detail))


def _encode_key(
    row: store.Condition | store.Write | store.Removal,
) -> dict[str, str]:
    table, _, key_in_table = row.key.partition('/')
    return {'table': table, 'part': row.part, 'key': key_in_table}


def _is_last_page(document: Mapping[str, Any], page: store.Rows) -> bool:
    """Return whether a page of the feed contains the newest change."""
    # Rows that name no key count, too.
    row_count = len(fields.get_list(document, 'rows'))
    value_bytes = sum(len(row.body or b'') for row in page.rows)
    return row_count < PAGE_ROWS and value_bytes < LARGE_PAGE_BYTES


def _strip_table(key: str) -> str:
    return key.partition('/')[2]


def decode_rows(
    table: str, response: http_calls.Response | http_calls.NoResponse
) -> result.Result[store.Rows, _Error]:
    """Return the rows of a page; rows that name no key are left out."""
    if isinstance(response, http_calls.NoResponse):
        return _error(_Kind.UNAVAILABLE, f'reading {table}: {response.cause}')
    if response.status != _OK:
        kind = _READ_ERROR_KINDS.get(response.status, _Kind.INVALID)
        return _error(kind, f'reading {table}: status {response.status}')
    try:
        revision = fields.get_integer(response.document, 'ver')
        listed = fields.get_list(response.document, 'rows')
    except fields.FormatError as exc:
        return _error(_Kind.INVALID, f'reading {table}: {exc}')
    decoded = (_decode_row(table, row) for row in listed)
    return result.Ok(
        store.Rows(
            rows=tuple(row for row in decoded if row is not None),
            revision=revision,
        )
    )


_READ_ERROR_KINDS = {  # noqa: WPS407
    _GONE: _Kind.HISTORY_LOST,
    _TOO_MANY_REQUESTS: _Kind.UNAVAILABLE,
    _UNAVAILABLE: _Kind.UNAVAILABLE,
}


def _decode_row(table: str, row: Any) -> store.Row | None:
    """Decode a row, None if it does not even have a key and a revision.

    One odd row must not hide the others. A value that cannot be decoded becomes
    an empty body, which the reader of the table rejects with the row's key.
    """
    if not isinstance(row, dict):
        _LOG.error('Odd row ignored.', extra={'table': table})
        return None
    try:
        key = fields.get_string(row, 'key')
        revision = fields.get_integer(row, 'ver', 0)
    except fields.FormatError as exc:
        _LOG.error(
            'Odd row ignored.', extra={'table': table, 'cause': str(exc)}
        )
        return None
    body = None if row.get('tombstone') is True else _decode_value(row)
    return store.Row(key=f'{table}/{key}', revision=revision, body=body)


def _decode_value(row: Mapping[str, Any]) -> bytes:
    """Return the contents of a row, empty if they cannot be decoded."""
    encoded = row.get('value')
    if not isinstance(encoded, str):
        return b''
    try:
        return base64.b64decode(encoded, validate=True)
    except ValueError:
        # Its reader logs an empty body as malformed, with the row's key.
        return b''


def _decode_write(
    response: http_calls.Response | http_calls.NoResponse,
) -> result.Result[int, _Error]:
    if isinstance(response, http_calls.NoResponse):
        kind = _Kind.UNAVAILABLE if response.unsent else _Kind.UNKNOWN
        return _error(kind, f'writing: {response.cause}')
    if response.status == _OK:
        revision = response.document.get('ver')
        if isinstance(revision, int):
            return result.Ok(revision)
        return _error(_Kind.UNKNOWN, 'writing: the response has no revision')
    kinds = {
        _PRECONDITION_FAILED: _Kind.CONFLICT,
        _TOO_MANY_REQUESTS: _Kind.UNAVAILABLE,
        _UNAVAILABLE: _Kind.UNAVAILABLE,
    }
    kind = kinds.get(response.status, _Kind.INVALID)
    return _error(kind, f'writing: status {response.status}')
