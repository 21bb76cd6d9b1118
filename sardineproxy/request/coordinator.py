"""One job at the entry VM that accepted it, from arrival to answer.

The tasks run in cells, each under its owner.
"""

import asyncio
import dataclasses

from sardineproxy import clock, ids, logs
from sardineproxy.connection import messages
from sardineproxy.request import jobs, open_tasks
from sardineproxy.version import routes

#: Longest wait for a new owner of a cell that lost its own, in seconds.
LEADER_WAIT_S = 1.0

#: Time that is kept for the way of the answer to the client, in seconds.
ANSWER_MARGIN_S = 0.05

#: When to come back after a refusal for want of an owner, in seconds.
NO_LEADER_RETRY_S = 1.0

_LOG = logs.get_logger('job')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stalled:
    """This process stood still, so that others may have given it up."""


Event = (
    messages.Ended
    | messages.Declined
    | open_tasks.LeaderLost
    | open_tasks.LeaderFound
    | Stalled
)


class Coordinator:
    """Sends a job's tasks to cells until all have ended."""

    def __init__(
        self,
        *,
        job: jobs.Job,
        route: routes.Route,
        router: open_tasks.Router,
        clock: clock.Clock,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Prepare a job; times are local, in seconds."""
        self.job = job
        self.route = route
        self.arrived_at = arrived_at
        self._router = router
        self._clock = clock
        self._deadline = deadline - ANSWER_MARGIN_S
        self._inbox: asyncio.Queue[Event] = asyncio.Queue()
        self._open = open_tasks.OpenTasks(
            job=job,
            route=route,
            router=router,
            clock=clock,
            times=open_tasks.JobTimes(
                arrived_at=arrived_at, deadline=self._deadline
            ),
        )
        self._todo = set(range(len(job.steps)))
        self._done_steps: set[int] = set()
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether a task may have started, as far as is known here."""
        return self._may_have_run

    def post(self, event: Event) -> None:
        """Hand in an event."""
        self._inbox.put_nowait(event)

    async def run(self) -> jobs.Outcome:
        """Return how the job ended; nothing of it runs on afterwards."""
        default_shard = self._router.default_shard()
        if default_shard is None:
            return jobs.NotRun(
                detail='no cell has an owner', retry_after_s=NO_LEADER_RETRY_S
            )
        try:
            return await self._run(default_shard)
        finally:
            self._open.withdraw()

    async def _run(self, default_shard: ids.ShardId) -> jobs.Outcome:
        self._begin_steps(default_shard)
        while self._open:
            left_s = self._deadline - self._clock.now()
            try:
                async with asyncio.timeout(self._wait_s(left_s)):
                    event = await self._inbox.get()
            except TimeoutError:
                return jobs.GivenUp(detail=self._describe_wait())
            outcome = self._take(event)
            if outcome is not None:
                return outcome
            self._begin_steps(default_shard)
        return jobs.Completed()

    def _wait_s(self, left_s: float) -> float:
        if self._open.has_unassigned():
            return min(left_s, LEADER_WAIT_S)
        return left_s

    def _describe_wait(self) -> str:
        if self._open.has_unassigned():
            return 'no owner of the cell in time'
        return 'deadline passed'

    def _begin_steps(self, default_shard: ids.ShardId) -> None:
        """Send the tasks of steps whose earlier steps are done."""
        for number in sorted(self._todo):
            step = self.job.steps[number]
            if not self._done_steps.issuperset(step.after):
                continue
            self._todo.discard(number)
            tasks = open_tasks.new_tasks(self.job, number, default_shard)
            self._open.add(tasks)
            self._open.send(tasks, firm=False, begun=self._has_begun)

    @property
    def _has_begun(self) -> bool:
        """Tell whether a task may have started that is not open any more."""
        return self._may_have_run or bool(self._done_steps)

    def _take(self, event: Event) -> jobs.Outcome | None:
        match event:
            case messages.Ended():
                return self._take_end(event)
            case messages.Declined():
                return self._take_declined(event)
            case open_tasks.LeaderLost():
                self._strand(event)
            case open_tasks.LeaderFound(shard=shard):
                self._open.resume(shard, begun=self._has_begun)
            case Stalled():
                return jobs.GivenUp(detail='process stood still')
        return None

    def _take_end(self, end: messages.Ended) -> jobs.Outcome | None:
        task = self._open.get((end.step, end.index))
        if task is None or task.shard != end.shard:
            return None
        self._may_have_run = True
        task.next_run = max(task.next_run, end.run + 1)
        match jobs.TaskResult(end.how):
            case jobs.TaskResult.DONE:
                if self._open.close(task.key):
                    self._done_steps.add(end.step)
                return None
            case jobs.TaskResult.FAILED:
                return self._take_failure(task)
            case jobs.TaskResult.LATE | jobs.TaskResult.REPLACED:
                return jobs.GivenUp(detail=f'task {end.index}: {end.how}')

    def _take_failure(self, task: open_tasks.OpenTask) -> jobs.Outcome | None:
        task.failures += 1
        if task.failures >= self.route.max_attempts:
            return jobs.Failed(
                detail=f'task {task.index} failed {task.failures} times'
            )
        task.resumed = False
        self._open.send([task], firm=True, begun=self._has_begun)
        return None

    def _take_declined(
        self, declined: messages.Declined
    ) -> jobs.Outcome | None:
        tasks = self._open.in_shard(
            declined.step, declined.indices, declined.shard
        )
        if not tasks:
            return None
        if declined.other and not any(task.was_moved for task in tasks):
            other = ids.ShardId(declined.other)
            if self._router.leader(other) is not None:
                self._open.move(tasks, other, begun=self._has_begun)
                return None
        elif any(task.was_moved for task in tasks):
            default_shard = self._router.default_shard()
            if default_shard is not None and default_shard != declined.shard:
                self._open.move(tasks, default_shard, begun=self._has_begun)
                return None
        return self._refuse(declined, tasks)

    def _refuse(
        self, declined: messages.Declined, tasks: list[open_tasks.OpenTask]
    ) -> jobs.Outcome:
        for task in tasks:
            task.leader = None
        is_all = len(tasks) == len(self._open)
        if is_all and not self._has_begun:
            return jobs.NotRun(
                detail=declined.cause, retry_after_s=declined.retry_s
            )
        return jobs.GivenUp(detail=f'some tasks declined: {declined.cause}')

    def _strand(self, lost: open_tasks.LeaderLost) -> None:
        stranded = self._open.unassign(lost)
        if stranded:
            self._may_have_run = True
            _LOG.info(
                'Owner lost, tasks wait for another.',
                extra={
                    'job': self.job.job_id,
                    'cell': lost.shard,
                    'owner': lost.former_leader.peer.vm,
                    'tasks': [task.index for task in stranded],
                    'longest_wait_s': LEADER_WAIT_S,
                },
            )
        self._open.resume(lost.shard, begun=self._has_begun)
