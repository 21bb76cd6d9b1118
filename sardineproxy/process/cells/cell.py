"""A cell that this process owns: queue, placement, and ends of tasks."""

from typing import Iterable, Mapping, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.cells import (
    agent,
    fences,
    placement,
    recall,
    runs,
    takeover,
    times,
    workers,
)
from sardineproxy.request import jobs

_LOG = logs.get_logger('cell')


class Events(Protocol):
    """Hears of the cell's end."""

    def superseded(self, cell: 'Cell') -> None:
        """Another process has taken the cell over."""


BatchKey = tuple[ids.JobId, int]


class Cell:  # noqa: WPS214
    """The workers of one cell and the tasks for them."""

    def __init__(
        self,
        *,
        cell: ids.CellId,
        right: fences.Right,
        api: workers.WorkerApi,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        events: Events,
        others: Mapping[ids.CellId, int],
        cfg: times.Cell,
    ) -> None:
        """Own a cell; ``others`` tells how much room other cells have."""
        self.cell = cell
        self.right = right
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._others = others
        self._cfg = cfg
        self._agents: dict[ids.WorkerId, agent.Agent] = {}
        #: Counts of fences of workers that have left, as one may come back.
        self._former_counts: dict[ids.WorkerId, int] = {}
        self._batches: dict[BatchKey, runs.Batch] = {}
        self._recall = recall.Recall(keep_s=cfg.recall_s)
        self._typical_millicores = 14_000.0
        self._best_speed = 1.0

        #: Runs that may exist, also of tasks that are no longer wanted.
        self._live: dict[workers.TaskName, runs.Run] = {}
        self._takeover = takeover.Takeover(
            agents=self._agents, cfg=cfg, opened_at=clock.now()
        )

        #: Local time of the list of workers, in seconds.
        self._listed_at: float = 0

    async def close(self) -> None:
        """Stop all calls to workers; what runs there runs on."""
        for each in self._agents.values():
            await each.close()

    def set_workers(
        self,
        listed: Iterable[workers.Worker],
        *,
        complete: bool,
        listed_at: float,
    ) -> None:
        """Use the newest list of the cell's workers.

        It is ``complete`` if it is no older than a former owner's.
        """
        self._listed_at = listed_at
        if complete:
            self._takeover.knows_workers = True
        by_id = {worker.worker: worker for worker in listed}
        for worker_id, worker in by_id.items():
            known = self._agents.get(worker_id)
            if known is None:
                self._add(worker)
            elif known.worker != worker:
                known.update(worker)
        for worker_id, gone in self._agents.items():
            if worker_id not in by_id:
                gone.leave()

    def submit(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> None:
        """Take tasks from a coordinator."""
        known = self._batches.get((asked.job, asked.step))
        if known:
            self._rejoin(known, source, asked)
        elif asked.resumed and self._takeover.is_syncing(now):
            self._takeover.wait(source, asked)
        elif asked.resumed:
            self._resume(source, asked, now)
        else:
            self._take(source, asked, dict(asked.tasks), now)

    def withdraw(self, source: link.Link, job: ids.JobId) -> None:
        """Drop all tasks of a job."""
        for batch in list(self._batches.values()):
            if batch.job == job and batch.link is source:
                self._drop(batch, 'withdrawn')
        self._takeover.forget(source, job)

    def link_lost(self, lost: link.Link, now: float) -> None:
        """Keep the tasks of a coordinator for a short while."""
        for batch in self._batches.values():
            if batch.link is lost:
                batch.link = None
                batch.orphaned_at = now
        self._takeover.forget(lost)

    def free_tasks(self, now: float) -> int:
        """Return how many more average tasks could start now."""
        free = placement.count_free(
            int(self._typical_millicores),
            placement.usable(self._agents.values(), now),
        )
        return max(0, free - self._count_waiting())

    def renew(self, right: fences.Right) -> None:
        """Use a higher right of this owner from now on."""
        self.right = right
        self._former_counts.clear()
        for each in self._agents.values():
            each.renew(right)

    def doubt_all(self, why: str) -> None:
        """Order nothing from a worker until it has reported anew."""
        for each in self._agents.values():
            each.doubt(why)

    def tick(self, now: float) -> None:
        """Do what is due."""
        for request in self._takeover.due(now):
            self._resume(request.source, request.asked, now)
        self._takeover.tick(now)
        self._drop_gone(now)
        for batch in list(self._batches.values()):
            if batch.link is None and (
                now >= batch.orphaned_at + self._cfg.orphan_s
            ):
                self._drop(batch, 'coordinator lost')
        self._recall.expire(now)
        self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Order runs of waiting tasks as far as there is room."""
        waiting = [batch for batch in self._batches.values() if batch.waiting()]
        if not waiting:
            return
        candidates = placement.usable(self._agents.values(), now)
        if candidates:
            self._best_speed = placement.best_speed(candidates)
        waiting.sort(key=self._latest_start)
        for batch in waiting:
            self._place(batch, candidates, now)
            if batch.waiting():
                self._review(batch, now)

    def state(self, now: float) -> dict[str, object]:
        """Return workers and queue for the state dump."""
        return {
            'cell': self.cell,
            'epoch': self.right.epoch,
            'rank': self.right.rank,
            'workers': [each.state(now) for each in self._agents.values()],
            'batches': len(self._batches),
            'waiting': self._count_waiting(),
        }

    # Events of agents.

    def ended(self, run: runs.Run, how: workers.Ending) -> None:
        """Note the end of a run as its worker says."""
        owner = self._agents[run.worker]
        self._release(run)
        took_s = self._clock.now() - run.ordered_at
        self._metrics.count('runs_ended_total', how=how.value)
        self._metrics.observe('run_seconds', took_s, how=how.value)
        if how is not workers.Ending.DONE:
            _LOG.info(
                'Run ended.',
                extra={
                    'job': run.batch.job,
                    'task': run.task,
                    'run': run.number,
                    'worker': run.worker,
                    'how': how.value,
                    'took_s': round(took_s, 4),
                    'suspect': owner.health.is_suspect,
                },
            )
        is_own_fault = (
            how is workers.Ending.FAILED and not owner.health.is_suspect
        )
        if run.index in run.batch.tasks:
            if how is workers.Ending.DONE:
                self._tell(run.batch, run.index, run.number, jobs.TaskEnd.DONE)
            elif is_own_fault:
                self._tell(
                    run.batch, run.index, run.number, jobs.TaskEnd.FAILED
                )
            else:
                self._requeue(run)
        else:
            self._note_dropped_end(run, how)
        self.dispatch(self._clock.now())

    def lost(self, run: runs.Run, cause: str) -> None:
        """Queue a task again whose run does not exist."""
        self._release(run)
        _LOG.info(
            'Run lost.',
            extra={
                'job': run.batch.job,
                'task': run.task,
                'run': run.number,
                'worker': run.worker,
                'cause': cause,
            },
        )
        self._metrics.count('runs_lost_total')
        self._requeue(run)
        self.dispatch(self._clock.now())

    def has_room(self) -> None:
        """Use room that became free."""
        self.dispatch(self._clock.now())

    def superseded(self, source: agent.Agent) -> None:
        """Give the cell up: a worker knows a newer owner."""
        self._events.superseded(self)

    def strays(self, source: agent.Agent, found: list[workers.Running]) -> None:
        """Stop runs that nobody asked for, unless they may be adopted."""
        if not self._takeover.is_open:
            source.stop_unknown()

    # Life of a batch.

    def _drop_gone(self, now: float) -> None:
        """Forget workers that have left for good."""
        for worker_id, each in list(self._agents.items()):
            if each.is_gone(now):
                self._agents.pop(worker_id)
                self._former_counts[worker_id] = each.count
                each.abandon()

    def _add(self, worker: workers.Worker) -> None:
        added = agent.Agent(
            worker=worker,
            right=self.right,
            api=self._api,
            clock=self._clock,
            metrics=self._metrics,
            events=self,
            cfg=self._cfg.calls,
            count=self._former_counts.pop(worker.worker, -1) + 1,
        )
        self._agents[worker.worker] = added
        added.open()

    def _rejoin(
        self, known: runs.Batch, source: link.Link, asked: messages.Submit
    ) -> None:
        """Give a batch that exists to the coordinator that asks now."""
        if known.link is not None and known.link is not source:
            for index, task in known.tasks.items():
                self._send_end(known, index, task.number, jobs.TaskEnd.REPLACED)
        known.link = source
        for index, number in asked.tasks:
            if index in known.tasks:
                continue
            name = runs.task_name(asked.job, asked.step, index)
            last = self._recall.find(name)
            if last is None or number > last.number:
                known.tasks[index] = runs.Task(number=number)
            else:
                self._send_end(known, index, last.number, last.how)
        self.dispatch(self._clock.now())

    def _resume(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> None:
        """Take over what a former owner ordered for a coordinator."""
        is_sure = self._takeover.knows_all_runs()
        batch = self._new_batch(source, asked, now)
        fresh: dict[int, int] = {}
        for index, number in asked.tasks:
            if not self._adopt(batch, index, now):
                fresh[index] = number
        if batch.tasks:
            self._batches[(asked.job, asked.step)] = batch
        _LOG.info(
            'Job resumed.',
            extra={
                'job': asked.job,
                'adopted': sorted(batch.tasks),
                'missing': sorted(fresh),
                'all_workers_known': is_sure,
            },
        )
        if fresh and not is_sure:
            # They may run on a worker that has not reported.
            for index, number in fresh.items():
                self._send_end(batch, index, number, jobs.TaskEnd.LATE)
        elif fresh:
            self._take(source, asked, fresh, now)

    def _adopt(self, batch: runs.Batch, index: int, now: float) -> bool:
        """Take a task over, or answer for it, if a worker lists it."""
        run = self._takeover.adopt(batch, index, now)
        if run is not None:
            self._live[run.task] = run
            batch.tasks[index] = runs.Task(number=run.number + 1, run=run)
            batch.started = True
            return True
        end = self._takeover.find_done(
            runs.task_name(batch.job, batch.step, index)
        )
        if end is not None:
            self._send_end(batch, index, end.run, jobs.TaskEnd.DONE)
        return end is not None

    def _new_batch(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> runs.Batch:
        arrived_at = now - asked.age_s
        bound_s = asked.estimate_s * asked.stretch + asked.slack_s
        return runs.Batch(
            job=asked.job,
            step=asked.step,
            route=asked.route,
            service=asked.service,
            payload=asked.payload,
            shape=jobs.Shape(
                millicores=asked.millicores,
                memory_mb=asked.memory_mb,
                gpus=asked.gpus,
            ),
            requires=asked.requires,
            link=source,
            work_s=asked.estimate_s,
            arrived_at=arrived_at,
            due_at=arrived_at + bound_s,
            late_at=arrived_at + bound_s * self._cfg.late_factor,
            deadline=now + asked.left_s,
            firm=asked.firm,
            started=asked.resumed,
        )

    def _take(
        self,
        source: link.Link,
        asked: messages.Submit,
        tasks: dict[int, int],
        now: float,
    ) -> None:
        key = (asked.job, asked.step)
        batch = self._batches.get(key)
        if batch is None:
            batch = self._new_batch(source, asked, now)
        tasks = self._answer_done(batch, tasks)
        if not tasks:
            return
        self._batches[key] = batch
        for index, number in tasks.items():
            batch.tasks[index] = runs.Task(number=number)
        self._typical_millicores += 0.05 * (
            asked.millicores - self._typical_millicores
        )
        self._move_overflow(batch, now)
        self.dispatch(now)

    def _answer_done(
        self, batch: runs.Batch, tasks: dict[int, int]
    ) -> dict[int, int]:
        """Answer for tasks that have ended well; return the others."""
        left: dict[int, int] = {}
        for index, number in tasks.items():
            name = runs.task_name(batch.job, batch.step, index)
            last = self._recall.find(name)
            if last is not None and last.how is jobs.TaskEnd.DONE:
                self._send_end(batch, index, last.number, last.how)
            else:
                left[index] = number
        if len(left) < len(tasks):
            _LOG.info(
                'Done tasks are not repeated.',
                extra={
                    'job': batch.job,
                    'step': batch.step,
                    'done': sorted(set(tasks).difference(left)),
                    'left': sorted(left),
                },
            )
            self._metrics.count('tasks_recalled_total', len(tasks) - len(left))
        return left

    def _note_dropped_end(self, run: runs.Run, how: workers.Ending) -> None:
        """Remember that a task ended well after its job was given up."""
        _LOG.info(
            'End of a dropped task.',
            extra={'task': run.task, 'run': run.number, 'how': how.value},
        )
        if how is workers.Ending.DONE:
            self._recall.note(
                run.task,
                number=run.number,
                how=jobs.TaskEnd.DONE,
                now=self._clock.now(),
            )

    def _move_overflow(self, batch: runs.Batch, now: float) -> None:
        """Send tasks that find no room here to cells that have some."""
        if batch.firm:
            return
        mine = len(batch.waiting())
        queued = sum(
            len(other.waiting())
            for other in self._batches.values()
            if other is not batch
        )
        free = placement.count_free(
            batch.shape.millicores,
            placement.usable(self._agents.values(), now),
        )
        excess = min(mine, mine + queued - free)
        for cell, room in sorted(
            self._others.items(), key=lambda offered: -offered[1]
        ):
            if cell == self.cell:
                continue
            count = min(excess, room)
            if count > 0:
                self._decline(
                    batch,
                    batch.waiting()[-count:],
                    cause='more room there',
                    other=cell,
                )
                excess -= count

    def _count_waiting(self) -> int:
        return sum(len(batch.waiting()) for batch in self._batches.values())

    def _place(
        self, batch: runs.Batch, candidates: list[agent.Agent], now: float
    ) -> None:
        placed: dict[int, ids.WorkerId] = {}
        for index in batch.waiting():
            name = runs.task_name(batch.job, batch.step, index)
            if name in self._live:
                continue
            chosen = placement.choose(
                batch, candidates, best=self._best_speed, now=now
            )
            if chosen is None:
                break
            self._start(batch, index, chosen, now)
            placed[index] = chosen.worker.worker
        if placed:
            _LOG.info(
                'Tasks ordered.',
                extra={
                    'job': batch.job,
                    'step': batch.step,
                    'placed': placed,
                    'waiting': len(batch.waiting()),
                    'age_s': round(now - batch.arrived_at, 4),
                    'due_s': round(batch.due_at - now, 4),
                    'epoch': self.right.epoch,
                    'rank': self.right.rank,
                    'list_age_s': round(now - self._listed_at, 3),
                },
            )

    def _start(
        self, batch: runs.Batch, index: int, chosen: agent.Agent, now: float
    ) -> None:
        task = batch.tasks[index]
        run = runs.Run(
            task=runs.task_name(batch.job, batch.step, index),
            number=task.number,
            batch=batch,
            index=index,
            worker=chosen.worker.worker,
            ordered_at=now,
        )
        task.number += 1
        task.run = run
        batch.started = True
        self._live[run.task] = run
        self._metrics.count('runs_ordered_total')
        chosen.start(run, now)

    def _review(self, batch: runs.Batch, now: float) -> None:
        """Give a batch up whose tasks wait too long."""
        if not batch.started and now > self._latest_start(batch):
            self._decline(batch, batch.waiting(), cause='no room in time')
        elif now + batch.work_s > min(batch.late_at, batch.deadline):
            self._give_up(batch)

    def _latest_start(self, batch: runs.Batch) -> float:
        """Return when a task must start to be on time, in local seconds."""
        return batch.due_at - batch.work_s / self._best_speed

    def _decline(
        self,
        batch: runs.Batch,
        indices: list[int],
        *,
        cause: str,
        other: str = '',
    ) -> None:
        """Tell the coordinator that tasks will not start here."""
        for index in indices:
            batch.tasks.pop(index)
        self._forget_if_empty(batch)
        _LOG.info(
            'Tasks declined.',
            extra={
                'job': batch.job,
                'indices': indices,
                'cause': cause,
                'other': other,
                'age_s': round(self._clock.now() - batch.arrived_at, 4),
                'batches': len(self._batches),
            },
        )
        self._metrics.count('tasks_declined_total', len(indices))
        if batch.link is not None:
            batch.link.send(
                messages.Declined(
                    cell=self.cell,
                    job=batch.job,
                    step=batch.step,
                    indices=tuple(indices),
                    other=other,
                    cause=cause,
                    retry_s=1.0,
                )
            )

    def _give_up(self, batch: runs.Batch) -> None:
        for index in list(batch.tasks):
            self._send_end(
                batch, index, batch.tasks[index].number, jobs.TaskEnd.LATE
            )
        self._drop(batch, 'too late')

    def _drop(self, batch: runs.Batch, cause: str) -> None:
        """Forget a batch and stop what runs of it."""
        _LOG.info(
            'Batch dropped.',
            extra={
                'job': batch.job,
                'step': batch.step,
                'cause': cause,
                'tasks': len(batch.tasks),
            },
        )
        tasks = list(batch.tasks.values())
        batch.tasks.clear()
        self._forget_if_empty(batch)
        for task in tasks:
            if task.run is not None:
                self._agents[task.run.worker].stop(task.run)

    def _release(self, run: runs.Run) -> None:
        """Note that a run does not exist any more."""
        if self._live.get(run.task) is run:
            self._live.pop(run.task)
        batch = self._batches.get((run.batch.job, run.batch.step))
        if batch is not None and run.index in batch.tasks:
            task = batch.tasks[run.index]
            task.number = max(task.number, run.number + 1)

    def _requeue(self, run: runs.Run) -> None:
        task = run.batch.tasks.get(run.index)
        if task is not None and task.run is run:
            task.run = None

    def _tell(
        self, batch: runs.Batch, index: int, number: int, how: jobs.TaskEnd
    ) -> None:
        """End a task and tell its coordinator."""
        batch.tasks.pop(index)
        self._forget_if_empty(batch)
        self._send_end(batch, index, number, how)

    def _send_end(
        self, batch: runs.Batch, index: int, number: int, how: jobs.TaskEnd
    ) -> None:
        name = runs.task_name(batch.job, batch.step, index)
        self._recall.note(name, number=number, how=how, now=self._clock.now())
        if batch.link is not None:
            batch.link.send(
                messages.Ended(
                    cell=self.cell,
                    job=batch.job,
                    step=batch.step,
                    index=index,
                    run=number,
                    how=how.value,
                )
            )

    def _forget_if_empty(self, batch: runs.Batch) -> None:
        key = (batch.job, batch.step)
        if not batch.tasks and self._batches.get(key) is batch:
            self._batches.pop(key)
