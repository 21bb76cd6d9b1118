"""What the leader of a shard reports of its workers to possible successors.

The new leader of a shard knows the workers that the platform lists. Its
predecessor may have used others, whose entries have expired, are malformed or
are not there yet.
"""

import dataclasses
import enum
from typing import Iterable, Mapping

from sardineproxy import deployment, ids
from sardineproxy.connection import messages
from sardineproxy.process.membership import registry, worker_list
from sardineproxy.process.shards import fencing, workers
from sardineproxy.request import jobs

#: Largest number of unlisted workers of a shard in a report. All entries may
#: expire at the same time, and heartbeats must stay small.
MAX_UNLISTED = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReport:
    """Workers on which runs of a shard may exist."""

    #: Revision of the list of workers that the leader uses.
    list_revision: int

    #: False if there may be workers that the report does not name.
    is_complete: bool

    #: Workers without a valid entry in that list.
    unlisted: tuple[workers.Worker, ...]


class Doubt(enum.Enum):
    """Why a former leader may have used workers that are not known."""

    #: Its last report did not arrive here.
    NO_REPORT = 'no_report'

    #: It did not know all workers of the leader before it, or used more without
    #: a valid entry than it may report.
    INCOMPLETE_REPORT = 'incomplete_report'

    #: Workers may have left the list since its last report without notice.
    LIST_UNKNOWN = 'list_unknown'

    #: No worker of the zone could be reached.
    ZONE_LOST = 'zone_lost'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FormerWorkers:
    """Workers of a former leader which the present list may not contain."""

    unlisted: tuple[workers.Worker, ...] = ()

    #: Why there may be others, None if there are none.
    doubt: Doubt | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    process: registry.ProcessId
    token: fencing.FencingToken
    report: WorkerReport


class WorkerReports:
    """Newest report of the last known leader of each shard."""

    def __init__(self) -> None:
        """Create an instance without reports."""
        self._entries: dict[ids.ShardId, _Entry] = {}

    def update(
        self, process: registry.ProcessId, heartbeat: messages.Heartbeat
    ) -> None:
        """Record the reports in a heartbeat of a process."""
        reports = decode(heartbeat)
        for status in heartbeat.shards:
            shard, epoch, rank = status[:3]
            report = reports.get(shard)
            if report is not None:
                token = fencing.FencingToken(epoch=epoch, rank=rank)
                self.record(shard, process, token, report)

    def record(
        self,
        shard: ids.ShardId,
        process: registry.ProcessId,
        token: fencing.FencingToken,
        report: WorkerReport,
    ) -> None:
        """Record a report, unless that of a newer leader is known."""
        known = self._entries.get(shard)
        if known is not None and known.token > token:
            return
        self._entries[shard] = _Entry(
            process=process, token=token, report=report
        )

    def find_former(
        self,
        shard: ids.ShardId,
        claim: registry.Claim,
        listed: worker_list.WorkerList,
    ) -> FormerWorkers:
        """Return what is known of the workers of the leader under a claim.

        ``listed`` knows the workers that have left the platform's list.
        """
        report = self._find(shard, claim)
        if report is None:
            return FormerWorkers(doubt=Doubt.NO_REPORT)
        left = listed.find_former(shard, report.list_revision)
        doubt = None
        if left is None:
            doubt = Doubt.LIST_UNKNOWN
        elif not report.is_complete:
            doubt = Doubt.INCOMPLETE_REPORT
        return FormerWorkers(
            unlisted=(*report.unlisted, *(left or ())), doubt=doubt
        )

    def workers_in_use(
        self, *, except_shard: ids.ShardId
    ) -> frozenset[ids.WorkerId]:
        """Return the unlisted workers that other shards still use."""
        return frozenset(
            worker.worker
            for shard, entry in self._entries.items()
            if shard != except_shard
            for worker in entry.report.unlisted
        )

    def _find(
        self, shard: ids.ShardId, claim: registry.Claim
    ) -> WorkerReport | None:
        """Return the last report of the leader under a claim.

        A process may have renewed its claim after its last report, but no
        other process may have led the shard since.
        """
        entry = self._entries.get(shard)
        if entry is None:
            return None
        if entry.token.epoch == claim.epoch or entry.process == claim.owner:
            return entry.report
        return None


def encode(
    reports: Iterable[WorkerReport],
) -> tuple[
    tuple[messages.WorkerListStatus, ...], tuple[messages.UnlistedWorker, ...]
]:
    """Return the rows of shards, which are in the order of their statuses."""
    statuses: list[messages.WorkerListStatus] = []
    unlisted: list[messages.UnlistedWorker] = []
    for position, report in enumerate(reports):
        is_complete = report.is_complete and (
            len(report.unlisted) <= MAX_UNLISTED
        )
        statuses.append((position, report.list_revision, is_complete))
        unlisted.extend(
            _encode_worker(position, worker)
            for worker in report.unlisted[:MAX_UNLISTED]
        )
    return tuple(statuses), tuple(unlisted)


def decode(
    heartbeat: messages.Heartbeat,
) -> Mapping[ids.ShardId, WorkerReport]:
    """Return the reports on the shards that the sender leads."""
    unlisted: dict[int, list[workers.Worker]] = {}
    shards = [status[0] for status in heartbeat.shards]
    for row in heartbeat.unlisted:
        if row[0] < len(shards):
            unlisted.setdefault(row[0], []).append(
                _decode_worker(shards[row[0]], row)
            )
    return {
        shards[position]: WorkerReport(
            list_revision=revision,
            is_complete=is_complete,
            unlisted=tuple(unlisted.get(position, ())),
        )
        for position, revision, is_complete in heartbeat.worker_lists
        if position < len(shards)
    }


def _encode_worker(
    position: int, worker: workers.Worker
) -> messages.UnlistedWorker:
    return (
        position,
        worker.worker,
        worker.address.host,
        worker.address.port,
        worker.started_ms,
    )


def _decode_worker(
    shard: ids.ShardId, row: messages.UnlistedWorker
) -> workers.Worker:
    """Return a worker on which no run is started before it is listed again."""
    _, worker, host, port, started_ms = row  # noqa: WPS236
    return workers.Worker(
        worker=worker,
        service=ids.ServiceId(''),
        address=deployment.Address(host=host, port=port),
        zone=ids.ZoneId(shard),
        state=workers.WorkerState.DRAINING,
        started_ms=started_ms,
        capacity=jobs.NO_RESOURCES,
        labels=(),
    )
