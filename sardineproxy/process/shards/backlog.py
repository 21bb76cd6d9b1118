"""Tasks that a cell holds for coordinators, and what they are told of them."""

from typing import Callable

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import recall, runs, workers
from sardineproxy.request import jobs

#: When to come back after a refusal for want of room, in seconds: some of the
#: longest usual tasks have ended by then.
NO_ROOM_RETRY_S = 1.0

_LOG = logs.get_logger('cell')


class Backlog:
    """Batches of a cell, and the runs that may exist for them."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        recall_s: float,
    ) -> None:
        """Start empty; ends are remembered for ``recall_s``."""
        self._shard = shard
        self._clock = clock
        self._metrics = metrics
        self._recall = recall.Recall(keep_s=recall_s)
        self._batches: dict[runs.BatchKey, runs.Batch] = {}

        #: Runs that may exist, also of tasks that are no longer wanted.
        self.live: dict[workers.TaskName, runs.Run] = {}

    def __len__(self) -> int:
        """Return the number of batches."""
        return len(self._batches)

    def get(self, key: runs.BatchKey) -> runs.Batch | None:
        """Return a batch."""
        return self._batches.get(key)

    def add(self, batch: runs.Batch) -> None:
        """Keep a batch as long as it has tasks."""
        if batch.tasks:
            self._batches[batch.key] = batch

    def all(self) -> list[runs.Batch]:
        """Return all batches."""
        return list(self._batches.values())

    def waiting(self) -> list[runs.Batch]:
        """Return the batches with tasks that have no run."""
        return [batch for batch in self._batches.values() if batch.waiting()]

    def count_waiting(self) -> int:
        """Return the number of tasks without a run."""
        return sum(len(batch.waiting()) for batch in self._batches.values())

    def expire(self, now: float) -> None:
        """Forget ends that are too old."""
        self._recall.expire(now)

    # Runs.

    def release(self, run: runs.Run) -> None:
        """Note that a run does not exist any more."""
        if self.live.get(run.task) is run:
            self.live.pop(run.task)
        batch = self._batches.get(run.batch.key)
        if batch is not None and run.index in batch.tasks:
            task = batch.tasks[run.index]
            task.number = max(task.number, run.number + 1)

    def requeue(self, run: runs.Run) -> None:
        """Let a task wait again whose run does not exist."""
        task = run.batch.tasks.get(run.index)
        if task is not None and task.run is run:
            task.run = None

    def end(self, run: runs.Run, how: jobs.TaskResult) -> None:
        """End a task as its run ended, and tell its coordinator."""
        run.batch.tasks.pop(run.index)
        self._forget_if_empty(run.batch)
        self.send_end(run.batch, run.index, run.number, how)

    def note_dropped_end(self, run: runs.Run, how: workers.Ending) -> None:
        """Remember that a task ended well after its job was given up."""
        _LOG.info(
            'End of a dropped task.',
            extra={
                'job': run.batch.job,
                'task': run.task,
                'run': run.number,
                'how': how.value,
            },
        )
        if how is workers.Ending.DONE:
            self._note(run.task, run.number, jobs.TaskResult.DONE)

    # Batches.

    def rejoin(
        self, known: runs.Batch, source: link.Link, tasks: dict[int, int]
    ) -> None:
        """Give a batch that exists to the coordinator that asks now.

        ``tasks`` gives the number of the next run of each task.
        """
        if known.link is not None and known.link is not source:
            for index, task in known.tasks.items():
                self.send_end(
                    known, index, task.number, jobs.TaskResult.REPLACED
                )
        known.link = source
        for index, number in tasks.items():
            if index in known.tasks:
                continue
            last = self._recall.find(known.task_name(index))
            if last is None or number > last.number:
                known.tasks[index] = runs.Task(number=number)
            else:
                self.send_end(known, index, last.number, last.how)

    def answer_done(
        self, batch: runs.Batch, tasks: dict[int, int]
    ) -> dict[int, int]:
        """Answer for tasks that have ended well; return the others."""
        left: dict[int, int] = {}
        for index, number in tasks.items():
            last = self._recall.find(batch.task_name(index))
            if last is not None and last.how is jobs.TaskResult.DONE:
                self.send_end(batch, index, last.number, last.how)
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

    def decline(
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
                    shard=self._shard,
                    job=batch.job,
                    step=batch.step,
                    indices=tuple(indices),
                    other=other,
                    cause=cause,
                    retry_s=NO_ROOM_RETRY_S,
                    stored=batch.stored,
                )
            )

    def drop(
        self, batch: runs.Batch, cause: str, stop: Callable[[runs.Run], None]
    ) -> None:
        """Forget a batch and ``stop`` what runs of it."""
        _LOG.info(
            'Batch dropped.',
            extra={
                'job': batch.job,
                'step': batch.step,
                'cause': cause,
                'tasks': len(batch.tasks),
                'age_s': round(self._clock.now() - batch.arrived_at, 4),
            },
        )
        tasks = list(batch.tasks.values())
        batch.tasks.clear()
        self._forget_if_empty(batch)
        for task in tasks:
            if task.run is not None:
                stop(task.run)

    def send_end(
        self, batch: runs.Batch, index: int, number: int, how: jobs.TaskResult
    ) -> None:
        """Tell a coordinator how a task ended, and remember it."""
        self._note(batch.task_name(index), number, how)
        if batch.link is not None:
            batch.link.send(
                messages.Ended(
                    shard=self._shard,
                    job=batch.job,
                    step=batch.step,
                    index=index,
                    run=number,
                    how=how.value,
                    stored=batch.stored,
                )
            )

    def _note(
        self, task: workers.TaskName, number: int, how: jobs.TaskResult
    ) -> None:
        self._recall.note(task, number=number, how=how, now=self._clock.now())

    def _forget_if_empty(self, batch: runs.Batch) -> None:
        if not batch.tasks and self._batches.get(batch.key) is batch:
            self._batches.pop(batch.key)
