"""Queue of a shard's tasks, and the replies to their coordinators."""

from typing import Callable, Iterable

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import recent_results, runs, workers
from sardineproxy.request import jobs, recent_jobs

_LOG = logs.get_logger('cell')


class Backlog:
    """Batches of a shard, and the runs that may exist for them."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        result_retention_s: float,
    ) -> None:
        """Create an empty backlog; results stay for ``result_retention_s``."""
        self._shard = shard
        self._clock = clock
        self._metrics = metrics
        self._recent_results = recent_results.RecentResults(
            retention_s=result_retention_s
        )

        #: Jobs that are not stored and may have run here, or where tasks of
        #: them were moved to.
        self.recent_jobs = recent_jobs.RecentJobs(
            retention_s=result_retention_s
        )
        self._batches: dict[runs.BatchKey, runs.Batch] = {}
        self._steps: dict[ids.JobId, set[runs.BatchKey]] = {}

        #: Runs that may exist, including those of dropped tasks.
        self.live_runs: dict[workers.TaskName, runs.Run] = {}

    def __len__(self) -> int:
        """Return the number of batches."""
        return len(self._batches)

    def get(self, key: runs.BatchKey) -> runs.Batch | None:
        """Return a batch, None if it does not exist."""
        return self._batches.get(key)

    def add(self, batch: runs.Batch) -> None:
        """Add a batch if it has tasks."""
        if batch.tasks:
            self._batches[batch.key] = batch
            self._steps.setdefault(batch.job, set()).add(batch.key)

    def of_job(self, job: ids.JobId) -> list[runs.Batch]:
        """Return the batches of a job."""
        return [self._batches[key] for key in self._steps.get(job, ())]

    def all(self) -> list[runs.Batch]:
        """Return all batches."""
        return list(self._batches.values())

    def expire(self, now: float) -> None:
        """Remove what is older than the retention time."""
        self._recent_results.expire(now)
        self.recent_jobs.expire(now)

    # Runs.

    def release(self, run: runs.Run) -> None:
        """Remove a run that no longer exists."""
        if self.live_runs.get(run.task) is run:
            self.live_runs.pop(run.task)
        batch = self._batches.get(run.batch.key)
        if batch is not None and run.index in batch.tasks:
            task = batch.tasks[run.index]
            task.next_run_number = max(task.next_run_number, run.number + 1)

    def requeue(self, run: runs.Run) -> bool:
        """Let the task of a run that no longer exists wait again.

        Returns False if the task was dropped or has another run.
        """
        task = run.batch.tasks.get(run.index)
        if task is None or task.run is not run:
            return False
        run.batch.requeue(run.index)
        return True

    def finish_task(self, run: runs.Run, result: jobs.TaskResult) -> None:
        """Remove a finished task and send its result to the coordinator."""
        run.batch.remove_task(run.index)
        self._remove_if_empty(run.batch)
        self.send_result(run.batch, run.index, run.number, result)

    def record_dropped_result(
        self, run: runs.Run, result: workers.RunResult
    ) -> None:
        """Record the result of a run whose task was dropped."""
        _LOG.info(
            'Run of a dropped task finished.',
            extra={
                'job': run.batch.job,
                'task': run.task,
                'run': run.number,
                'how': result.value,
            },
        )
        if result is workers.RunResult.DONE:
            self._record_result(run.task, run.number, jobs.TaskResult.DONE)

    # Batches.

    def reattach(
        self,
        batch: runs.Batch,
        source: link.Link | None,
        authority: messages.Authority = messages.NO_AUTHORITY,
    ) -> None:
        """Assign an existing batch to the coordinator that submits it now.

        ``authority`` is that of a job manager; the former one compares it with
        its own. Without ``source`` the batch waits for a coordinator.
        """
        if batch.link is not None and batch.link is not source:
            for index, task in batch.tasks.items():
                batch.link.send(
                    messages.RunEnded(
                        shard=self._shard,
                        job=batch.job,
                        step=batch.step,
                        index=index,
                        run=task.next_run_number,
                        result=jobs.TaskResult.REPLACED.value,
                        stored=batch.stored,
                        authority=authority,
                    )
                )
        batch.link = source
        if source is not None:
            batch.managed_at = self._clock.now()

    def recall(
        self, batch: runs.Batch, tasks: dict[int, int]
    ) -> dict[int, int]:
        """Send the recent results of tasks; return the other tasks.

        ``tasks`` maps task indices to the numbers of their next runs.
        """
        remaining: dict[int, int] = {}
        for index, run_number in tasks.items():
            recent_result = self._recent_results.find(batch.task_name(index))
            if recent_result is None or run_number > recent_result.run:
                remaining[index] = run_number
            else:
                self.send_result(
                    batch, index, recent_result.run, recent_result.result
                )
        return remaining

    def report_done(
        self, batch: runs.Batch, tasks: dict[int, int]
    ) -> dict[int, int]:
        """Send the results of tasks already done; return the other tasks."""
        remaining: dict[int, int] = {}
        for index, run_number in tasks.items():
            recent_result = self._recent_results.find(batch.task_name(index))
            if (
                recent_result is not None
                and recent_result.result is jobs.TaskResult.DONE
            ):
                self.send_result(
                    batch, index, recent_result.run, recent_result.result
                )
            else:
                remaining[index] = run_number
        if len(remaining) < len(tasks):
            _LOG.info(
                'Tasks already done are not run again.',
                extra={
                    'job': batch.job,
                    'step': batch.step,
                    'done': sorted(set(tasks).difference(remaining)),
                    'left': sorted(remaining),
                },
            )
            self._metrics.count(
                'tasks_recalled_total', len(tasks) - len(remaining)
            )
        return remaining

    def decline(
        self,
        batch: runs.Batch,
        indices: list[int],
        *,
        cause: str,
        retry_after_s: float,
        suggested_shard: str = '',
    ) -> None:
        """Notify the coordinator that tasks will not start in this shard.

        ``retry_after_s`` is for a client whose job ends because of that.
        """
        for index in indices:
            batch.remove_task(index)
        now = self._clock.now()
        if not batch.stored and (batch.may_have_run or suggested_shard):
            self.recent_jobs.add(batch.job, now, batch.link)
        self._remove_if_empty(batch)
        _LOG.info(
            'Tasks declined.',
            extra={
                'job': batch.job,
                'indices': indices,
                'cause': cause,
                'other': suggested_shard,
                'age_s': round(now - batch.arrived_at, 4),
                'batches': len(self._batches),
                'retry_after_s': round(retry_after_s, 3),
                'placed': batch.unlogged,
                'started': batch.started,
                'ran_before': batch.ran_before,
            },
        )
        self._metrics.count('tasks_declined_total', len(indices))
        if batch.link is not None:
            batch.link.send(
                messages.Declined(
                    shard=self._shard,
                    job=batch.job,
                    step=batch.step,
                    indices=tuple(indices),
                    suggested_shard=suggested_shard,
                    cause=cause,
                    retry_after_s=retry_after_s,
                    stored=batch.stored,
                    started=batch.started,
                    ran_before=batch.ran_before,
                )
            )

    def drop(
        self, batch: runs.Batch, cause: str, stop: Callable[[runs.Run], None]
    ) -> None:
        """Remove a batch and call ``stop`` for each of its runs."""
        _LOG.info(
            'Batch dropped.',
            extra={
                'job': batch.job,
                'step': batch.step,
                'cause': cause,
                'tasks': len(batch.tasks),
                'placed': batch.unlogged,
                'age_s': round(self._clock.now() - batch.arrived_at, 4),
            },
        )
        tasks = batch.clear()
        if batch.may_have_run and not batch.stored:
            self.recent_jobs.add(batch.job, self._clock.now(), batch.link)
        self._remove_if_empty(batch)
        for task in tasks:
            if task.run is not None:
                stop(task.run)

    def drop_tasks(
        self,
        batch: runs.Batch,
        indices: Iterable[int],
        stop: Callable[[runs.Run], None],
    ) -> None:
        """Remove tasks of a batch and call ``stop`` for each of their runs."""
        for index in batch.tasks.keys() & set(indices):
            task = batch.remove_task(index)
            if task.run is not None:
                stop(task.run)
        self._remove_if_empty(batch)

    def send_result(
        self,
        batch: runs.Batch,
        index: int,
        run_number: int,
        result: jobs.TaskResult,
    ) -> None:
        """Send a task's result to its coordinator, and record it."""
        self._record_result(batch.task_name(index), run_number, result)
        if batch.link is not None:
            batch.link.send(
                messages.RunEnded(
                    shard=self._shard,
                    job=batch.job,
                    step=batch.step,
                    index=index,
                    run=run_number,
                    result=result.value,
                    stored=batch.stored,
                )
            )

    def _record_result(
        self, task: workers.TaskName, run_number: int, result: jobs.TaskResult
    ) -> None:
        self._recent_results.add(
            task, run=run_number, result=result, now=self._clock.now()
        )

    def _remove_if_empty(self, batch: runs.Batch) -> None:
        if not batch.tasks and self._batches.get(batch.key) is batch:
            self._batches.pop(batch.key)
            steps = self._steps[batch.job]
            steps.discard(batch.key)
            if not steps:
                self._steps.pop(batch.job)
