"""Client of the platform's metadata store."""

import base64
import binascii
from typing import Any

import aiohttp
import result

from sardineproxy import deployment
from sardineproxy.platform import fields, http_calls
from sardineproxy.process import store

#: Longest wait for an answer beyond the wait that was asked for, in seconds.
#: The slowest store of the sheets takes 95 times 4 ms.
RESPONSE_TIMEOUT_S = 0.6

#: Most rows that the store returns in one page.
PAGE_ROWS = 500

#: Most pages of one table that are read, as a bound on memory.
MAX_PAGES = 64

_MS_PER_S = 1000

_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
_TOO_MANY = 429
_UNAVAILABLE = 503

_Error = store.StoreError
_Kind = store.ErrorKind


class HttpStore:
    """Implements ``store.Store``."""

    def __init__(
        self, *, session: aiohttp.ClientSession, address: deployment.Address
    ) -> None:
        """Use a session that the caller closes."""
        self._session = session
        self._address = address

    def set_address(self, address: deployment.Address) -> None:
        """Send calls to another address from now on."""
        self._address = address

    async def read(
        self, table: str, *, part: str = ''
    ) -> result.Result[store.Rows, _Error]:
        """Return all rows of a part of a table, read page by page."""
        found: list[store.Row] = []
        query: dict[str, str | int] = {'table': table, 'part': part}
        for _ in range(MAX_PAGES):
            answer = await self._get('/v1/rows-get', query, wait_s=0)
            page = _decode_rows(table, answer)
            if isinstance(page, result.Err):
                return page
            found.extend(page.ok_value.rows)
            assert isinstance(answer, http_calls.Response)
            if not answer.document.get('has_more') or not page.ok_value.rows:
                return result.Ok(
                    store.Rows(
                        rows=tuple(found), revision=page.ok_value.revision
                    )
                )
            # The lowest key that follows the last one of this page.
            query['from'] = f'{_short_key(found[-1].key)}\x00'
        return _failed(_Kind.INVALID, f'table {table} is too large')

    async def get(
        self, key: str, *, part: str = ''
    ) -> result.Result[store.Row | None, _Error]:
        """Return one row, None if there is none."""
        table, _, short = key.partition('/')
        answer = await self._get(
            '/v1/rows-get',
            {
                'table': table,
                'part': part,
                'from': short,
                'target': f'{short}\x00',
            },
            wait_s=0,
        )
        found = _decode_rows(table, answer)
        if isinstance(found, result.Err):
            return found
        return result.Ok(next(iter(found.ok_value.rows), None))

    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> result.Result[store.Rows, _Error]:
        """Return what changed after a revision, in order."""
        answer = await self._get(
            '/v1/rows-feed',
            {
                'table': table,
                'after': after,
                'wait_ms': int(wait_s * _MS_PER_S),
            },
            wait_s=wait_s,
        )
        return _decode_rows(table, answer)

    async def transact(
        self,
        *,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
        removals: tuple[store.Removal, ...] = (),
    ) -> result.Result[int, _Error]:
        """Make all changes if all conditions hold; return the new revision."""
        document = {
            'expected': [
                {**_place(held), 'ver': held.revision} for held in conditions
            ],
            'writes': [
                {
                    **_place(write),
                    'value': base64.b64encode(write.body).decode(),
                }
                for write in writes
            ],
            'remove': [_place(removal) for removal in removals],
        }
        answer = await http_calls.send(
            self._session,
            'POST',
            http_calls.make_url(self._address, '/v1/rows-tx'),
            timeout_s=RESPONSE_TIMEOUT_S,
            document=document,
        )
        return _decode_write(answer)

    async def _get(
        self, path: str, query: dict[str, str | int], *, wait_s: float
    ) -> http_calls.Response | http_calls.NoResponse:
        return await http_calls.send(
            self._session,
            'GET',
            http_calls.make_url(self._address, path, **query),
            timeout_s=RESPONSE_TIMEOUT_S + wait_s,
        )


def _failed(kind: store.ErrorKind, detail: str) -> result.Err[_Error]:
    return result.Err(_Error(kind=kind, detail=detail))


def _place(
    row: store.Condition | store.Write | store.Removal,
) -> dict[str, str]:
    table, _, rest = row.key.partition('/')
    return {'table': table, 'part': row.part, 'key': rest}


def _short_key(key: str) -> str:
    return key.partition('/')[2]


def _decode_rows(
    table: str, answer: http_calls.Response | http_calls.NoResponse
) -> result.Result[store.Rows, _Error]:
    if isinstance(answer, http_calls.NoResponse):
        return _failed(_Kind.UNAVAILABLE, f'reading {table}: {answer.cause}')
    if answer.status != _OK:
        kind = _KINDS_OF_READS.get(answer.status, _Kind.INVALID)
        return _failed(kind, f'reading {table}: status {answer.status}')
    try:
        return result.Ok(
            store.Rows(
                rows=tuple(
                    _decode_row(table, row)
                    for row in fields.get_list(answer.document, 'rows')
                ),
                revision=fields.get_integer(answer.document, 'ver'),
            )
        )
    except (fields.FormatError, binascii.Error) as exc:
        return _failed(_Kind.INVALID, f'reading {table}: {exc}')


_KINDS_OF_READS = {  # noqa: WPS407
    _GONE: _Kind.HISTORY_LOST,
    _TOO_MANY: _Kind.UNAVAILABLE,
    _UNAVAILABLE: _Kind.UNAVAILABLE,
}


def _decode_row(table: str, row: Any) -> store.Row:
    if not isinstance(row, dict):
        raise fields.FormatError(f'row: expected a table, found {row!r:.60}')
    key = fields.get_string(row, 'key')
    body = None
    if not fields.get_boolean(row, 'tombstone'):
        body = base64.b64decode(fields.get_string(row, 'value'), validate=True)
    return store.Row(
        key=f'{table}/{key}',
        revision=fields.get_integer(row, 'ver', 0),
        body=body,
    )


def _decode_write(
    answer: http_calls.Response | http_calls.NoResponse,
) -> result.Result[int, _Error]:
    if isinstance(answer, http_calls.NoResponse):
        kind = _Kind.UNAVAILABLE if answer.unsent else _Kind.UNKNOWN
        return _failed(kind, f'writing: {answer.cause}')
    if answer.status == _OK:
        revision = answer.document.get('ver')
        if isinstance(revision, int):
            return result.Ok(revision)
        return _failed(_Kind.UNKNOWN, 'writing: the answer has no revision')
    kinds = {
        _CONDITION_FAILED: _Kind.CONFLICT,
        _TOO_MANY: _Kind.UNAVAILABLE,
        _UNAVAILABLE: _Kind.UNAVAILABLE,
    }
    kind = kinds.get(answer.status, _Kind.INVALID)
    return _failed(kind, f'writing: status {answer.status}')
