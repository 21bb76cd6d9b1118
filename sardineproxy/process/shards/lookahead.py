"""Carries out the decisions of look-ahead placement for one shard."""

import collections
from typing import Iterable, Mapping

from sardineproxy import ids, logs
from sardineproxy.process import metrics
from sardineproxy.process.load import placement, reservations, run_times
from sardineproxy.process.shards import runs, times

#: Interval of the log line with an example, in seconds.
LOG_INTERVAL_S = 1.0

_LOG = logs.get_logger('cell')


class Lookahead:
    """Learned run times and reservations; does nothing if switched off."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        metrics: metrics.Metrics,
        cfg: times.ShardTiming,
    ) -> None:
        """Create an instance without reservations."""
        self.is_enabled = cfg.lookahead
        self._shard = shard
        self._metrics = metrics
        self._run_times = run_times.RunTimes()
        self._reservations = reservations.Reservations(
            times=self._run_times,
            limits=reservations.Limits(
                max_share=cfg.reserved_share,
                max_wait_s=cfg.reserve_ahead_s,
                tolerance=cfg.reserve_tolerance,
            ),
        )
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._next_log_at = float(0)

    def run_succeeded(
        self, run: runs.Run, candidate: placement.Candidate, now: float
    ) -> None:
        """Learn the run time of a run that ends now."""
        if self.is_enabled:
            speed = candidate.health.speed
            self._run_times.record(
                run.batch.route,
                speed=speed,
                expected_s=run.expected_s / speed,
                run_s=now - (run.started_at or run.ordered_at),
            )

    def allows(
        self, batch: runs.Batch, candidate: placement.Candidate, now: float
    ) -> bool:
        """Return whether a task does not delay one with a reservation."""
        return not self.is_enabled or self._reservations.allows(
            batch, candidate, now
        )

    def reserve(
        self,
        batch: runs.Batch,
        active: Iterable[runs.Run],
        candidates: Mapping[ids.WorkerId, placement.Candidate],
        now: float,
    ) -> None:
        """Reserve a worker for a task before a less urgent one starts."""
        if self.is_enabled:
            self._reservations.make(batch, active, candidates, now)

    def started(self, run: runs.Run) -> None:
        """Release the reservation of a task that starts."""
        self._reservations.started(run.batch, run.worker)

    def discard(self, batch: runs.Batch) -> None:
        """Release the reservation of a batch that no longer waits."""
        self._reservations.discard(batch)

    def worker_gone(self, worker: ids.WorkerId) -> None:
        """Release the reservation of a worker that is not usable."""
        self._reservations.worker_gone(worker)

    def pop_freed(self, now: float) -> set[ids.WorkerId]:
        """Return the workers that are no longer reserved; report them.

        Reservations whose forecast was wrong are released before.
        """
        self._reservations.expire(now)
        for how, count in self._reservations.pop_counts().items():
            self._metrics.count('reservations_total', count, how=how)
            self._unlogged[how] += count
        if self._unlogged and now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            self._log(now)
        return self._reservations.pop_freed()

    def _log(self, now: float) -> None:
        newest = self._reservations.newest
        assert newest is not None
        _LOG.info(
            'Reservations changed.',
            extra={
                'cell': self._shard,
                'job': newest.batch.job,
                'worker': newest.worker,
                'millicores': newest.batch.resources.millicores,
                'wait_s': round(newest.starts_at - newest.made_at, 4),
                'held': len(self._reservations),
                **self._unlogged,
            },
        )
        self._unlogged.clear()
