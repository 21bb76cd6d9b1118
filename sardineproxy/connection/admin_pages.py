"""Pages of the admin listener: liveness, readiness, metrics, state dump."""

import dataclasses
import json
from typing import Protocol

from sardineproxy.process import metrics

#: Content type of the Prometheus text exposition format.
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'

_TEXT_CONTENT_TYPE = 'text/plain; charset=utf-8'
_JSON_CONTENT_TYPE = 'application/json'


class AdminSource(Protocol):
    """Interface of a process to its admin listener."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers."""

    def state(self) -> dict[str, object]:
        """Return the state dump, which has to be serializable to JSON."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Status, content type and text of a response."""

    status: int = 200
    content_type: str = _TEXT_CONTENT_TYPE
    text: str


class AdminPages:
    """Renders the pages of one process."""

    def __init__(
        self, *, process: AdminSource, metrics: metrics.Metrics
    ) -> None:
        """Serve the state and metrics of ``process``."""
        self._process = process
        self._metrics = metrics
        self._pages = {
            '/livez': self._live,
            '/readyz': self._ready,
            '/metrics': self._render_metrics,
            '/state': self._state,
        }

    @property
    def paths(self) -> tuple[str, ...]:
        """Return the paths of all pages."""
        return tuple(self._pages)

    def render(self, path: str) -> Page:
        """Return the page at a path."""
        render_page = self._pages.get(path)
        if render_page is None:
            return Page(status=404, text='not found\n')
        return render_page()

    def _live(self) -> Page:
        """Show that the event loop runs."""
        return Page(text='live\n')

    def _ready(self) -> Page:
        """Show whether the process accepts new callers."""
        if self._process.is_ready():
            return Page(text='ready\n')
        return Page(status=503, text='not ready\n')

    def _render_metrics(self) -> Page:
        return Page(
            content_type=METRICS_CONTENT_TYPE, text=self._metrics.render()
        )

    def _state(self) -> Page:
        text = json.dumps(self._process.state(), indent=2, default=str)
        return Page(content_type=_JSON_CONTENT_TYPE, text=f'{text}\n')
