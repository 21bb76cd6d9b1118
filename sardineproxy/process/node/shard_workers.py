"""Workers of the shards that this process leads or takes over."""

from typing import Iterable, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.membership import (
    registry,
    worker_list,
    worker_reports,
)
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import worker_inquiries

_LOG = logs.get_logger('node')


class ListStatus(Protocol):
    """State of this process's copy of the platform's list of workers."""

    def is_worker_list_complete(self) -> bool:
        """Return whether the list is certain to contain every worker."""

    def worker_list_revision(self) -> int:
        """Return the revision of the newest list of workers, 0 without one."""


class ShardWorkers:
    """Applies the list of workers and the reports of leaders to shards."""

    def __init__(
        self,
        *,
        process: registry.ProcessId,
        listed: worker_list.WorkerList,
        status: ListStatus,
        clock: clock.Clock,
        metrics: metrics.Metrics,
    ) -> None:
        """Create an instance for the shards that ``process`` leads."""
        self._process = process
        self._listed = listed
        self._status = status
        self._clock = clock
        self._metrics = metrics
        self._reports = worker_reports.WorkerReports()

    def update(
        self,
        leader: shards.ShardLeader,
        all_leaders: Iterable[shards.ShardLeader],
    ) -> None:
        """Apply the list to a shard.

        Workers that another shard still uses are left out: its leader, which
        may be this process, sends them another fence.
        """
        in_use = self._reports.workers_in_use(except_shard=leader.shard)
        others = [other for other in all_leaders if other is not leader]
        leader.set_workers(
            [
                worker
                for worker in self._listed.of_shard(leader.shard)
                if worker.worker not in in_use
                and not any(other.uses(worker.worker) for other in others)
            ],
            complete=self._status.is_worker_list_complete(),
        )

    def take_over(
        self,
        leader: shards.ShardLeader,
        former_claim: registry.Claim | None,
        *,
        is_zone_lost: bool,
    ) -> None:
        """Add what is known of the workers of a shard's former leader.

        ``former_claim`` is that of the former leader, None if there was none.
        """
        former = worker_reports.FormerWorkers()
        if former_claim is not None:
            former = self._reports.find_former(
                leader.shard, former_claim, self._listed
            )
        doubt = former.doubt
        if is_zone_lost:
            doubt = worker_reports.Doubt.ZONE_LOST
        if doubt is not None:
            leader.expect_unlisted_runs()
        leader.add_former_workers(former.unlisted)
        cause = 'none' if doubt is None else doubt.value
        self._metrics.count('shard_takeovers_total', doubt=cause)
        _LOG.info(
            'Workers of the former leader taken over.',
            extra={
                'cell': leader.shard,
                'epoch': leader.token.epoch,
                'rank': leader.token.rank,
                'former_epoch': former_claim and former_claim.epoch,
                'unlisted': [worker.worker for worker in former.unlisted],
                'doubt': cause,
                'list_revision': self._status.worker_list_revision(),
            },
        )

    def possible_workers(
        self, shard: ids.ShardId, claim: registry.Claim | None
    ) -> worker_inquiries.ShardWorkers:
        """Return the workers that the leader under a claim may have used."""
        listed = self._listed.of_shard(shard)
        if claim is None:
            return worker_inquiries.ShardWorkers(
                workers=tuple(listed), is_complete=False
            )
        former = self._reports.find_former(shard, claim, self._listed)
        known = {
            worker.worker: worker for worker in (*former.unlisted, *listed)
        }
        return worker_inquiries.ShardWorkers(
            workers=tuple(known.values()), is_complete=former.doubt is None
        )

    def leadership_lost(self, leader: shards.ShardLeader) -> None:
        """Keep the report on a shard that this process no longer leads."""
        self._reports.record(
            leader.shard, self._process, leader.token, self._report(leader)
        )

    def heartbeat_received(
        self, process: registry.ProcessId, heartbeat: messages.Heartbeat
    ) -> None:
        """Keep the reports of another process."""
        self._reports.update(process, heartbeat)

    def reports(
        self, leaders: Iterable[shards.ShardLeader]
    ) -> list[worker_reports.WorkerReport]:
        """Return the reports on shards that this process leads."""
        return list(map(self._report, leaders))

    def _report(
        self, leader: shards.ShardLeader
    ) -> worker_reports.WorkerReport:
        return leader.report_workers(
            self._status.worker_list_revision(),
            self._listed.is_listed,
            self._clock.now(),
        )
