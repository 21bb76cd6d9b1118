"""The real scheduler of one shard with modelled workers on a virtual clock.

The workers execute each order at once and report each end; there is no
network. Only what the scheduler's decisions depend on is modelled.
"""

import heapq
import itertools
from typing import Any, Callable, Mapping

from sardineproxy import clock, deployment, ids
from sardineproxy.bench import replay_load
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    backlog,
    fencing,
    health,
    ledger,
    runs,
    scheduler,
    shard_capacities,
    times,
    workers,
)
from sardineproxy.request import jobs

#: Time from an order to the start of the run, in seconds.
ORDER_S = 0.001

#: Time after which a run without progress is stopped, in seconds.
STALL_S = 0.45

#: Factor by which a slow worker takes longer.
SLOW_FACTOR = 4

_SERVICE = ids.ServiceId('service')


class Timeline:
    """Virtual clock with events in order of time."""

    def __init__(self) -> None:
        """Start at second 0."""
        self.clock = clock.ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Call ``event`` at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self, until: float) -> None:
        """Run the events before a time."""
        while self._events and self._events[0][0] < until:
            when, _, event = heapq.heappop(self._events)
            self.clock.advance(max(0, when - self.clock.now()))
            event()


class ReplayWorker:
    """A worker; implements what the scheduler uses of an agent."""

    def __init__(
        self, shard: 'ReplayShard', number: int, *, knows_speed: bool
    ) -> None:
        """Create an idle worker; ``knows_speed`` if its speed is known."""
        millicores, speed = replay_load.worker_shape(number)
        self._speed = speed
        self.worker = workers.Worker(
            worker=ids.WorkerId(f'{shard.zone}-w{number}'),
            service=_SERVICE,
            address=deployment.Address(host='127.0.0.1', port=1),
            zone=ids.ZoneId(shard.zone),
            state=workers.WorkerState.READY,
            started_ms=1,
            capacity=jobs.Resources(
                millicores=millicores, memory_mb=millicores, gpus=0
            ),
            labels=(),
        )
        self.health = health.Health()
        if knows_speed:
            self.health.speed = self._speed
        self._knows_speed = knows_speed
        self.ledger = ledger.Ledger(capacity=self.worker.capacity)
        self._shard = shard
        self._fault = ''
        self._ends: dict[runs.Run, float] = {}

    def accepts_work(self, now: float) -> bool:
        """Return whether runs may be started on the worker."""
        if self.health.on_probation and self.ledger.runs:
            return False
        return self._fault != 'drain' and self.health.is_available(now)

    def start(self, run: runs.Run, now: float) -> None:
        """Start a run and schedule its end."""
        self.ledger.add(run)
        run.mark_running(now + ORDER_S)
        run_s = self._shard.work_s(run) / self._speed
        if self._fault == 'slow':
            run_s *= SLOW_FACTOR
        self._ends[run] = now + ORDER_S + run_s
        if self._fault == 'hang':
            self._hang(run, now)
        else:
            self._shard.timeline.at(
                self._ends[run], lambda: self._end(run, workers.RunResult.DONE)
            )

    def stop(self, run: runs.Run) -> None:
        """Stop a run."""
        self._shard.timeline.at(
            self._shard.timeline.clock.now() + 2 * ORDER_S,
            lambda: self._end(run, workers.RunResult.STOPPED),
        )

    def set_fault(self, how: str) -> None:
        """Start a fault, or end it with an empty name."""
        self._fault = how
        if how == 'hang':
            for run in self.ledger.runs.values():
                self._hang(run, self._shard.timeline.clock.now())
        self._shard.scheduler.refresh_all(self._shard.timeline.clock.now())

    def report_progress(self, now: float) -> None:
        """Report the progress of the active runs."""
        for run in self.ledger.runs.values():
            end = self._ends.get(run)
            if end is not None and now > run.started_at:
                share = (now - run.started_at) / (end - run.started_at)
                run.percent = min(99, 100 * share)
                run.progress_at = now
                if not self._knows_speed:
                    self.health.record_progress(run, now)

    def _hang(self, run: runs.Run, now: float) -> None:
        self._ends.pop(run, None)
        self._shard.timeline.at(now + STALL_S, lambda: self._stop_stalled(run))

    def _stop_stalled(self, run: runs.Run) -> None:
        if run.task in self.ledger.runs:
            self.health.record_stall(self._shard.timeline.clock.now())
            self.stop(run)

    def _end(self, run: runs.Run, how: workers.RunResult) -> None:
        is_done = how is workers.RunResult.DONE
        if self.ledger.runs.get(run.task) is not run or (
            is_done and run not in self._ends
        ):
            return
        self._ends.pop(run, None)
        self.ledger.remove(run)
        if not self._knows_speed:
            self.health.record_result(
                run, how, self._shard.timeline.clock.now()
            )
        self._shard.run_ended(run, is_done=is_done)


