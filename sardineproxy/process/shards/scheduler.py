"""Scheduling of a shard's waiting tasks: order, placement and expiry."""

from typing import Mapping, Protocol

from sardineproxy import ids, logs
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    agent,
    backlog,
    fencing,
    placement,
    shard_capacities,
    runs,
    times,
)
from sardineproxy.request import jobs

#: Average task size before the first task, in thousandths of a core, and
#: weight of a new task in the average. The free capacity that is reported to
#: other shards is a number of average tasks.
INITIAL_TASK_MILLICORES = 14_000.0
TASK_SIZE_WEIGHT = 0.05

_LOG = logs.get_logger('cell')


class WorkerListStatus(Protocol):
    """Age and availability of the list of workers."""

    def workers_listed_at(self) -> float:
        """Return the local time of the newest worker list, in seconds."""

    def is_worker_list_available(self) -> bool:
        """Return whether the worker list can be read from the store."""


class Scheduler:
    """Starts waiting tasks, and declines those that cannot be on time."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        token: fencing.FencingToken,
        agents: Mapping[ids.WorkerId, agent.Agent],
        backlog: backlog.Backlog,
        capacities: shard_capacities.ShardCapacities,
        list_status: WorkerListStatus,
        metrics: metrics.Metrics,
        cfg: times.ShardTiming,
    ) -> None:
        """Create a scheduler for the workers of ``agents``.

        ``capacities`` holds the free capacity of the other shards.
        """
        self._shard = shard
        self._agents = agents
        self._backlog = backlog
        self._capacities = capacities
        self._list_status = list_status
        self._metrics = metrics
        self._cfg = cfg
        self._average_millicores = INITIAL_TASK_MILLICORES
        self._fastest_speed = 1.0

        #: Fencing token of the leader, for the log.
        self.token = token

    def count_startable_tasks(self, now: float) -> int:
        """Return how many additional tasks of average size could start."""
        startable_count = placement.count_startable(
            int(self._average_millicores),
            placement.usable_workers(self._agents.values(), now),
        )
        return max(0, startable_count - self._backlog.count_waiting())

    def record_task_size(self, millicores: int) -> None:
        """Include the size of a new task in the average."""
        self._average_millicores += TASK_SIZE_WEIGHT * (
            millicores - self._average_millicores
        )

    def dispatch(self, *, with_stored: bool, now: float) -> None:
        """Start waiting tasks as far as free capacity allows.

        Tasks of stored jobs are started only if ``with_stored`` is true.
        """
        waiting = [
            batch
            for batch in self._backlog.waiting()
            if with_stored or not batch.stored
        ]
        if not waiting:
            return
        candidates = placement.usable_workers(self._agents.values(), now)
        if candidates:
            self._fastest_speed = placement.find_fastest_speed(candidates)
        waiting.sort(key=self._urgency_key)
        for batch in waiting:
            self._place(batch, candidates, now)
            if batch.waiting():
                self._decline_or_drop(batch, now)

    def decline_excess(self, batch: runs.Batch, now: float) -> None:
        """Decline tasks that exceed the free capacity of this shard.

        Their coordinator is referred to shards with free capacity.
        """
        if batch.pinned:
            return
        waiting_count = len(batch.waiting())
        startable_count = placement.count_startable(
            batch.resources.millicores,
            placement.usable_workers(self._agents.values(), now),
        )
        excess = min(
            waiting_count, self._backlog.count_waiting() - startable_count
        )
        for shard, free_count in self._capacities.find_available(now).items():
            count = min(excess, free_count)
            if shard == self._shard or count <= 0:
                continue
            excess -= count
            self._backlog.decline(
                batch,
                batch.waiting()[-count:],
                cause='more room there',
                suggested_shard=shard,
            )

    def drop(self, batch: runs.Batch, cause: str) -> None:
        """Remove a batch and stop its runs."""
        self._backlog.drop(batch, cause, self._stop)

    def report_start_again(self, batch: runs.Batch) -> None:
        """Report to a reattached job manager that tasks were started."""
        batch.start_reported = False
        if any(task.run for task in batch.tasks.values()):
            self._report_start(batch)

    def _place(
        self, batch: runs.Batch, candidates: list[agent.Agent], now: float
    ) -> None:
        placed: dict[int, ids.WorkerId] = {}
        for index in batch.waiting():
            if batch.task_name(index) in self._backlog.live_runs:
                continue
            chosen = placement.choose_worker(
                batch,
                candidates,
                fastest_speed=self._fastest_speed,
                distance_factor=self._cfg.distance_factor,
                now=now,
            )
            if chosen is None:
                break
            self._start(batch, index, chosen, now)
            placed[index] = chosen.worker.worker
        if placed:
            self._report_start(batch)
            _LOG.info(
                'Tasks started on workers.',
                extra={
                    'job': batch.job,
                    'step': batch.step,
                    'placed': placed,
                    'waiting': len(batch.waiting()),
                    'age_s': round(now - batch.arrived_at, 4),
                    'due_s': round(batch.due_at - now, 4),
                    'epoch': self.token.epoch,
                    'rank': self.token.rank,
                    'list_age_s': round(
                        now - self._list_status.workers_listed_at(), 3
                    ),
                },
            )

    def _start(
        self, batch: runs.Batch, index: int, chosen: agent.Agent, now: float
    ) -> None:
        task = batch.tasks[index]
        run = runs.Run(
            task=batch.task_name(index),
            number=task.next_run_number,
            batch=batch,
            index=index,
            worker=chosen.worker.worker,
            expected_s=batch.expected_s
            * placement.distance_penalty(
                batch, chosen, self._cfg.distance_factor
            ),
            ordered_at=now,
        )
        task.next_run_number += 1
        task.run = run
        batch.started = True
        self._backlog.live_runs[run.task] = run
        self._metrics.count('runs_ordered_total')
        chosen.start(run, now)

    def _decline_or_drop(self, batch: runs.Batch, now: float) -> None:
        """Decline or drop a batch whose tasks have waited too long.

        It is declined if it cannot complete on time and no run of it may have
        started, and dropped if its result would be of no use.
        """
        if batch.stored:
            return
        if not batch.started and now > self._latest_start(batch):
            self._backlog.decline(
                batch, batch.waiting(), cause='no room in time'
            )
        elif now + batch.expected_s > min(batch.useful_until, batch.deadline):
            self._drop_as_late(batch)

    def _urgency_key(self, batch: runs.Batch) -> tuple[int, float]:
        """Return the sort key of the queue, the most urgent batch first."""
        return batch.priority, self._latest_start(batch)

    def _latest_start(self, batch: runs.Batch) -> float:
        """Return the latest start that is on time, in local seconds."""
        return batch.due_at - batch.expected_s / self._fastest_speed

    def _drop_as_late(self, batch: runs.Batch) -> None:
        for index in list(batch.tasks):
            self._backlog.send_result(
                batch,
                index,
                batch.tasks[index].next_run_number,
                jobs.TaskResult.LATE,
            )
        self.drop(batch, 'too late')

    def _stop(self, run: runs.Run) -> None:
        self._agents[run.worker].stop(run)

    def _report_start(self, batch: runs.Batch) -> None:
        """Report to a stored job's manager that a task was started."""
        if batch.stored and not batch.start_reported and batch.link is not None:
            batch.start_reported = True
            batch.link.send(
                messages.JobStarted(shard=self._shard, job=batch.job)
            )
