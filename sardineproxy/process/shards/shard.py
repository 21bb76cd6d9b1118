"""Leads one shard: queues its tasks, dispatches them and handles results."""

from typing import Iterable, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.load import free_capacity
from sardineproxy.process.membership import evacuations
from sardineproxy.process.shards import evacuation, listing, mover
from sardineproxy.process.shards import (
    agent,
    backlog,
    fencing,
    intake,
    manager_tokens,
    scheduler,
    shard_capacities,
    runs,
    stored_results,
    takeover,
    times,
    workers,
)
from sardineproxy.request import jobs

_LOG = logs.get_logger('cell')


class Events(Protocol):
    """Receives the events of a shard leader."""

    def superseded(self, shard: 'ShardLeader') -> None:
        """Handle the takeover of the shard by another process."""


class ShardContext(
    scheduler.WorkerListStatus,
    stored_results.JobManagers,
    mover.WorkerLists,
    Protocol,
):
    """State of the rest of the process that a shard leader depends on."""

    @property
    def manager_tokens(self) -> manager_tokens.ManagerTokens:
        """Return the highest tokens seen, to recognize replaced managers."""

    def leadership_confirmed_at(self, shard: ids.ShardId, now: float) -> float:
        """Return when leadership of a shard was last confirmed.

        Local time, in seconds. Leadership is confirmed when the store
        responds, or while all possible successors are reachable.
        """


