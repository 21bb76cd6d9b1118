"""HTTP handlers of the stand-in platform."""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import functools
from typing import Annotated, Any, AsyncIterator, Awaitable, Callable

import pydantic
from aiohttp import web

from sardineproxy import clock, json_text
from sardineproxy.process import listing, platform, store
from sardineproxy.standin import platform_faults, platform_store

#: Limit of a request body; base64 makes a row a third larger.
MAX_REQUEST_BYTES = 25_165_824

MAX_ROWS_IN_TRANSACTION = 64

Key = Annotated[
    str, pydantic.Field(min_length=1, max_length=platform_store.MAX_KEY_BYTES)
]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Rate limits; requests beyond them get status 429."""

    writes_per_s: float = 300
    reads_per_s: float = 2000


class _RequestModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)


class _Condition(_RequestModel):
    key: Key
    revision: Annotated[int, pydantic.Field(ge=0)]


class _Write(_RequestModel):
    key: Key
    body_base64: Annotated[pydantic.Base64Bytes, pydantic.Strict(False)]


class _Transaction(_RequestModel):
    conditions: Annotated[
        list[_Condition], pydantic.Field(max_length=MAX_ROWS_IN_TRANSACTION)
    ]
    writes: Annotated[
        list[_Write],
        pydantic.Field(min_length=1, max_length=MAX_ROWS_IN_TRANSACTION),
    ]


class PlatformServer:
    """Handlers of the platform's services, with configurable faults."""

    def __init__(self, *, clock: clock.Clock, limits: Limits) -> None:
        """Start with an empty store and without faults."""
        self.store = platform_store.Store()
        self.faults = platform_faults.Faults()
        self.counts: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._write_limit = platform_faults.RateLimit(per_s=limits.writes_per_s)
        self._read_limit = platform_faults.RateLimit(per_s=limits.reads_per_s)

    def application(self) -> web.Application:
        """Return the application with the routes of the services."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.add_routes(
            [
                web.get('/v1/rows', self._wrap_read(self._get_rows)),
                web.post('/v1/transactions', self._wrap_write(self._transact)),
                web.get(
                    '/v1/objects/{name:.+}', self._wrap_read(self._get_object)
                ),
                web.put(
                    '/v1/objects/{name:.+}', self._wrap_write(self._put_object)
                ),
                web.get('/v1/vms', self._wrap_read(self._get_vms)),
            ]
        )
        return app

    def now(self) -> float:
        """Return the server's monotonic time in seconds."""
        return self._clock.now()

    def _wrap_read(self, handler: Handler) -> Handler:
        return functools.partial(self._handle_read, handler)

    def _wrap_write(self, handler: Handler) -> Handler:
        return functools.partial(self._handle_write, handler)

    async def _handle_read(
        self, handler: Handler, req: web.Request
    ) -> web.StreamResponse:
        refusal = await self._admit(self._read_limit, 'reads')
        return refusal or await handler(req)

    async def _handle_write(
        self, handler: Handler, req: web.Request
    ) -> web.StreamResponse:
        refusal = await self._admit(self._write_limit, 'writes')
        if refusal:
            return refusal
        response = await handler(req)
        if response.status < 300 and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            self.counts['lost_answers'] += 1
            _close_connection(req)
        return response

    async def _admit(
        self, limit: platform_faults.RateLimit, kind: str
    ) -> web.Response | None:
        if self.faults.down:
            self.counts['refused_down'] += 1
            return web.Response(status=503, text='down')
        if not limit.try_acquire(now=self.now()):
            self.counts[f'refused_{kind}'] += 1
            return web.Response(status=429, text=f'too many {kind}')
        self.counts[kind] += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        return None

    async def _get_rows(self, req: web.Request) -> web.Response:
        table = self.store.table
        is_strict = req.query.get('strict') == '1'
        if self.faults.stale_table is not None and not is_strict:
            table = self.faults.stale_table
        page = table.page(
            req.query.get('prefix', ''), req.query.get('after', '')
        )
        return web.json_response(
            {
                'rows': [_row_fields(row) for row in page.rows],
                'more': page.has_more,
            }
        )

    async def _transact(self, req: web.Request) -> web.Response:
        try:
            model = _Transaction.model_validate(await read_json(req))
        except ValueError as exc:
            return web.Response(status=400, text=str(exc))
        writes = tuple(
            store.Write(key=write.key, body=write.body_base64)
            for write in model.writes
        )
        refusal = self._check_size([len(write.body) for write in writes])
        if refusal:
            return refusal
        conflict = self.store.transact(
            tuple(
                store.Condition(key=condition.key, revision=condition.revision)
                for condition in model.conditions
            ),
            writes,
        )
        if conflict:
            self.counts['conflicts'] += 1
            return web.Response(status=409, text=conflict)
        return web.json_response({})

    async def _get_object(self, req: web.Request) -> web.Response:
        body = self.store.objects.get(req.match_info['name'])
        if body is None:
            return web.Response(status=404, text='no such object')
        return web.Response(body=body)

    async def _put_object(self, req: web.Request) -> web.Response:
        name = req.match_info['name']
        if len(name) > platform_store.MAX_KEY_BYTES:
            return web.Response(status=400, text='name is too long')
        body = await req.read()
        if len(body) > platform_store.MAX_OBJECT_BYTES:
            return web.Response(status=413, text='object is too large')
        if not self.store.has_capacity(len(body)):
            return web.Response(status=507, text='store is full')
        self.store.put_object(name, body)
        return web.Response(status=204)

    async def _get_vms(self, req: web.Request) -> web.Response:
        vm_list = self.store.list_at(self.now() - self.faults.list_lag_s)
        tag = f'"{vm_list.revision}"'
        if req.headers.get('If-None-Match') == tag:
            return web.Response(status=304)
        response = web.json_response(
            listing.to_document(vm_list), headers={'ETag': tag}
        )
        response.enable_compression()
        return response

    def _check_size(self, sizes: list[int]) -> web.Response | None:
        if max(sizes) > platform_store.MAX_ROW_BYTES:
            return web.Response(status=413, text='row is too large')
        if not self.store.has_capacity(sum(sizes)):
            return web.Response(status=507, text='store is full')
        return None


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, *, host: str, port: int
) -> AsyncIterator[int]:
    """Serve ``app`` within the context; yield the port."""
    # A short shutdown timeout, so that a test that ends while the platform is
    # slow does not wait for delayed requests.
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


async def read_json(req: web.Request) -> Any:
    """Return the request's JSON object, or raise ``ValueError``."""
    body = await req.read()
    parsed = json_text.parse_object(
        body.decode(), max_bytes=MAX_REQUEST_BYTES, comments=False
    )
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err())
    return parsed.unwrap()


def _close_connection(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()


def _row_fields(row: platform.Row) -> dict[str, Any]:
    return {
        'key': row.key,
        'revision': row.revision,
        'body_base64': base64.b64encode(row.body).decode(),
    }