class ReplayShard:
    """The scheduler, the backlog and the workers of one zone."""

    def __init__(
        self,
        *,
        zone: str,
        timeline: Timeline,
        jobs_by_name: Mapping[str, replay_load.Job],
        cfg: times.ShardTiming,
        exact: bool,
        worker_count: int = replay_load.WORKERS_PER_ZONE,
    ) -> None:
        """Create a shard; ``exact`` if the speeds of its workers are known."""
        self.zone = zone
        self.timeline = timeline
        self._jobs = jobs_by_name
        self.metrics = metrics.Metrics()
        self.capacities = shard_capacities.ShardCapacities()
        self.backlog = backlog.Backlog(
            shard=ids.ShardId(zone),
            clock=timeline.clock,
            metrics=self.metrics,
            result_retention_s=cfg.recall_s,
        )
        self.agents: dict[ids.WorkerId, Any] = {}
        self.scheduler = scheduler.Scheduler(
            shard=ids.ShardId(zone),
            token=fencing.FencingToken(epoch=1, rank=0),
            agents=self.agents,
            backlog=self.backlog,
            capacities=self.capacities,
            list_status=self,
            metrics=self.metrics,
            cfg=cfg,
        )
        self._cfg = cfg
        self.scheduler.permissions.is_list_current = True
        for number in range(worker_count):
            worker = ReplayWorker(self, number, knows_speed=exact)
            self.agents[worker.worker.worker] = worker
        self.scheduler.refresh_all(timeline.clock.now())

    def workers_listed_at(self) -> float:
        """Return the present time: the list is always current."""
        return self.timeline.clock.now()

    def is_worker_list_available(self) -> bool:
        """Return that the list can be read."""
        return True

    def work_s(self, run: runs.Run) -> float:
        """Return the run time of a task at speed 1, in seconds."""
        return self._jobs[run.batch.job.partition('~')[0]].work_s[run.index]

    def submit(self, message: messages.Submit, link: Any) -> None:
        """Queue the tasks of a job."""
        now = self.timeline.clock.now()
        batch = runs.make_batch(
            message, link=link, late_factor=self._cfg.late_factor, now=now
        )
        for index, run_number in message.tasks:
            batch.add_task(index, run_number)
        self.backlog.add(batch)
        self.scheduler.submit(batch, now)

    def withdraw(self, job: ids.JobId) -> None:
        """Drop the tasks of a job."""
        for batch in self.backlog.of_job(job):
            self.scheduler.drop(batch, 'withdrawn')

    def run_ended(self, run: runs.Run, *, is_done: bool) -> None:
        """Apply the end of a run as the leader of a shard does."""
        now = self.timeline.clock.now()
        if is_done:
            self.scheduler.run_succeeded(run, now)
        self.backlog.release(run)
        self.scheduler.run_ended(run)
        if run.index in run.batch.tasks:
            if is_done:
                self.backlog.finish_task(run, jobs.TaskResult.DONE)
            elif self.backlog.requeue(run):
                self.scheduler.retry(run.batch, now)
        self.scheduler.worker_changed(run.worker, now)

    def tick(self) -> None:
        """Run the periodic work of a leader."""
        now = self.timeline.clock.now()
        for worker in self.agents.values():
            worker.report_progress(now)
        self.scheduler.drop_expired(now)
        self.scheduler.refresh(now)
        self.scheduler.check_queue(now)
