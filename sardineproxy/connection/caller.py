"""HTTP handlers for callers."""

import dataclasses
import types

from aiohttp import web

from sardineproxy import clock, ids, problems
from sardineproxy.request import documents, submissions, work

KIND_OF_COLLECTION = types.MappingProxyType(
    {'requests': work.Kind.SINGLE, 'jobs': work.Kind.JOB}
)
BEARER = 'bearer '


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EdgeLimits:
    """What a caller may send and how long it may take."""

    #: Request line and headers together, in bytes.
    header_bytes: int = 16_384
    body_bytes: int = documents.MAX_BODY_BYTES

    #: Seconds from the first byte of a request to its last.
    read_timeout_s: float = 10


class Handlers:
    """Answers callers' HTTP requests."""

    def __init__(
        self,
        *,
        submissions: submissions.Submissions,
        limits: EdgeLimits,
        clock: clock.Clock,
    ) -> None:
        """Pass everything on to ``submissions``."""
        self._submissions = submissions
        self._limits = limits
        self._clock = clock

    async def mint(self, req: web.Request) -> web.Response:
        """Answer ``POST /v1/keys``."""
        customer = self._customer(req)
        if customer is None:
            return _response(documents.render_problem(_unauthorized()))
        return _response(
            self._submissions.mint(customer=customer, body=await req.read())
        )

    async def submit(self, req: web.Request) -> web.Response:
        """Answer ``POST /v1/requests`` and ``POST /v1/jobs``."""
        customer = self._customer(req)
        if customer is None:
            return _response(documents.render_problem(_unauthorized()))
        return _response(
            await self._submissions.submit(
                customer=customer,
                kind=KIND_OF_COLLECTION[req.match_info['collection']],
                key_text=req.headers.get('Idempotency-Key'),
                body=await req.read(),
                wait=req.query.get('wait') != 'false',
            )
        )

    def _customer(self, req: web.Request) -> ids.CustomerId | None:
        header = req.headers.get('Authorization', '')
        if not header.lower().startswith(BEARER):
            return None
        return self._submissions.authenticate(
            credential=header[len(BEARER) :].strip()
        )


class Listener:
    """An open port for callers."""

    def __init__(self, *, runner: web.AppRunner, port: int) -> None:
        """Own ``runner`` from now on."""
        self._runner = runner
        self.port = port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()


def build_app(
    *,
    submissions: submissions.Submissions,
    limits: EdgeLimits,
    clock: clock.Clock,
) -> web.Application:
    """Return the application that serves callers."""
    handlers = Handlers(submissions=submissions, limits=limits, clock=clock)
    app = web.Application(client_max_size=limits.body_bytes)
    collection = '/v1/{collection:requests|jobs}'
    app.router.add_post('/v1/keys', handlers.mint)
    app.router.add_post(collection, handlers.submit)
    return app


async def start(
    *, app: web.Application, limits: EdgeLimits, host: str, port: int
) -> Listener:
    """Serve ``app``; port 0 lets the kernel choose."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return Listener(runner=runner, port=runner.addresses[0][1])


def _response(reply: documents.Reply) -> web.Response:
    return web.Response(
        status=reply.status, headers=reply.headers, body=reply.body
    )


def _unauthorized() -> problems.Problem:
    return documents.refusal(
        code='unauthorized',
        status=401,
        detail='The Authorization header holds no known credential.',
    )
