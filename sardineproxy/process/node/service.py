"""Lifecycle of a node process: listeners, settings reload and shutdown."""

import asyncio
import dataclasses
import random

import result

from sardineproxy import clock, deployment, ids, logs
from sardineproxy.connection import (
    admin_pages,
    client_guard,
    client_limits,
    http_server,
)
from sardineproxy.platform import (
    configuration,
    client_http,
    http_calls,
    evacuations,
    worker_entries,
    store_http,
    worker_http,
)
from sardineproxy.process import metrics
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.process.node import dependencies, node, policy
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Minimum time from SIGTERM until the listeners close, in seconds. The load
#: balancer checks every second, and stops sending after two failed checks.
MIN_DRAIN_S = 2.6

#: Part of the grace period that is reserved for closing, in seconds.
CLOSE_RESERVE_S = 0.5

#: Interval of the check for requests in progress while draining, in seconds.
DRAIN_POLL_S = 0.05

#: Settings that only take effect at the start of the process.
_FIXED_SETTINGS = frozenset(
    ('vm', 'zone', 'front', 'ready', 'peers', 'memory_bytes', 'max_fds')
)

_LOG = logs.get_logger('node')


class Service:
    """A node and its listeners."""

    def __init__(
        self,
        *,
        cfg: deployment.Deployment,
        node_policy: policy.Policy,
        metrics_port: int | None,
        clock: clock.Clock,
    ) -> None:
        """Create the components; ``start`` opens the listeners."""
        self._cfg = cfg
        self._clock = clock
        self._metrics_port = metrics_port
        self._client = http_calls.new_client()
        self._store = store_http.HttpStore(
            client=self._client, address=cfg.store
        )
        self._node = node.Node(
            cfg=cfg,
            node_policy=node_policy.fit(cfg.bounds),
            dependencies=dependencies.Dependencies(
                clock=clock,
                rng=random.Random(),
                store=self._store,
                workers=worker_http.HttpWorkerApi(client=self._client),
                formats=platform_formats(),
                metrics=metrics.Metrics(),
            ),
        )
        guard = client_guard.ClientGuard(
            limits=client_limits.derive_limits(
                memory_bytes=cfg.memory_bytes, max_fds=cfg.max_fds
            ),
            metrics=self._node.metrics,
        )
        self._client_server = client_http.ClientServer(
            request_handler=_RequestHandler(node=self._node), guard=guard
        )
        self._admin_pages = admin_pages.AdminPages(
            process=self._node, metrics=self._node.metrics
        )
        self._admin_server = http_server.HttpServer(
            handler=self._show_admin_page,
            cfg=client_http.check_config('metrics'),
            guard=guard,
        )

    async def start(self) -> result.Result[None, str]:
        """Open all listeners; return an error sentence on failure."""
        try:
            await self._open()
        except OSError as exc:
            return result.Err(f'cannot open a listener: {exc}')
        _LOG.info(
            'Started.',
            extra={
                'vm': self._cfg.vm,
                'zone': self._cfg.zone,
                'incarnation': self._node.identity.incarnation,
                'front': str(self._cfg.front),
                'peers': str(self._cfg.peers),
            },
        )
        return result.Ok(None)

    def record_failure(self, unit: str) -> None:
        """Count an error that was confined to one unit of the process."""
        self._node.record_failure(unit)

    def update_settings(self, cfg: deployment.Deployment) -> None:
        """Apply changed settings, except those fixed at the start."""
        changed = [
            field.name
            for field in dataclasses.fields(cfg)
            if getattr(cfg, field.name) != getattr(self._cfg, field.name)
        ]
        if not changed:
            return
        fixed = _FIXED_SETTINGS.intersection(changed)
        _LOG.info(
            'Settings changed.',
            extra={'fields': changed, 'only_at_start': sorted(fixed)},
        )
        self._cfg = dataclasses.replace(
            cfg, **{name: getattr(self._cfg, name) for name in _FIXED_SETTINGS}
        )
        self._store.set_address(self._cfg.store)
        self._node.update_settings(self._cfg)

    async def shut_down(self) -> None:
        """Hand over the shards, finish requests in progress, and close."""
        await self._drain()
        await self._client_server.close()
        await self._node.close()
        await self._admin_server.close()
        await self._client.aclose()
        _LOG.info('Stopped.', extra={'vm': self._cfg.vm})

    async def _open(self) -> None:
        await self._node.start()
        await self._client_server.start(self._cfg.front, self._cfg.ready)
        if self._metrics_port is not None:
            await self._admin_server.start(
                deployment.Address(
                    host=self._cfg.ready.host, port=self._metrics_port
                )
            )

    async def _show_admin_page(
        self, req: http_server.Request
    ) -> http_server.Response:
        page = self._admin_pages.render(req.path)
        return http_server.Response(
            status=page.status,
            body=page.text.encode(),
            headers={'Content-Type': page.content_type},
        )

    async def _drain(self) -> None:
        """Hand over the shards and wait for requests in progress.

        Waits for at least ``MIN_DRAIN_S``, but no longer than until
        ``CLOSE_RESERVE_S`` before the end of the grace period.
        """
        started_at = self._clock.now()
        _LOG.info(
            'Stopping.', extra={'requests': self._client_server.active_requests}
        )
        deadline = (
            started_at + self._cfg.bounds.shutdown_grace_s - CLOSE_RESERVE_S
        )
        self._node.drain(shutdown_at=deadline)
        while self._clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
            is_min_drain_over = self._clock.now() - started_at > MIN_DRAIN_S
            if is_min_drain_over and not self._client_server.active_requests:
                return
        _LOG.warning(
            'Drain deadline reached, closing the listeners.',
            extra={'requests': self._client_server.active_requests},
        )


class _RequestHandler:
    """Adapts the node to the interface of the server for clients."""

    def __init__(self, *, node: node.Node) -> None:
        self._node = node

    @property
    def routing_table(self) -> routes.RoutingTable | None:
        """Return the routes of the active version."""
        return self._node.versions.table

    @property
    def draining(self) -> bool:
        """Return whether the process is shutting down."""
        return self._node.draining

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections."""
        return self._node.is_ready()

    def is_recovering(self) -> bool:
        """Return whether requests are refused because of a recent stall."""
        return self._node.is_recovering()

    async def run_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        """Run a job for a client that waits ``wait_s`` seconds."""
        return await self._node.job_intake.run(job, route, wait_s)

    async def store_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job for a client that waits ``wait_s`` seconds."""
        return await self._node.job_intake.store(job, route, wait_s)

    async def query_job(
        self, job: ids.JobId, wait_s: float, *, cancel: bool
    ) -> job_manager.JobReply:
        """Return a stored job's state, after cancelling it if ``cancel``."""
        return await self._node.job_intake.query(job, wait_s, cancel=cancel)

    def count_unstarted(self, route: routes.Route) -> int:
        """Return how many jobs of a route have not started."""
        return self._node.count_unstarted(route.route)


def platform_formats() -> dependencies.RowFormats:
    """Return the table names and row decoders of the platform."""
    return dependencies.RowFormats(
        configuration_table=configuration.TABLE,
        configuration_row=configuration.ROW_KEY,
        worker_table=worker_entries.TABLE,
        decode_configuration=configuration.decode,
        worker_id=worker_entries.parse_worker_id,
        decode_worker=worker_entries.decode,
        evacuated_zone=evacuations.parse_zone,
    )
