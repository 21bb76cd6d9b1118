"""Coordination of one job at the entry VM that accepted it.

The coordinator submits the job's tasks to the leaders of shards and collects
their results until the outcome of the job is determined.
"""

import asyncio
import dataclasses

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.request import jobs, open_tasks
from sardineproxy.version import routes

#: Maximum wait for the new leader of a shard without a leader, in seconds.
LEADER_WAIT_S = 1.0

#: Time reserved for returning the response to the client, in seconds.
RESPONSE_MARGIN_S = 0.05

_LOG = logs.get_logger('job')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stalled:
    """This process was stalled, so its peers may have declared it failed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Expired:
    """The job has no time left, or no leader was found in time."""

    cause: str = 'deadline passed'


Event = (
    open_tasks.FromLeader
    | open_tasks.LeaderLost
    | open_tasks.LeaderFound
    | Stalled
    | Expired
)


class Coordinator:
    """Submits a job's tasks to shard leaders and determines its outcome."""

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
        """Create a coordinator; times are in seconds of the local clock."""
        self.job = job
        self.route = route
        self.arrived_at = arrived_at
        self.wait_s = deadline - arrived_at
        self._router = router
        self._clock = clock
        self._deadline = deadline - RESPONSE_MARGIN_S
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._open_tasks = open_tasks.OpenTasks(
            job=job,
            route=route,
            router=router,
            clock=clock,
            times=open_tasks.JobTimes(
                arrived_at=arrived_at, deadline=self._deadline
            ),
        )
        self._waiting_steps = set(range(len(job.steps)))
        self._done_steps: set[int] = set()
        self._may_have_run = False

        #: Whether an earlier request for the job may have run it.
        self._ran_before = False

        #: Shards that have declined tasks which had been moved before.
        self._declined_by: set[ids.ShardId] = set()

    @property
    def may_have_run(self) -> bool:
        """Return whether a task may have started, as far as this VM knows.

        A running task counts only once its leader reports a result, declines
        tasks of a job that it has started, or is lost.
        """
        return self._may_have_run

    def leader_links(self) -> set[link.Link]:
        """Return the links to the leaders that open tasks are assigned to."""
        return {
            task.leader
            for task in self._open_tasks.all()
            if task.leader is not None
        }

    def post_event(self, event: Event) -> None:
        """Queue an event for ``run``."""
        self._events.put_nowait(event)

    async def run(self) -> jobs.Outcome:
        """Run the job and return its outcome.

        Tasks that are still open at the end are withdrawn from the leaders.
        """
        default_shard = self._router.default_shard()
        if default_shard is None:
            # Leaders that this VM cannot reach may have run the job for an
            # earlier request.
            return jobs.GivenUp(detail='no shard has a leader')
        try:
            return await self._run(default_shard)
        finally:
            self._open_tasks.withdraw()

    async def _run(self, default_shard: ids.ShardId) -> jobs.Outcome:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            self._deadline - self._clock.now(), self.post_event, Expired()
        )
        try:
            return await self._run_until_expired(default_shard)
        finally:
            timer.cancel()

    async def _run_until_expired(
        self, default_shard: ids.ShardId
    ) -> jobs.Outcome:
        self._start_ready_steps(default_shard)
        while self._open_tasks:
            event = await self._next_event()
            outcome = self._handle_event(event)
            if outcome is not None:
                return outcome
            if self._waiting_steps:
                self._start_ready_steps(default_shard)
        return jobs.Completed()

    async def _next_event(self) -> Event:
        """Wait for an event, or for a leader if a task has none."""
        if not self._open_tasks.has_unassigned():
            return await self._events.get()
        try:
            async with asyncio.timeout(LEADER_WAIT_S):
                return await self._events.get()
        except TimeoutError:
            return Expired(cause='no shard leader before the timeout')

    def _start_ready_steps(self, default_shard: ids.ShardId) -> None:
        """Submit the tasks of all steps whose predecessors are completed."""
        for step_index in sorted(self._waiting_steps):
            step = self.job.steps[step_index]
            if not self._done_steps.issuperset(step.after):
                continue
            self._waiting_steps.discard(step_index)
            tasks = open_tasks.new_tasks(self.job, step_index, default_shard)
            self._open_tasks.add(tasks)
            self._open_tasks.send(
                tasks, pinned=False, job_started=self._job_started
            )

    @property
    def _job_started(self) -> bool:
        """Return whether a task may have started, not just been submitted."""
        return self._may_have_run or bool(self._done_steps)

    def _handle_event(self, event: Event) -> jobs.Outcome | None:
        """Process an event; return the outcome if it ends the job."""
        match event:
            case open_tasks.FromLeader(message=messages.RunEnded() as ended):
                return self._handle_result(event.source, ended)
            case open_tasks.FromLeader(message=messages.Declined() as declined):
                return self._handle_declined(event.source, declined)
            case open_tasks.LeaderLost():
                self._handle_leader_lost(event)
            case open_tasks.LeaderFound(shard=shard):
                self._open_tasks.resume(shard, job_started=self._job_started)
            case Stalled():
                return jobs.GivenUp(detail='process was stalled')
            case Expired(cause=cause):
                return jobs.GivenUp(detail=cause)
        return None

    def _handle_result(
        self, source: link.Link, ended: messages.RunEnded
    ) -> jobs.Outcome | None:
        # Also if it is a result from a shard that the task has left.
        self._may_have_run = True
        task = self._open_tasks.get((ended.step, ended.index))
        if task is None or task.shard != ended.shard:
            return None
        task.next_run = max(task.next_run, ended.run + 1)
        match jobs.TaskResult(ended.result):
            case jobs.TaskResult.DONE:
                if self._open_tasks.close(task.key):
                    self._done_steps.add(ended.step)
                return None
            case jobs.TaskResult.FAILED:
                return self._retry_or_fail(task)
            case jobs.TaskResult.LATE | jobs.TaskResult.REPLACED:
                if task.leader is not source:
                    # The task is with the successor of that leader.
                    return None
                return jobs.GivenUp(
                    detail=f'task {ended.index}: {ended.result}'
                )

    def _retry_or_fail(self, task: open_tasks.OpenTask) -> jobs.Outcome | None:
        """Submit a failed task again, or fail the job after too many runs."""
        task.failures += 1
        if task.failures >= self.route.max_attempts:
            return jobs.Failed(
                detail=f'task {task.index} failed {task.failures} times'
            )
        task.resumed = False
        self._open_tasks.send(
            [task], pinned=True, job_started=self._job_started
        )
        return None

    def _handle_declined(
        self, source: link.Link, declined: messages.Declined
    ) -> jobs.Outcome | None:
        """Move declined tasks to another shard, or end the job.

        They are moved to each shard at most once after the first move.
        """
        if declined.started:
            self._may_have_run = True
        if declined.ran_before:
            self._ran_before = True
        tasks = self._open_tasks.declined_by(source, declined)
        if not tasks:
            return None
        destination = self._choose_destination(
            declined, was_moved=any(task.was_moved for task in tasks)
        )
        if destination is None:
            return self._declined_outcome(declined, tasks)
        self._open_tasks.move(tasks, destination, job_started=self._job_started)
        return None

    def _choose_destination(
        self, declined: messages.Declined, *, was_moved: bool
    ) -> ids.ShardId | None:
        """Return the shard to move declined tasks to, None if there is none.

        This is the shard that the leader suggested. Tasks that have been moved
        before return to the default shard, unless it declined them. The
        default shard varies while the home shard is evacuated.
        """
        if was_moved:
            self._declined_by.add(declined.shard)
        suggested = ids.ShardId(declined.suggested_shard)
        if suggested and suggested not in self._declined_by:
            if self._router.leader_link(suggested) is not None:
                return suggested
            if not was_moved:
                # This VM has no link to that leader: the tasks stay.
                return declined.shard
        if not was_moved:
            return None
        default_shard = self._router.default_shard()
        return None if default_shard in self._declined_by else default_shard

    def _declined_outcome(
        self, declined: messages.Declined, tasks: list[open_tasks.OpenTask]
    ) -> jobs.Outcome:
        """Return ``NotRun`` if no task can have started, else ``GivenUp``."""
        for task in tasks:
            task.leader = None
        all_declined = len(tasks) == len(self._open_tasks)
        if all_declined and not (self._job_started or self._ran_before):
            return jobs.NotRun(
                detail=declined.cause,
                retry_after_s=declined.retry_after_s,
                is_confirmed=True,
            )
        return jobs.GivenUp(detail=f'some tasks declined: {declined.cause}')

    def _handle_leader_lost(self, lost: open_tasks.LeaderLost) -> None:
        unassigned = self._open_tasks.unassign(lost)
        if unassigned:
            self._may_have_run = True
            _LOG.info(
                'Shard leader lost, tasks wait for its successor.',
                extra={
                    'job': self.job.job_id,
                    'cell': lost.shard,
                    'owner': lost.former_leader.peer.vm,
                    'tasks': [task.index for task in unassigned],
                    'longest_wait_s': LEADER_WAIT_S,
                },
            )
        self._open_tasks.resume(lost.shard, job_started=self._job_started)
