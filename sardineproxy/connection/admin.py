"""Admin listener: liveness, readiness, metrics and the state dump."""

import json
from typing import Protocol

from aiohttp import web

from sardineproxy.process import metrics

#: Content type of the Prometheus text exposition format.
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'


class AdminSource(Protocol):
    """Interface of a process to its admin listener."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers."""

    def state(self) -> dict[str, object]:
        """Return the state dump, which has to be serializable to JSON."""


class AdminHandlers:
    """HTTP handlers of the admin listener."""

    def __init__(
        self, *, process: AdminSource, metrics: metrics.Metrics
    ) -> None:
        """Serve the state and metrics of ``process``."""
        self._process = process
        self._metrics = metrics

    async def live(self, _: web.Request) -> web.Response:
        """Respond with 200 as long as the event loop runs."""
        return web.Response(text='live\n')

    async def ready(self, _: web.Request) -> web.Response:
        """Respond with 200 if the process accepts new callers, else 503."""
        if self._process.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def metrics(self, _: web.Request) -> web.Response:
        """Respond with all metrics in the Prometheus text format."""
        return web.Response(
            body=self._metrics.render().encode(),
            headers={'Content-Type': METRICS_CONTENT_TYPE},
        )

    async def state(self, _: web.Request) -> web.Response:
        """Respond with the state dump as JSON."""
        text = json.dumps(self._process.state(), indent=2, default=str)
        return web.json_response(text=f'{text}\n')


def build_app(
    *, process: AdminSource, metrics: metrics.Metrics
) -> web.Application:
    """Return the admin listener's application."""
    handlers = AdminHandlers(process=process, metrics=metrics)
    app = web.Application()
    app.add_routes(
        [
            web.get('/livez', handlers.live),
            web.get('/readyz', handlers.ready),
            web.get('/metrics', handlers.metrics),
            web.get('/state', handlers.state),
        ]
    )
    return app
