"""The entry process: accepts jobs, and leads shards that it has claimed."""

import asyncio
import collections
import functools
import secrets
from typing import Iterable

from sardineproxy import background, deployment, ids
from sardineproxy.connection import link, messages
from sardineproxy.process import store
from sardineproxy.process.load import shard_choice, table_age
from sardineproxy.process.shards import (
    fencing,
    manager_tokens,
    shard_capacities,
    worker_inquiries,
    workers,
)
from sardineproxy.process.stored_jobs import (
    fenced_rows,
    job_service,
    job_manager,
)
from sardineproxy.process.membership import (
    capacity_rows,
    table_follower,
    evacuation_sync,
    evacuations,
    loaded_shards,
    links,
    leaders,
    registry,
    worker_list,
    worker_reports,
)
from sardineproxy.process.node import (
    claiming,
    dependencies,
    feeds,
    leadership_contact,
    led_shards,
    link_timing,
    job_intake,
    local_link,
    lost_zones,
    peering,
    policy,
    peer_sync,
    stalls,
    state_dump,
)
from sardineproxy.request import active_jobs, open_tasks
from sardineproxy.version import active_config, routes

#: Interval of the periodic work, in seconds: the shortest heartbeat interval.
TICK_S = 0.1

#: Interval at which a leader checks its queues, in seconds.
LEADER_TICK_S = 0.025

#: Failed ticks in a row after which the process ends: without them it neither
#: sends heartbeats nor detects that others have replaced it.
MAX_FAILED_TICKS = 20

INCARNATION_BYTES = 6


