"""The entry process: accepts jobs, and owns cells if it falls to it."""

import asyncio
import secrets
from typing import Iterable

from sardineproxy import background, deployment, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import store
from sardineproxy.process.shards import fences, rooms, workers
from sardineproxy.process.stored_jobs import (
    fenced_rows,
    job_service,
    job_manager,
)
from sardineproxy.process.membership import (
    table_follower,
    loaded_shards,
    links,
    leaders,
    registry,
    worker_list,
)
from sardineproxy.process.node import (
    claiming,
    dependencies,
    feeds,
    led_shards,
    job_intake,
    local_link,
    peering,
    policy,
    peer_sync,
    state_dump,
)
from sardineproxy.request import active_jobs, open_tasks
from sardineproxy.version import in_force, routes

#: Time between two rounds of what is due, in seconds: half a beat, and less
#: for owners of cells, whose queues move on with time.
TICK_S = 0.05
LEADER_TICK_S = 0.025

#: A gap between two rounds that shows that the process stood still, in
#: seconds. Links are given up after a silence of 0.4 s.
STALL_S = 0.3

#: Time after a stall in which requests are refused, in seconds: they may
#: have been read from connections that their clients have given up.
STALL_REFUSAL_S = 0.05

INCARNATION_BYTES = 6

_LOG = logs.get_logger('node')


