"""Tasks of one job that have not ended, and where each was sent.

The side that answers for a job alone decides to send a task elsewhere, so
that a task never has runs in two cells.
"""

import dataclasses
from typing import Iterable, Protocol, Sequence

from sardineproxy import clock, ids
from sardineproxy.connection import link, messages
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Step and index of a task.
TaskKey = tuple[int, int]


class Router(Protocol):
    """Finds the owners of cells."""

    def default_shard(self) -> ids.ShardId | None:
        """Return the cell that takes this VM's jobs, None if there is none."""

    def leader(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to a cell's owner."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderLost:
    """The link to a cell's owner is closed, or it gave the cell up."""

    shard: ids.ShardId
    former_leader: link.Link


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderFound:
    """A cell has an owner."""

    shard: ids.ShardId


@dataclasses.dataclass(kw_only=True, slots=True)
class OpenTask:
    """A task that has not ended."""

    step: int
    index: int
    shard: ids.ShardId

    #: Number of its next run.
    next_run: int = 1

    #: Runs that failed by the task's own fault.
    failures: int = 0

    #: True once it was sent to another cell than its first.
    was_moved: bool = False

    #: True while its new cell is not stored yet.
    is_moving: bool = False

    #: Owner that has the task, None while it has none.
    leader: link.Link | None = None

    #: True if an owner that was lost may have ordered it.
    resumed: bool = False

    @property
    def key(self) -> TaskKey:
        """Return the step and the index."""
        return self.step, self.index


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobTimes:
    """When a job came and until when it is wanted."""

    #: Local times, in seconds.
    arrived_at: float
    deadline: float


class OpenTasks:
    """Sends tasks to the owners of cells, and knows which have them."""

    def __init__(
        self,
        *,
        job: jobs.Job,
        route: routes.Route,
        router: Router,
        clock: clock.Clock,
        times: JobTimes,
    ) -> None:
        """Start without tasks."""
        self.job = job
        self.route = route
        self._router = router
        self._clock = clock
        self._times = times
        self._open: dict[TaskKey, OpenTask] = {}

    def __len__(self) -> int:
        """Return the number of open tasks."""
        return len(self._open)

    def all(self) -> list[OpenTask]:
        """Return all open tasks."""
        return list(self._open.values())

    def get(self, key: TaskKey) -> OpenTask | None:
        """Return an open task."""
        return self._open.get(key)

    def add(self, tasks: Iterable[OpenTask]) -> None:
        """Open tasks; ``send`` submits them."""
        self._open.update({task.key: task for task in tasks})

    def close(self, key: TaskKey) -> bool:
        """Close a task; tell whether its step has no other open task."""
        self._open.pop(key)
        return not any(step == key[0] for step, _ in self._open)

    def in_shard(
        self, step: int, indices: Iterable[int], shard: ids.ShardId
    ) -> list[OpenTask]:
        """Return the open tasks among ``indices`` that are in a cell."""
        found = [self._open.get((step, index)) for index in indices]
        return [
            task for task in found if task is not None and task.shard == shard
        ]

    def has_unassigned(self) -> bool:
        """Tell whether a task has no owner."""
        return any(task.leader is None for task in self._open.values())

    def send(
        self, tasks: Sequence[OpenTask], *, firm: bool, begun: bool
    ) -> None:
        """Submit tasks of one step to their cell.

        They may not be sent on to another cell if ``firm``; other tasks of
        the job may have started if ``begun``.
        """
        now = self._clock.now()
        first = tasks[0]
        step = self.job.steps[first.step]
        source = self._router.leader(first.shard)
        for stranded in tasks:
            stranded.leader = None
        if source is None:
            return
        resumed = any(task.resumed for task in tasks)
        sent = source.send(
            messages.Submit(
                shard=first.shard,
                job=self.job.job_id,
                step=first.step,
                route=self.route.route,
                service=self.route.service,
                priority=self.route.priority,
                payload=self.job.payload,
                tasks=tuple((task.index, task.next_run) for task in tasks),
                millicores=step.resources.millicores,
                memory_mb=step.resources.memory_mb,
                gpus=step.resources.gpus,
                requires=step.requires,
                rack=step.rack,
                per_worker=step.per_worker,
                estimate_s=float(step.estimate_s),
                age_s=now - self._times.arrived_at,
                left_s=self._times.deadline - now,
                stretch=float(self.route.stretch),
                slack_s=float(self.route.slack_s),
                resumed=resumed,
                begun=begun or self._has_others(tasks),
                firm=firm,
                stored=self.job.stored,
            )
        )
        if sent:
            for submitted in tasks:
                submitted.leader = source

    def move(
        self, tasks: Sequence[OpenTask], shard: ids.ShardId, *, begun: bool
    ) -> None:
        """Send tasks to another cell, which may not send them on."""
        for task in tasks:
            task.shard = shard
            task.was_moved = True
            task.is_moving = False
        self.send(tasks, firm=True, begun=begun)

    def unassign(self, lost: LeaderLost) -> list[OpenTask]:
        """Note that an owner is lost; return the tasks that it had."""
        stranded = [
            task
            for task in self._open.values()
            if task.shard == lost.shard and task.leader is lost.former_leader
        ]
        for waiting in stranded:
            waiting.leader = None
            waiting.resumed = True
        return stranded

    def resume(self, shard: ids.ShardId, *, begun: bool) -> None:
        """Ask a cell's new owner for the tasks that the former one had."""
        by_step: dict[int, list[OpenTask]] = {}
        for task in self._open.values():
            if task.shard == shard and not task.leader and not task.is_moving:
                by_step.setdefault(task.step, []).append(task)
        for tasks in by_step.values():
            self.send(tasks, firm=True, begun=begun)

    def withdraw(self) -> None:
        """Tell the owners that nothing more is wanted."""
        places = {
            (task.shard, task.leader)
            for task in self._open.values()
            if task.leader is not None
        }
        for shard, source in places:
            if source is not None:
                source.send(messages.Withdraw(shard=shard, job=self.job.job_id))
        self._open.clear()

    def _has_others(self, tasks: Sequence[OpenTask]) -> bool:
        """Tell whether an owner has tasks other than these."""
        these = {task.key for task in tasks}
        return any(
            task.leader is not None
            for key, task in self._open.items()
            if key not in these
        )


def new_tasks(job: jobs.Job, number: int, shard: ids.ShardId) -> list[OpenTask]:
    """Return the tasks of a step as they are before their first run."""
    return [
        OpenTask(step=number, index=index, shard=shard)
        for index in range(job.steps[number].count)
    ]
