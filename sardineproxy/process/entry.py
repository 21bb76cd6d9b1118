"""Lifecycle of an entry process: start, readiness, state dump, shutdown."""

import asyncio
import dataclasses
import resource
from typing import Mapping

import aiohttp
import result

from sardineproxy import clock, exit_status, logs
from sardineproxy.connection import admin, caller, client_limits
from sardineproxy.process import metrics, components, settings

_LOG = logs.get_logger('entry')

BYTES_PER_MB = 1_000_000

#: Part of the machine's memory that clients may make this process hold. It
#: needs 60 MB itself, and its heap about twice the bytes that it holds.
HELD_DIVISOR = 6

#: Ports of the open listeners by listener name.
Ports = Mapping[str, int]


class EntryProcess:
    """Entry process of one entry VM."""

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        dependencies: components.Dependencies | None = None,
    ) -> None:
        """Create the process, by default with production dependencies."""
        self._cfg = cfg
        self._dependencies = dependencies
        self._session: aiohttp.ClientSession | None = None
        self._components: components.Components | None = None
        self._caller_listener: caller.Listener | None = None
        self._admin_listener: caller.Listener | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._is_draining = False

        #: True once a shutdown has waited for all work in progress.
        self._has_drained = False
        self._clock = (
            dependencies.clock if dependencies else clock.SystemClock()
        )
        self._started_at = self._clock.now()

    async def start(self) -> result.Result[Ports, str]:
        """Open all listeners; the error is one sentence."""
        self._components = components.build(
            cfg=self._cfg, dependencies=self._connect_dependencies()
        )
        await self._components.client.start()
        try:
            ports = await self._open_listeners(self._components)
        except OSError as exc:
            return result.Err(f'cannot open a listener: {exc}.')
        self._tasks = [
            asyncio.create_task(self._components.version_follower.run()),
            asyncio.create_task(self._components.list_follower.run()),
        ]
        _LOG.info('Started.', extra={'vm': self._cfg.vm, 'ports': ports})
        return result.Ok(ports)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers."""
        if self._is_draining or self._components is None:
            return False
        return self._components.version_follower.number() > 0

    def state(self) -> dict[str, object]:
        """Return the state dump of all components."""
        now = self._clock.now()
        process_state: dict[str, object] = {
            'vm': self._cfg.vm,
            'zone': self._cfg.zone,
            'region': self._cfg.region,
            'uptime_s': now - self._started_at,
            'ready': self.is_ready(),
            'draining': self._is_draining,
            **_resource_usage(),
        }
        if self._components is None:
            return process_state
        return {
            **process_state,
            'incarnation': self._components.incarnation,
            'config': self._components.version_follower.state(now=now),
            'list_revision': self._components.list_follower.revision(),
            'submissions': self._components.submissions.state(now=now),
            'dispatcher': self._components.dispatcher.state(now=now),
            'slots': self._components.slots.state(now=now),
            'peers': self._components.peers.state(now=now),
        }

    async def shut_down(self) -> exit_status.ExitStatus:
        """Refuse new work, wait for work in progress, and close.

        The readiness check fails first, so that the load balancer stops
        sending callers before any is refused. Returns within the settings'
        ``limit_s``.
        """
        assert self._components is not None
        status = exit_status.ExitStatus.SUCCESS
        try:
            async with asyncio.timeout(
                self._cfg.shutdown.limit_s - settings.CLOSE_TIMEOUT_S
            ):
                await self._drain(self._components)
        except TimeoutError:
            _LOG.warning(
                'Graceful shutdown timed out; closing connections now.'
            )
            if not self._has_drained:
                status = exit_status.ExitStatus.ERROR
        try:
            async with asyncio.timeout(settings.CLOSE_TIMEOUT_S):
                await self._close(self._components)
        except TimeoutError:
            _LOG.warning('Closing connections timed out; exiting.')
        _LOG.info('Ended.')
        return status

    async def _drain(self, components: components.Components) -> None:
        self._is_draining = True
        _LOG.info('Shutting down; the readiness check fails from now on.')
        await asyncio.sleep(self._cfg.shutdown.notice_s)
        components.submissions.drain()
        await components.submissions.wait_until_idle()
        self._has_drained = True
        await components.peers.leave()

    def _connect_dependencies(self) -> components.Dependencies:
        if self._dependencies is not None:
            return self._dependencies
        self._session = aiohttp.ClientSession(trust_env=False)
        registry = metrics.Metrics()
        return components.Dependencies(
            registry=registry,
            clock=self._clock,
            rng=clock.new_random(),
            platform=components.connect_platform(
                cfg=self._cfg, session=self._session, registry=registry
            ),
        )

    async def _open_listeners(self, components: components.Components) -> Ports:
        limits = _connection_limits(self._cfg.limits)
        guard = caller.make_guard(limits, components.metrics)
        self._caller_listener = await caller.start(
            app=caller.build_app(
                submissions=components.submissions,
                limits=limits,
                clock=self._clock,
            ),
            limits=limits,
            guard=guard,
            host=self._cfg.callers.host,
            port=self._cfg.callers.port,
        )
        self._admin_listener = await caller.start(
            app=admin.build_app(process=self, metrics=components.metrics),
            limits=admin.LIMITS,
            guard=guard,
            host=self._cfg.admin.host,
            port=self._cfg.admin.port,
        )
        await components.peers.start(
            host=self._cfg.peers.host, port=self._cfg.peers.port
        )
        return {
            'callers': self._caller_listener.port,
            'admin': self._admin_listener.port,
            'peers': components.peers.port,
        }

    async def _close(self, components: components.Components) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._caller_listener is not None:
            await self._caller_listener.close()
        await components.peers.close()
        components.dispatcher.close()
        await components.client.close()
        if self._admin_listener is not None:
            await self._admin_listener.close()
        if self._session is not None:
            await self._session.close()


def _connection_limits(limits: settings.Limits) -> caller.ConnectionLimits:
    """Return the limits for the machine, the defaults if it is unknown."""
    connection_limits = caller.ConnectionLimits()
    if limits.memory_mb is not None:
        connection_limits = dataclasses.replace(
            connection_limits,
            reading_bytes=limits.memory_mb * BYTES_PER_MB // HELD_DIVISOR,
        )
    if limits.max_fds is None:
        return connection_limits
    derived = client_limits.derive_limits(
        memory_bytes=0, max_fds=limits.max_fds
    )
    return dataclasses.replace(
        connection_limits,
        connections=derived.connections,
        backlog=derived.backlog,
    )


def _resource_usage() -> dict[str, object]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        'cpu_s': usage.ru_utime + usage.ru_stime,
        'max_rss_kib': usage.ru_maxrss,
    }
