"""Open tasks of one job, and the shard leaders that they are assigned to.

Only the side that coordinates the job (coordinator or job manager)
moves a task to another shard, so that a task never has runs in two shards.
"""

import dataclasses
from typing import Callable, Iterable, Protocol, Sequence

from sardineproxy import clock, ids
from sardineproxy.connection import link, messages
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Index of the step, and index of the task within it.
TaskKey = tuple[int, int]


class Router(Protocol):
    """Finds the leaders of shards."""

    def default_shard(self) -> ids.ShardId | None:
        """Return the shard that this VM submits jobs to, None without one."""

    def leader_link(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to the leader of a shard, None without one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderLost:
    """The link to a shard's leader closed, or the leader stepped down."""

    shard: ids.ShardId
    former_leader: link.Link


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderFound:
    """A shard has a leader."""

    shard: ids.ShardId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FromLeader:
    """A message from the leader of a shard, who may have been replaced."""

    source: link.Link
    message: messages.RunEnded | messages.Declined | messages.JobStarted


@dataclasses.dataclass(kw_only=True, slots=True)
class OpenTask:
    """A task that has not ended."""

    step: int
    index: int
    shard: ids.ShardId

    #: Number of the next run.
    next_run: int = 1

    #: Runs that failed because of the task itself, not of the worker.
    failures: int = 0

    #: True if the task was moved from its initial shard.
    was_moved: bool = False

    #: True while the move to another shard is being stored.
    is_moving: bool = False

    #: Link to the leader that the task is assigned to, None if unassigned.
    leader: link.Link | None = None

    #: True if a former leader may have started the task.
    resumed: bool = False

    @property
    def key(self) -> TaskKey:
        """Return the indices of the step and of the task."""
        return self.step, self.index


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobTimes:
    """Arrival time and deadline of a job, in seconds of the local clock."""

    arrived_at: float
    deadline: float


def no_authority() -> messages.Authority:
    """Return the authority in messages about jobs that are not stored."""
    return messages.NO_AUTHORITY


class OpenTasks:
    """Submits tasks to shard leaders and tracks which leader has a task."""

    def __init__(
        self,
        *,
        job: jobs.Job,
        route: routes.Route,
        router: Router,
        clock: clock.Clock,
        times: JobTimes,
        authority: Callable[[], messages.Authority] = no_authority,
    ) -> None:
        """Create an instance without tasks.

        ``authority`` returns the present authority of a job manager.
        """
        self._authority = authority
        self.job = job
        self.route = route
        self._router = router
        self._clock = clock
        self._times = times
        self._open: dict[TaskKey, OpenTask] = {}

        #: Leaders that may start tasks whose results come from former ones.
        self._resumed_at: set[tuple[ids.ShardId, link.Link]] = set()

    def __len__(self) -> int:
        """Return the number of open tasks."""
        return len(self._open)

    def all(self) -> list[OpenTask]:
        """Return all open tasks."""
        return list(self._open.values())

    def get(self, key: TaskKey) -> OpenTask | None:
        """Return an open task, None if the task is not open."""
        return self._open.get(key)

    def add(self, tasks: Iterable[OpenTask]) -> None:
        """Add open tasks without submitting them; ``send`` does that."""
        self._open.update({task.key: task for task in tasks})

    def close(self, key: TaskKey) -> bool:
        """Remove a task; return whether its step has no open task now."""
        self._open.pop(key)
        return not any(step == key[0] for step, _ in self._open)

    def declined_by(
        self, source: link.Link, declined: messages.Declined
    ) -> list[OpenTask]:
        """Return the declined tasks that ``source`` was responsible for.

        A former leader may have declined tasks that were submitted to its
        successor since then. They must not move, as they may run there.
        """
        tasks = [
            self._open.get((declined.step, index)) for index in declined.indices
        ]
        return [
            task
            for task in tasks
            if task is not None
            and task.shard == declined.shard
            and task.leader is source
        ]

    def has_unassigned(self) -> bool:
        """Return whether a task has no leader."""
        return any(task.leader is None for task in self._open.values())

    def send(
        self, tasks: Sequence[OpenTask], *, pinned: bool, job_started: bool
    ) -> None:
        """Submit tasks of one step to the leader of their shard.

        If ``pinned``, the leader must not suggest another shard for them. If
        ``job_started``, other tasks of the job may have started. Without a
        leader the tasks stay unassigned.
        """
        now = self._clock.now()
        first = tasks[0]
        step = self.job.steps[first.step]
        leader = self._router.leader_link(first.shard)
        for unassigned in tasks:
            unassigned.leader = None
        if leader is None:
            return
        resumed = any(task.resumed for task in tasks)
        sent = leader.send(
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
                timeout_s=self._times.deadline - now,
                stretch=float(self.route.stretch),
                slack_s=float(self.route.slack_s),
                resumed=resumed,
                job_started=job_started or self._has_other_assigned(tasks),
                pinned=pinned,
                stored=self.job.stored,
                authority=self._authority(),
            )
        )
        if sent:
            for submitted in tasks:
                submitted.leader = leader
            if resumed:
                self._resumed_at.add((first.shard, leader))

    def move(
        self,
        tasks: Sequence[OpenTask],
        shard: ids.ShardId,
        *,
        job_started: bool,
    ) -> None:
        """Submit tasks to another shard, whose leader must not move them."""
        for task in tasks:
            task.shard = shard
            task.was_moved = True
            task.is_moving = False
        self.send(tasks, pinned=True, job_started=job_started)

    def unassign(self, lost: LeaderLost) -> list[OpenTask]:
        """Unassign the tasks of a lost leader and return them.

        They will be submitted as resumed, as they may have started.
        """
        unassigned = [
            task
            for task in self._open.values()
            if task.shard == lost.shard and task.leader is lost.former_leader
        ]
        for task in unassigned:
            task.leader = None
            task.resumed = True
        return unassigned

    def resume(self, shard: ids.ShardId, *, job_started: bool) -> None:
        """Submit the unassigned tasks of a shard to its new leader."""
        by_step: dict[int, list[OpenTask]] = {}
        for task in self._open.values():
            if task.shard == shard and not task.leader and not task.is_moving:
                by_step.setdefault(task.step, []).append(task)
        for tasks in by_step.values():
            self.send(tasks, pinned=True, job_started=job_started)

    def unassigned_shards(self) -> set[ids.ShardId]:
        """Return the shards of the tasks that have no leader."""
        return {
            task.shard for task in self._open.values() if task.leader is None
        }

    def unattached(self) -> set[tuple[ids.ShardId, link.Link | None]]:
        """Return the shards with a leader that lacks some of their tasks.

        With each, the lost leader that the tasks are assigned to, None if they
        are unassigned.
        """
        shards = {task.shard for task in self._open.values()}
        leaders = {shard: self._router.leader_link(shard) for shard in shards}
        return {
            (task.shard, task.leader)
            for task in self._open.values()
            if not task.is_moving and _is_lost(task.leader, leaders[task.shard])
        }

    def withdraw_task(self, task: OpenTask) -> None:
        """Withdraw one task from its leader, if it has one."""
        if task.leader is not None:
            task.leader.send(
                messages.WithdrawTasks(
                    shard=task.shard,
                    job=self.job.job_id,
                    step=task.step,
                    indices=(task.index,),
                    authority=self._authority(),
                )
            )

    def withdraw(self, authority: messages.Authority | None = None) -> None:
        """Withdraw the job from all leaders and drop its open tasks.

        Also from leaders that resumed tasks which have ended since then: the
        result may have come from the former leader. ``authority`` is that of
        the job manager that withdraws the job for a former one.
        """
        destinations = self._resumed_at.union(
            (task.shard, task.leader)
            for task in self._open.values()
            if task.leader is not None
        )
        for shard, leader in destinations:
            leader.send(
                messages.Withdraw(
                    shard=shard,
                    job=self.job.job_id,
                    authority=authority or self._authority(),
                )
            )
        self._open.clear()
        self._resumed_at.clear()

    def _has_other_assigned(self, tasks: Sequence[OpenTask]) -> bool:
        """Return whether a task other than these has a leader."""
        excluded_keys = {task.key for task in tasks}
        return any(
            task.leader is not None
            for key, task in self._open.items()
            if key not in excluded_keys
        )


def _is_lost(assigned: link.Link | None, leader: link.Link | None) -> bool:
    """Return whether a task is not at the leader of its shard, if any."""
    if leader is None:
        return False
    return (
        assigned is None
        or assigned.is_closing()
        or assigned.peer.vm != leader.peer.vm
    )


def new_tasks(
    job: jobs.Job, step_index: int, shard: ids.ShardId
) -> list[OpenTask]:
    """Return the tasks of a step before their first run."""
    return [
        OpenTask(step=step_index, index=index, shard=shard)
        for index in range(job.steps[step_index].count)
    ]
