"""Admin listener of ``sardineproxy-entry``."""

from aiohttp import web

from sardineproxy.connection import admin_pages, caller_connection
from sardineproxy.process import metrics


#: A few load balancers, collectors and operators use this listener.
LIMITS = caller_connection.ConnectionLimits(
    listener='admin',
    body_bytes=16_384,
    connections=64,
    backlog=16,
    min_idle_s=0.5,
)


def build_app(
    *, process: admin_pages.AdminSource, metrics: metrics.Metrics
) -> web.Application:
    """Return the admin listener's application."""
    pages = admin_pages.AdminPages(process=process, metrics=metrics)

    async def show(req: web.Request) -> web.Response:  # noqa: WPS430
        if isinstance(req.protocol, caller_connection.Connection):
            # A request that was not read ends its connection.
            await req.protocol.read_body(req)
        page = pages.render(req.path)
        return web.Response(
            status=page.status,
            body=page.text.encode(),
            headers={'Content-Type': page.content_type},
        )

    app = web.Application(client_max_size=LIMITS.body_bytes)
    app.add_routes([web.get(path, show) for path in pages.paths])
    return app
