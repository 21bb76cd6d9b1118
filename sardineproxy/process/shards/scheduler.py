"""Scheduling of a shard's waiting tasks: admission, placement and expiry."""

import dataclasses
import math
from typing import Iterable, Mapping, Protocol

from sardineproxy import ids, logs
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.load import (
    admission,
    forecast,
    free_capacity,
    free_workers,
    order,
    placement,
    reservations,
    returns,
)
from sardineproxy.process.membership import evacuations
from sardineproxy.process.shards import (
    agent,
    backlog,
    fencing,
    lookahead,
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

#: Batches that are tried for the freed capacity of one worker.
MAX_BATCHES_TRIED = 32

#: A report of free capacity takes about 3 ms for 750 workers. With more workers
#: than this, it is computed once in this time, in seconds.
LARGE_SHARD = 128
REPORT_INTERVAL_S = 0.2

_LOG = logs.get_logger('cell')


class WorkerListStatus(Protocol):
    """Age and availability of the list of workers."""

    def workers_listed_at(self) -> float:
        """Return the local time of the newest worker list, in seconds."""

    def is_worker_list_available(self) -> bool:
        """Return whether the worker list can be read from the store."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Permissions:
    """What the leader may start at present."""

    #: False once another process leads the shard.
    is_leader: bool = True

    #: True once the list of workers is recent enough.
    is_list_current: bool = False

    #: True while no other process can lead the shard. Tasks of stored jobs
    #: are started only then.
    is_leadership_confirmed: bool = True

    #: False while a worker's refusal may show that there is a newer leader.
    is_fence_accepted: bool = True

    #: Whether the zone is evacuated, which allows no start.
    zone_status: evacuations.Status = evacuations.Status.OPEN


class Scheduler:  # noqa: WPS214
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
        self._pool = free_workers.FreeWorkers()
        self._queue = order.WaitingQueue()
        self._ends = forecast.EndForecast()
        self._returns = returns.ReturnSchedule()
        self._report: tuple[free_capacity.WorkerClass, ...] = ()
        self._reported_at = -math.inf
        self._lookahead = lookahead.Lookahead(
            shard=shard, metrics=metrics, cfg=cfg
        )
        if cfg.lookahead:
            self._pool.allows = self._lookahead.allows

        #: Fencing token of the leader, for the log.
        self.token = token
        self.permissions = Permissions()

    @property
    def waiting_count(self) -> int:
        """Return the number of tasks without a run."""
        return self._queue.task_count

    def count_startable_tasks(self) -> int:
        """Return how many additional tasks of average size could start."""
        if self.permissions.zone_status is not evacuations.Status.OPEN:
            return 0
        startable_count = self._pool.count_startable(
            int(self._average_millicores)
        )
        return max(0, startable_count - self._queue.task_count)

    def report_free_capacity(
        self, now: float
    ) -> tuple[free_capacity.WorkerClass, ...] | None:
        """Return the free capacity, None if tasks are not accepted now."""
        permissions = self.permissions
        if not (
            permissions.is_leader
            and permissions.is_list_current
            and permissions.zone_status is evacuations.Status.OPEN
            and permissions.is_leadership_confirmed
        ):
            return None
        is_small = len(self._agents) <= LARGE_SHARD
        if is_small or now >= self._reported_at + REPORT_INTERVAL_S:
            self._reported_at = now
            self._report = free_capacity.summarize(self._pool.free_workers())
        return self._report

    def submit(self, batch: runs.Batch, now: float) -> None:
        """Admit the waiting tasks of a new batch, and start what fits."""
        self._average_millicores += TASK_SIZE_WEIGHT * (
            batch.resources.millicores - self._average_millicores
        )
        if not self._admit(batch, now):
            return
        self.retry(batch, now)
        if batch.waiting_count and not batch.pinned:
            self._refer_excess(batch, now)

    def retry(self, batch: runs.Batch, now: float) -> None:
        """Start waiting tasks of a batch, for example after a lost run."""
        if self._may_start(batch):
            self._place(batch, now)
        if not batch.waiting_count:
            self._queue.discard(batch)
            self._lookahead.discard(batch)
            return
        self._queue.update(batch)
        self._demote_late(batch, now)
        self._queue.check_at(batch, self._next_check_at(batch, now))

    def worker_changed(self, worker: ids.WorkerId, now: float) -> None:
        """Start waiting tasks on a worker that may have free capacity."""
        worker_agent = self._agents.get(worker)
        if worker_agent is None:
            self._pool.discard(worker)
            return
        if not self._pool.refresh(worker_agent, now):
            self._lookahead.worker_gone(worker)
        while worker in self._pool:
            batch = self._find_batch_for(worker_agent, now)
            if batch is None:
                return
            self._start_on(batch, worker_agent, now)

    def run_adopted(self, run: runs.Run, now: float) -> None:
        """Include a run of the former leader in the forecast."""
        speed = self._agents[run.worker].health.speed
        self._ends.add(run, run.expected_s / speed, now)

    def run_succeeded(self, run: runs.Run, now: float) -> None:
        """Learn the run time of a run that ends now."""
        worker_agent = self._agents.get(run.worker)
        if worker_agent is not None:
            self._lookahead.run_succeeded(run, worker_agent, now)

    def run_ended(self, run: runs.Run) -> None:
        """Remove a run that no longer exists from the forecast."""
        self._ends.discard(run)

    def update_queue(self, batch: runs.Batch) -> None:
        """Apply tasks that were removed from a batch."""
        self._queue.update(batch)
        if not batch.waiting_count:
            self._lookahead.discard(batch)

    def check_queue(self, now: float) -> None:
        """Decline or drop the tasks that are late."""
        if self.permissions.is_list_current:
            for batch in self._queue.pop_due(now):
                self._check_late(batch, now)
            for worker in self._lookahead.pop_freed(now):
                self.worker_changed(worker, now)

    def waiting_batches(self) -> list[runs.Batch]:
        """Return the batches with waiting tasks, the most urgent first."""
        return self._queue.all()

    def movable_class(
        self, batch: runs.Batch, now: float
    ) -> free_capacity.TaskClass:
        """Return what the tasks of a batch need elsewhere to be on time."""
        return free_capacity.task_class(
            batch,
            placement.required_speed(batch, self._pool.fastest_speed, now),
        )

    def refresh(self, now: float) -> None:
        """Check the workers that were not usable, and start what fits.

        An ejection, for example, ends without an event.
        """
        for worker_id, worker_agent in self._agents.items():
            if worker_id not in self._pool:
                self._pool.refresh(worker_agent, now)
        self._pool.update_fastest_speed()
        if self._pool.count_startable(self._queue.smallest_millicores, 1):
            for batch in self._queue.all():
                self.retry(batch, now)

    def refresh_all(self, now: float) -> None:
        """Check all workers again, and start what fits on them."""
        for worker_agent in self._agents.values():
            self._pool.refresh(worker_agent, now)
        self.refresh(now)

    def assign_return(self, task_count: int, now: float) -> float:
        """Return in how many seconds a refused client should return."""
        return self._returns.assign(
            task_count=task_count,
            expected_start=now,
            ends_per_s=self._ends.ends_per_s(),
            now=now,
        )

    def drop(self, batch: runs.Batch, cause: str) -> None:
        """Remove a batch and stop its runs."""
        self._backlog.drop(batch, cause, self._stop)
        self._queue.discard(batch)
        self._lookahead.discard(batch)

    def drop_tasks(self, batch: runs.Batch, indices: Iterable[int]) -> None:
        """Remove some tasks of a batch and stop their runs."""
        self._backlog.drop_tasks(batch, indices, self._stop)
        self._queue.update(batch)

    def drop_expired(self, now: float) -> None:
        """Drop unstored batches whose clients no longer wait.

        Their coordinators withdraw them by then, unless they do not respond or
        cannot reach this leader.
        """
        for batch in self._backlog.all():
            if not batch.stored and now >= batch.deadline:
                self._drop_as_late(batch, 'deadline passed')

    def report_start_again(self, batch: runs.Batch) -> None:
        """Report to a reattached job manager that tasks were started."""
        batch.start_reported = False
        if any(task.run for task in batch.tasks.values()):
            self._report_start(batch)

    # Admission.

    def _admit(self, batch: runs.Batch, now: float) -> bool:
        """Reject a batch that cannot be on time; return whether it is kept.

        Only a job of which nothing can have started may be rejected.
        """
        if batch.started or batch.stored or not self._may_start(batch):
            return True
        decision = admission.decide(
            self._measure_demand(batch, now), self._ends, now
        )
        match decision:
            case admission.Accept():
                return True
            case admission.Reject(expected_start=expected_start):
                self._reject(batch, expected_start, now)
        return False

    def _measure_demand(
        self, batch: runs.Batch, now: float
    ) -> admission.Demand:
        task = free_capacity.task_class(batch)
        startable_here = self._pool.count_suitable(task, batch.waiting_count)
        startable_elsewhere = 0
        if not batch.pinned and startable_here < batch.waiting_count:
            startable_elsewhere = sum(
                self._other_capacities(task, batch, now).values()
            )
        return admission.Demand(
            task_count=batch.waiting_count,
            startable_here=startable_here,
            startable_elsewhere=startable_elsewhere,
            tasks_ahead=self._queue.count_ahead(batch.priority),
            latest_start=self._latest_start(batch),
        )

    def _reject(
        self, batch: runs.Batch, expected_start: float, now: float
    ) -> None:
        retry_after_s = self._returns.assign(
            task_count=batch.waiting_count,
            expected_start=expected_start,
            ends_per_s=self._ends.ends_per_s(),
            now=now,
        )
        if batch.pinned:
            self._metrics.count(
                'moved_tasks_declined_total', batch.waiting_count
            )
        self._backlog.decline(
            batch,
            batch.waiting(),
            cause='no room in time',
            retry_after_s=retry_after_s,
        )
        self.update_queue(batch)

    def _refer_excess(self, batch: runs.Batch, now: float) -> None:
        """Refer waiting tasks to shards with free capacity.

        ``ShardEvacuation`` does this for an evacuated shard.
        """
        if self.permissions.zone_status is evacuations.Status.EVACUATED:
            return
        task = self.movable_class(batch, now)
        for shard, free_count in self._other_capacities(
            task, batch, now
        ).items():
            count = min(batch.waiting_count, free_count)
            if not count:
                return
            self._capacities.reserve(
                shard, task, count, stored=batch.stored, now=now
            )
            self._backlog.decline(
                batch,
                batch.waiting()[-count:],
                cause='more room there',
                suggested_shard=shard,
                retry_after_s=returns.MIN_RETRY_S,
            )
            self.update_queue(batch)

    def _other_capacities(
        self, task: free_capacity.TaskClass, batch: runs.Batch, now: float
    ) -> dict[ids.ShardId, int]:
        """Return how many tasks could start in other shards, most first."""
        return {
            shard: free_count
            for shard, free_count in self._capacities.find_available(
                task, now, batch.waiting_count
            ).items()
            if shard != self._shard
        }

    # Placement.

    def _may_start(self, batch: runs.Batch) -> bool:
        """Return whether tasks of a batch may be started at present."""
        permissions = self.permissions
        if not (
            permissions.is_leader
            and permissions.is_list_current
            and permissions.is_fence_accepted
        ):
            return False
        if permissions.zone_status is not evacuations.Status.OPEN:
            return False
        if not batch.stored:
            return True
        # A job manager without a link may take the tasks back in time.
        return permissions.is_leadership_confirmed and batch.link is not None

    def _place(self, batch: runs.Batch, now: float) -> None:
        """Start the waiting tasks of a batch for which there is capacity."""
        is_placed = False
        for index in batch.waiting():
            if batch.task_name(index) in self._backlog.live_runs:
                continue
            chosen = self._pool.choose(
                batch, distance_factor=self._cfg.distance_factor, now=now
            )
            if chosen is None:
                break
            self._start(batch, index, self._agents[chosen.worker.worker], now)
            is_placed = True
        if is_placed:
            self._record_start(batch, now)

    def _find_batch_for(
        self, worker_agent: agent.Agent, now: float
    ) -> runs.Batch | None:
        """Return the most urgent batch with a task for a worker."""
        free_millicores = worker_agent.ledger.free_capacity.millicores
        if free_millicores < self._queue.smallest_millicores:
            return None
        blocked: runs.Batch | None = None
        for batch in self._queue.first(MAX_BATCHES_TRIED):
            if self._may_start_on(batch, worker_agent, now):
                self._reserve(blocked, now)
                if self._lookahead.allows(batch, worker_agent, now):
                    return batch
            elif blocked is None and self._may_start(batch):
                blocked = batch
        return None

    def _reserve(self, blocked: runs.Batch | None, now: float) -> None:
        """Reserve a worker for a batch before a less urgent one starts."""
        if blocked is None or not self._lookahead.is_enabled:
            return
        smallest = self._cfg.reserve_size * self._average_millicores
        if blocked.resources.millicores < smallest:
            return
        if blocked.stored or now < self._latest_start(blocked):
            active = self._ends.next_to_end(reservations.MAX_ENDS)
            self._lookahead.reserve(blocked, active, self._agents, now)

    def _demote_late(self, batch: runs.Batch, now: float) -> None:
        """Let tasks that can no longer be on time yield to all others."""
        is_late = now >= self._latest_start(batch)
        if self._lookahead.is_enabled and is_late and not batch.stored:
            self._queue.demote(batch)

    def _may_start_on(
        self, batch: runs.Batch, worker_agent: agent.Agent, now: float
    ) -> bool:
        """Return whether a waiting task should be started on a worker."""
        if not self._may_start(batch):
            return False
        speed = placement.required_speed(batch, self._pool.fastest_speed, now)
        penalty = placement.distance_penalty(
            batch, worker_agent, self._cfg.distance_factor
        )
        if worker_agent.health.speed < speed * penalty:
            return False
        if self._startable_index(batch) is None:
            return False
        return placement.is_suitable(batch, worker_agent, now)

    def _startable_index(self, batch: runs.Batch) -> int | None:
        """Return a waiting task of which no earlier run can exist."""
        for index in batch.waiting():
            if batch.task_name(index) not in self._backlog.live_runs:
                return index
        return None

    def _start_on(
        self, batch: runs.Batch, worker_agent: agent.Agent, now: float
    ) -> None:
        index = self._startable_index(batch)
        assert index is not None
        self._start(batch, index, worker_agent, now)
        self._queue.update(batch)
        self._record_start(batch, now)

    def _start(
        self, batch: runs.Batch, index: int, chosen: agent.Agent, now: float
    ) -> None:
        run = runs.Run(
            task=batch.task_name(index),
            number=batch.tasks[index].next_run_number,
            batch=batch,
            index=index,
            worker=chosen.worker.worker,
            expected_s=batch.expected_s
            * placement.distance_penalty(
                batch, chosen, self._cfg.distance_factor
            ),
            ordered_at=now,
        )
        batch.assign(index, run)
        batch.started = True
        self._lookahead.started(run)
        self._backlog.live_runs[run.task] = run
        self._metrics.count('runs_ordered_total')
        self._ends.add(run, run.expected_s / chosen.health.speed, now)
        chosen.start(run, now)
        self._pool.refresh(chosen, now)

    def _record_start(self, batch: runs.Batch, now: float) -> None:
        """Log the start of the last task, report the first one if stored."""
        self._report_start(batch)
        if batch.waiting_count:
            return
        _LOG.info(
            'Tasks started on workers.',
            extra={
                'job': batch.job,
                'step': batch.step,
                'placed': batch.unlogged,
                'age_s': round(now - batch.arrived_at, 4),
                'due_s': round(batch.due_at - now, 4),
                'epoch': self.token.epoch,
                'rank': self.token.rank,
                'list_age_s': round(
                    now - self._list_status.workers_listed_at(), 3
                ),
            },
        )
        batch.unlogged.clear()

    # Expiry.

    def _next_check_at(self, batch: runs.Batch, now: float) -> float:
        """Return when a waiting batch is checked for being late."""
        latest_start = self._latest_start(batch)
        if now <= latest_start:
            return latest_start
        return max(now, self._last_useful_start(batch))

    def _check_late(self, batch: runs.Batch, now: float) -> None:
        """Decline or drop a batch whose tasks have waited too long.

        It is declined if it cannot complete on time and no run of it may have
        started, and dropped if its result would be of no use.
        """
        # After the latest start any worker may be used.
        self.retry(batch, now)
        if not batch.waiting_count or batch.stored:
            return
        if not batch.started:
            if now >= self._latest_start(batch):
                self._reject(batch, now, now)
        elif now >= self._last_useful_start(batch):
            self._drop_as_late(batch, 'too late')

    def _latest_start(self, batch: runs.Batch) -> float:
        """Return the latest start that is on time, in local seconds."""
        return batch.due_at - batch.expected_s / self._pool.fastest_speed

    def _last_useful_start(self, batch: runs.Batch) -> float:
        return min(batch.useful_until, batch.deadline) - batch.expected_s

    def _drop_as_late(self, batch: runs.Batch, cause: str) -> None:
        for index in list(batch.tasks):
            self._backlog.send_result(
                batch,
                index,
                batch.tasks[index].next_run_number,
                jobs.TaskResult.LATE,
            )
        self.drop(batch, cause)

    def _stop(self, run: runs.Run) -> None:
        self._agents[run.worker].stop(run)

    def _report_start(self, batch: runs.Batch) -> None:
        """Report to a stored job's manager that a task was started."""
        if batch.stored and not batch.start_reported and batch.link is not None:
            batch.start_reported = True
            batch.link.send(
                messages.JobStarted(shard=self._shard, job=batch.job)
            )
