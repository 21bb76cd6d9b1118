"""Takes in the tasks that coordinators submit to a shard."""

import dataclasses

from sardineproxy import ids
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import (
    backlog,
    manager_tokens,
    runs,
    scheduler,
    stored_results,
    takeover,
    times,
)


class Intake:
    """Queues submitted tasks, unless they have a run or a result already."""

    def __init__(
        self,
        *,
        backlog: backlog.Backlog,
        scheduler: scheduler.Scheduler,
        takeover: takeover.Takeover,
        stored_results: stored_results.StoredResults,
        manager_tokens: manager_tokens.ManagerTokens,
        cfg: times.ShardTiming,
    ) -> None:
        """Create the intake of one shard."""
        self._backlog = backlog
        self._scheduler = scheduler
        self._takeover = takeover
        self._stored_results = stored_results
        self._manager_tokens = manager_tokens
        self._cfg = cfg

    def submit(
        self, source: link.Link, message: messages.Submit, now: float
    ) -> None:
        """Queue the tasks that a coordinator submits.

        A deferred submission may be that of a manager that was replaced since.
        """
        if not self._manager_tokens.admits(source, message):
            return
        if not message.stored:
            self._backlog.recent_jobs.record_wait(message.timeout_s)
        known = self._backlog.get((message.job, message.step))
        if known:
            self._reattach(known, source, message, now)
        elif message.resumed and self._takeover.must_defer(message, now):
            self._takeover.defer(source, message)
        elif message.resumed:
            self._resume(source, message, now)
        else:
            self._enqueue(source, message, dict(message.tasks), now)

    def submit_deferred(self, now: float) -> None:
        """Queue the deferred tasks that need not wait any longer."""
        for deferred in self._takeover.pop_ready(now):
            self.submit(deferred.source, deferred.submit, now)

    def withdraw(self, source: link.Link, job: ids.JobId) -> None:
        """Drop all tasks of a job and stop their runs."""
        for batch in self._backlog.of_job(job):
            if batch.link is source:
                self._scheduler.drop(batch, 'withdrawn')
        self._takeover.discard(source, job)

    def withdraw_tasks(
        self, source: link.Link, message: messages.WithdrawTasks
    ) -> None:
        """Drop some tasks of a job and stop their runs."""
        batch = self._backlog.get((message.job, message.step))
        if batch is not None and batch.link is source:
            self._scheduler.drop_tasks(batch, message.indices)

    def _reattach(
        self,
        batch: runs.Batch,
        source: link.Link,
        message: messages.Submit,
        now: float,
    ) -> None:
        """Reattach a known batch and add its further tasks.

        A former leader may have started them, although this one knows the
        batch: another task of the step may have been submitted before.
        """
        if not message.stored:
            batch.extend_deadline(now + message.timeout_s)
        tasks = self._stored_results.send_listed(batch, source, message)
        new_tasks = {
            index: run_number
            for index, run_number in tasks.items()
            if index not in batch.tasks
        }
        self._backlog.reattach(batch, source, message.authority)
        if self._backlog.recent_jobs.has_run_unknown_to(source, batch.job, now):
            batch.ran_before = True
        self._scheduler.report_start_again(batch)
        if not message.stored:
            new_tasks = self._backlog.recall(batch, new_tasks)
        if new_tasks and message.resumed:
            if self._takeover.must_defer(message, now):
                self._takeover.defer(
                    source,
                    dataclasses.replace(
                        message, tasks=tuple(new_tasks.items())
                    ),
                )
                return
            new_tasks = self._adopt(batch, new_tasks, now)
        self._add_tasks(batch, self._backlog.recall(batch, new_tasks), now)
        self._scheduler.retry(batch, now)

    def _adopt(
        self, batch: runs.Batch, tasks: dict[int, int], now: float
    ) -> dict[int, int]:
        """Adopt the runs of a batch; return the tasks that have none."""
        adopted_before = set(batch.tasks)
        unstarted = self._takeover.resume(batch, tasks, now)
        self._forecast_adopted(batch, adopted_before, now)
        return unstarted

    def _add_tasks(
        self, batch: runs.Batch, tasks: dict[int, int], now: float
    ) -> None:
        """Add tasks to a batch, with the active runs of a former leader.

        A client may have sent the job again through a VM that does not know of
        these runs.
        """
        known_before = set(batch.tasks)
        unstarted = self._takeover.adopt_active(batch, tasks, now)
        self._forecast_adopted(batch, known_before, now)
        for index, run_number in unstarted.items():
            batch.add_task(index, run_number)

    def _forecast_adopted(
        self, batch: runs.Batch, known_before: set[int], now: float
    ) -> None:
        for index, task in batch.tasks.items():
            if index not in known_before and task.run is not None:
                self._scheduler.run_adopted(task.run, now)

    def _resume(
        self, source: link.Link, message: messages.Submit, now: float
    ) -> None:
        """Adopt the runs that a former leader started for a coordinator."""
        batch = self._make_batch(source, message, now)
        tasks = self._stored_results.send_listed(batch, source, message)
        unstarted = self._adopt(batch, tasks, now)
        self._backlog.add(batch)
        self._scheduler.report_start_again(batch)
        if unstarted:
            self._enqueue(source, message, unstarted, now)

    def _enqueue(
        self,
        source: link.Link,
        message: messages.Submit,
        tasks: dict[int, int],
        now: float,
    ) -> None:
        batch = self._backlog.get((message.job, message.step))
        if batch is None:
            batch = self._make_batch(source, message, now)
        remaining = self._backlog.report_done(batch, tasks)
        self._add_tasks(batch, remaining, now)
        if not batch.tasks:
            return
        self._backlog.add(batch)
        self._scheduler.submit(batch, now)

    def _make_batch(
        self, source: link.Link, message: messages.Submit, now: float
    ) -> runs.Batch:
        batch = runs.make_batch(
            message, link=source, late_factor=self._cfg.late_factor, now=now
        )
        batch.ran_before = self._backlog.recent_jobs.has_run_unknown_to(
            source, message.job, now
        )
        return batch
