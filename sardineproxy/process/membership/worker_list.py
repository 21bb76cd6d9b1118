"""List of workers from the platform's store, with delayed removal.

A worker whose entry expired, or is malformed, may go on with its runs. The list
therefore remembers the workers that have left it.
"""

import dataclasses
from typing import Callable

import result

from sardineproxy import ids, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import workers
from sardineproxy.process.membership import table_follower

#: Time for which a worker stays listed after its entry was removed, and for
#: which the store must have been healthy before its list counts as complete,
#: in seconds. Entries that expired during an outage return within 2 s of its
#: end.
REMOVAL_DELAY_S = 2.5

#: Time for which a worker that has left the list is remembered, in seconds. The
#: leader of its shard reads the list every second, and tells others whether it
#: still uses the worker.
FORMER_RETENTION_S = 60.0

DecodeWorker = Callable[[store.Row], result.Result[workers.Worker, str]]

_LOG = logs.get_logger('roster')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Former:
    """A worker without a valid entry."""

    #: Its last valid entry, None if there was none.
    worker: workers.Worker | None

    #: Highest revision of the store at which it may have left the list.
    revision: int

    #: Local time at which this was noticed, in seconds.
    noticed_at: float


class WorkerList:
    """Latest valid entry of every worker."""

    def __init__(
        self,
        *,
        worker_id: Callable[[store.Row], ids.WorkerId],
        decode: DecodeWorker,
        metrics: metrics.Metrics,
    ) -> None:
        """Create an empty list."""
        self._worker_id = worker_id
        self._decode = decode
        self._metrics = metrics
        self._workers: dict[ids.WorkerId, workers.Worker] = {}
        self._removed_at: dict[ids.WorkerId, float] = {}

        #: Why the current entry of a worker is malformed.
        self._malformed: dict[ids.WorkerId, str] = {}
        self._former: dict[ids.WorkerId, _Former] = {}

        #: Revision of the store since which all workers are known that have
        #: left the list, None before the first read.
        self._known_since: int | None = None

    def record_read(self, revision: int) -> None:
        """Record the revision of a read, before its rows are applied."""
        if self._known_since is None:
            self._known_since = revision

    def update(self, rows: tuple[store.Row, ...], now: float) -> None:
        """Apply changed rows."""
        for row in rows:
            worker_id = self._worker_id(row)
            if row.body is None:
                self._malformed.pop(worker_id, None)
                self._mark_removed(worker_id, row, now)
                continue
            decoded = self._decode(row).and_then(self._check_zone)
            if isinstance(decoded, result.Err):
                self._mark_malformed(worker_id, row, decoded.err_value, now)
            else:
                self._malformed.pop(worker_id, None)
                self._removed_at.pop(worker_id, None)
                self._former.pop(worker_id, None)
                self._workers[worker_id] = decoded.ok_value

    def drop_removed(self, healthy_since: float | None, now: float) -> None:
        """Remove workers whose entries were removed ``REMOVAL_DELAY_S`` ago.

        Entries may expire while the store is unavailable, so the delay counts
        from ``healthy_since`` at the earliest; None means an ongoing outage.
        """
        self._forget_former(now)
        if healthy_since is None:
            return
        for worker_id, removed_at in list(self._removed_at.items()):
            if now - max(removed_at, healthy_since) >= REMOVAL_DELAY_S:
                self._removed_at.pop(worker_id)
                self._workers.pop(worker_id, None)

    def of_shard(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the workers of a shard whose entries are well formed."""
        return [
            worker
            for worker_id, worker in self._workers.items()
            if worker.zone == shard and worker_id not in self._malformed
        ]

    def is_listed(self, worker: ids.WorkerId) -> bool:
        """Return whether the newest list has a valid entry of a worker."""
        return worker in self._workers and worker not in self._removed_at

    def find_former(
        self, shard: ids.ShardId, revision: int
    ) -> list[workers.Worker] | None:
        """Return the workers of a shard that left the list after a revision.

        None if some of them may not be known.
        """
        if self._known_since is None or self._known_since > revision:
            return None
        left = [
            former.worker
            for former in self._former.values()
            if former.revision > revision
        ]
        if None in left:
            return None
        return [worker for worker in left if worker and worker.zone == shard]

    def malformed_entries(self) -> dict[ids.WorkerId, str]:
        """Return the workers with malformed entries and the cause of each."""
        return dict(self._malformed)

    def _check_zone(
        self, worker: workers.Worker
    ) -> result.Result[workers.Worker, str]:
        """Reject an entry that names another zone than before.

        A worker process does not move. The leader of its own zone may have
        runs on it, and another leader would use another fence.
        """
        known = self._workers.get(worker.worker)
        if known is None and worker.worker in self._former:
            known = self._former[worker.worker].worker
        if (
            known is None
            or known.started_ms != worker.started_ms
            or known.zone == worker.zone
        ):
            return result.Ok(worker)
        return result.Err(f'zone: expected {known.zone}, found {worker.zone}')

    def _mark_malformed(
        self, worker_id: ids.WorkerId, row: store.Row, cause: str, now: float
    ) -> None:
        """Treat a worker with a malformed entry as removed."""
        self._metrics.count('malformed_worker_entries_total')
        if self._malformed.get(worker_id) != cause:
            self._malformed[worker_id] = cause
            _LOG.error(
                'Malformed worker entry; treated as removed.',
                extra={'worker': worker_id, 'cause': cause},
            )
        self._mark_removed(worker_id, row, now)

    def _mark_removed(
        self, worker_id: ids.WorkerId, row: store.Row, now: float
    ) -> None:
        self._removed_at.setdefault(worker_id, now)
        if worker_id not in self._former:
            self._former[worker_id] = _Former(
                worker=self._workers.get(worker_id),
                revision=row.revision,
                noticed_at=now,
            )

    def _forget_former(self, now: float) -> None:
        for worker_id, former in list(self._former.items()):
            is_old = now - former.noticed_at >= FORMER_RETENTION_S
            if is_old and worker_id not in self._malformed:
                self._former.pop(worker_id)
                self._known_since = max(former.revision, self._known_since or 0)


def is_complete(
    source: table_follower.TableFollower,
    *,
    store_healthy_since: float | None,
    now: float,
) -> bool:
    """Return whether the list is certain to contain every worker."""
    if source.last_success_at is None or store_healthy_since is None:
        return False
    return (
        now - source.last_success_at < REMOVAL_DELAY_S
        and now - store_healthy_since >= REMOVAL_DELAY_S
    )
