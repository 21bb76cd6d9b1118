"""HTTP listeners for clients and for the balancer's readiness checks."""

import asyncio
from typing import Awaitable, Callable, Protocol

import result
from aiohttp import web

from sardineproxy import deployment, ids, logs
from sardineproxy.platform import submissions
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Time to read a request's body, in seconds; the sheets say 3 s.
READ_TIMEOUT_S = 3

#: Longest request line and longest header field, in bytes; the sheets allow
#: as much for all headers together.
MAX_HEADER_BYTES = 16_384

#: Wait of a client that does not say how long it waits, in seconds.
DEFAULT_WAIT_S = 30.0

#: When to come back after a refusal for want of a configuration, in seconds.
RETRY_AFTER_S = 1.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_LOG = logs.get_logger('front')


class RequestHandler(Protocol):
    """What the front needs of its process."""

    @property
    def routing_table(self) -> routes.RoutingTable | None:
        """Return the routes in force."""

    @property
    def draining(self) -> bool:
        """Tell whether the process shuts down."""

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new connections."""

    def is_recovering(self) -> bool:
        """Tell whether requests must be refused for the moment."""

    async def run_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        """Run a job for a client that waits ``wait_s`` seconds."""

    async def store_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job for a client that waits ``wait_s`` seconds."""

    async def query_job(
        self, job: ids.JobId, wait_s: float, *, cancel: bool
    ) -> job_manager.JobReply:
        """Return the state of a stored job, or cancel it."""

    def count_unstarted(self, route: routes.Route) -> int:
        """Return how many jobs of a route wait for their first start."""


class ClientServer:
    """Answers clients."""

    def __init__(self, *, request_handler: RequestHandler) -> None:
        """Hand jobs to ``request_handler``."""
        self._request_handler = request_handler
        self._runners: list[web.ServerRunner] = []

        #: Requests that are being answered.
        self.active_requests = 0

    async def start(
        self, front: deployment.Address, ready: deployment.Address
    ) -> None:
        """Open both listeners."""
        await self._listen(self._handle, front)
        await self._listen(self._check, ready)

    async def close(self) -> None:
        """Close both listeners and all connections."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def _listen(
        self, handler: Handler, address: deployment.Address
    ) -> None:
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0)
        await runner.setup()
        site = web.TCPSite(runner, address.host, address.port, backlog=1024)
        await site.start()
        self._runners.append(runner)

    async def _check(self, _: web.BaseRequest) -> web.StreamResponse:
        status = 200 if self._request_handler.is_ready() else 503
        return web.Response(status=status)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        self.active_requests += 1
        try:
            reply = await self._answer(req)
        finally:
            self.active_requests -= 1
        response = web.Response(
            status=reply.status,
            body=reply.body,
            headers=dict(reply.headers),
            content_type='application/json' if reply.body else None,
        )
        if self._request_handler.draining:
            response.force_close()
        return response

    async def _answer(self, req: web.BaseRequest) -> submissions.Reply:
        table = self._request_handler.routing_table
        if table is None:
            self._log(req, 'Refused, no configuration yet.')
            return submissions.make_refusal(RETRY_AFTER_S)
        route = table.find(req.host, req.path)
        if route is None:
            self._log(req, 'No route.', version=table.number)
            return submissions.NO_ROUTE
        name = req.path[len(route.path_prefix) :]
        if req.method == 'POST':
            return await self._submit(req, route, name)
        if req.method == 'GET' and not name:
            return submissions.encode_pending(
                self._request_handler.count_unstarted(route)
            )
        job = submissions.decode_job_id(name)
        if job is not None and req.method in {'GET', 'DELETE'}:
            return submissions.encode_state(
                await self._request_handler.query_job(
                    job, _wait_s(req), cancel=req.method == 'DELETE'
                )
            )
        self._log(req, 'No such job.', method=req.method)
        return submissions.NO_JOB

    async def _submit(
        self, req: web.BaseRequest, route: routes.Route, name: str
    ) -> submissions.Reply:
        if self._request_handler.is_recovering():
            self._log(req, 'Refused after standing still.')
            return submissions.make_refusal(RETRY_AFTER_S)
        body = await _read_body(req)
        if body is None:
            self._log(req, 'Body too large or too slow.')
            return submissions.MALFORMED
        decoded = submissions.decode_job(name, body)
        if isinstance(decoded, result.Err):
            self._log(req, 'Refused.', cause=str(decoded.err_value))
            if isinstance(decoded.err_value, submissions.Unsupported):
                return submissions.make_refusal(RETRY_AFTER_S)
            return submissions.MALFORMED
        job = decoded.ok_value
        if job.stored:
            return submissions.encode_acceptance(
                await self._request_handler.store_job(job, route, _wait_s(req))
            )
        outcome = await self._request_handler.run_job(job, route, _wait_s(req))
        return submissions.encode_outcome(outcome)

    def _log(self, req: web.BaseRequest, text: str, **extra: object) -> None:
        _LOG.info(text, extra={'path': req.path, 'host': req.host, **extra})


def _wait_s(req: web.BaseRequest) -> float:
    """Return how long the client waits for an answer, in seconds."""
    header = req.headers.get(submissions.DEADLINE_HEADER)
    return submissions.decode_wait_s(header) or DEFAULT_WAIT_S


async def _read_body(req: web.BaseRequest) -> bytes | None:
    """Return the body, None if it is too large or comes too slowly."""
    parts = []
    size = 0
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            async for part in req.content.iter_any():
                parts.append(part)
                size += len(part)
                if size > submissions.MAX_BODY_BYTES:
                    return None
    except TimeoutError:
        return None
    return b''.join(parts)
