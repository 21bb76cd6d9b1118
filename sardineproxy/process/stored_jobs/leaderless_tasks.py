"""Tasks of a stored job in other shards that have no leader."""

import dataclasses
from typing import Iterable

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import (
    runs,
    stored_results,
    times,
    worker_inquiries,
)
from sardineproxy.request import open_tasks

#: Interval at which the workers of such tasks are asked, in seconds.
ASK_INTERVAL_S = 1.0

#: Time after which tasks are taken back although some workers have not
#: responded, in seconds: they may be lost for good.
ASK_FOR_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    task: open_tasks.OpenTask

    #: Local times since which the task has no leader, and at which its workers
    #: are asked next, in seconds.
    since: float
    ask_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkersAsked:
    """The workers of a shard were asked for tasks without a leader."""

    job: ids.JobId
    shard: ids.ShardId
    tasks: tuple[open_tasks.OpenTask, ...]
    findings: worker_inquiries.Findings

    def find_results(
        self, task: open_tasks.OpenTask
    ) -> list[messages.RunEnded]:
        """Return the results of a task that workers list."""
        name = runs.task_name(self.job, task.step, task.index)
        return [
            stored_results.make_run_ended(self.shard, finished_run)
            for finished_run in self.findings.finished.get(name, ())
            if finished_run.result in stored_results.TASK_RESULTS
        ]

    def is_running(self, task: open_tasks.OpenTask) -> bool:
        """Return whether a worker lists an active run of a task."""
        name = runs.task_name(self.job, task.step, task.index)
        return name in self.findings.active


class LeaderlessTasks:
    """Since when tasks have no leader, and the timer for them."""

    def __init__(self) -> None:
        """Create an instance without tasks."""
        self._entries: dict[open_tasks.TaskKey, _Entry] = {}
        self._has_timer = False

    def update(self, moved: Iterable[open_tasks.OpenTask], now: float) -> None:
        """Apply the present leaders of all tasks in other shards.

        It must be called whenever tasks were sent or have lost their leader:
        the time of a task that had a leader in between begins anew.
        """
        leaderless = [task for task in moved if task.leader is None]
        self._entries = {
            task.key: self._find(task) or _new_entry(task, now)
            for task in leaderless
        }

    def pop_due(self, now: float) -> list[open_tasks.OpenTask]:
        """Return the tasks whose workers must be asked now."""
        due: list[open_tasks.OpenTask] = []
        for entry in self._entries.values():
            if entry.task.leader is None and entry.ask_at <= now:
                entry.ask_at = now + ASK_INTERVAL_S
                due.append(entry.task)
        return due

    def is_leaderless(self, task: open_tasks.OpenTask) -> bool:
        """Return whether a task has had no leader since it was due."""
        has_entry = self._find(task) is not None
        return has_entry and task.leader is None and not task.is_moving

    def is_overdue(self, task: open_tasks.OpenTask, now: float) -> bool:
        """Return whether a task does not wait for more workers to respond."""
        entry = self._find(task)
        longest_s = times.TAKE_BACK_S + ASK_FOR_S
        return entry is not None and now - entry.since >= longest_s

    def start_timer(self, now: float) -> float | None:
        """Return the delay of a timer that must be started, in seconds.

        None if there is one, or none is needed.
        """
        if self._has_timer or not self._entries:
            return None
        self._has_timer = True
        ask_at = min(entry.ask_at for entry in self._entries.values())
        return max(0, ask_at - now)

    def stop_timer(self) -> None:
        """Record that the timer has ended."""
        self._has_timer = False

    def _find(self, task: open_tasks.OpenTask) -> _Entry | None:
        entry = self._entries.get(task.key)
        return entry if entry is not None and entry.task is task else None


def _new_entry(task: open_tasks.OpenTask, now: float) -> _Entry:
    return _Entry(task=task, since=now, ask_at=now + times.TAKE_BACK_S)
