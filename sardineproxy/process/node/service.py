"""Life of a node process: its listeners, its reload and its shutdown."""

import asyncio
import dataclasses
import random

import result
from aiohttp import web

from sardineproxy import clock, deployment, ids, logs
from sardineproxy.connection import admin
from sardineproxy.platform import (
    configuration,
    front_http,
    http_calls,
    roster,
    store_http,
    worker_http,
)
from sardineproxy.process import metrics
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.process.node import dependencies, node, policy
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Least time from SIGTERM until the listeners close, in seconds. The
#: balancer takes two failed checks, one each second, to notice.
MIN_DRAIN_S = 2.6

#: Time of the grace that is kept for closing, in seconds.
CLOSE_RESERVE_S = 0.5

#: Time between two looks at whether all requests are answered, in seconds.
DRAIN_POLL_S = 0.05

#: Settings that a running process cannot change.
_FIXED = frozenset(('vm', 'zone', 'front', 'ready', 'peers'))

_LOG = logs.get_logger('node')


class Service:
    """A node and its listeners."""

    def __init__(
        self,
        *,
        cfg: deployment.Deployment,
        rules: policy.Policy,
        metrics_port: int | None,
        clock: clock.Clock,
    ) -> None:
        """Prepare the process; ``start`` opens its listeners."""
        self._cfg = cfg
        self._clock = clock
        self._metrics_port = metrics_port
        self._session = http_calls.new_session()
        self._store = store_http.HttpStore(
            session=self._session, address=cfg.store
        )
        self._node = node.Node(
            cfg=cfg,
            rules=rules.fit(cfg.bounds),
            dependencies=dependencies.Dependencies(
                clock=clock,
                rng=random.Random(),
                store=self._store,
                workers=worker_http.HttpWorkerApi(session=self._session),
                formats=platform_formats(),
                metrics=metrics.Metrics(),
            ),
        )
        self._front = front_http.Front(acceptor=_Acceptor(own=self._node))
        self._admin: web.AppRunner | None = None

    async def start(self) -> result.Result[None, str]:
        """Open all listeners; the error is one sentence."""
        try:
            await self._open()
        except OSError as exc:
            return result.Err(f'cannot open a listener: {exc}')
        _LOG.info(
            'Started.',
            extra={
                'vm': self._cfg.vm,
                'zone': self._cfg.zone,
                'incarnation': self._node.me.incarnation,
                'front': str(self._cfg.front),
                'peers': str(self._cfg.peers),
            },
        )
        return result.Ok(None)

    def update_settings(self, cfg: deployment.Deployment) -> None:
        """Use changed settings as far as a running process can."""
        changed = [
            field.name
            for field in dataclasses.fields(cfg)
            if getattr(cfg, field.name) != getattr(self._cfg, field.name)
        ]
        if not changed:
            return
        fixed = _FIXED.intersection(changed)
        _LOG.info(
            'Settings changed.',
            extra={'fields': changed, 'only_at_start': sorted(fixed)},
        )
        self._cfg = dataclasses.replace(
            cfg, **{name: getattr(self._cfg, name) for name in _FIXED}
        )
        self._store.use(self._cfg.store)
        self._node.update_settings(self._cfg)

    async def shut_down(self) -> None:
        """Hand the cells over, answer what is in progress, and close."""
        await self._drain()
        await self._front.close()
        await self._node.close()
        if self._admin is not None:
            await self._admin.cleanup()
        await self._session.close()
        _LOG.info('Stopped.', extra={'vm': self._cfg.vm})

    async def _open(self) -> None:
        await self._node.start()
        await self._front.start(self._cfg.front, self._cfg.ready)
        if self._metrics_port is None:
            return
        self._admin = web.AppRunner(
            admin.build_app(process=self._node, metrics=self._node.metrics),
            access_log=None,
        )
        await self._admin.setup()
        await web.TCPSite(
            self._admin, self._cfg.ready.host, self._metrics_port
        ).start()

    async def _drain(self) -> None:
        """Answer what is in progress before the grace ends."""
        started = self._clock.now()
        _LOG.info('Stopping.', extra={'requests': self._front.busy})
        limit = started + self._cfg.bounds.grace_s - CLOSE_RESERVE_S
        self._node.drain(shutdown_at=limit)
        while self._clock.now() < limit:
            await asyncio.sleep(DRAIN_POLL_S)
            has_waited = self._clock.now() - started > MIN_DRAIN_S
            if has_waited and not self._front.busy:
                return
        _LOG.warning(
            'Grace ends with requests in progress.',
            extra={'requests': self._front.busy},
        )


class _Acceptor:
    """Joins the front to the node."""

    def __init__(self, *, own: node.Node) -> None:
        self._own = own

    @property
    def table(self) -> routes.RoutingTable | None:
        """Return the routes in force."""
        return self._own.versions.table

    @property
    def draining(self) -> bool:
        """Tell whether the process shuts down."""
        return self._own.draining

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new connections."""
        return self._own.is_ready()

    def is_recovering(self) -> bool:
        """Tell whether requests must be refused for the moment."""
        return self._own.is_recovering()

    async def run_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        """Run a job for a client that waits ``wait_s`` seconds."""
        return await self._own.job_intake.run(job, route, wait_s)

    async def keep_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job for a client that waits ``wait_s`` seconds."""
        return await self._own.job_intake.store(job, route, wait_s)

    async def ask_job(
        self, job: ids.JobId, wait_s: float, *, cancel: bool
    ) -> job_manager.JobReply:
        """Return the state of a stored job, or cancel it."""
        return await self._own.job_intake.query(job, wait_s, cancel=cancel)

    def waiting_for(self, route: routes.Route) -> int:
        """Return how many jobs of a route wait for their first start."""
        return self._own.waiting_for(route.route)


def platform_formats() -> dependencies.RowFormats:
    """Return the decoders of the platform's rows."""
    return dependencies.RowFormats(
        configuration_table=configuration.TABLE,
        configuration_row=configuration.ROW,
        roster_table=roster.TABLE,
        decode_configuration=configuration.decode,
        worker_id=roster.worker_id,
        decode_worker=roster.decode,
    )
