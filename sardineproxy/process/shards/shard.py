"""Leads one shard: queues its tasks, dispatches them and handles results."""

from typing import Callable, Iterable, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.load import free_capacity
from sardineproxy.process.membership import evacuations, worker_reports
from sardineproxy.process.shards import evacuation, mover
from sardineproxy.process.shards import (
    agent,
    agent_set,
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
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._context = context
        self._cfg = cfg
        self._leader_since = clock.now()
        self._agent_set = agent_set.AgentSet(
            token=token,
            api=api,
            clock=clock,
            metrics=metrics,
            events=self,
            cfg=cfg.calls,
        )
        self._agents = self._agent_set.by_worker
        self._backlog = backlog.Backlog(
            shard=shard,
            clock=clock,
            metrics=metrics,
            result_retention_s=cfg.recall_s,
        )
        self._is_leadership_confirmed = True

        #: Local time, in seconds, until which a worker may show that there is a
        #: newer leader.
        self._fence_refused_until: float = 0

        #: Batches without a link to their coordinator.
        self._detached: dict[runs.BatchKey, runs.Batch] = {}
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

    @property
    def is_leadership_confirmed(self) -> bool:
        """Return whether no other process can lead the shard."""
        return self._is_leadership_confirmed

    def limit_former_runs(self, leader_lost_at: float) -> None:
        """Let the former leader's runs end unless they are resumed soon.

        ``leader_lost_at`` is the local time of its loss, in seconds, minus
        infinity if it is not known. Clients send the jobs of a lost VM again.
        """
        until = leader_lost_at + self._cfg.former_lease_s
        self.lose_history()
        self._agent_set.former_runs_until = until
        self._takeover.limit_adoption(until)

    def lose_history(self) -> None:
        """Record that jobs of the shard's clients may have run elsewhere."""
        self._backlog.recent_jobs.lose_history(self._clock.now())

    def expect_unlisted_runs(self) -> None:
        """Start no resumed task until the former leader's runs have ended.

        The entries of workers may have expired, although they still run tasks,
        and it is not known which. Jobs that are not stored end at once.
        """
        self._takeover.may_have_unlisted_runs = True

    def add_former_workers(self, former: Iterable[workers.Worker]) -> None:
        """Add workers without a valid entry which the former leader used.

        Their runs are adopted like those of listed workers.
        """
        self._agent_set.add_unlisted(former)

    def step_down(self) -> None:
        """Start no more runs, because another process leads the shard."""
        self._scheduler.permissions.is_leader = False

    async def close(self) -> None:
        """Stop all calls to workers; their runs continue."""
        self.step_down()
        await self._agent_set.close()

    def set_workers(
        self, listed: Iterable[workers.Worker], *, complete: bool
    ) -> None:
        """Apply the newest list of the shard's workers.

        ``complete`` means that the list is certain to contain every worker
        that the former leader may have used.
        """
        self._takeover.is_list_expected = complete
        if complete and self._context.workers_listed_at() >= self._leader_since:
            self._takeover.is_worker_list_complete = True
        self._agent_set.set_listed(listed)
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
                self._detach(batch, now)
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
        self._agent_set.renew_token(token)

    def mark_all_unconfirmed(self, cause: str) -> None:
        """Start no runs on any worker until it has sent a new report."""
        self._agent_set.mark_all_unconfirmed(cause)

    def uses(self, worker: ids.WorkerId) -> bool:
        """Return whether runs of this shard may exist on a worker."""
        return worker in self._agents

    def report_workers(
        self,
        list_revision: int,
        is_listed: Callable[[ids.WorkerId], bool],
        now: float,
    ) -> worker_reports.WorkerReport:
        """Return what a new leader must know of this shard's workers.

        ``list_revision`` is the revision of the newest list of workers, and
        ``is_listed`` tells whether it has a valid entry of a worker.
        """
        return worker_reports.WorkerReport(
            list_revision=list_revision,
            is_complete=self._takeover.are_all_workers_known(now),
            unlisted=tuple(
                worker_agent.worker
                for worker_id, worker_agent in self._agents.items()
                if not is_listed(worker_id)
            ),
        )

    def tick(self, now: float) -> None:
        """Run the periodic work: takeover, removals, expiry and dispatch.

        Called about every 0.1 s.
        """
        self._intake.submit_deferred(now)
        self._takeover.stop_unresumed(now)
        self._update_permissions(now)
        self._remove_unlisted(now)
        self._detach_replaced(now)
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

    def fence_refused(self, source: agent.Agent, *, until: float) -> None:
        """Start no run while it is unknown whether there is a newer leader."""
        self._fence_refused_until = until
        self._scheduler.permissions.is_fence_accepted = False

    def fence_accepted(self, source: agent.Agent) -> None:
        """Start runs again, as an inquiry had raised the fence of a worker."""
        self._fence_refused_until = 0
        self._scheduler.permissions.is_fence_accepted = True
        self._scheduler.refresh_all(self._clock.now())

    def unrequested_runs(
        self, source: agent.Agent, unrequested: list[workers.ActiveRun]
    ) -> None:
        """Stop unrequested runs, unless they may still be adopted."""
        for active_run in unrequested:
            self._backlog.recent_jobs.add(
                runs.job_of(active_run.task), self._clock.now()
            )
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
        permissions.is_fence_accepted = now >= self._fence_refused_until
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

    def _detach_replaced(self, now: float) -> None:
        """Detach the batches of VMs that no longer manage their jobs.

        The link to such a VM may stay open, and the job's new manager may have
        none to this leader.
        """
        for batch in self._backlog.all():
            former = batch.link
            if former is None or not batch.home_shard:
                continue
            if self._context.manager_vm(batch.home_shard) == former.peer.vm:
                batch.managed_at = now
            elif now - batch.managed_at >= times.MANAGER_REPORT_S:
                _LOG.warning(
                    'Job manager replaced, tasks detached from it.',
                    extra={
                        'job': batch.job,
                        'home': batch.home_shard,
                        'from': former.peer.vm,
                        'tasks': len(batch.tasks),
                    },
                )
                self._backlog.reattach(batch, None)
                self._stored_results.release_claims(former)
                self._detach(batch, batch.managed_at)

    def _detach(self, batch: runs.Batch, detached_at: float) -> None:
        """Let a batch without a link wait for a coordinator."""
        batch.detached_at = detached_at
        self._detached[batch.key] = batch

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
        self._agent_set.set_leadership_confirmed(is_confirmed)

    def _remove_unlisted(self, now: float) -> None:
        """Remove unlisted workers on which nothing can run any more.

        Runs of a former leader are known once the worker has reported.
        """
        may_have_former_runs = not self._takeover.have_all_ended(now)
        unreported = {
            worker_id
            for worker_id, worker_agent in self._agents.items()
            if not worker_agent.has_reported
        }
        removed = self._agent_set.remove_unused(
            lambda worker_agent: (
                may_have_former_runs and not worker_agent.has_reported
            ),
            now,
        )
        if unreported.intersection(removed):
            self._takeover.may_have_unlisted_runs = True
        for worker_id in removed:
            self._scheduler.worker_changed(worker_id, now)

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