class ShardLeader:  # noqa: WPS214
    """Dispatches the tasks of one shard to its workers."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        token: fencing.FencingToken,
        api: workers.WorkerApi,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        events: Events,
        capacities: shard_capacities.ShardCapacities,
        context: ShardContext,
        cfg: times.ShardTiming,
    ) -> None:
        """Become the leader of a shard.

        ``capacities`` holds the free capacity of the other shards.
        """
        self.shard = shard
        self.token = token
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._context = context
        self._cfg = cfg
        self._leader_since = clock.now()
        self._agents: dict[ids.WorkerId, agent.Agent] = {}

        #: Fence counts of removed workers. A worker that is listed again
        #: refuses lower fences than it has already seen.
        self._former_fence_counts: dict[ids.WorkerId, int] = {}
        self._backlog = backlog.Backlog(
            shard=shard,
            clock=clock,
            metrics=metrics,
            result_retention_s=cfg.recall_s,
        )
        self._is_leadership_confirmed = True

        #: Batches without a link to their coordinator.
        self._detached: dict[runs.BatchKey, runs.Batch] = {}
        self._unlisted: set[ids.WorkerId] = set()
        self._takeover = takeover.Takeover(
            agents=self._agents,
            backlog=self._backlog,
            cfg=cfg,
            leader_since=self._leader_since,
        )
        self._stored_results = stored_results.StoredResults(
            shard=shard,
            agents=self._agents,
            job_managers=context,
            takeover=self._takeover,
            clock=clock,
            cfg=cfg,
        )
        self._scheduler = scheduler.Scheduler(
            shard=shard,
            token=token,
            agents=self._agents,
            backlog=self._backlog,
            capacities=capacities,
            list_status=context,
            metrics=metrics,
            cfg=cfg,
        )
        self._evacuation = evacuation.ShardEvacuation(
            shard=shard,
            agents=self._agents,
            backlog=self._backlog,
            scheduler=self._scheduler,
            takeover=self._takeover,
            capacities=capacities,
            metrics=metrics,
            cfg=cfg,
        )
        self._mover = mover.Mover(
            shard=shard,
            agents=self._agents,
            backlog=self._backlog,
            scheduler=self._scheduler,
            capacities=capacities,
            worker_lists=context,
            metrics=metrics,
            cfg=cfg,
        )
        self._intake = intake.Intake(
            backlog=self._backlog,
            scheduler=self._scheduler,
            takeover=self._takeover,
            stored_results=self._stored_results,
            manager_tokens=context.manager_tokens,
            cfg=cfg,
        )

    def expect_unlisted_runs(self) -> None:
        """Let stored jobs wait until the former leader's runs have ended.

        For the shard of a zone that seems to be lost. The entries of its
        workers may have expired, although the workers still run tasks.
        """
        self._takeover.has_unlisted_runs = True

    def step_down(self) -> None:
        """Start no more runs, because another process leads the shard."""
        self._scheduler.permissions.is_leader = False

    async def close(self) -> None:
        """Stop all calls to workers; their runs continue."""
        self.step_down()
        for worker_agent in self._agents.values():
            await worker_agent.close()

    def set_workers(
        self, listed: Iterable[workers.Worker], *, complete: bool
    ) -> None:
        """Apply the newest list of the shard's workers.

        ``complete`` means that the list is certain to contain every worker
        that the former leader may have used.
        """
        if complete:
            self._takeover.is_worker_list_complete = True
        by_id = {worker.worker: worker for worker in listed}
        for worker_id, worker in by_id.items():
            existing = self._agents.get(worker_id)
            if existing is None:
                self._add(worker)
            elif existing.worker == worker:
                existing.apply_listing(listing.Event.ENTRY_UNCHANGED)
            else:
                existing.update(worker)
        self._unlisted.difference_update(by_id)
        for worker_id, worker_agent in self._agents.items():
            if worker_id not in by_id:
                worker_agent.apply_listing(listing.Event.ENTRY_MISSING)
                self._unlisted.add(worker_id)
        self._scheduler.refresh_all(self._clock.now())

    def set_evacuation(self, status: evacuations.Status, now: float) -> None:
        """Apply whether the zone is evacuated."""
        self._evacuation.set_status(status, now)

    def submit(
        self, source: link.Link, message: messages.Submit, now: float
    ) -> None:
        """Queue the tasks that a coordinator submits."""
        self._intake.submit(source, message, now)
        self._evacuation.submitted(message.job, now)

    def withdraw(self, source: link.Link, job: ids.JobId) -> None:
        """Drop all tasks of a job and stop their runs."""
        self._intake.withdraw(source, job)

    def withdraw_tasks(
        self, source: link.Link, message: messages.WithdrawTasks
    ) -> None:
        """Drop tasks that have ended elsewhere, and stop their runs."""
        self._intake.withdraw_tasks(source, message)

    def link_lost(self, lost_link: link.Link, now: float) -> None:
        """Detach a coordinator's batches.

        They are dropped if no coordinator submits them again in time.
        """
        for batch in self._backlog.all():
            if batch.link is lost_link:
                batch.link = None
                batch.detached_at = now
                self._detached[batch.key] = batch
        self._stored_results.release_claims(lost_link)
        self._takeover.discard(lost_link)

    def coordinator_links(self) -> set[link.Link]:
        """Return the links to the coordinators of unfinished tasks."""
        return {
            batch.link
            for batch in self._backlog.all()
            if batch.link is not None
        }

    def acknowledge_results(self, message: messages.ResultsStored) -> None:
        """Acknowledge stored results to their workers."""
        self._stored_results.acknowledge(message)

    def count_startable_tasks(self) -> int:
        """Return how many additional tasks of average size could start."""
        return self._scheduler.count_startable_tasks()

    def free_capacity(self) -> tuple[free_capacity.WorkerClass, ...] | None:
        """Return the free capacity by class, None if no tasks are accepted."""
        return self._scheduler.report_free_capacity(self._clock.now())

    def renew_token(self, token: fencing.FencingToken) -> None:
        """Use a higher fencing token of this leader from now on."""
        self.token = token
        self._scheduler.token = token
        self._former_fence_counts.clear()
        for worker_agent in self._agents.values():
            worker_agent.renew_token(token)

    def mark_all_unconfirmed(self, cause: str) -> None:
        """Start no runs on any worker until it has sent a new report."""
        for worker_agent in self._agents.values():
            worker_agent.mark_unconfirmed(cause)

    def tick(self, now: float) -> None:
        """Run the periodic work: takeover, removals, expiry and dispatch.

        Called about every 0.1 s.
        """
        self._intake.submit_deferred(now)
        self._takeover.stop_unresumed(now)
        self._update_permissions(now)
        self._remove_unlisted(now)
        self._stored_results.send_unclaimed(now)
        self._drop_abandoned(now)
        self._scheduler.drop_expired(now)
        self._backlog.expire(now)
        self._scheduler.refresh(now)
        self._scheduler.check_queue(now)
        self._evacuation.tick(now)
        self._mover.tick(now)

    def check_queue(self, now: float) -> None:
        """Decline or drop the tasks that are late."""
        self._scheduler.check_queue(now)

    def state(self, now: float) -> dict[str, object]:
        """Return the workers and queue lengths for the state dump."""
        return {
            'cell': self.shard,
            'epoch': self.token.epoch,
            'rank': self.token.rank,
            'workers': [
                worker_agent.state(now)
                for worker_agent in self._agents.values()
            ],
            'batches': len(self._backlog),
            'waiting': self._scheduler.waiting_count,
        }

    # Implementation of agent.Events.

    def run_finished(self, run: runs.Run, result: workers.RunResult) -> None:
        """Apply the result of a run that its worker reports as finished."""
        worker_agent = self._agents[run.worker]
        self._release(run)
        duration_s = self._clock.now() - run.ordered_at
        self._metrics.count('runs_ended_total', how=result.value)
        self._metrics.observe('run_seconds', duration_s, how=result.value)
        if result is not workers.RunResult.DONE:
            _LOG.info(
                'Run finished without success.',
                extra={
                    'job': run.batch.job,
                    'task': run.task,
                    'run': run.number,
                    'worker': run.worker,
                    'how': result.value,
                    'took_s': round(duration_s, 4),
                    'suspect': worker_agent.health.is_suspect,
                },
            )
        now = self._clock.now()
        if result is workers.RunResult.DONE:
            self._scheduler.run_succeeded(run, now)
        self._apply_result(
            run, result, is_suspect=worker_agent.health.is_suspect, now=now
        )
        self._scheduler.worker_changed(run.worker, now)

    def run_lost(self, run: runs.Run, cause: str) -> None:
        """Requeue the task of a run that no longer exists."""
        self._release(run)
        _LOG.info(
            'Run lost, task requeued.',
            extra={
                'job': run.batch.job,
                'task': run.task,
                'run': run.number,
                'worker': run.worker,
                'cause': cause,
            },
        )
        self._metrics.count('runs_lost_total')
        now = self._clock.now()
        self._requeue(run, now)
        self._scheduler.worker_changed(run.worker, now)

    def capacity_freed(self, source: agent.Agent) -> None:
        """Start waiting tasks on the freed capacity of a worker."""
        self._scheduler.worker_changed(source.worker.worker, self._clock.now())

    def superseded(self, source: agent.Agent) -> None:
        """Report that a worker has seen the fence of a newer leader."""
        self.step_down()
        self._events.superseded(self)

    def unrequested_runs(
        self, source: agent.Agent, unrequested: list[workers.ActiveRun]
    ) -> None:
        """Stop unrequested runs, unless they may still be adopted."""
        if not self._takeover.accepts_resumes:
            source.stop_unrequested()

    # Internals.

    def _is_list_current(self, now: float) -> bool:
        """Return whether the worker list is recent enough to dispatch.

        A VM that leads no shard reads the list rarely, so that its copy may
        show draining workers as ready. A new leader waits for a newer list,
        but no longer than ``list_wait_s``. No list is used that is older than
        ``list_age_s``, unless the store is down.
        """
        if not self._context.is_worker_list_available():
            return True
        listed_at = self._context.workers_listed_at()
        if now - listed_at > self._cfg.list_age_s:
            return False
        has_waited = now >= self._leader_since + self._cfg.list_wait_s
        return has_waited or listed_at >= self._leader_since

    def _update_permissions(self, now: float) -> None:
        """Update what may be started; start what was not permitted before."""
        permissions = self._scheduler.permissions
        self._update_confirmation(now)
        permissions.is_leadership_confirmed = self._is_leadership_confirmed
        was_current = permissions.is_list_current
        permissions.is_list_current = self._is_list_current(now)
        if permissions.is_list_current and not was_current:
            self._scheduler.refresh_all(now)

    def _drop_abandoned(self, now: float) -> None:
        """Drop detached batches that no coordinator has submitted again."""
        for key, batch in list(self._detached.items()):
            if batch.link is not None or not batch.tasks:
                self._detached.pop(key)
            elif self._stored_results.is_abandoned(batch, now):
                self._detached.pop(key)
                self._scheduler.drop(batch, 'coordinator lost')

    def _update_confirmation(self, now: float) -> None:
        """Let leases of stored jobs' runs expire if leadership is unconfirmed.

        Another leader may exist then, and it starts the runs elsewhere even
        if their worker does not respond.
        """
        unconfirmed_s = now - self._context.leadership_confirmed_at(
            self.shard, now
        )
        is_confirmed = unconfirmed_s < self._cfg.unconfirmed_s
        if is_confirmed is self._is_leadership_confirmed:
            return
        self._is_leadership_confirmed = is_confirmed
        _LOG.warning(
            'Leadership confirmed again.'
            if is_confirmed
            else 'Leadership not confirmed, '
            'leases of stored jobs are no longer extended.',
            extra={
                'cell': self.shard,
                'epoch': self.token.epoch,
                'unconfirmed_s': round(unconfirmed_s, 3),
            },
        )
        for worker_agent in self._agents.values():
            worker_agent.is_leadership_confirmed = is_confirmed

    def _remove_unlisted(self, now: float) -> None:
        """Remove unlisted workers on which nothing can run any more."""
        for worker_id in list(self._unlisted):
            worker_agent = self._agents[worker_id]
            if worker_agent.is_removable(now):
                self._unlisted.discard(worker_id)
                self._agents.pop(worker_id)
                self._former_fence_counts[worker_id] = worker_agent.fence_count
                worker_agent.abandon()
                self._scheduler.worker_changed(worker_id, now)

    def _add(self, worker: workers.Worker) -> None:
        worker_agent = agent.Agent(
            worker=worker,
            token=self.token,
            api=self._api,
            clock=self._clock,
            metrics=self._metrics,
            events=self,
            cfg=self._cfg.calls,
            fence_count=self._former_fence_counts.pop(worker.worker, -1) + 1,
        )
        self._agents[worker.worker] = worker_agent
        worker_agent.open()

    def _apply_result(
        self,
        run: runs.Run,
        result: workers.RunResult,
        *,
        is_suspect: bool,
        now: float,
    ) -> None:
        """Finish, requeue or ignore the task of a finished run."""
        is_pending = run.index in run.batch.tasks
        if is_pending:
            self._stored_results.claim(run)
        match result:
            case _ if not is_pending:
                self._backlog.record_dropped_result(run, result)
            case workers.RunResult.DONE:
                self._backlog.finish_task(run, jobs.TaskResult.DONE)
            case workers.RunResult.FAILED if run.batch.stored or not is_suspect:
                self._backlog.finish_task(run, jobs.TaskResult.FAILED)
            case _:
                self._requeue(run, now)

    def _release(self, run: runs.Run) -> None:
        """Remove a run that no longer exists."""
        self._backlog.release(run)
        self._scheduler.run_ended(run)

    def _requeue(self, run: runs.Run, now: float) -> None:
        """Start the task of a run that no longer exists again."""
        if self._backlog.requeue(run):
            self._scheduler.retry(run.batch, now)
