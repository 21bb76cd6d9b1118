"""HTTP server of the platform's metadata store, with fault injection."""

import asyncio
import base64
import contextlib
import enum
import json
import random
from typing import Any, Callable

from aiohttp import web

from sardineproxy.process import store
from sardineproxy.standin import endpoint_reset, row_store

#: Interval at which a waiting feed checks for changes, in seconds.
_FEED_POLL_INTERVAL_S = 0.01


class Fault(enum.Enum):
    """Fault that the server injects into calls."""

    NONE = 'none'
    UNAVAILABLE = 'busy'
    TOO_MANY_REQUESTS = 'many'
    RESET = 'reset'
    NO_RESPONSE = 'silent'

    #: The call is executed, and the connection is reset without a response.
    RESPONSE_LOST = 'lost'


class StoreServer:
    """Serves the rows of a ``RowStore``."""

    def __init__(
        self, *, rows: row_store.RowStore, rng: random.Random | None = None
    ) -> None:
        self.rows = rows
        self.rng = rng or random.Random(1)
        self.fault = Fault.NONE

        #: Probability that ``fault`` affects a call.
        self.fault_probability: float = 1
        self.delay_s: float = 0

        #: Paths of all calls.
        self.calls: list[str] = []

        #: Modifies each write, for example the addresses of members.
        self.rewrite: Callable[[store.Write], store.Write] = _unchanged

    async def listen(self, host: str = '127.0.0.1') -> int:
        """Start to serve and return the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            web.Server(self.handle, access_log=None), host, 0
        )
        return server.sockets[0].getsockname()[1]

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(req.path)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        is_affected = self.rng.random() < self.fault_probability
        fault = self.fault if is_affected else Fault.NONE
        match fault:
            case Fault.UNAVAILABLE:
                return web.Response(status=503)
            case Fault.TOO_MANY_REQUESTS:
                return web.Response(status=429)
            case Fault.NO_RESPONSE:
                await asyncio.sleep(3600)
            case Fault.RESET:
                endpoint_reset.reset(req.transport)
            case Fault.RESPONSE_LOST:
                await self._respond(req)
                endpoint_reset.reset(req.transport)
            case Fault.NONE:
                with contextlib.suppress(ConnectionResetError):
                    return await self._respond(req)
        return web.Response(status=500)

    async def _respond(self, req: web.BaseRequest) -> web.Response:
        match req.path:
            case '/v1/rows-tx':
                return self._transact(await req.json())
            case '/v1/rows-get':
                return self._read(req.query)
            case '/v1/rows-feed':
                return await self._feed(req.query)
        return web.Response(status=404)

    def _transact(self, document: Any) -> web.Response:
        outcome = self.rows.transact(
            conditions=tuple(
                store.Condition(
                    key=_decode_key(row), part=row['part'], revision=row['ver']
                )
                for row in document['expected']
            ),
            writes=tuple(
                self.rewrite(
                    store.Write(
                        key=_decode_key(row),
                        part=row['part'],
                        body=base64.b64decode(row['value']),
                    )
                )
                for row in document['writes']
            ),
            removals=tuple(
                store.Removal(key=_decode_key(row), part=row['part'])
                for row in document['remove']
            ),
        )
        if isinstance(outcome, row_store.Conflict):
            return self._reply(
                412, rows=[_encode_row(row) for row in outcome.rows]
            )
        return self._reply(200)

    def _read(self, query: Any) -> web.Response:
        page = self.rows.read(
            query['table'],
            part=query['part'],
            start=query.get('from', ''),
            end=query.get('target', ''),
            limit=min(row_store.PAGE_ROWS, int(query.get('limit', 500))),
        )
        return self._reply(
            200,
            rows=[_encode_row(row) for row in page.rows],
            has_more=page.has_more,
        )

    async def _feed(self, query: Any) -> web.Response:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get('wait_ms', 0)) / 1000
        while True:
            page = self.rows.changes(query['table'], after=int(query['after']))
            if page is None:
                return web.Response(status=410)
            if page.rows or loop.time() >= deadline:
                return self._reply(
                    200,
                    ver=page.revision,
                    rows=[_encode_row(row) for row in page.rows],
                )
            await asyncio.sleep(_FEED_POLL_INTERVAL_S)

    def _reply(self, status: int, **fields: Any) -> web.Response:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        document = {'ver': self.rows.revision, 'now_ms': now_ms, **fields}
        return web.Response(
            status=status,
            body=json.dumps(document).encode(),
            content_type='application/json',
        )


def _unchanged(write: store.Write) -> store.Write:
    return write


def _decode_key(row: Any) -> str:
    return f'{row["table"]}/{row["key"]}'


def _encode_row(row: store.Row) -> dict[str, Any]:
    table, _, key = row.key.partition('/')
    document = {'table': table, 'part': '', 'key': key, 'ver': row.revision}
    if row.body is None:
        return {**document, 'tombstone': True}
    return {**document, 'value': base64.b64encode(row.body).decode()}
