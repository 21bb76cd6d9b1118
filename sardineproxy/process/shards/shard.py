"""A cell that this process owns: queue, placement, and ends of tasks."""

import dataclasses
from typing import Iterable, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    agent,
    backlog,
    fences,
    ordering,
    rooms,
    runs,
    stored_ends,
    takeover,
    times,
    workers,
)
from sardineproxy.request import jobs

_LOG = logs.get_logger('cell')


class Events(Protocol):
    """Hears of the cell's end."""

    def superseded(self, shard: 'ShardLeader') -> None:
        """Another process has taken the cell over."""


class Surroundings(ordering.Listing, stored_ends.Homes, Protocol):
    """What a cell must know of the rest of its process."""

    def confirmed_at(self, shard: ids.ShardId, now: float) -> float:
        """Return when this process last knew that it owns a cell.

        Local time, in seconds: the store has answered, or all that may
        inherit the cell were in reach.
        """


class ShardLeader:  # noqa: WPS214
    """The workers of one cell and the tasks for them."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        right: fences.Right,
        api: workers.WorkerApi,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        events: Events,
        others: rooms.Rooms,
        around: Surroundings,
        cfg: times.ShardTiming,
    ) -> None:
        """Own a cell; ``others`` tells how much room other cells have."""
        self.shard = shard
        self.right = right
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._around = around
        self._cfg = cfg
        self._opened_at = clock.now()
        self._agents: dict[ids.WorkerId, agent.Agent] = {}

        #: Counts of fences of workers that have left, as one may come back.
        self._former_counts: dict[ids.WorkerId, int] = {}
        self._backlog = backlog.Backlog(
            shard=shard, clock=clock, metrics=metrics, recall_s=cfg.recall_s
        )
        self._is_confirmed = True
        self._takeover = takeover.Takeover(
            agents=self._agents,
            backlog=self._backlog,
            cfg=cfg,
            opened_at=self._opened_at,
        )
        self._stored_ends = stored_ends.StoredEnds(
            shard=shard,
            agents=self._agents,
            homes=around,
            takeover=self._takeover,
            clock=clock,
            cfg=cfg,
        )
        self._ordering = ordering.Ordering(
            shard=shard,
            right=right,
            agents=self._agents,
            backlog=self._backlog,
            others=others,
            listing=around,
            metrics=metrics,
            cfg=cfg,
        )

    async def close(self) -> None:
        """Stop all calls to workers; what runs there runs on."""
        for each in self._agents.values():
            await each.close()

    def set_workers(
        self, listed: Iterable[workers.Worker], *, complete: bool
    ) -> None:
        """Use the newest list of the cell's workers.

        It is ``complete`` if it is no older than a former owner's.
        """
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
        known = self._backlog.get((asked.job, asked.step))
        if known and asked.stored:
            self._rejoin_stored(known, source, asked, now)
        elif known:
            self._backlog.rejoin(known, source, dict(asked.tasks))
            self.dispatch(now)
        elif asked.resumed and self._takeover.must_wait(asked, now):
            self._takeover.wait(source, asked)
        elif asked.resumed:
            self._resume(source, asked, now)
        else:
            self._take(source, asked, dict(asked.tasks), now)

    def withdraw(self, source: link.Link, job: ids.JobId) -> None:
        """Drop all tasks of a job."""
        for batch in self._backlog.all():
            if batch.job == job and batch.link is source:
                self._ordering.drop(batch, 'withdrawn')
        self._takeover.forget(source, job)

    def link_lost(self, lost: link.Link, now: float) -> None:
        """Keep the tasks of a coordinator for a short while."""
        for batch in self._backlog.all():
            if batch.link is lost:
                batch.link = None
                batch.orphaned_at = now
        self._stored_ends.unclaim(lost)
        self._takeover.forget(lost)

    def note_ends(self, noted: messages.EndsNoted) -> None:
        """Let workers forget ends of a stored job that are stored now."""
        self._stored_ends.note(noted)

    def free_tasks(self, now: float) -> int:
        """Return how many more average tasks could start now."""
        return self._ordering.free_tasks(now)

    def renew(self, right: fences.Right) -> None:
        """Use a higher right of this owner from now on."""
        self.right = right
        self._ordering.right = right
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
            self.submit(request.source, request.asked, now)
        self._takeover.tick(now)
        self._drop_gone(now)
        self._stored_ends.report(now)
        self._check_confirmed(now)
        for batch in self._backlog.all():
            if batch.link is None and self._stored_ends.is_abandoned(
                batch, now
            ):
                self._ordering.drop(batch, 'coordinator lost')
        self._backlog.expire(now)
        self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Order runs of waiting tasks as far as there is room."""
        if self._knows_list(now):
            self._ordering.dispatch(with_stored=self._is_confirmed, now=now)

    def state(self, now: float) -> dict[str, object]:
        """Return workers and queue for the state dump."""
        return {
            'cell': self.shard,
            'epoch': self.right.epoch,
            'rank': self.right.rank,
            'workers': [each.state(now) for each in self._agents.values()],
            'batches': len(self._backlog),
            'waiting': self._backlog.count_waiting(),
        }

    # Events of agents.

    def ended(self, run: runs.Run, how: workers.Ending) -> None:
        """Note the end of a run as its worker says."""
        owner = self._agents[run.worker]
        self._backlog.release(run)
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
        self._settle(run, how, is_suspect=owner.health.is_suspect)
        self.dispatch(self._clock.now())

    def lost(self, run: runs.Run, cause: str) -> None:
        """Queue a task again whose run does not exist."""
        self._backlog.release(run)
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
        self._backlog.requeue(run)
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

    def _knows_list(self, now: float) -> bool:
        """Tell whether workers that leave are known, as far as they can be.

        A VM that does not own a cell reads the list seldom.
        """
        if self._around.listed_at() >= self._opened_at:
            return True
        waited = now >= self._opened_at + self._cfg.list_wait_s
        return waited or not self._around.list_answers()

    def _check_confirmed(self, now: float) -> None:
        """Let stored jobs' runs lapse while another owner may exist.

        The next owner starts them elsewhere even if their worker is silent.
        """
        unconfirmed_s = now - self._around.confirmed_at(self.shard, now)
        is_confirmed = unconfirmed_s < self._cfg.unconfirmed_s
        if is_confirmed is not self._is_confirmed:
            self._is_confirmed = is_confirmed
            _LOG.warning(
                'Ownership confirmed again.'
                if is_confirmed
                else 'Ownership not confirmed, runs of stored jobs may lapse.',
                extra={
                    'cell': self.shard,
                    'epoch': self.right.epoch,
                    'unconfirmed_s': round(unconfirmed_s, 3),
                },
            )
        for each in self._agents.values():
            each.is_confirmed = is_confirmed

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

    def _rejoin_stored(
        self,
        known: runs.Batch,
        source: link.Link,
        asked: messages.Submit,
        now: float,
    ) -> None:
        """Go on with a stored job's batch, and take further tasks of it."""
        tasks = self._stored_ends.answer(known, source, asked)
        others = {
            index: number
            for index, number in tasks.items()
            if index not in known.tasks
        }
        self._backlog.rejoin(known, source, {})
        self._ordering.tell_begun_anew(known)
        if others and asked.resumed:
            if self._takeover.must_wait(asked, now):
                self._takeover.wait(
                    source,
                    dataclasses.replace(asked, tasks=tuple(others.items())),
                )
                return
            others = self._takeover.resume(known, others, now)
        self._backlog.rejoin(known, source, others)
        self.dispatch(now)

    def _resume(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> None:
        """Take over what a former owner ordered for a coordinator."""
        batch = self._make_batch(source, asked, now)
        tasks = self._stored_ends.answer(batch, source, asked)
        fresh = self._takeover.resume(batch, tasks, now)
        self._backlog.add(batch)
        self._ordering.tell_begun_anew(batch)
        if fresh:
            self._take(source, asked, fresh, now)

    def _take(
        self,
        source: link.Link,
        asked: messages.Submit,
        tasks: dict[int, int],
        now: float,
    ) -> None:
        batch = self._backlog.get((asked.job, asked.step))
        if batch is None:
            batch = self._make_batch(source, asked, now)
        for index, number in self._backlog.answer_done(batch, tasks).items():
            batch.tasks[index] = runs.Task(number=number)
        if not batch.tasks:
            return
        self._backlog.add(batch)
        self._ordering.note_size(asked.millicores)
        self._ordering.move_overflow(batch, now)
        self.dispatch(now)

    def _settle(
        self, run: runs.Run, how: workers.Ending, *, is_suspect: bool
    ) -> None:
        """Decide what the end of a run means for its task."""
        is_wanted = run.index in run.batch.tasks
        if is_wanted:
            self._stored_ends.claim(run)
        match how:
            case _ if not is_wanted:
                self._backlog.note_dropped_end(run, how)
            case workers.Ending.DONE:
                self._backlog.end(run, jobs.TaskResult.DONE)
            case workers.Ending.FAILED if run.batch.stored or not is_suspect:
                self._backlog.end(run, jobs.TaskResult.FAILED)
            case _:
                self._backlog.requeue(run)

    def _make_batch(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> runs.Batch:
        return runs.make_batch(
            asked, link=source, late_factor=self._cfg.late_factor, now=now
        )
