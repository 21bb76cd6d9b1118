"""The cells that this process owns: how it wins, keeps and passes them on."""

import asyncio
import dataclasses
from typing import Callable, Iterable, Protocol

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import fences, rooms, times, workers
from sardineproxy.process.stored_jobs import job_service, job_manager
from sardineproxy.process.membership import links
from sardineproxy.process.node import claiming

#: Age of the link to a VM of another zone after which its cell is given back,
#: in seconds.
RETURN_AFTER_S = 1.0

#: Workers that are asked before another zone's cell is claimed, and the
#: longest wait for their answers, in seconds.
PROBE_SAMPLE_SIZE = 3
PROBE_TIMEOUT_S = 0.2

_LOG = logs.get_logger('node')


class Surroundings(shards.Surroundings, Protocol):
    """What the holdings need to know, and who hears of their changes."""

    @property
    def home_shard(self) -> ids.ShardId:
        """Return the cell of this VM's zone."""

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all cells of the deployment."""

    @property
    def rooms(self) -> rooms.Rooms:
        """Return how much room other cells have."""

    def leader_of(self, shard: ids.ShardId) -> ids.VmId | None:
        """Return which VM owns a cell."""

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the listed workers of a cell."""

    def is_worker_list_complete(self) -> bool:
        """Tell whether no worker can be missing from the list."""

    def is_isolated(self) -> bool:
        """Tell whether no other VM of several is in reach."""

    def shard_gained(self, shard: ids.ShardId) -> None:
        """Tell others that this process owns a cell."""

    def shard_lost(self, shard: ids.ShardId) -> None:
        """Tell others that this process no longer owns a cell."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardDependencies:
    """What each owned cell is built from."""

    api: workers.WorkerApi
    clock: clock.Clock
    metrics: metrics.Metrics
    cfg: times.ShardTiming
    new_job_manager: Callable[
        [ids.ShardId, fences.Right], job_manager.JobManager
    ]


class LedShards:  # noqa: WPS214
    """Owned cells and the claims that are under way."""

    def __init__(
        self,
        *,
        dependencies: ShardDependencies,
        claims: claiming.ShardClaimer,
        links: links.Links,
        around: Surroundings,
        job_service: job_service.JobService,
        tasks: background.Tasks,
    ) -> None:
        """Start without cells."""
        self._dependencies = dependencies
        self._job_service = job_service
        self._claims = claims
        self._links = links
        self._around = around
        self._tasks = tasks
        self._claims_in_progress: set[ids.ShardId] = set()
        self._return_at: float = 0
        self.shards: dict[ids.ShardId, shards.ShardLeader] = {}

    async def close(self) -> None:
        """Stop all calls to workers."""
        for owned in self.shards.values():
            await owned.close()

    def tick(self, now: float, *, may_claim: bool) -> None:
        """Claim, refresh and give back cells, and do what is due in them."""
        if may_claim:
            self._claim_and_return(now)
        for owned in list(self.shards.values()):
            owned.tick(now)

    def offers(self, now: float) -> tuple[messages.Offer, ...]:
        """Return what other VMs are told of the owned cells."""
        return tuple(
            (
                owned.shard,
                owned.right.epoch,
                owned.right.rank,
                owned.free_tasks(now),
                self._job_service.managers[owned.shard].is_loaded,
            )
            for owned in self.shards.values()
        )

    def rights(self) -> dict[ids.ShardId, fences.Right]:
        """Return the rights of the owned cells."""
        return {shard: owned.right for shard, owned in self.shards.items()}

    def submit(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> None:
        """Hand tasks to their cell, if it is owned."""
        owned = self.shards.get(asked.shard)
        if owned is None:
            source.send(messages.Disowned(shard=asked.shard))
        else:
            owned.submit(source, asked, now)

    def withdraw(
        self, source: link.Link, shard: ids.ShardId, job: ids.JobId
    ) -> None:
        """Drop a job's tasks in a cell, if it is owned."""
        owned = self.shards.get(shard)
        if owned is not None:
            owned.withdraw(source, job)

    def acknowledge_results(self, noted: messages.EndsNoted) -> None:
        """Let workers forget ends that are stored."""
        owned = self.shards.get(noted.shard)
        if owned is not None:
            owned.note_ends(noted)

    def link_lost(self, lost: link.Link, now: float) -> None:
        """Tell all cells that a coordinator's link is lost."""
        for owned in self.shards.values():
            owned.link_lost(lost, now)

    def mark_all_unconfirmed(self, why: str) -> None:
        """Order nothing from a worker until it has reported anew."""
        for owned in self.shards.values():
            owned.doubt_all(why)

    def update_workers(self) -> None:
        """Hand the newest list of workers to all cells."""
        for owned in self.shards.values():
            self._update_workers(owned)

    def start_claim(self, shard: ids.ShardId) -> None:
        """Claim a cell unless that is under way."""
        if shard not in self._claims_in_progress:
            self._claims_in_progress.add(shard)
            self._tasks.spawn(self._claim(shard))

    def lead(self, shard: ids.ShardId, right: fences.Right) -> None:
        """Own a cell from now on."""
        former = self.shards.get(shard)
        if former is not None:
            if right > former.right:
                former.renew(right)
            return
        owned = shards.ShardLeader(
            shard=shard,
            right=right,
            api=self._dependencies.api,
            clock=self._dependencies.clock,
            metrics=self._dependencies.metrics,
            events=self,
            others=self._around.rooms,
            around=self._around,
            cfg=self._dependencies.cfg,
        )
        self.shards[shard] = owned
        self._job_service.add_manager(
            self._dependencies.new_job_manager(shard, right)
        )
        self._update_workers(owned)
        self._around.shard_gained(shard)

    def give_up(self, shard: ids.ShardId, cause: str) -> None:
        """Give up a cell at once."""
        lost = self.shards.pop(shard)
        _LOG.warning(
            'Cell lost.',
            extra={
                'cell': shard,
                'epoch': lost.right.epoch,
                'rank': lost.right.rank,
                'cause': cause,
            },
        )
        self._job_service.remove_manager(shard)
        self._tasks.spawn(lost.close())
        self._around.shard_lost(shard)

    def superseded(self, lost: shards.ShardLeader) -> None:
        """Give up a cell that another process has taken over."""
        if self.shards.get(lost.shard) is lost:
            self.give_up(lost.shard, 'a worker knows a newer owner')

    def hand_over(self) -> None:
        """Ask other VMs to take all cells."""
        for shard in self.shards:
            self._hand_over(shard)

    def _update_workers(self, owned: shards.ShardLeader) -> None:
        owned.set_workers(
            self._around.workers_of(owned.shard),
            complete=self._around.is_worker_list_complete(),
        )

    def _claim_and_return(self, now: float) -> None:
        self._refresh(now)
        if now >= self._return_at:
            self._return_shards(now)
        in_reach = frozenset(self._links.open_links)
        for shard in self._around.all_shards:
            vm = self._around.leader_of(shard)
            if self._claims.should_claim(
                shard, leader=vm, in_reach=in_reach, now=now
            ):
                self.start_claim(shard)

    def _refresh(self, now: float) -> None:
        """Write the rows of own cells anew where that is due."""
        isolated = self._around.is_isolated()
        for shard, owned in self.shards.items():
            if self._claims.needs_refresh(
                shard, owned.right, isolated=isolated, now=now
            ):
                self.start_claim(shard)

    def _return_shards(self, now: float) -> None:
        """Give cells of other zones back to VMs of those zones."""
        for shard in self.shards:
            if shard == self._around.home_shard:
                continue
            successor = self._stable_successor(shard, now)
            if successor is not None:
                self._return_at = now + RETURN_AFTER_S
                successor.send(messages.TakeOver(shard=shard))

    def _stable_successor(
        self, shard: ids.ShardId, now: float
    ) -> link.Link | None:
        """Return the link to an heir that has been in reach for a while."""
        for vm, _ in self._claims.successors(shard):
            found = self._links.get(vm)
            if found is not None and now - found.opened_at > RETURN_AFTER_S:
                return found
        return None

    async def _claim(self, shard: ids.ShardId) -> None:
        try:
            if (
                shard == self._around.home_shard
                or shard in self.shards
                or await self._may_claim(shard)
            ):
                await self._claims.claim(shard, self._dependencies.clock.now())
        finally:
            self._claims_in_progress.discard(shard)

    async def _may_claim(self, shard: ids.ShardId) -> bool:
        """Tell whether another zone's cell may be claimed.

        If its workers cannot be reached, this VM and not the cell's owner may
        be cut off.
        """
        self._claims.postpone(shard, self._dependencies.clock.now())
        asked = self._around.workers_of(shard)[:PROBE_SAMPLE_SIZE]
        answers = await asyncio.gather(*map(self._probe, asked))
        reached = sum(
            not isinstance(answer, workers.Unanswered) for answer in answers
        )
        _LOG.info(
            'Workers asked.',
            extra={'cell': shard, 'asked': len(asked), 'reached': reached},
        )
        return self._claims.record_probe(
            shard,
            reached=reached * 2 > len(asked),
            now=self._dependencies.clock.now(),
        )

    async def _probe(
        self, worker: workers.Worker
    ) -> workers.Report | workers.Refused | workers.Unanswered:
        """Look at a worker without any effect on it."""
        return await self._dependencies.api.look(
            worker,
            workers.Look(fence=0, acked=0, expires_ms=None, wait_s=0),
            timeout_s=PROBE_TIMEOUT_S,
        )

    def _hand_over(self, shard: ids.ShardId) -> None:
        for vm, _ in self._claims.successors(shard):
            successor = self._links.get(vm)
            if successor is not None:
                _LOG.info('Cell handed over.', extra={'cell': shard, 'to': vm})
                successor.send(messages.TakeOver(shard=shard))
                return
