"""HTTP/1.1 back end with slots, a queue and a record of its starts."""

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

#: Upper limit of the X-Run-Ms header.
MAX_RUN_MS = 600_000
MILLISECONDS_PER_SECOND = 1000

#: Long, so that only a fault mode closes idle connections.
KEEPALIVE_S = 3600
CHUNK_BYTES = 65_536


class Endpoint:
    """One back end; tasks beyond its slots wait in FIFO order."""

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
        """Change the mode; reset the connections that ``silent`` blocks."""
        self.setting = setting
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handle a task or a control request."""
        if req.path.startswith('/control/'):
            return await handle_control(self, req)
        arrival = self._clock.now()
        run_s = _run_seconds(req) / self._speed
        if run_s < 0:
            return web.Response(status=400, text='X-Run-Ms is not valid\n')
        digest = await _compute_digest(req)
        if self.setting.mode is endpoint_modes.Mode.REFUSE:
            self.record.count('refused')
            return web.json_response(
                {'endpoint': self.name, 'error': 'refused'},
                status=503,
                headers={'Retry-After': '1'},
            )
        task = req.headers.get('X-Task', '')
        status = await self._run(task, arrival, run_s)
        return await self._respond(req, status, self._render_body(task, digest))

    async def _run(self, task: str, arrival: float, run_s: float) -> int:
        if self.setting.mode is endpoint_modes.Mode.FAIL:
            self._record_instant_run(task, arrival)
            return 500
        async with self._slots:
            start = self.record.record_start(
                task=task, arrival=arrival, now=self._clock.now()
            )
            try:
                await asyncio.sleep(run_s)
            finally:
                self.record.record_end(start, now=self._clock.now())
        return 200

    def _record_instant_run(self, task: str, arrival: float) -> None:
        now = self._clock.now()
        start = self.record.record_start(task=task, arrival=arrival, now=now)
        self.record.record_end(start, now=now)

    def _render_body(self, task: str, digest: str) -> bytes:
        return json.dumps(
            {'task': task, 'body_sha256': digest, 'endpoint': self.name}
        ).encode()

    async def _respond(
        self, req: web.BaseRequest, status: int, body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=status,
            headers={
                'Content-Type': 'application/json',
                'X-Task': req.headers.get('X-Task', ''),
                'X-Endpoint': self.name,
            },
        )
        response.content_length = len(body)
        match self.setting.mode:
            case endpoint_modes.Mode.SILENT:
                await self._mode_changed.wait()
                endpoint_reset.reset(req.transport)
                return response
            case endpoint_modes.Mode.DELAY:
                await asyncio.sleep(
                    self.setting.delay_ms / MILLISECONDS_PER_SECOND
                )
            case endpoint_modes.Mode.CLOSE:
                response.force_close()
        return await self._send(req, response, body)

    async def _send(
        self, req: web.BaseRequest, response: web.StreamResponse, body: bytes
    ) -> web.StreamResponse:
        await response.prepare(req)
        mode = self.setting.mode
        if mode in {endpoint_modes.Mode.CUT, endpoint_modes.Mode.SHORT}:
            await response.write(body[: len(body) // 2])
            if mode is endpoint_modes.Mode.CUT:
                endpoint_reset.reset(req.transport)
            else:
                _close_connection(req)
            return response
        await response.write(body)
        await response.write_eof()
        if mode is endpoint_modes.Mode.CLOSE_IDLE:
            _close_connection(req)
        return response


class Server(web.Server):
    """Server that resets connections beyond the endpoint's limit."""

    def __init__(self, *, endpoint: Endpoint, connections: int) -> None:
        """Serve ``endpoint``."""
        super().__init__(
            endpoint.handle, access_log=None, keepalive_timeout=KEEPALIVE_S
        )
        self._endpoint = endpoint
        self._max_connections = connections

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Accept a connection, or reset it if it exceeds the limit."""
        super().connection_made(handler, transport)
        if self._open_connections() > self._max_connections:
            self._endpoint.record.count('refused_connections')
            endpoint_reset.reset(transport)

    def _open_connections(self) -> int:
        # aiohttp keeps a lost connection in the mapping while its task runs.
        return sum(
            not transport.is_closing()
            for transport in self._connections.values()
        )


async def handle_control(
    endpoint: Endpoint, req: web.BaseRequest
) -> web.StreamResponse:
    """Handle ``record`` (GET, DELETE) and ``mode`` (GET, POST)."""
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
    """Return the run time of ``X-Run-Ms``, or -1 if it is invalid."""
    try:
        run_ms = float(req.headers.get('X-Run-Ms', '0'))
    except ValueError:
        return -1
    if math.isfinite(run_ms) and 0 <= run_ms <= MAX_RUN_MS:
        return run_ms / MILLISECONDS_PER_SECOND
    return -1


async def _compute_digest(req: web.BaseRequest) -> str:
    digest = hashlib.sha256()
    async for chunk in req.content.iter_chunked(CHUNK_BYTES):
        digest.update(chunk)
    return digest.hexdigest()


def _close_connection(req: web.BaseRequest) -> None:
    if req.transport is not None:
        req.transport.close()
