"""Shards that this process leads: claims, takeovers and handovers."""

import asyncio
import dataclasses
import random
from typing import Awaitable, Callable, Iterable, Protocol

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import (
    fencing,
    manager_tokens,
    shard_capacities,
    times,
    workers,
)
from sardineproxy.process.stored_jobs import job_service, job_manager
from sardineproxy.process.membership import (
    capacity_rows,
    evacuations,
    links,
    worker_list,
)
from sardineproxy.process.node import (
    claiming,
    lost_zones,
    shard_workers,
    zone_vms,
)

#: Age of the link to a VM of another zone after which the shard of that zone
#: is returned to it, in seconds. Also the interval between two such returns.
RETURN_AFTER_S = 1.0

#: Number of workers probed before another zone's shard is claimed, and the
#: timeout of a probe, in seconds.
PROBE_SAMPLE_SIZE = 3
PROBE_TIMEOUT_S = 0.2

#: Age of the list of workers from which it is read again before the workers of
#: another zone are probed, in seconds.
PROBE_LIST_AGE_S = 5.0

#: Delay before the stored jobs of a shard are loaded again after an error, in
#: seconds.
RELOAD_DELAY_S = 1.0

_LOG = logs.get_logger('node')


class LedShardsContext(shards.ShardContext, shard_workers.ListStatus, Protocol):
    """Process-wide state that led shards depend on, and change callbacks."""

    @property
    def home_shard(self) -> ids.ShardId:
        """Return the shard of this VM's zone."""

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all shards of the deployment."""

    @property
    def capacities(self) -> shard_capacities.ShardCapacities:
        """Return the free capacities of other shards."""

    def leader_of(self, shard: ids.ShardId) -> ids.VmId | None:
        """Return the VM that leads a shard, None if there is none."""

    def evacuation_status(self, shard: ids.ShardId) -> evacuations.Status:
        """Return whether tasks may be started in a shard's zone."""

    def led_shard_ids(self) -> Iterable[ids.ShardId]:
        """Return the shards that have a leader."""

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the listed workers of a shard."""

    def request_worker_list(self) -> None:
        """Read the list of workers soon, also on a VM that leads no shard."""

    def is_isolated(self) -> bool:
        """Return whether other VMs exist but none is connected."""

    def shard_gained(self, shard: ids.ShardId) -> None:
        """Announce that this process leads a shard."""

    def shard_lost(self, shard: ids.ShardId) -> None:
        """Announce that this process no longer leads a shard."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardDependencies:
    """Dependencies of the shard leaders."""

    api: workers.WorkerApi
    clock: clock.Clock
    rng: random.Random
    metrics: metrics.Metrics
    lost_zones: lost_zones.LostZones
    listed_workers: worker_list.WorkerList
    cfg: times.ShardTiming
    new_job_manager: Callable[
        [ids.ShardId, fencing.FencingToken], job_manager.JobManager
    ]


