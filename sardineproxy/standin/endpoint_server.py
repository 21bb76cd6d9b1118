"""Plain HTTP/1.1 back end with slots, a queue and a record of its starts."""

import asyncio
import hashlib
import json
import math

import pydantic
from aiohttp import web, web_protocol

from sardineproxy import clock as clocks
from sardineproxy.standin import (
    endpoint_modes,
    endpoint_record,
    endpoint_reset,
)

#: Longest run time that a request may ask for, in milliseconds.
MAX_RUN_MS = 600_000
MILLISECONDS_PER_SECOND = 1000

#: Idle connections stay open for an hour unless a mode closes them.
KEEPALIVE_S = 3600
CHUNK_BYTES = 65_536


class Endpoint:
    """One back end: tasks beyond its slots wait, first come first served."""

    def __init__(
        self, *, clock: clocks.Clock, name: str, slots: int, speed: float
    ) -> None:
        """Start idle, in the normal mode."""
        self._clock = clock
        self._slots = asyncio.Semaphore(slots)
        self._speed = speed
        self._mode_changed = asyncio.Event()
        self.name = name
        self.record = endpoint_record.Record()
        self.setting = endpoint_modes.Setting()

    def set_mode(self, setting: endpoint_modes.Setting) -> None:
        """Change the mode; requests held by ``silent`` are reset."""
        self.setting = setting
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, a task or a control request."""
        if req.path.startswith('/control/'):
            return await control(self, req)
        arrival = self._clock.now()
        run_s = _run_seconds(req) / self._speed
        if run_s < 0:
            return web.Response(status=400, text='X-Run-Ms is not valid\n')
        digest = await _digest(req)
        if self.setting.mode is endpoint_modes.Mode.REFUSE:
            self.record.count('refused')
            return web.json_response(
                {'endpoint': self.name, 'error': 'refused'},
                status=503,
                headers={'Retry-After': '1'},
            )
        task = req.headers.get('X-Task', '')
        status = await self._run(task, arrival, run_s)
        return await self._answer(req, status, self._render(task, digest))

    async def _run(self, task: str, arrival: float, run_s: float) -> int:
        if self.setting.mode is endpoint_modes.Mode.FAIL:
            self._begin_and_finish(task, arrival)
            return 500
        async with self._slots:
            start = self.record.begin(
                task=task, arrival=arrival, now=self._clock.now()
            )
            try:
                await asyncio.sleep(run_s)
            finally:
                self.record.finish(start, now=self._clock.now())
        return 200

    def _begin_and_finish(self, task: str, arrival: float) -> None:
        now = self._clock.now()
        start = self.record.begin(task=task, arrival=arrival, now=now)
        self.record.finish(start, now=now)

    def _render(self, task: str, digest: str) -> bytes:
        return json.dumps(
            {'task': task, 'body_sha256': digest, 'endpoint': self.name}
        ).encode()

    async def _answer(
        self, req: web.BaseRequest, status: int, body: bytes
    ) -> web.StreamResponse:
        reply = web.StreamResponse(
            status=status,
            headers={
                'Content-Type': 'application/json',
                'X-Task': req.headers.get('X-Task', ''),
                'X-Endpoint': self.name,
            },
        )
        reply.content_length = len(body)
        match self.setting.mode:
            case endpoint_modes.Mode.SILENT:
                await self._mode_changed.wait()
                endpoint_reset.reset(req.transport)
                return reply
            case endpoint_modes.Mode.DELAY:
                await asyncio.sleep(
                    self.setting.delay_ms / MILLISECONDS_PER_SECOND
                )
            case endpoint_modes.Mode.CLOSE:
                reply.force_close()
        return await self._send(req, reply, body)

    async def _send(
        self, req: web.BaseRequest, reply: web.StreamResponse, body: bytes
    ) -> web.StreamResponse:
        await reply.prepare(req)
        mode = self.setting.mode
        if mode in {endpoint_modes.Mode.CUT, endpoint_modes.Mode.SHORT}:
            await reply.write(body[: len(body) // 2])
            if mode is endpoint_modes.Mode.CUT:
                endpoint_reset.reset(req.transport)
            else:
                _close(req)
            return reply
        await reply.write(body)
        await reply.write_eof()
        if mode is endpoint_modes.Mode.CLOSE_IDLE:
            _close(req)
        return reply


class Server(web.Server):
    """Resets each connection that exceeds the endpoint's bound."""

    def __init__(self, *, endpoint: Endpoint, connections: int) -> None:
        """Serve ``endpoint``."""
        super().__init__(
            endpoint.handle, access_log=None, keepalive_timeout=KEEPALIVE_S
        )
        self._endpoint = endpoint
        self._bound = connections

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Add a connection, or reset it."""
        super().connection_made(handler, transport)
        if self._open_connections() > self._bound:
            self._endpoint.record.count('refused_connections')
            endpoint_reset.reset(transport)

    def _open_connections(self) -> int:
        # A lost connection stays in the mapping while its task runs.
        return sum(
            not transport.is_closing()
            for transport in self._connections.values()
        )


async def control(
    endpoint: Endpoint, req: web.BaseRequest
) -> web.StreamResponse:
    """Answer ``record`` (GET, DELETE) and ``mode`` (GET, POST)."""
    match (req.method, req.path.rsplit('/', 1)[-1]):
        case ('GET', 'record'):
            return web.Response(
                body=endpoint.record.stream(), content_type='application/jsonl'
            )
        case ('DELETE', 'record'):
            endpoint.record.clear()
            return web.json_response({})
        case ('POST', 'mode'):
            return await _change_mode(endpoint, req)
        case ('GET', 'mode'):
            return web.json_response(
                {
                    **endpoint.setting.model_dump(mode='json'),
                    'running': endpoint.record.running,
                }
            )
    return web.json_response({'error': 'no such control'}, status=404)


async def _change_mode(
    endpoint: Endpoint, req: web.BaseRequest
) -> web.Response:
    try:
        setting = endpoint_modes.Setting.model_validate_json(await req.read())
    except pydantic.ValidationError as exc:
        return web.json_response({'error': str(exc)}, status=400)
    endpoint.set_mode(setting)
    return web.json_response(setting.model_dump(mode='json'))


def _run_seconds(req: web.BaseRequest) -> float:
    """Return the seconds of ``X-Run-Ms``, or -1 if it is not valid."""
    try:
        run_ms = float(req.headers.get('X-Run-Ms', '0'))
    except ValueError:
        return -1
    if math.isfinite(run_ms) and 0 <= run_ms <= MAX_RUN_MS:
        return run_ms / MILLISECONDS_PER_SECOND
    return -1


async def _digest(req: web.BaseRequest) -> str:
    digest = hashlib.sha256()
    async for chunk in req.content.iter_chunked(CHUNK_BYTES):
        digest.update(chunk)
    return digest.hexdigest()


def _close(req: web.BaseRequest) -> None:
    if req.transport is not None:
        req.transport.close()