class Node:  # noqa: WPS214, WPS230
    """Connects the components of one entry process."""

    def __init__(
        self,
        *,
        cfg: deployment.Deployment,
        node_policy: policy.Policy,
        dependencies: dependencies.Dependencies,
    ) -> None:
        """Create the components; ``start`` opens the listener for links."""
        self.cfg = cfg
        self._clock = dependencies.clock
        self._tasks = background.Tasks()
        self._formats = dependencies.formats
        self.metrics = dependencies.metrics
        self.identity = messages.Greeting(
            vm=cfg.vm,
            incarnation=ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
            zone=cfg.zone,
        )
        self.versions = active_config.ActiveConfig(
            decode=dependencies.formats.decode_configuration
        )
        self.active_jobs = active_jobs.ActiveJobs(clock=self._clock)
        self.registry = registry.Registry()
        self._peer_sync = peer_sync.PeerSync(
            versions=self.versions,
            registry=self.registry,
            on_registry_change=self._apply_registry,
        )
        self.leaders = leaders.Leaders(own_vm=cfg.vm)
        self.manager_tokens = manager_tokens.ManagerTokens(metrics=self.metrics)
        self.workers = worker_list.WorkerList(
            worker_id=dependencies.formats.worker_id,
            decode=dependencies.formats.decode_worker,
            metrics=self.metrics,
        )
        self._link_timing = link_timing.LinkTiming(process=self)
        self.links = links.Links(
            clock=self._clock,
            rng=dependencies.rng,
            identity=self.identity,
            events=self,
            heartbeat_timing=self._link_timing.choose,
            connect=dependencies.connect,
            listen=dependencies.listen,
        )
        self._evacuation_sync = evacuation_sync.EvacuationSync(
            zone_of=dependencies.formats.evacuated_zone,
            broadcast=self.links.broadcast,
            on_change=self._apply_evacuations,
            metrics=self.metrics,
        )
        self._local_link = local_link.LocalLink(
            identity=self.identity, receiver=self
        )
        self.member = registry.Member(
            vm=cfg.vm,
            incarnation=self.identity.incarnation,
            zone=cfg.zone,
            address=cfg.peers,
            cores=cfg.cores,
        )
        self._dependencies = dependencies
        self._shard_timing = node_policy.shard
        self.job_service = job_service.JobService(
            directory=self, clock=self._clock
        )
        self._inquiries = worker_inquiries.WorkerInquiries(
            api=dependencies.workers,
            directory=self,
            metrics=dependencies.metrics,
            cfg=node_policy.shard.calls,
        )
        self._claimer = claiming.ShardClaimer(
            store=dependencies.store,
            registry=self.registry,
            member=self.member,
            on_token=self._lead,
        )
        self.led_shards = led_shards.LedShards(
            dependencies=led_shards.ShardDependencies(
                api=dependencies.workers,
                clock=self._clock,
                rng=dependencies.rng,
                metrics=self.metrics,
                lost_zones=lost_zones.LostZones(
                    store=dependencies.store, metrics=self.metrics
                ),
                listed_workers=self.workers,
                cfg=node_policy.shard,
                new_job_manager=self._new_job_manager,
            ),
            claimer=self._claimer,
            links=self.links,
            context=self,
            job_service=self.job_service,
            tasks=self._tasks,
        )
        self._feeds = feeds.Feeds(
            configuration_table=dependencies.formats.configuration_table,
            bounds=cfg.bounds,
            worker_table=dependencies.formats.worker_table,
            source=dependencies.store,
            handler=self,
            clock=self._clock,
            rng=dependencies.rng,
            metrics=self.metrics,
        )
        self._contact = leadership_contact.LeadershipContact(
            last_received_at=self._last_received_at,
            last_store_response_at=self._feeds.last_response_at,
        )
        self.job_intake = job_intake.JobIntake(
            job_service=self.job_service,
            active_jobs=self.active_jobs,
            router=self,
            versions=self.versions,
            clock=self._clock,
            metrics=self.metrics,
            leader_wait_s=node_policy.shard.calls.longest_lease_s,
        )
        self._stalls = stalls.StallDetector(
            tick_s=TICK_S,
            metrics=self.metrics,
            on_stall=self._handle_stall,
            now=self._clock.now(),
        )
        self._failed_ticks = 0

        #: Errors that were confined to one unit, by unit.
        self.failures: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Open the listener for links and start the background tasks."""
        await self.links.start(self.cfg.peers)
        self._update_links()
        self._stalls.restart(self._clock.now())
        self._feeds.start(self.member, self._tasks)
        self._tasks.spawn(self._run_ticks())

    def record_failure(self, unit: str) -> None:
        """Count an error that was confined to one unit of the process."""
        self.failures[unit] += 1
        self.metrics.count('confined_errors_total')

    def update_settings(self, cfg: deployment.Deployment) -> None:
        """Apply changed settings."""
        self.cfg = cfg
        self._update_links()

    async def close(self) -> None:
        """Stop all background tasks and close all links."""
        await self._tasks.close()
        await self.job_service.close()
        await self._inquiries.close()
        await self.led_shards.close()
        await self.links.close()

    def drain(self, *, shutdown_at: float) -> None:
        """Start to shut down: request that other VMs take over the shards.

        ``shutdown_at`` is the local time at which the process ends.
        """
        self.job_intake.shutdown_at = shutdown_at
        self.led_shards.hand_over()

    @property
    def draining(self) -> bool:
        """Return whether the process is shutting down."""
        return self.job_intake.shutdown_at is not None

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections."""
        return (
            not self.draining
            and self.versions.table is not None
            and self.default_shard() is not None
        )

    def is_recovering(self) -> bool:
        """Return whether requests are refused because of a recent stall."""
        return self._stalls.is_recovering(self._clock.now())

    def default_shard(self) -> ids.ShardId | None:
        """Return the shard for this VM's jobs, None if no shard has a leader.

        This is the home shard unless it has no leader or is evacuated.
        """
        evacuated = self.zone_evacuations.shards()
        led = self.leaders.by_shard
        if self.home_shard in led and self.home_shard not in evacuated:
            return self.home_shard
        return shard_choice.choose(
            home=self.home_shard,
            led=led,
            evacuated=evacuated,
            free_capacity=self.capacities.startable_tasks(self._clock.now()),
            point=self._dependencies.rng.random(),
        )

    def leader_link(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to a shard's leader, None if it is unreachable."""
        vm = self.leader_of(shard)
        if vm is None:
            return None
        return self._local_link if vm == self.cfg.vm else self.links.get(vm)

    def opened(self, opened: link.Link) -> None:
        """Send a heartbeat and request the peer's registry rows."""
        self._claimer.record_silence(opened.peer.vm, None)
        self.job_service.invalidate_authority()
        opened.send(self._heartbeat())
        self._evacuation_sync.opened(opened)
        opened.send(messages.RegistryRequest())

    def closed(self, closed: link.Link) -> None:
        """Remove state that depends on a closed link."""
        self._claimer.record_silence(
            closed.peer.vm,
            closed.last_received_at if closed.timed_out else None,
        )
        self.led_shards.link_lost(closed, self._clock.now())
        self.job_service.link_closed(closed)
        if self.links.get(closed.peer.vm) is None:
            self.leaders.remove(closed.peer.vm)
        if not any(
            vm_links[0].peer.zone == closed.peer.zone
            for vm_links in self.links.open_links.values()
        ):
            self.active_jobs.notify_zone_lost()
        self._choose_leaders()
        for shard in self.all_shards:
            self._notify_leader_lost(shard, closed)

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Dispatch a message to the component that handles it."""
        if self.job_service.handle_message(source, message):
            return
        if self._evacuation_sync.handle_message(source, message):
            return
        match message:
            case messages.ResultsStored():
                self.led_shards.acknowledge_results(source, message)
            case messages.Submit():
                self.led_shards.submit(source, message, self._clock.now())
            case messages.Withdraw() | messages.WithdrawTasks():
                self.led_shards.withdraw(source, message)
            case messages.RunEnded() | messages.Declined():
                self.active_jobs.deliver(source, message)
            case messages.Greeting():
                source.abort()
            case (
                messages.Heartbeat()
                | messages.ShardReleased()
                | messages.TakeOver()
            ):
                self._handle_leadership(source, message)
            case _:
                self._peer_sync.received(source, message)

    @property
    def home_shard(self) -> ids.ShardId:
        """Return the shard of this VM's zone."""
        return ids.ShardId(self.cfg.zone)

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all shards of the deployment."""
        return map(ids.ShardId, self.cfg.zones)

    @property
    def capacities(self) -> shard_capacities.ShardCapacities:
        """Return the free capacities of other shards."""
        return self.leaders.capacities

    @property
    def zone_evacuations(self) -> evacuations.Evacuations:
        """Return the evacuated zones."""
        return self._evacuation_sync.evacuations

    def evacuation_status(self, shard: ids.ShardId) -> evacuations.Status:
        """Return whether tasks may be started in a shard's zone."""
        if shard in self.zone_evacuations.shards():
            return evacuations.Status.EVACUATED
        if self._feeds.are_evacuations_current():
            return evacuations.Status.OPEN
        return evacuations.Status.UNKNOWN

    def led_shard_ids(self) -> Iterable[ids.ShardId]:
        """Return the shards that have a leader."""
        return self.leaders.by_shard

    def leader_of(self, shard: ids.ShardId) -> ids.VmId | None:
        """Return the VM that leads a shard, None if there is none."""
        return self.leaders.by_shard.get(shard)

    def find_manager(self, job: ids.JobId) -> loaded_shards.LoadedShard | None:
        """Return the home shard of a stored job, None if it is not loaded."""
        home = self.job_service.home_shard(job)
        return self.leaders.loaded_shards.get(home, self.leader_of(home))

    def manager_vm(self, home_shard: ids.ShardId) -> ids.VmId | None:
        """Return the VM that reports to manage a shard's jobs, None if none."""
        loaded = self.leaders.loaded_shards.get(
            home_shard, self.leader_of(home_shard)
        )
        return None if loaded is None else loaded.vm

    def manager_link(self, job: ids.JobId) -> link.Link | None:
        """Return the link to the leader of a stored job's home shard."""
        return self.leader_link(self.job_service.home_shard(job))

    def route(self, route: ids.RouteId) -> routes.Route | None:
        """Return a route of the active version, None if it was removed."""
        table = self.versions.table
        return None if table is None else table.get(route)

    def count_unstarted(self, route: ids.RouteId) -> int:
        """Return how many jobs of a route have not started."""
        return (
            self.active_jobs.count_unstarted(route)
            + self.job_service.pending().get(route, 0)
            + self.leaders.pending_jobs(route)
        )

    def shard_workers(
        self, shard: ids.ShardId
    ) -> worker_inquiries.ShardWorkers:
        """Return the workers that the leader of a shard may have used."""
        return self.led_shards.workers.possible_workers(
            shard, self.registry.claims.get(shard)
        )

    def leader_token(self, shard: ids.ShardId) -> fencing.FencingToken | None:
        """Return the newest known token of a shard's leader."""
        claim = self.registry.claims.get(shard)
        if claim is not None:
            self.manager_tokens.observe(
                shard, fencing.FencingToken(epoch=claim.epoch, rank=0)
            )
        return self.manager_tokens.highest.get(shard)

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the listed workers of a shard."""
        return self.workers.of_shard(shard)

    def is_worker_list_complete(self) -> bool:
        """Return whether the list is certain to contain every worker."""
        return self._feeds.is_worker_list_complete()

    def worker_list_revision(self) -> int:
        """Return the revision of the newest list of workers, 0 without one."""
        return self._feeds.worker_list.revision or 0

    def workers_listed_at(self) -> float:
        """Return the local time of the last read of the worker list.

        The response may be delayed, so that the time of the call counts.
        """
        read_at = self._feeds.worker_list.read_at or 0
        return min(read_at, self._feeds.workers_listed_at())

    def leadership_confirmed_at(self, shard: ids.ShardId, now: float) -> float:
        """Return the local time at which leadership was last confirmed.

        Processes that could take over the shard would report that while they
        are connected. Otherwise the store must respond.
        """
        return self._check_contact(shard, now).confirmed_at

    def is_worker_list_available(self) -> bool:
        """Return whether the list of workers can be read from the store.

        A failed read is no outage while other tables can be read.
        """
        reads = self._feeds.worker_list.reads(self._feeds.last_response_at())
        return not table_age.is_unreadable(reads, self._clock.now())

    def request_worker_list(self) -> None:
        """Read the list of workers soon, also if this VM leads no shard."""
        self._feeds.worker_list.poll_now()

    def is_isolated(self) -> bool:
        """Return whether other VMs exist but none is connected."""
        return not self.links.open_links and len(self.registry.members) > 1

    def shard_gained(self, shard: ids.ShardId) -> None:
        """Announce that this process leads a shard."""
        self._feeds.worker_list.poll_now()
        self._choose_leaders()
        self.links.broadcast(self._heartbeat())

    def shard_lost(self, shard: ids.ShardId) -> None:
        """Announce that this process no longer leads a shard."""
        self.links.broadcast(messages.ShardReleased(shard=shard))
        self.links.broadcast(self._heartbeat())
        self._choose_leaders()
        self._notify_leader_lost(shard, self._local_link)

    def state(self) -> dict[str, object]:
        """Return the state of the process for the state dump."""
        return state_dump.build_state_dump(self, self._clock.now())

    def configuration_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Apply changed rows of the operator's table."""
        self._evacuation_sync.table_changed(self._feeds.configuration)
        for row in rows:
            if row.key == self._formats.configuration_row and row.body:
                self.versions.offer(row.body, 'store')

    def registry_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Apply changed members and claims."""
        self._peer_sync.apply_rows(rows)

    def worker_rows_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Apply changed entries of workers."""
        now = self._clock.now()
        self.workers.record_read(self.worker_list_revision())
        self.workers.update(rows, now)
        self.workers.drop_removed(self._feeds.worker_list.healthy_since, now)
        self.led_shards.update_workers()

    def worker_list_timing(self) -> table_follower.PollTiming:
        """Return the polling intervals for the list of workers."""
        if self.led_shards.shards:
            return feeds.LEADER_POLL_TIMING
        if self._claimer.is_among_first_candidates():
            return feeds.CANDIDATE_POLL_TIMING
        return feeds.FOLLOWER_POLL_TIMING

    def tick(self, now: float) -> None:
        """Run the periodic work of links and led shards."""
        is_late = self._stalls.tick(now)
        self.leaders.loaded_shards.update(
            self.cfg.vm, self.job_service.loaded_shards(), now
        )
        self._link_timing.update()
        self._update_own_capacities(now)
        heartbeat = functools.cache(self._heartbeat)
        self.links.tick(
            now,
            lambda open_link: heartbeat(self._leads_shard(open_link)),
            is_late=is_late,
        )
        self.led_shards.tick(now, may_claim=not self.draining)
        self.job_service.tick(now, self._check_contact)

    async def _run_ticks(self) -> None:
        while True:
            now = self._clock.now()
            self._tick_or_report(now)
            next_tick_at = now + TICK_S
            while self.led_shards.shards and now < next_tick_at:
                self.led_shards.check_queues(now)
                await asyncio.sleep(LEADER_TICK_S)
                now = self._clock.now()
            await asyncio.sleep(max(0, next_tick_at - now))

    def _tick_or_report(self, now: float) -> None:
        """Tick; an error that does not recur must not end the process."""
        try:
            self.tick(now)
        except Exception as exc:
            self._failed_ticks += 1
            if self._failed_ticks > MAX_FAILED_TICKS:
                raise
            background.report('tick', exc)
        else:
            self._failed_ticks = 0

    def _check_contact(
        self, shard: ids.ShardId, now: float
    ) -> leadership_contact.Contact:
        """Return the contact with processes that could take over a shard."""
        return self._contact.check(
            shard,
            successors=self._claimer.successors_of_claim(shard),
            claimed_shards=set(self.registry.claims).intersection(
                self.all_shards
            ),
            leaders=self.leaders.by_shard,
            now=now,
        )

    def _last_received_at(self, vm: ids.VmId) -> float | None:
        if vm == self.cfg.vm:
            return self._clock.now()
        open_link = self.links.get(vm)
        return None if open_link is None else open_link.last_received_at

    def _handle_stall(self) -> None:
        """Give up what peers may have taken over during a stall."""
        self.active_jobs.notify_stalled()
        self.links.abort_all()
        self.job_service.invalidate_authority()
        self.led_shards.mark_all_unconfirmed('process stalled')

    def _leads_shard(self, open_link: link.Link) -> bool:
        """Return whether the peer leads a shard, and moves tasks therefore."""
        return open_link.peer.vm in self.leaders.by_shard.values()

    def _heartbeat(self, has_capacity: bool = True) -> messages.Heartbeat:
        """Return the heartbeat; only leaders need the free capacity."""
        classes = self.led_shards.free_capacities() if has_capacity else []
        worker_lists, unlisted = worker_reports.encode(
            self.led_shards.workers.reports(self.led_shards.shards.values())
        )
        return messages.Heartbeat(
            version=self.versions.number,
            shards=self.led_shards.shard_statuses(),
            pending=tuple(self.job_service.pending().items()),
            free_capacity=capacity_rows.encode(classes),
            worker_lists=worker_lists,
            unlisted=unlisted,
        )

    def _update_own_capacities(self, now: float) -> None:
        """Let the shards that this VM leads move tasks to each other."""
        if len(self.led_shards.shards) > 1:
            for shard, classes in zip(
                self.led_shards.shards, self.led_shards.free_capacities()
            ):
                self.capacities.update(shard, classes, now)

    def _handle_leadership(
        self,
        source: link.Link,
        message: messages.Heartbeat
        | messages.ShardReleased
        | messages.TakeOver,
    ) -> None:
        """Handle a message about the leadership of shards."""
        match message:
            case messages.Heartbeat(version=version):
                now = self._clock.now()
                self.manager_tokens.observe_heartbeat(message)
                self.led_shards.workers.heartbeat_received(
                    (source.peer.vm, source.peer.incarnation), message
                )
                if self.leaders.update(source.peer.vm, message, now):
                    self._choose_leaders()
                self._peer_sync.version_reported(
                    source,
                    version,
                    store_available=self._feeds.is_configuration_available(),
                    now=now,
                )
            case messages.ShardReleased(shard=shard):
                self.leaders.remove(source.peer.vm, shard)
                self._choose_leaders()
                self._notify_leader_lost(shard, source)
            case messages.TakeOver(shard=shard) if not self.draining:
                self.led_shards.start_claim(shard, requested=True)

    def _choose_leaders(self) -> None:
        change = self.leaders.choose(self.led_shards.tokens())
        has_leader = self.home_shard in self.leaders.by_shard
        self.active_jobs.set_zone_reachable(is_reachable=has_leader)
        self.job_intake.home_leader.update(
            has_leader=has_leader, now=self._clock.now()
        )
        for shard, vm in change.lost_shards.items():
            # ``step_down`` calls this method again; the nested call may have
            # stepped down from the remaining shards already.
            if shard in self.led_shards.shards:
                self.led_shards.step_down(
                    shard, f'{vm} has a higher fencing token'
                )
        if change.shards_with_new_leader:
            self.job_service.invalidate_authority()
        for shard in change.shards_with_new_leader:
            self.active_jobs.notify_leader_found(shard)
            self.job_service.broadcast(open_tasks.LeaderFound(shard=shard))

    def _notify_leader_lost(
        self, shard: ids.ShardId, former_leader: link.Link
    ) -> None:
        self.active_jobs.notify_leader_lost(shard, former_leader)
        self.job_service.broadcast(
            open_tasks.LeaderLost(shard=shard, former_leader=former_leader)
        )

    def _new_job_manager(
        self, shard: ids.ShardId, token: fencing.FencingToken
    ) -> job_manager.JobManager:
        """Return the manager of stored jobs for a newly led shard."""
        return dependencies.new_job_manager(
            self._dependencies,
            shard=shard,
            writer=fenced_rows.Writer(
                token=token, incarnation=self.identity.incarnation
            ),
            router=self,
            retention_s=self.cfg.bounds.status_retention_s,
            inquiries=self._inquiries,
            on_lost=self.led_shards.replace_manager,
            unconfirmed_s=self._shard_timing.unconfirmed_s,
        )

    def _apply_evacuations(self) -> None:
        """Apply a changed set of evacuated zones."""
        self.capacities.evacuated = self.zone_evacuations.shards()
        self.led_shards.update_evacuations(self._clock.now())

    def _apply_registry(self) -> None:
        """Apply changed members, claims and inquiries."""
        self._update_links()
        self.led_shards.check_registry()

    def _update_links(self) -> None:
        """Set the link targets from the current members and settings."""
        peering.update_link_targets(
            self.links,
            members=self.registry.members.values(),
            claimer=self._claimer,
            cfg=self.cfg,
        )

    def _lead(self, shard: ids.ShardId, token: fencing.FencingToken) -> None:
        self.led_shards.lead(shard, token)
