"""HTTP listeners for clients and for the load balancer's readiness checks."""

import asyncio
from typing import Awaitable, Callable, Protocol

import result
from aiohttp import web

from sardineproxy import deployment, ids, logs
from sardineproxy.platform import submissions
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Timeout for reading a request body, in seconds; the platform specifies 3 s.
READ_TIMEOUT_S = 3

#: Maximum length of the request line and of each header field, in bytes; the
#: platform allows the same number for all headers together.
MAX_HEADER_BYTES = 16_384

#: Response timeout of a request without a valid ``Deadline-Ms``, in seconds.
DEFAULT_WAIT_S = 30.0

#: ``Retry-After`` of requests refused without a configuration, during recovery
#: from a stall, or because of an unsupported feature, in seconds.
RETRY_AFTER_S = 1.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_LOG = logs.get_logger('front')


class RequestHandler(Protocol):
    """Executes the requests that ``ClientServer`` receives."""

    @property
    def routing_table(self) -> routes.RoutingTable | None:
        """Return the active routes, None before the first configuration."""

    @property
    def draining(self) -> bool:
        """Return whether the process is shutting down."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections."""

    def is_recovering(self) -> bool:
        """Return whether requests are refused because of a recent stall."""

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
        """Return how many jobs of a route have not started."""


class ClientServer:
    """HTTP server for clients and readiness checks."""

    def __init__(self, *, request_handler: RequestHandler) -> None:
        """Create a server that passes requests to ``request_handler``."""
        self._request_handler = request_handler
        self._runners: list[web.ServerRunner] = []

        #: Number of requests in progress.
        self.active_requests = 0

    async def start(
        self,
        client_listener: deployment.Address,
        readiness_listener: deployment.Address,
    ) -> None:
        """Open both listeners."""
        await self._listen(self._handle_request, client_listener)
        await self._listen(self._handle_readiness_check, readiness_listener)

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

    async def _handle_readiness_check(
        self, _: web.BaseRequest
    ) -> web.StreamResponse:
        status = 200 if self._request_handler.is_ready() else 503
        return web.Response(status=status)

    async def _handle_request(self, req: web.BaseRequest) -> web.StreamResponse:
        self.active_requests += 1
        try:
            reply = await self._route_request(req)
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

    async def _route_request(self, req: web.BaseRequest) -> submissions.Reply:
        table = self._request_handler.routing_table
        if table is None:
            self._log(req, 'Request refused: no configuration received yet.')
            return submissions.make_refusal(RETRY_AFTER_S)
        route = table.find(req.host, req.path)
        if route is None:
            self._log(
                req,
                'Request rejected: no route for its host and path.',
                version=table.number,
            )
            return submissions.NO_ROUTE
        job_name = req.path[len(route.path_prefix) :]
        if req.method == 'POST':
            return await self._submit(req, route, job_name)
        if req.method == 'GET' and not job_name:
            return submissions.encode_pending(
                self._request_handler.count_unstarted(route)
            )
        job_id = submissions.decode_job_id(job_name)
        if job_id is not None and req.method in {'GET', 'DELETE'}:
            return submissions.encode_state(
                await self._request_handler.query_job(
                    job_id, _wait_s(req), cancel=req.method == 'DELETE'
                )
            )
        self._log(
            req,
            'Request rejected: malformed job id or unsupported method.',
            method=req.method,
        )
        return submissions.NO_JOB

    async def _submit(
        self, req: web.BaseRequest, route: routes.Route, job_name: str
    ) -> submissions.Reply:
        if self._request_handler.is_recovering():
            self._log(req, 'Request refused: recovering from a stall.')
            return submissions.make_refusal(RETRY_AFTER_S)
        body = await _read_body(req)
        if body is None:
            self._log(
                req,
                'Request rejected: its body is too large or arrives too slowly.',
            )
            return submissions.MALFORMED
        decoded = submissions.decode_job(job_name, body)
        if isinstance(decoded, result.Err):
            self._log(
                req,
                'Request rejected: malformed job or unsupported feature.',
                cause=str(decoded.err_value),
            )
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

    def _log(self, req: web.BaseRequest, message: str, **extra: object) -> None:
        _LOG.info(message, extra={'path': req.path, 'host': req.host, **extra})


def _wait_s(req: web.BaseRequest) -> float:
    """Return how long the client waits for a response, in seconds."""
    header = req.headers.get(submissions.DEADLINE_HEADER)
    return submissions.decode_wait_s(header) or DEFAULT_WAIT_S


async def _read_body(req: web.BaseRequest) -> bytes | None:
    """Return the body, None if it is too large or times out."""
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            async for chunk in req.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                if size > submissions.MAX_BODY_BYTES:
                    return None
    except TimeoutError:
        return None
    return b''.join(chunks)
