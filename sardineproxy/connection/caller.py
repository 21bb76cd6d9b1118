"""HTTP listener for callers, and its handlers."""

import asyncio
import types
from typing import Awaitable, Callable

import result
from aiohttp import web

from sardineproxy import clock, ids, problems
from sardineproxy.connection import (
    caller_connection,
    client_guard,
    client_limits,
)
from sardineproxy.process import metrics
from sardineproxy.request import admission, documents, keys, submissions, work

TASK_KINDS = types.MappingProxyType(
    {'requests': work.TaskKind.SINGLE, 'jobs': work.TaskKind.JOB}
)
WAIT_VALUES = types.MappingProxyType({'true': True, 'false': False})
BEARER_PREFIX = 'bearer '

ConnectionLimits = caller_connection.ConnectionLimits


class CallerHandlers:
    """HTTP handlers of the listener for callers."""

    def __init__(
        self, *, submissions: submissions.Submissions, limits: ConnectionLimits
    ) -> None:
        """Pass requests that are within the limits to ``submissions``."""
        self._submissions = submissions
        self._limits = limits

    async def issue_keys(self, req: web.Request) -> web.Response:
        """Handle ``POST /v1/keys``."""
        customer, body = await self._read_request(req)
        if isinstance(customer, result.Err):
            return _render_refusal(customer.err_value, None)
        if isinstance(body, result.Err):
            return _render_refusal(body.err_value, None)
        return caller_connection.render(
            self._submissions.issue_keys(
                customer=customer.ok_value, body=body.ok_value
            )
        )

    async def submit(self, req: web.Request) -> web.Response:
        """Handle ``POST /v1/requests`` and ``POST /v1/jobs``."""
        key_text = req.headers.get(caller_connection.KEY_HEADER)
        customer, body = await self._read_request(req)
        if isinstance(customer, result.Err):
            return _render_refusal(customer.err_value, key_text)
        wait = WAIT_VALUES.get(req.query.get('wait', 'true'))
        if wait is None and isinstance(body, result.Ok):
            body = result.Err(_malformed_wait())
        if isinstance(body, result.Err):
            reply = self._submissions.refuse(
                customer=customer.ok_value,
                key_text=key_text,
                problem=body.err_value,
            )
            return caller_connection.render(reply)
        reply = await self._submissions.submit(
            customer=customer.ok_value,
            kind=TASK_KINDS[req.match_info['collection']],
            key_text=key_text,
            body=body.ok_value,
            wait=wait is not False,
        )
        return caller_connection.render(reply)

    async def status(self, req: web.Request) -> web.Response:
        """Handle ``GET`` on a request or job."""
        return await self._handle_key_request(req, self._submissions.status)

    async def cancel(self, req: web.Request) -> web.Response:
        """Handle ``DELETE`` on a request or job."""
        return await self._handle_key_request(req, self._submissions.cancel)

    async def _handle_key_request(
        self,
        req: web.Request,
        operation: Callable[..., Awaitable[documents.Reply]],
    ) -> web.Response:
        key_text = req.match_info['key']
        customer, body = await self._read_request(req)
        if isinstance(customer, result.Err):
            return _render_refusal(customer.err_value, key_text)
        if isinstance(body, result.Err):
            return _render_refusal(body.err_value, key_text)
        return caller_connection.render(
            await operation(customer=customer.ok_value, key_text=key_text)
        )

    async def _read_request(
        self, req: web.Request
    ) -> tuple[
        result.Result[ids.CustomerId, problems.Problem], caller_connection.Body
    ]:
        """Authenticate the caller, then read the body if that succeeded."""
        customer = self._authenticate(req)
        problem = caller_connection.check_head(req, self._limits)
        if problem is not None:
            return customer, result.Err(problem)
        if isinstance(customer, result.Err):
            return customer, customer
        assert isinstance(req.protocol, caller_connection.Connection)
        return customer, await req.protocol.read_body(req)

    def _authenticate(
        self, req: web.Request
    ) -> result.Result[ids.CustomerId, problems.Problem]:
        header = req.headers.get('Authorization', '')
        if not header.lower().startswith(BEARER_PREFIX):
            return result.Err(admission.unauthorized())
        return self._submissions.authenticate(
            credential=header[len(BEARER_PREFIX) :].strip()
        )


class Listener:
    """A listening socket for callers."""

    def __init__(
        self, *, runner: web.AppRunner, server: asyncio.Server
    ) -> None:
        """Take ownership of ``runner`` and ``server``."""
        self._runner = runner
        self._server = server
        self.port: int = server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening, send pending responses and close all connections."""
        self._server.close()
        await self._runner.cleanup()


def build_app(
    *,
    submissions: submissions.Submissions,
    limits: ConnectionLimits,
    clock: clock.Clock,
) -> web.Application:
    """Return the web application that serves callers."""
    handlers = CallerHandlers(submissions=submissions, limits=limits)
    app = web.Application(client_max_size=limits.body_bytes)
    collection = '/v1/{collection:requests|jobs}'
    item = f'{collection}/{{key}}'
    app.router.add_post('/v1/keys', handlers.issue_keys)
    app.router.add_post(collection, handlers.submit)
    app.router.add_get(item, handlers.status, allow_head=False)
    app.router.add_delete(item, handlers.cancel)
    return app


async def start(
    *,
    app: web.Application,
    limits: ConnectionLimits,
    host: str,
    port: int,
    guard: client_guard.ClientGuard | None = None,
) -> Listener:
    """Serve ``app``; for port 0 the kernel chooses a free port.

    Listeners of one process share ``guard``.
    """
    runner = web.AppRunner(app, shutdown_timeout=limits.close_timeout_s)
    await runner.setup()
    web_server = runner.server
    assert web_server is not None
    loop = asyncio.get_running_loop()
    shared_guard = guard or make_guard(limits, metrics.Metrics())
    server = await loop.create_server(
        lambda: caller_connection.Connection(
            web_server, limits=limits, guard=shared_guard, loop=loop
        ),
        host,
        port,
        backlog=limits.backlog,
    )
    return Listener(runner=runner, server=server)


def make_guard(
    limits: ConnectionLimits, registry: metrics.Metrics
) -> client_guard.ClientGuard:
    """Return the guard of a process with these limits."""
    return client_guard.ClientGuard(
        limits=client_limits.Limits(
            held_bytes=limits.reading_bytes,
            connections=limits.connections,
            backlog=limits.backlog,
        ),
        metrics=registry,
    )


def _render_refusal(
    problem: problems.Problem, key_text: str | None
) -> web.Response:
    return caller_connection.render(
        documents.render_problem(keys.without_issuer_verdict(problem, key_text))
    )


def _malformed_wait() -> problems.Problem:
    return problems.refusal(
        code='malformed_request',
        status=400,
        detail='wait must be "true" or "false".',
    )
