"""The workers that the platform lists, and for how long they count."""

from typing import Callable

import result

from sardineproxy import ids, logs
from sardineproxy.process import store
from sardineproxy.process.shards import workers
from sardineproxy.process.membership import table_follower

#: Time for which a worker stays listed here after its entry is gone, and for
#: which the store must have answered before its list counts as complete, in
#: seconds. Entries that lapsed in an outage are back within 2 s of its end.
REMOVAL_DELAY_S = 2.5

DecodeWorker = Callable[[store.Row], result.Result[workers.Worker, str]]

_LOG = logs.get_logger('roster')


class WorkerList:
    """Newest entry of each worker."""

    def __init__(
        self,
        *,
        worker_id: Callable[[store.Row], ids.WorkerId],
        decode: DecodeWorker,
    ) -> None:
        """Start without workers."""
        self._worker_id = worker_id
        self._decode = decode
        self._workers: dict[ids.WorkerId, workers.Worker] = {}
        self._removed_at: dict[ids.WorkerId, float] = {}

    def update(self, rows: tuple[store.Row, ...], now: float) -> None:
        """Use changed rows."""
        for row in rows:
            worker_id = self._worker_id(row)
            if row.body is None:
                self._removed_at.setdefault(worker_id, now)
                continue
            decoded = self._decode(row)
            if isinstance(decoded, result.Err):
                self._mark_malformed(worker_id, decoded.err_value, now)
            else:
                self._removed_at.pop(worker_id, None)
                self._workers[worker_id] = decoded.ok_value

    def drop_removed(self, healthy_since: float | None, now: float) -> None:
        """Forget workers whose entries have been gone for long.

        Entries may lapse while the store is away; ``sound_since`` tells since
        when it has answered, None if it does not.
        """
        if healthy_since is None:
            return
        for worker_id, removed_at in list(self._removed_at.items()):
            if now - max(removed_at, healthy_since) >= REMOVAL_DELAY_S:
                self._removed_at.pop(worker_id)
                self._workers.pop(worker_id, None)

    def of_shard(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the workers of a cell."""
        return [
            worker for worker in self._workers.values() if worker.zone == shard
        ]

    def _mark_malformed(
        self, worker_id: ids.WorkerId, cause: str, now: float
    ) -> None:
        """Count a worker with a malformed entry as gone."""
        if worker_id in self._workers:
            _LOG.error('Entry not understood.', extra={'cause': cause})
        self._removed_at.setdefault(worker_id, now)


def is_complete(source: table_follower.TableFollower, now: float) -> bool:
    """Tell whether no worker can be missing from the list."""
    if source.answered_at is None or source.healthy_since is None:
        return False
    return (
        now - source.answered_at < REMOVAL_DELAY_S
        and now - source.healthy_since >= REMOVAL_DELAY_S
    )
