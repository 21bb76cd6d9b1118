"""Admin listener: liveness, readiness, metrics and the state dump."""

import json
from typing import Protocol

from aiohttp import web

from sardineproxy.process import metrics

#: Content type of the Prometheus text exposition format.
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'


class AdminSource(Protocol):
    """What the admin listener asks of its process."""

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new callers."""

    def state(self) -> dict[str, object]:
        """Return the state dump, as JSON can hold it."""


class AdminHandlers:
    """Answers the admin listener's requests."""

    def __init__(
        self, *, process: AdminSource, metrics: metrics.Metrics
    ) -> None:
        """Report on ``process``."""
        self._process = process
        self._metrics = metrics

    async def live(self, _: web.Request) -> web.Response:
        """Answer 200 as long as the event loop runs."""
        return web.Response(text='live\n')

    async def ready(self, _: web.Request) -> web.Response:
        """Answer 200 if the balancer may send new callers, else 503."""
        if self._process.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def metrics(self, _: web.Request) -> web.Response:
        """Answer all metrics as text."""
        return web.Response(
            body=self._metrics.render().encode(),
            headers={'Content-Type': METRICS_CONTENT_TYPE},
        )

    async def state(self, _: web.Request) -> web.Response:
        """Answer the state dump as JSON."""
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
