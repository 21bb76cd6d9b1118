"""Builds and connects the components of an entry process."""

import asyncio
import dataclasses
import random
import secrets

import aiohttp

from sardineproxy import clock, ids
from sardineproxy.connection import endpoint, peer
from sardineproxy.process import (
    directory,
    dispatcher,
    gossip,
    health,
    listing,
    metrics,
    peers,
    platform,
    platform_http,
    settings,
    slots,
    streams,
)
from sardineproxy.request import forwarding, retries, runner, submissions
from sardineproxy.version import follower, versions

#: Length in bytes of the secret that signs idempotency keys.
SECRET_BYTES = 32

#: Length in bytes of an incarnation id; 64 random bits make a collision
#: across restarts unlikely.
INCARNATION_BYTES = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dependencies:
    """External dependencies of an entry process, replaceable in tests."""

    clock: clock.Clock
    rng: random.Random
    platform: platform.Platform
    registry: metrics.Metrics = dataclasses.field(
        default_factory=metrics.Metrics
    )

    #: Transport between entry processes.
    connect: peer.Connect = asyncio.open_connection
    listen: streams.Listen = streams.start_server


@dataclasses.dataclass(frozen=True, kw_only=True)
class Components:
    """Components of one entry process."""

    incarnation: ids.Incarnation
    metrics: metrics.Metrics
    directory: directory.VmDirectory
    list_follower: listing.ListFollower
    version_follower: follower.Follower
    slots: slots.SlotTable
    client: endpoint.EndpointClient
    dispatcher: dispatcher.Dispatcher
    submissions: submissions.Submissions
    peers: peers.Peers


class _DeferredForwarder:
    """Forwarder whose target is set after construction.

    It breaks a dependency cycle: submissions are forwarded through the peers,
    and the peers pass forwarded payloads to the submissions.
    """

    def __init__(self) -> None:
        self.target: forwarding.Forwarder | None = None

    async def forward(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        deadline: float,
    ) -> forwarding.Reply:
        """Forward a payload through the target."""
        assert self.target is not None
        return await self.target.forward(
            vm=vm, incarnation=incarnation, payload=payload, deadline=deadline
        )


def connect_platform(
    *,
    cfg: settings.Settings,
    session: aiohttp.ClientSession,
    registry: metrics.Metrics,
) -> platform.Platform:
    """Return a client of the platform configured in the settings."""
    return platform_http.HttpPlatform(
        session=session,
        host=cfg.platform.host,
        port=cfg.platform.port,
        metrics=registry,
    )


def build(*, cfg: settings.Settings, dependencies: Dependencies) -> Components:
    """Build all components without starting them or opening a port."""
    incarnation = ids.Incarnation(secrets.token_hex(INCARNATION_BYTES))
    registry = dependencies.registry
    vm_directory = directory.VmDirectory(seeds=_seeds(cfg))
    list_follower = listing.ListFollower(
        platform=dependencies.platform,
        directory=vm_directory,
        clock=dependencies.clock,
        rng=dependencies.rng,
        cfg=listing.Config(),
    )
    version_follower = follower.Follower(
        platform=dependencies.platform,
        clock=dependencies.clock,
        rng=dependencies.rng,
        metrics=registry,
        cfg=follower.Config(),
    )
    slot_table = slots.SlotTable()
    client = endpoint.EndpointClient(
        clock=dependencies.clock, metrics=registry, cfg=endpoint.Config()
    )
    task_dispatcher = dispatcher.Dispatcher(
        clock=dependencies.clock,
        rng=dependencies.rng,
        zone=ids.ZoneId(cfg.zone),
        directory=vm_directory,
        slot_table=slot_table,
        client=client,
        health=health.Health(rng=dependencies.rng),
        metrics=registry,
        cfg=dispatcher.Config(),
    )
    forwarder = _DeferredForwarder()
    submission_service = submissions.Submissions(
        clock=dependencies.clock,
        rng=dependencies.rng,
        vm=ids.VmId(cfg.vm),
        incarnation=incarnation,
        secret=secrets.token_bytes(SECRET_BYTES),
        cfg=_submissions_config(cfg.retention),
        runner=runner.Runner(
            dispatcher=task_dispatcher,
            budget=retries.RetryBudget(),
            clock=dependencies.clock,
            rng=dependencies.rng,
            metrics=registry,
        ),
        forwarder=forwarder,
        metrics=registry,
    )
    entry_peers = peers.Peers(
        clock=dependencies.clock,
        rng=dependencies.rng,
        vm=ids.VmId(cfg.vm),
        incarnation=incarnation,
        zone=ids.ZoneId(cfg.zone),
        size=cfg.size,
        directory=vm_directory,
        slot_table=slot_table,
        handler=submission_service,
        gossip=gossip.Gossip(
            version_follower=version_follower, list_follower=list_follower
        ),
        metrics=registry,
        cfg=_peers_config(cfg.peering),
        connect=dependencies.connect,
        listen=dependencies.listen,
    )
    forwarder.target = entry_peers
    components = Components(
        incarnation=incarnation,
        metrics=registry,
        directory=vm_directory,
        list_follower=list_follower,
        version_follower=version_follower,
        slots=slot_table,
        client=client,
        dispatcher=task_dispatcher,
        submissions=submission_service,
        peers=entry_peers,
    )
    _subscribe(components)
    return components


def _seeds(cfg: settings.Settings) -> tuple[platform.Vm, ...]:
    return tuple(
        platform.Vm(
            name=seed.vm,
            role=platform.VmRole.ENTRY,
            state=platform.VmState.LIVE,
            zone=ids.ZoneId(seed.zone),
            region=ids.RegionId(seed.region),
            host=seed.address.host,
            port=seed.address.port,
            slots=1,
        )
        for seed in cfg.seeds
    )


def _submissions_config(retention: settings.Retention) -> submissions.Config:
    return submissions.Config(
        key_ttl_s=retention.key_ttl_s,
        record_ttl_s=retention.record_ttl_s,
        max_records=retention.max_records,
    )


def _peers_config(peering: settings.Peering) -> peers.Config:
    return peers.Config(
        takeover_grace_s=peering.takeover_grace_s,
        cross_zone_peers=peering.cross_zone_peers,
        stream=streams.Config(
            heartbeat_s=peering.heartbeat_s, peer_silent_s=peering.silent_s
        ),
    )


def _subscribe(components: Components) -> None:
    """Subscribe the components to each other's events."""
    components.version_follower.active_version.subscribe(
        lambda version: _apply_version(components, version)
    )
    components.peers.live_vms.subscribe(components.submissions.set_live_vms)
    components.dispatcher.backlog.subscribe(components.peers.on_backlog)
    components.slots.changed.subscribe(
        lambda _: components.dispatcher.start_waiting_tasks()
    )


def _apply_version(
    components: Components, version: versions.Version | None
) -> None:
    components.submissions.set_version(version)
    if version is None:
        return
    components.dispatcher.set_weights(
        {
            customer: contract.weight
            for customer, contract in version.contracts.items()
        }
    )
    components.slots.set_concurrency_limits(
        {
            customer: contract.hold
            for customer, contract in version.contracts.items()
        }
    )
