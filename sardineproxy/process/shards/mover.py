"""Lets waiting tasks of a shard leave for shards that can start them."""

import itertools
from typing import Iterable, Mapping, Protocol

from sardineproxy import ids
from sardineproxy.process import metrics
from sardineproxy.process.load import free_capacity, moving, returns
from sardineproxy.process.membership import evacuations
from sardineproxy.process.shards import (
    agent,
    backlog,
    runs,
    scheduler,
    shard_capacities,
    times,
    workers,
)

#: Kinds of tasks for which the workers of all shards are searched in one tick.
MAX_SEARCHES = 4


class WorkerLists(Protocol):
    """The workers of all shards as the platform lists them."""

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        """Return the listed workers of a shard."""


class Mover:
    """Declines waiting tasks that would start sooner in another shard."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        agents: Mapping[ids.WorkerId, agent.Agent],
        backlog: backlog.Backlog,
        scheduler: scheduler.Scheduler,
        capacities: shard_capacities.ShardCapacities,
        worker_lists: WorkerLists,
        metrics: metrics.Metrics,
        cfg: times.ShardTiming,
    ) -> None:
        """Create a mover for the waiting tasks of one shard."""
        self._shard = shard
        self._agents = agents
        self._backlog = backlog
        self._scheduler = scheduler
        self._capacities = capacities
        self._worker_lists = worker_lists
        self._metrics = metrics
        self._cfg = cfg
        self._history = moving.MoveHistory()
        self._offset = 0

        #: Number of waiting tasks of each batch when it was looked at last,
        #: and the local time since which it has not grown, in seconds.
        self._waiting: dict[runs.BatchKey, tuple[int, float]] = {}

        #: Whether the shard has a worker for a kind of task, in this tick.
        self._capable: dict[free_capacity.TaskClass, bool] = {}
        self._searches = 0

    def tick(self, now: float) -> None:
        """Move the waiting tasks whose time has come; called every 0.1 s."""
        permissions = self._scheduler.permissions
        if not (permissions.is_leader and permissions.is_list_current):
            return
        if permissions.zone_status is evacuations.Status.EVACUATED:
            # ``ShardEvacuation`` moves all waiting tasks.
            return
        self._capable.clear()
        self._searches = 0
        waiting = self._scheduler.waiting_batches()
        known = {batch.key: self._waiting.get(batch.key) for batch in waiting}
        self._waiting = {
            key: entry for key, entry in known.items() if entry is not None
        }
        for batch in self._select(waiting):
            if self._may_leave(batch, now):
                self._move(batch, now)

    def _select(self, waiting: list[runs.Batch]) -> Iterable[runs.Batch]:
        """Return some batches: the most urgent ones, and others in turn.

        Batches that cannot move must not hide the ones behind them.
        """
        half = moving.MAX_BATCHES // 2
        others = waiting[half:]
        start = self._offset if self._offset < len(others) else 0
        self._offset = start + half
        return itertools.chain(waiting[:half], others[start : self._offset])

    def _may_leave(self, batch: runs.Batch, now: float) -> bool:
        """Return whether tasks of a batch have waited long enough."""
        former_count, since = self._waiting.get(batch.key, (0, now))
        if batch.waiting_count > former_count:
            since = now
        self._waiting[batch.key] = (batch.waiting_count, since)
        longest_s = moving.wait_s(
            batch,
            self._history.count(batch.key, now),
            move_wait_s=self._cfg.move_wait_s,
            moved_wait_s=self._cfg.moved_wait_s,
        )
        return (
            longest_s is not None
            and now - since >= longest_s
            and batch.link is not None
        )

    def _move(self, batch: runs.Batch, now: float) -> None:
        indices = [
            index
            for index in batch.waiting()
            if batch.task_name(index) not in self._backlog.live_runs
        ]
        task = self._scheduler.movable_class(batch, now)
        available = self._capacities.find_available(task, now, len(indices))
        available.pop(self._shard, None)
        moves = moving.choose(indices, available)
        cause = 'more room there'
        if not moves and not self._is_capable(free_capacity.task_class(batch)):
            moves = self._choose_capable(batch, indices, now)
            cause = 'no worker for them'
        for move in moves:
            self._capacities.reserve(
                move.shard,
                task,
                len(move.indices),
                stored=batch.stored,
                now=now,
            )
            self._decline(batch, move, cause, now)

    def _decline(
        self, batch: runs.Batch, move: moving.Move, cause: str, now: float
    ) -> None:
        count = len(move.indices)
        self._metrics.count('waiting_tasks_moved_total', count)
        if batch.pinned:
            self._metrics.count('moved_tasks_declined_total', count)
        self._history.record(batch.key, now)
        self._backlog.decline(
            batch,
            list(move.indices),
            cause=cause,
            suggested_shard=move.shard,
            retry_after_s=returns.MIN_RETRY_S,
        )
        self._scheduler.update_queue(batch)

    def _is_capable(self, task: free_capacity.TaskClass) -> bool:
        """Return whether a responding worker here could run a task."""
        capable = self._capable.get(task)
        if capable is None:
            capable = moving.can_run(
                task,
                (
                    worker_agent.worker
                    for worker_agent in self._agents.values()
                    if worker_agent.is_listed
                    and not worker_agent.is_unresponsive
                ),
            )
            self._capable[task] = capable
        return capable

    def _choose_capable(
        self, batch: runs.Batch, indices: list[int], now: float
    ) -> list[moving.Move]:
        """Return the move to a shard that can run the tasks, but is busy."""
        self._searches += 1
        if self._searches > MAX_SEARCHES or not indices:
            return []
        shard = moving.find_capable(
            free_capacity.task_class(batch),
            {
                other: self._worker_lists.workers_of(other)
                for other in self._capacities.find_accepting(now)
                if other != self._shard
            },
        )
        if shard is None:
            return []
        return [moving.Move(shard=shard, indices=tuple(indices))]