class LedShards:  # noqa: WPS214
    """Shards led by this process, and claims in progress."""

    def __init__(
        self,
        *,
        dependencies: ShardDependencies,
        claimer: claiming.ShardClaimer,
        links: links.Links,
        context: LedShardsContext,
        job_service: job_service.JobService,
        tasks: background.Tasks,
    ) -> None:
        """Create an instance without shards."""
        self._dependencies = dependencies
        self._job_service = job_service
        self._claimer = claimer
        self._links = links
        self._context = context
        self._tasks = tasks
        self._claims_in_progress: set[ids.ShardId] = set()
        self._answering: set[ids.ShardId] = set()
        self._next_return_at: float = 0
        self._zone_vms = zone_vms.ZoneVms()

        #: Shards that were claimed without a reachable worker.
        self._claimed_as_lost: set[ids.ShardId] = set()
        self.shards: dict[ids.ShardId, shards.ShardLeader] = {}
        self.workers = shard_workers.ShardWorkers(
            process=claimer.process_id,
            listed=dependencies.listed_workers,
            status=context,
            clock=dependencies.clock,
            metrics=dependencies.metrics,
        )

    async def close(self) -> None:
        """Stop all calls to workers."""
        for leader in self.shards.values():
            await leader.close()

    def tick(self, now: float, *, may_claim: bool) -> None:
        """Claim and return shards, refresh claims, and run periodic work."""
        self.check_registry()
        if may_claim:
            self._claim_and_return(now)
        self.update_evacuations(now)
        home_leader = self.shards.get(self._context.home_shard)
        if home_leader is not None and not self._zone_vms.are_linked(
            self._links.open_links, now
        ):
            home_leader.lose_history()
        for leader in list(self.shards.values()):
            leader.tick(now)

    def check_queues(self, now: float) -> None:
        """Decline or drop the tasks of led shards that are late."""
        for leader in list(self.shards.values()):
            leader.check_queue(now)

    def shard_statuses(self) -> tuple[messages.ShardStatus, ...]:
        """Return the status of every led shard, for the heartbeat."""
        return tuple(
            (
                leader.shard,
                leader.token.epoch,
                leader.token.rank,
                leader.count_startable_tasks(),
                self._is_managing(leader),
            )
            for leader in self.shards.values()
        )

    def free_capacities(self) -> list[capacity_rows.Report]:
        """Return the free capacity of every led shard, for the heartbeat."""
        return [leader.free_capacity() for leader in self.shards.values()]

    def tokens(self) -> dict[ids.ShardId, fencing.FencingToken]:
        """Return the fencing tokens of the led shards."""
        return {shard: leader.token for shard, leader in self.shards.items()}

    def submit(
        self, source: link.Link, message: messages.Submit, now: float
    ) -> None:
        """Submit tasks to their shard, or reply that it is not led here."""
        leader = self.shards.get(message.shard)
        if leader is None:
            source.send(messages.ShardReleased(shard=message.shard))
        else:
            leader.submit(source, message, now)

    def withdraw(
        self,
        source: link.Link,
        message: messages.Withdraw | messages.WithdrawTasks,
    ) -> None:
        """Withdraw tasks of a job from a shard, if it is led here."""
        leader = self.shards.get(message.shard)
        if leader is None or not self._is_authorized(source, message):
            return
        if isinstance(message, messages.Withdraw):
            leader.withdraw(source, message.job)
        else:
            leader.withdraw_tasks(source, message)

    def acknowledge_results(
        self, source: link.Link, message: messages.ResultsStored
    ) -> None:
        """Acknowledge stored results to the workers, which then drop them."""
        leader = self.shards.get(message.shard)
        if leader is not None and self._is_authorized(source, message):
            leader.acknowledge_results(message)

    def coordinator_links(self) -> set[link.Link]:
        """Return the links to the coordinators of unfinished tasks."""
        return {
            coordinator_link
            for leader in self.shards.values()
            for coordinator_link in leader.coordinator_links()
        }

    def link_lost(self, lost: link.Link, now: float) -> None:
        """Notify all led shards that the link to a coordinator was lost."""
        if lost.peer.zone == self._context.home_shard:
            self._zone_vms.lost(lost.peer.vm, now)
        for leader in self.shards.values():
            leader.link_lost(lost, now)

    def mark_all_unconfirmed(self, cause: str) -> None:
        """Start no runs on any worker until it has sent a new report."""
        for leader in self.shards.values():
            leader.mark_all_unconfirmed(cause)

    def update_workers(self) -> None:
        """Apply the current list of workers to all led shards."""
        for leader in self.shards.values():
            self._update_workers(leader)

    def update_evacuations(self, now: float) -> None:
        """Apply to all led shards whether their zones are evacuated."""
        for shard, leader in self.shards.items():
            leader.set_evacuation(self._context.evacuation_status(shard), now)

    def check_registry(self) -> None:
        """Step down where another process has a newer claim; answer others."""
        for shard, token in self.tokens().items():
            is_superseded = self._claimer.is_superseded(shard, token)
            # Stepping down from one shard may end the leadership of others.
            if is_superseded and shard in self.shards:
                self.step_down(shard, 'the store has a newer claim')
        self._answer_inquiries()

    def start_claim(
        self, shard: ids.ShardId, *, requested: bool = False
    ) -> None:
        """Start claiming a shard unless a claim is in progress.

        ``requested`` means that the leader of the shard wants that.
        """
        if shard not in self._claims_in_progress:
            self._claims_in_progress.add(shard)
            self._tasks.spawn(
                self._claim(shard, requested=requested),
                unit=f'claim of shard {shard}',
            )

    def lead(self, shard: ids.ShardId, token: fencing.FencingToken) -> None:
        """Start to lead a shard, or renew the token if it is led already."""
        self._context.manager_tokens.observe(shard, token)
        existing = self.shards.get(shard)
        if existing is not None:
            if token > existing.token:
                existing.renew_token(token)
                self._job_service.managers[shard].renew_token(token)
            return
        leader = shards.ShardLeader(
            shard=shard,
            token=token,
            api=self._dependencies.api,
            clock=self._dependencies.clock,
            metrics=self._dependencies.metrics,
            events=self,
            capacities=self._context.capacities,
            context=self._context,
            cfg=self._dependencies.cfg,
        )
        if shard in self._claimer.former_claims:
            leader.limit_former_runs(
                self._claimer.leader_lost_at(
                    shard, self._dependencies.clock.now()
                )
            )
        self.workers.take_over(
            leader,
            self._claimer.former_claims.get(shard),
            is_zone_lost=shard in self._claimed_as_lost,
        )
        self.shards[shard] = leader
        self._job_service.add_manager(
            self._dependencies.new_job_manager(shard, token)
        )
        leader.set_evacuation(
            self._context.evacuation_status(shard),
            self._dependencies.clock.now(),
        )
        self._update_workers(leader)
        self._context.shard_gained(shard)

    def step_down(self, shard: ids.ShardId, cause: str) -> None:
        """Stop leading a shard immediately."""
        lost = self.shards.pop(shard)
        lost.step_down()
        self.workers.leadership_lost(lost)
        _LOG.warning(
            'Shard leadership lost.',
            extra={
                'cell': shard,
                'epoch': lost.token.epoch,
                'rank': lost.token.rank,
                'cause': cause,
            },
        )
        self._job_service.remove_manager(shard)
        self._tasks.spawn(lost.close())
        self._context.shard_lost(shard)

    def replace_manager(self, lost: job_manager.JobManager) -> None:
        """Replace a job manager that can no longer write its table.

        If the table is written under a higher token, another process leads the
        shard, else the jobs are loaded again.
        """
        self._tasks.spawn(self._replace_manager(lost))

    def superseded(self, lost: shards.ShardLeader) -> None:
        """Stop leading a shard that another process has taken over."""
        if self.shards.get(lost.shard) is lost:
            self.step_down(
                lost.shard, 'a worker refused the fencing token as outdated'
            )

    def hand_over(self) -> None:
        """Request that other VMs take over all led shards."""
        for shard in self.shards:
            self._hand_over(shard)

    def _is_managing(self, leader: shards.ShardLeader) -> bool:
        """Return whether no other process can manage a shard's stored jobs."""
        manager = self._job_service.managers[leader.shard]
        return manager.is_loaded and leader.is_leadership_confirmed

    def _is_authorized(
        self, source: link.Link, message: manager_tokens.ManagerMessage
    ) -> bool:
        return self._context.manager_tokens.admits(source, message)

    async def _replace_manager(self, lost: job_manager.JobManager) -> None:
        shard = lost.shard
        if self._is_current(lost) and lost.newer_token is None:
            # The cause is an error, which may recur.
            await asyncio.sleep(RELOAD_DELAY_S)
        if not self._is_current(lost):
            return
        token = self.shards[shard].token
        if lost.newer_token is not None and lost.newer_token > token:
            self.step_down(shard, 'a newer leader writes the job table')
            return
        _LOG.warning(
            'Stored jobs are loaded again.',
            extra={'cell': shard, 'epoch': token.epoch, 'rank': token.rank},
        )
        self._job_service.add_manager(
            self._dependencies.new_job_manager(shard, token)
        )

    def _is_current(self, manager: job_manager.JobManager) -> bool:
        return self._job_service.managers.get(manager.shard) is manager

    def _update_workers(self, leader: shards.ShardLeader) -> None:
        self.workers.update(leader, self.shards.values())

    def _claim_and_return(self, now: float) -> None:
        self._refresh_claims(now)
        if now >= self._next_return_at:
            self._return_shards(now)
        connected_vms = frozenset(self._links.open_links)
        unchecked_vms = self._links.unchecked_vms()
        for shard in self._context.all_shards:
            vm = self._context.leader_of(shard)
            if self._claimer.should_claim(
                shard,
                leader=vm,
                connected_vms=connected_vms,
                unchecked_vms=unchecked_vms,
                now=now,
            ):
                self.start_claim(shard)

    def _refresh_claims(self, now: float) -> None:
        """Rewrite outdated claim rows of led shards."""
        isolated = self._context.is_isolated()
        for shard, leader in self.shards.items():
            if self._claimer.needs_refresh(
                shard, leader.token, isolated=isolated, now=now
            ):
                self.start_claim(shard)

    def _return_shards(self, now: float) -> None:
        """Hand shards to VMs that should rather lead them.

        Shards of other zones go to VMs of those zones, and the home shard to a
        much larger VM.
        """
        for shard in self.shards:
            if shard == self._context.home_shard:
                successor = self._stable_link(self._claimer.find_larger(), now)
            else:
                successor = self._stable_successor(shard, now)
            if successor is not None:
                self._next_return_at = now + RETURN_AFTER_S
                _LOG.info(
                    'Shard handover requested.',
                    extra={'cell': shard, 'to': successor.peer.vm},
                )
                successor.send(messages.TakeOver(shard=shard))

    def _stable_successor(
        self, shard: ids.ShardId, now: float
    ) -> link.Link | None:
        """Return the link to a successor that has a stable connection."""
        for vm, _ in self._claimer.successors(shard):
            successor = self._stable_link(vm, now)
            if successor is not None:
                return successor
        return None

    def _stable_link(self, vm: ids.VmId | None, now: float) -> link.Link | None:
        """Return the link to a VM if it has been open for some time."""
        open_link = None if vm is None else self._links.get(vm)
        if open_link is None or now - open_link.opened_at <= RETURN_AFTER_S:
            return None
        return open_link

    async def _claim(self, shard: ids.ShardId, *, requested: bool) -> None:
        try:
            if (
                requested
                or shard in self.shards
                or await self._may_claim(shard)
            ):
                await self._claimer.claim(shard, self._dependencies.clock.now())
        finally:
            self._claims_in_progress.discard(shard)

    async def _may_claim(self, shard: ids.ShardId) -> bool:
        """Return whether a shard without a leader here may be claimed."""
        checks: list[Awaitable[bool]] = []
        if shard != self._context.home_shard:
            checks.append(self._may_claim_of_other_zone(shard))
        if self._claimer.must_inquire(
            shard,
            isolated=self._context.is_isolated(),
            last_received_at=self._links.last_received_at(),
        ):
            checks.append(self._is_leader_silent(shard))
        return all(await asyncio.gather(*checks))

    async def _is_leader_silent(self, shard: ids.ShardId) -> bool:
        """Return whether a leader would have answered through the store.

        Also if it cannot be asked, as the store is unavailable.
        """
        now = self._dependencies.clock.now()
        if not self._claimer.needs_inquiry(shard, now):
            return self._claimer.is_unanswered(shard, now)
        is_stored = await self._claimer.inquire(shard)
        _LOG.info(
            'Asked through the store for the leader of a shard.',
            extra={'cell': shard, 'stored': is_stored},
        )
        if is_stored:
            self._claimer.record_inquiry(
                shard, started_at=now, now=self._dependencies.clock.now()
            )
        return not is_stored

    async def _may_claim_of_other_zone(self, shard: ids.ShardId) -> bool:
        """Return whether another zone has workers here, or stored jobs."""
        self._claimed_as_lost.discard(shard)
        if await self._are_workers_reachable(shard):
            return True
        if await self._must_serve_lost_zone(shard):
            self._claimed_as_lost.add(shard)
            return True
        return False

    async def _must_serve_lost_zone(self, shard: ids.ShardId) -> bool:
        """Return whether to manage the stored jobs of a zone that is gone.

        Its VMs and workers have not responded for so long that no run of its
        former leader can exist. From here, a partitioned zone looks the same.
        """
        now = self._dependencies.clock.now()
        delay_s = lost_zones.takeover_delay_s(
            self._context.home_shard,
            self._context.led_shard_ids(),
            self._dependencies.cfg.former_runs_s,
        )
        is_due = self._claimer.leaderless_s(shard, now) >= delay_s
        if not is_due or self._context.home_shard not in self.shards:
            return False
        if self._job_service.has_unserved_request(shard, now):
            return True
        return await self._dependencies.lost_zones.has_unfinished_jobs(
            shard, now
        )

    async def _are_workers_reachable(self, shard: ids.ShardId) -> bool:
        """Return whether most probed workers of another zone are reachable.

        They must have been reachable for some time: otherwise this VM rather
        than the shard's leader may be cut off from the network.
        """
        now = self._dependencies.clock.now()
        self._claimer.postpone(shard, now)
        if now - self._context.workers_listed_at() > PROBE_LIST_AGE_S:
            self._context.request_worker_list()
        listed = self._context.workers_of(shard)
        # Many VMs may probe at the same time, and a worker accepts few
        # connections.
        probed = self._dependencies.rng.sample(
            listed, min(PROBE_SAMPLE_SIZE, len(listed))
        )
        responses = await asyncio.gather(*map(self._probe, probed))
        reached = sum(
            not isinstance(response, workers.Unanswered)
            for response in responses
        )
        _LOG.info(
            'Probed the workers of a shard without a leader.',
            extra={'cell': shard, 'asked': len(probed), 'reached': reached},
        )
        return self._claimer.record_probe(
            shard,
            reached=reached * 2 > len(probed),
            now=self._dependencies.clock.now(),
        )

    def _answer_inquiries(self) -> None:
        """Show other VMs through the store that this leader is alive."""
        for shard in self.shards:
            if self._claimer.is_asked(shard) and shard not in self._answering:
                self._answering.add(shard)
                self._tasks.spawn(
                    self._answer_inquiry(shard),
                    unit=f'answer for shard {shard}',
                )

    async def _answer_inquiry(self, shard: ids.ShardId) -> None:
        try:
            is_stored = await self._claimer.answer(shard)
            _LOG.info(
                'Answered an inquiry for the leader of a shard.',
                extra={'cell': shard, 'stored': is_stored},
            )
            if not is_stored:
                await asyncio.sleep(claiming.CLAIM_RETRY_S)
        finally:
            self._answering.discard(shard)

    async def _probe(
        self, worker: workers.Worker
    ) -> workers.Report | workers.Refused | workers.Unanswered:
        """Poll a worker without side effects: no acks, no lease extension."""
        return await self._dependencies.api.poll(
            worker,
            workers.Poll(fence=0, acked=0, expires_ms=None, wait_s=0),
            timeout_s=PROBE_TIMEOUT_S,
        )

    def _hand_over(self, shard: ids.ShardId) -> None:
        for vm, _ in self._claimer.successors(shard):
            successor = self._links.get(vm)
            if successor is not None:
                _LOG.info(
                    'Shard handover requested.', extra={'cell': shard, 'to': vm}
                )
                successor.send(messages.TakeOver(shard=shard))
                return