class Node:  # noqa: WPS214, WPS230
    """All parts of one entry process."""

    def __init__(
        self,
        *,
        cfg: deployment.Deployment,
        rules: policy.Policy,
        dependencies: dependencies.Dependencies,
    ) -> None:
        """Prepare the process; ``start`` opens its listener for links."""
        self.cfg = cfg
        self._clock = dependencies.clock
        self._tasks = background.Tasks()
        self._formats = dependencies.formats
        self.metrics = dependencies.metrics
        self.me = messages.Greeting(
            vm=cfg.vm,
            incarnation=ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
            zone=cfg.zone,
        )
        self.versions = in_force.InForce(
            decode=dependencies.formats.decode_configuration
        )
        self.active_jobs = active_jobs.ActiveJobs()
        self.directory = registry.Registry()
        self._peer_sync = peer_sync.PeerSync(
            versions=self.versions,
            directory=self.directory,
            on_directory=self._update_links,
        )
        self.leaders = leaders.Leaders(me=cfg.vm)
        self.workers = worker_list.WorkerList(
            worker_id=dependencies.formats.worker_id,
            decode=dependencies.formats.decode_worker,
        )
        self.links = links.Links(
            clock=self._clock,
            rng=dependencies.rng,
            me=self.me,
            events=self,
            heartbeat_timing=self._heartbeat_timing,
        )
        self._local = local_link.LocalLink(me=self.me, receiver=self)
        self.member = registry.Member(
            vm=cfg.vm,
            incarnation=self.me.incarnation,
            zone=cfg.zone,
            address=cfg.peers,
            cores=cfg.cores,
        )
        self._dependencies = dependencies
        self.job_service = job_service.JobService(
            directory=self, clock=self._clock
        )
        self._claims = claiming.ShardClaimer(
            store=dependencies.store,
            directory=self.directory,
            me=self.member,
            on_token=self._lead,
        )
        self.led_shards = led_shards.LedShards(
            dependencies=led_shards.ShardDependencies(
                api=dependencies.workers,
                clock=self._clock,
                metrics=self.metrics,
                cfg=rules.shard,
                new_job_manager=self._new_job_manager,
            ),
            claims=self._claims,
            links=self.links,
            around=self,
            job_service=self.job_service,
            tasks=self._tasks,
        )
        self._feeds = feeds.Feeds(
            configuration_table=dependencies.formats.configuration_table,
            configuration_s=cfg.bounds.version_s,
            roster_table=dependencies.formats.roster_table,
            source=dependencies.store,
            handler=self,
            clock=self._clock,
            rng=dependencies.rng,
            metrics=self.metrics,
        )
        self.job_intake = job_intake.JobIntake(
            job_service=self.job_service,
            active_jobs=self.active_jobs,
            router=self,
            versions=self.versions,
            clock=self._clock,
            metrics=self.metrics,
        )
        self._ticked_at = self._clock.now()
        self._refuse_until: float = 0

    async def start(self) -> None:
        """Listen for links, register, and follow the store."""
        await self.links.start(self.cfg.peers)
        self._update_links()
        self._ticked_at = self._clock.now()
        for work in self._feeds.tasks(self.member):
            self._tasks.spawn(work)
        self._tasks.spawn(self._run_ticks())

    def update_settings(self, cfg: deployment.Deployment) -> None:
        """Use changed settings."""
        self.cfg = cfg
        self._update_links()

    async def close(self) -> None:
        """Stop everything."""
        await self._tasks.close()
        await self.job_service.close()
        await self.led_shards.close()
        await self.links.close()

    def drain(self, *, shutdown_at: float) -> None:
        """Ask other VMs to take the cells; this process ends at ``shutdown_at``."""
        self.job_intake.shutdown_at = shutdown_at
        self.led_shards.hand_over()

    @property
    def draining(self) -> bool:
        """Tell whether the process shuts down."""
        return self.job_intake.shutdown_at is not None

    # Jobs.

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new connections."""
        return (
            not self.draining
            and self.versions.table is not None
            and self.default_shard() is not None
        )

    def is_recovering(self) -> bool:
        """Tell whether requests are refused because the process stood still."""
        now = self._clock.now()
        self._check_stall(now)
        return now < self._refuse_until

    def default_shard(self) -> ids.ShardId | None:
        """Return the cell that takes this VM's jobs."""
        if self.home_shard in self.leaders.by_shard:
            return self.home_shard
        free = self.rooms.free(self._clock.now())
        return min(
            self.leaders.by_shard,
            key=lambda other: (-free.get(other, 0), other),
            default=None,
        )

    def leader(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to a cell's owner."""
        vm = self.leader_of(shard)
        if vm is None:
            return None
        return self._local if vm == self.cfg.vm else self.links.get(vm)

    # Links.

    def opened(self, opened: link.Link) -> None:
        """Exchange what both ends know."""
        opened.send(self._heartbeat(self._clock.now()))
        opened.send(messages.DirectoryAsk())

    def closed(self, closed: link.Link) -> None:
        """Forget what the link told."""
        self.led_shards.link_lost(closed, self._clock.now())
        self.job_service.link_closed(closed)
        if self.links.get(closed.peer.vm) is None:
            self.leaders.remove(closed.peer.vm)
        self._choose_leaders()
        for shard in self.all_shards:
            self._notify_leader_lost(shard, closed)

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Act on a message."""
        if self.job_service.handle_message(source, message):
            return
        match message:
            case messages.EndsNoted():
                self.led_shards.acknowledge_results(message)
            case messages.Submit():
                self.led_shards.submit(source, message, self._clock.now())
            case messages.Withdraw(shard=shard, job=job):
                self.led_shards.withdraw(source, shard, job)
            case messages.Ended() | messages.Declined():
                self.active_jobs.deliver(message)
            case messages.Greeting():
                source.abort()
            case messages.Beat() | messages.Disowned() | messages.TakeOver():
                self._receive_leaderships(source, message)
            case _:
                self._peer_sync.received(source, message)

    # Surroundings of the holdings.

    @property
    def home_shard(self) -> ids.ShardId:
        """Return the cell of this VM's zone."""
        return ids.ShardId(self.cfg.zone)

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all cells of the deployment."""
        return map(ids.ShardId, self.cfg.zones)

    @property
    def rooms(self) -> rooms.Rooms:
        """Return how much room other cells have."""
        return self.leaders.rooms

    def leader_of(self, shard: ids.ShardId) -> ids.VmId | None:
        """Return which VM owns a cell."""
        return self.leaders.by_shard.get(shard)

    def kept(self, job: ids.JobId) -> loaded_shards.LoadedShard | None:
        """Return who keeps a stored job, None if that is not known."""
        home = self.job_service.home_shard(job)
        return self.leaders.loaded_shards.get(home, self.leader_of(home))

    def keeper_of(self, job: ids.JobId) -> link.Link | None:
        """Return the link to the owner of a stored job's home cell."""
        return self.leader(self.job_service.home_shard(job))

    def route(self, route: ids.RouteId) -> routes.Route | None:
        """Return a route of the version in force, None if it was removed."""
        table = self.versions.table
        return None if table is None else table.get(route)

    def waiting_for(self, route: ids.RouteId) -> int:
        """Return how many jobs of a route have not begun."""
        return (
            self.active_jobs.count_unstarted(route)
            + self.job_service.pending().get(route, 0)
            + self.leaders.pending_jobs(route)
        )

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the listed workers of a cell."""
        return self.workers.of_shard(shard)

    def is_worker_list_complete(self) -> bool:
        """Tell whether no worker can be missing from the list."""
        return self._feeds.is_worker_list_complete()

    def listed_at(self) -> float:
        """Return the local time of the list of workers, in seconds."""
        return self._feeds.listed_at()

    def confirmed_at(self, shard: ids.ShardId, now: float) -> float:
        """Return when this process last knew that it owns a cell."""
        successors = self._claims.successors_of_claim(shard)
        if all(self.links.get(vm) is not None for vm in successors):
            return now
        return self._feeds.last_response_at()

    def list_answers(self) -> bool:
        """Tell whether the store answers about the list of workers."""
        return self._feeds.list_answers()

    def is_isolated(self) -> bool:
        """Tell whether no other VM of several is in reach."""
        return not self.links.open_links and len(self.directory.members) > 1

    def shard_gained(self, shard: ids.ShardId) -> None:
        """Tell others that this process owns a cell."""
        self._feeds.roster.poll_now()
        self._choose_leaders()
        self.links.broadcast(self._heartbeat(self._clock.now()))

    def shard_lost(self, shard: ids.ShardId) -> None:
        """Tell others that this process no longer owns a cell."""
        self.links.broadcast(messages.Disowned(shard=shard))
        self.links.broadcast(self._heartbeat(self._clock.now()))
        self._choose_leaders()
        self._notify_leader_lost(shard, self._local)

    def state(self) -> dict[str, object]:
        """Return what this process believes, for the state dump."""
        return state_dump.describe(self, self._clock.now())

    # Rows of the store.

    def configuration_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Use changed rows of the operator's table."""
        for row in rows:
            if row.key == self._formats.configuration_row and row.body:
                self.versions.offer(row.body, 'store')

    def directory_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Use changed members and claims."""
        self._peer_sync.apply_rows(rows)

    def roster_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Use changed entries of workers."""
        now = self._clock.now()
        self.workers.update(rows, now)
        self.workers.drop_removed(self._feeds.roster.healthy_since, now)
        self.led_shards.update_workers()

    def roster_timing(self) -> table_follower.PollTiming:
        """Return how often the list of workers is needed."""
        if self.led_shards.shards:
            return feeds.LEADER_ROSTER_TIMING
        if self._claims.is_successor():
            return feeds.SUCCESSOR_ROSTER_TIMING
        return feeds.FOLLOWER_ROSTER_TIMING

    # Internals.

    async def _run_ticks(self) -> None:
        while True:
            self._tick(self._clock.now())
            await asyncio.sleep(
                LEADER_TICK_S if self.led_shards.shards else TICK_S
            )

    def _tick(self, now: float) -> None:
        self._check_stall(now)
        self._ticked_at = now
        self.leaders.loaded_shards.update(
            self.cfg.vm, self.job_service.loaded_shards(), now
        )
        self.links.tick(now, self._heartbeat(now))
        self.led_shards.tick(now, may_claim=not self.draining)

    def _check_stall(self, now: float) -> None:
        gap_s = now - self._ticked_at
        if gap_s < STALL_S:
            return
        self._ticked_at = now
        _LOG.warning('Process stood still.', extra={'gap_s': round(gap_s, 3)})
        self.metrics.count('stalls_total')
        self._refuse_until = now + STALL_REFUSAL_S
        self.active_jobs.notify_stalled()
        self.links.abort_all()
        self.led_shards.mark_all_unconfirmed('process stood still')

    def _heartbeat_timing(
        self, peer: messages.Greeting
    ) -> links.HeartbeatTiming:
        """Return the signs of life between this VM and another."""
        owns_home = self.home_shard in self.led_shards.shards
        if owns_home and peer.zone == self.cfg.zone:
            return links.HOME_LEADER_HEARTBEAT
        if self.leader_of(self.home_shard) == peer.vm:
            return links.HOME_LEADER_HEARTBEAT
        if self.led_shards.shards or peer.vm in self.leaders.by_shard.values():
            return links.LEADER_HEARTBEAT
        return links.FOLLOWER_HEARTBEAT

    def _heartbeat(self, now: float) -> messages.Beat:
        return messages.Beat(
            version=self.versions.number,
            shards=self.led_shards.offers(now),
            pending=tuple(self.job_service.pending().items()),
        )

    def _receive_leaderships(
        self,
        source: link.Link,
        message: messages.Beat | messages.Disowned | messages.TakeOver,
    ) -> None:
        """Act on a message about owners of cells."""
        match message:
            case messages.Beat(version=version):
                now = self._clock.now()
                if self.leaders.update(source.peer.vm, message, now):
                    self._choose_leaders()
                self._peer_sync.version_reported(
                    source,
                    version,
                    store_answers=self._feeds.is_configuration_available(),
                    now=now,
                )
            case messages.Disowned(shard=shard):
                self.leaders.remove(source.peer.vm, shard)
                self._choose_leaders()
                self._notify_leader_lost(shard, source)
            case messages.TakeOver(shard=shard):
                self.led_shards.start_claim(shard)

    def _choose_leaders(self) -> None:
        change = self.leaders.choose(self.led_shards.tokens())
        for shard, vm in change.lost.items():
            # Each loss leads to a new choice, which may have lost them all.
            if shard in self.led_shards.shards:
                self.led_shards.give_up(shard, f'{vm} has a higher right')
        for shard in change.with_new_leader:
            self.active_jobs.notify_leader_found(shard)
            self.job_service.broadcast(open_tasks.LeaderFound(shard=shard))

    def _notify_leader_lost(
        self, shard: ids.ShardId, source: link.Link
    ) -> None:
        self.active_jobs.notify_leader_lost(shard, source)
        self.job_service.broadcast(
            open_tasks.LeaderLost(shard=shard, former_leader=source)
        )

    def _new_job_manager(
        self, shard: ids.ShardId, right: fences.Right
    ) -> job_manager.JobManager:
        """Return the keeper of a cell that this process owns now."""
        return dependencies.new_job_manager(
            self._dependencies,
            shard=shard,
            writer=fenced_rows.Writer(
                token=right, incarnation=self.me.incarnation
            ),
            router=self,
            states_s=self.cfg.bounds.states_s,
        )

    def _update_links(self) -> None:
        """Keep links to all members, and to the seeds while there are none."""
        peering.update_link_targets(
            self.links,
            members=self.directory.members.values(),
            claims=self._claims,
            cfg=self.cfg,
        )

    def _lead(self, shard: ids.ShardId, right: fences.Right) -> None:
        self.led_shards.lead(shard, right)
