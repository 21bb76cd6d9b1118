"""HTTP listeners for clients and for the load balancer's readiness checks."""

import asyncio
from typing import Protocol

import result

from sardineproxy import deployment, ids, logs
from sardineproxy.connection import client_guard, http_server
from sardineproxy.platform import submissions
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Time from the first byte of a request to its last, and time for which a
#: connection may be idle, as the platform specifies them, in seconds.
READ_TIMEOUT_S = 3
IDLE_TIMEOUT_S = 15

#: Connections of the listeners for checks and metrics. A few load balancers
#: and collectors use them; the descriptors are part of the reserve.
MAX_CHECK_CONNECTIONS = 64
CHECK_BACKLOG = 16

#: At the limit, the connection of a check that has been idle for this time is
#: closed for a new one, in seconds. Checks and their replies are immediate.
MIN_CHECK_IDLE_S = 0.5

#: Headers that requests of clients, and of checks, are decoded from.
KEPT_HEADERS = frozenset(('host', submissions.DEADLINE_HEADER.lower()))

#: Response timeout of a request without a valid ``Deadline-Ms``, in seconds.
DEFAULT_WAIT_S = 30.0

#: ``Retry-After`` of requests refused without a configuration, during recovery
#: from a stall, or because of an unsupported feature, in seconds.
RETRY_AFTER_S = 1.0

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

    def __init__(
        self,
        *,
        request_handler: RequestHandler,
        guard: client_guard.ClientGuard,
    ) -> None:
        """Create a server that passes requests to ``request_handler``."""
        self._request_handler = request_handler
        self._client_server = http_server.HttpServer(
            handler=self._handle_request,
            cfg=http_server.ServerConfig(
                listener='clients',
                max_body_bytes=submissions.MAX_BODY_BYTES,
                read_timeout_s=READ_TIMEOUT_S,
                write_timeout_s=IDLE_TIMEOUT_S,
                min_idle_s=IDLE_TIMEOUT_S,
                max_connections=guard.limits.connections,
                backlog=guard.limits.backlog,
                kept_headers=KEPT_HEADERS,
            ),
            guard=guard,
        )
        self._readiness_server = http_server.HttpServer(
            handler=self._handle_readiness_check,
            cfg=check_config('readiness'),
            guard=guard,
        )

        #: Number of requests in progress.
        self.active_requests = 0

    async def start(
        self,
        client_listener: deployment.Address,
        readiness_listener: deployment.Address,
    ) -> None:
        """Open both listeners."""
        await self._client_server.start(client_listener)
        await self._readiness_server.start(readiness_listener)

    async def close(self) -> None:
        """Close both listeners and all connections."""
        await asyncio.gather(
            self._client_server.close(), self._readiness_server.close()
        )

    async def _handle_readiness_check(
        self, _: http_server.Request
    ) -> http_server.Response:
        status = 200 if self._request_handler.is_ready() else 503
        return http_server.Response(status=status)

    async def _handle_request(
        self, req: http_server.Request
    ) -> http_server.Response:
        self.active_requests += 1
        try:
            reply = await self._route_request(req)
        finally:
            self.active_requests -= 1
        headers = dict(reply.headers)
        if reply.body:
            headers['Content-Type'] = 'application/json'
        return http_server.Response(
            status=reply.status,
            body=reply.body,
            headers=headers,
            close=self._request_handler.draining,
        )

    async def _route_request(
        self, req: http_server.Request
    ) -> submissions.Reply:
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
        self, req: http_server.Request, route: routes.Route, job_name: str
    ) -> submissions.Reply:
        if self._request_handler.is_recovering():
            self._log(req, 'Request refused: recovering from a stall.')
            return submissions.make_refusal(RETRY_AFTER_S)
        if req.body is None:
            self._log(req, 'Request rejected: its body is too large.')
            return submissions.MALFORMED
        decoded = submissions.decode_job(job_name, req.body)
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

    def _log(
        self, req: http_server.Request, message: str, **extra: object
    ) -> None:
        _LOG.info(message, extra={'path': req.path, 'host': req.host, **extra})


def check_config(listener: str) -> http_server.ServerConfig:
    """Return the limits of a listener for checks or metrics."""
    return http_server.ServerConfig(
        listener=listener,
        max_body_bytes=0,
        read_timeout_s=READ_TIMEOUT_S,
        write_timeout_s=IDLE_TIMEOUT_S,
        min_idle_s=MIN_CHECK_IDLE_S,
        max_connections=MAX_CHECK_CONNECTIONS,
        backlog=CHECK_BACKLOG,
        kept_headers=frozenset(),
    )


def _wait_s(req: http_server.Request) -> float:
    """Return how long the client waits for a response, in seconds."""
    header = req.headers.get(submissions.DEADLINE_HEADER.lower())
    return submissions.decode_wait_s(header) or DEFAULT_WAIT_S
