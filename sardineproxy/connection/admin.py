"""Admin listener of ``sardineproxy-entry``."""

from aiohttp import web

from sardineproxy.connection import admin_pages
from sardineproxy.process import metrics


def build_app(
    *, process: admin_pages.AdminSource, metrics: metrics.Metrics
) -> web.Application:
    """Return the admin listener's application."""
    pages = admin_pages.AdminPages(process=process, metrics=metrics)

    async def show(req: web.Request) -> web.Response:  # noqa: WPS430
        page = pages.render(req.path)
        return web.Response(
            status=page.status,
            body=page.text.encode(),
            headers={'Content-Type': page.content_type},
        )

    app = web.Application()
    app.add_routes([web.get(path, show) for path in pages.paths])
    return app
