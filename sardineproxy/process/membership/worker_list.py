"""List of workers from the platform's store, with delayed removal."""

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

DecodeWorker = Callable[[store.Row], result.Result[workers.Worker, str]]

_LOG = logs.get_logger('roster')


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

    def update(self, rows: tuple[store.Row, ...], now: float) -> None:
        """Apply changed rows."""
        for row in rows:
            worker_id = self._worker_id(row)
            if row.body is None:
                self._malformed.pop(worker_id, None)
                self._removed_at.setdefault(worker_id, now)
                continue
            decoded = self._decode(row)
            if isinstance(decoded, result.Err):
                self._mark_malformed(worker_id, decoded.err_value, now)
            else:
                self._malformed.pop(worker_id, None)
                self._removed_at.pop(worker_id, None)
                self._workers[worker_id] = decoded.ok_value

    def drop_removed(self, healthy_since: float | None, now: float) -> None:
        """Remove workers whose entries were removed ``REMOVAL_DELAY_S`` ago.

        Entries may expire while the store is unavailable, so the delay counts
        from ``healthy_since`` at the earliest; None means an ongoing outage.
        """
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

    def malformed_entries(self) -> dict[ids.WorkerId, str]:
        """Return the workers with malformed entries and the cause of each."""
        return dict(self._malformed)

    def _mark_malformed(
        self, worker_id: ids.WorkerId, cause: str, now: float
    ) -> None:
        """Treat a worker with a malformed entry as removed."""
        self._metrics.count('malformed_worker_entries_total')
        if self._malformed.get(worker_id) != cause:
            self._malformed[worker_id] = cause
            _LOG.error(
                'Malformed worker entry; treated as removed.',
                extra={'worker': worker_id, 'cause': cause},
            )
        self._removed_at.setdefault(worker_id, now)


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
