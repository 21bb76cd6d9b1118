"""Moves the work of an evacuated shard to other shards."""

import collections
import math
from typing import Mapping

from sardineproxy import ids, logs
from sardineproxy.process import metrics
from sardineproxy.process.load import evacuation as decisions
from sardineproxy.process.load import free_capacity, returns
from sardineproxy.process.membership import evacuations
from sardineproxy.process.shards import (
    agent,
    backlog,
    runs,
    scheduler,
    shard_capacities,
    takeover,
    times,
    workers,
)

_LOG = logs.get_logger('cell')


class ShardEvacuation:
    """Declines waiting tasks and stops late runs while a zone is evacuated."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        agents: Mapping[ids.WorkerId, agent.Agent],
        backlog: backlog.Backlog,
        scheduler: scheduler.Scheduler,
        takeover: takeover.Takeover,
        capacities: shard_capacities.ShardCapacities,
        metrics: metrics.Metrics,
        cfg: times.ShardTiming,
    ) -> None:
        """Create an instance for a shard whose zone is open."""
        self._shard = shard
        self._agents = agents
        self._backlog = backlog
        self._scheduler = scheduler
        self._takeover = takeover
        self._capacities = capacities
        self._metrics = metrics
        self._cfg = cfg
        self._since: float = 0
        self._is_empty = False
        self._was_evacuated = False

        #: Local time of the end of the evacuation while cold workers are held,
        #: else None.
        self._reopened_at: float | None = None
        self._held: set[ids.WorkerId] = set()

    def set_status(self, status: evacuations.Status, now: float) -> None:
        """Apply whether the zone is evacuated, and act on a change."""
        permissions = self._scheduler.permissions
        former = permissions.zone_status
        if status is former:
            return
        permissions.zone_status = status
        _LOG.info(
            'Shard evacuation status changed.',
            extra={
                'cell': self._shard,
                'status': status.value,
                'before': former.value,
                'waiting': self._scheduler.waiting_count,
                'runs': len(self._backlog.live_runs),
            },
        )
        if status is evacuations.Status.EVACUATED:
            self._since = now
            self._is_empty = False
            self._was_evacuated = True
            self._reopened_at = None
            self.tick(now)
        elif status is evacuations.Status.OPEN:
            if self._was_evacuated:
                self._was_evacuated = False
                self._reopened_at = now
                self._hold_cold_workers(self._reopened_at, now)
            self._scheduler.refresh_all(now)

    def tick(self, now: float) -> None:
        """Move what can be moved, or use more of the cold workers."""
        self._update_cold_workers(now)
        if not self._is_evacuated:
            return
        for batch in self._backlog.all():
            self._move(batch, now)
        self._stop_late_runs(now)
        is_empty = not self._backlog.live_runs
        if is_empty and not self._is_empty:
            _LOG.info(
                'Evacuated shard has no runs.',
                extra={
                    'cell': self._shard,
                    'after_s': round(now - self._since, 3),
                    'waiting': self._scheduler.waiting_count,
                },
            )
        self._is_empty = is_empty

    def submitted(self, job: ids.JobId, now: float) -> None:
        """Move the tasks of a job that was submitted to an evacuated shard."""
        if self._is_evacuated:
            for batch in self._backlog.of_job(job):
                self._move(batch, now)

    @property
    def _is_evacuated(self) -> bool:
        status = self._scheduler.permissions.zone_status
        return status is evacuations.Status.EVACUATED

    def _update_cold_workers(self, now: float) -> None:
        for worker_id, worker_agent in self._agents.items():
            if worker_agent.update_cold(now):
                self._scheduler.worker_changed(worker_id, now)
        if self._reopened_at is None:
            return
        held_before = self._held
        self._hold_cold_workers(self._reopened_at, now)
        for worker_id in held_before.difference(self._held):
            self._scheduler.worker_changed(worker_id, now)
        if decisions.open_share(now - self._reopened_at) == 1:
            self._reopened_at = None

    def _hold_cold_workers(self, reopened_at: float, now: float) -> None:
        """Hold the cold workers beyond the share that gets tasks."""
        cold = sorted(
            worker_id
            for worker_id, worker_agent in self._agents.items()
            if worker_agent.is_cold
        )
        open_count = math.ceil(
            decisions.open_share(now - reopened_at) * len(cold)
        )
        held = set(cold[open_count:])
        for worker_id, worker_agent in self._agents.items():
            worker_agent.is_held = worker_id in held
        if len(held) != len(self._held):
            _LOG.info(
                'Cold workers held after an evacuation.',
                extra={
                    'cell': self._shard,
                    'cold': len(cold),
                    'held': len(held),
                    'after_s': round(now - reopened_at, 3),
                },
            )
        self._held = held

    def _move(self, batch: runs.Batch, now: float) -> None:
        """Decline the waiting tasks of a batch of which no run can exist.

        A batch without a coordinator waits: nobody would place its tasks.
        """
        indices = self._movable(batch, now)
        if not indices or batch.link is None:
            return
        is_refusable = not (batch.started or batch.stored)
        if is_refusable and len(indices) < batch.waiting_count:
            return
        decision = decisions.place_elsewhere(
            decisions.WaitingTasks(
                count=len(indices), is_refusable=is_refusable
            ),
            self._free_capacity(batch, now),
        )
        match decision:
            case decisions.Refuse():
                self._decline(
                    batch,
                    indices,
                    retry_after_s=self._scheduler.assign_return(
                        len(indices), now
                    ),
                )
            case decisions.Move(counts=counts):
                for shard, count in counts.items():
                    moved, indices = indices[:count], indices[count:]
                    self._capacities.reserve(
                        shard,
                        free_capacity.task_class(batch),
                        count,
                        stored=batch.stored,
                        now=now,
                    )
                    self._decline(batch, moved, suggested_shard=shard)

    def _movable(self, batch: runs.Batch, now: float) -> list[int]:
        """Return the waiting tasks of which certainly no run exists."""
        if not batch.waiting_count or (
            self._takeover.accepts_resumes
            and not self._takeover.are_all_runs_reported(now)
        ):
            return []
        return [
            index
            for index in batch.waiting()
            if not self._may_run(batch.task_name(index))
        ]

    def _may_run(self, task: workers.TaskName) -> bool:
        """Return whether a run exists, also of a former leader."""
        return task in self._backlog.live_runs or any(
            task in worker_agent.ledger.unrequested
            for worker_agent in self._agents.values()
        )

    def _decline(
        self,
        batch: runs.Batch,
        indices: list[int],
        *,
        suggested_shard: str = '',
        retry_after_s: float = returns.MIN_RETRY_S,
    ) -> None:
        self._count('moved' if suggested_shard else 'refused', len(indices))
        self._backlog.decline(
            batch,
            indices,
            cause='zone is evacuated',
            suggested_shard=suggested_shard,
            retry_after_s=retry_after_s,
        )
        self._scheduler.update_queue(batch)

    def _stop_late_runs(self, now: float) -> None:
        """Stop the runs that would end too late, if there is capacity."""
        active_runs = list(self._backlog.live_runs.values())
        stopping: collections.Counter[runs.BatchKey] = collections.Counter(
            run.batch.key
            for run in active_runs
            if run.state is runs.RunState.STOPPING
        )
        for run in active_runs:
            if run.state is runs.RunState.STOPPING:
                continue
            if not self._should_stop(run, now):
                continue
            batch = run.batch
            free_count = sum(self._free_capacity(batch, now).values())
            if free_count > batch.waiting_count + stopping[batch.key]:
                stopping[batch.key] += 1
                self._count('stopped', 1)
                self._agents[run.worker].stop(run)

    def _should_stop(self, run: runs.Run, now: float) -> bool:
        if run.index not in run.batch.tasks or run.batch.link is None:
            return False
        speed = self._agents[run.worker].health.speed
        return decisions.should_stop(
            decisions.ActiveRun(
                started_at=run.started_at or run.ordered_at,
                expected_here_s=run.expected_s / speed,
                expected_elsewhere_s=run.batch.expected_s,
                percent=run.percent,
                due_at=run.batch.due_at,
            ),
            patience_ends_at=self._since + self._cfg.evacuate_s,
            now=now,
        )

    def _free_capacity(
        self, batch: runs.Batch, now: float
    ) -> dict[ids.ShardId, int]:
        """Return how many tasks of a batch could start in other shards.

        The shard with the most free capacity is first.
        """
        counts = self._capacities.find_available(
            free_capacity.task_class(batch), now, len(batch.tasks)
        )
        counts.pop(self._shard, None)
        return counts

    def _count(self, what: str, count: int) -> None:
        self._metrics.count(
            'evacuated_tasks_total', count, zone=self._shard, what=what
        )
