"""One job at the entry VM that accepted it, from arrival to answer.

The tasks run in cells, each under its owner. This side knows where each task
was sent and alone decides to send it elsewhere, so that a task never has
runs in two cells.
"""

import asyncio
import dataclasses
from typing import Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Longest wait for a new owner of a cell that lost its own, in seconds.
OWNER_WAIT_S = 1.0

#: Time that is kept for the way of the answer to the client, in seconds.
ANSWER_S = 0.05

#: When to come back after a refusal for want of an owner, in seconds.
NO_OWNER_RETRY_S = 1.0

_LOG = logs.get_logger('job')


class Router(Protocol):
    """Finds the owners of cells."""

    def home(self) -> ids.CellId | None:
        """Return the cell that takes this VM's jobs, None if there is none."""

    def owner(self, cell: ids.CellId) -> link.Link | None:
        """Return the link to a cell's owner."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerLost:
    """The link to a cell's owner is closed, or it gave the cell up."""

    cell: ids.CellId
    source: link.Link


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerFound:
    """A cell has an owner."""

    cell: ids.CellId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stalled:
    """This process stood still, so that others may have given it up."""


Event = messages.Ended | messages.Declined | OwnerLost | OwnerFound | Stalled


@dataclasses.dataclass(kw_only=True, slots=True)
class _Task:
    step: int
    index: int
    cell: ids.CellId

    #: Number of its next run.
    number: int = 1
    failures: int = 0
    was_moved: bool = False

    #: Owner that has the task, None while it has none.
    source: link.Link | None = None

    #: True if an owner that was lost may have ordered it.
    resumed: bool = False


class Coordinator:
    """Sends a job's tasks to cells until all have ended."""

    def __init__(
        self,
        *,
        job: jobs.Job,
        route: routes.Route,
        router: Router,
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
        self._deadline = deadline - ANSWER_S
        self._inbox: asyncio.Queue[Event] = asyncio.Queue()
        self._open: dict[tuple[int, int], _Task] = {}
        self._todo = set(range(len(job.steps)))
        self._done_steps: set[int] = set()
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether a task may have started, as far as is known here."""
        return self._may_have_run

    def tell(self, event: Event) -> None:
        """Hand in an event."""
        self._inbox.put_nowait(event)

    async def run(self) -> jobs.Outcome:
        """Return how the job ended; nothing of it runs on afterwards."""
        home = self._router.home()
        if home is None:
            return jobs.NotRun(
                detail='no cell has an owner', retry_after_s=NO_OWNER_RETRY_S
            )
        try:
            return await self._run(home)
        finally:
            self._withdraw()

    async def _run(self, home: ids.CellId) -> jobs.Outcome:
        self._begin_steps(home)
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
            self._begin_steps(home)
        return jobs.Completed()

    def _wait_s(self, left_s: float) -> float:
        stranded = any(task.source is None for task in self._open.values())
        return min(left_s, OWNER_WAIT_S) if stranded else left_s

    def _describe_wait(self) -> str:
        if any(task.source is None for task in self._open.values()):
            return 'no owner of the cell in time'
        return 'deadline passed'

    def _begin_steps(self, home: ids.CellId) -> None:
        """Send the tasks of steps whose earlier steps are done."""
        for number in sorted(self._todo):
            step = self.job.steps[number]
            if not self._done_steps.issuperset(step.after):
                continue
            self._todo.discard(number)
            tasks = [
                _Task(step=number, index=index, cell=home)
                for index in range(step.count)
            ]
            for task in tasks:
                self._open[(number, task.index)] = task
            self._send(tasks, firm=False)

    def _send(self, tasks: list[_Task], *, firm: bool) -> None:
        """Submit tasks of one step to their cell."""
        now = self._clock.now()
        first = tasks[0]
        step = self.job.steps[first.step]
        source = self._router.owner(first.cell)
        for stranded in tasks:
            stranded.source = None
        if source is None:
            return
        resumed = any(task.resumed for task in tasks)
        sent = source.send(
            messages.Submit(
                cell=first.cell,
                job=self.job.job,
                step=first.step,
                route=self.route.route,
                service=self.route.service,
                priority=self.route.priority,
                payload=self.job.payload,
                tasks=tuple((task.index, task.number) for task in tasks),
                millicores=step.shape.millicores,
                memory_mb=step.shape.memory_mb,
                gpus=step.shape.gpus,
                requires=step.requires,
                estimate_s=float(step.estimate_s),
                age_s=now - self.arrived_at,
                left_s=self._deadline - now,
                stretch=float(self.route.stretch),
                slack_s=float(self.route.slack_s),
                resumed=resumed,
                begun=self._has_begun(tasks),
                firm=firm,
            )
        )
        if sent:
            for submitted in tasks:
                submitted.source = source

    def _has_begun(self, tasks: list[_Task]) -> bool:
        """Tell whether tasks other than these may have started."""
        if self._may_have_run or self._done_steps:
            return True
        these = {(task.step, task.index) for task in tasks}
        return any(
            task.source is not None
            for key, task in self._open.items()
            if key not in these
        )

    def _take(self, event: Event) -> jobs.Outcome | None:
        match event:
            case messages.Ended():
                return self._take_end(event)
            case messages.Declined():
                return self._take_declined(event)
            case OwnerLost():
                self._strand(event)
            case OwnerFound(cell=cell):
                self._resume(cell)
            case Stalled():
                return jobs.GivenUp(detail='process stood still')
        return None

    def _take_end(self, end: messages.Ended) -> jobs.Outcome | None:
        task = self._open.get((end.step, end.index))
        if task is None or task.cell != end.cell:
            return None
        self._may_have_run = True
        task.number = max(task.number, end.run + 1)
        match jobs.TaskEnd(end.how):
            case jobs.TaskEnd.DONE:
                self._open.pop((end.step, end.index))
                self._note_step(end.step)
                return None
            case jobs.TaskEnd.FAILED:
                return self._take_failure(task)
            case jobs.TaskEnd.LATE | jobs.TaskEnd.REPLACED:
                return jobs.GivenUp(detail=f'task {end.index}: {end.how}')

    def _note_step(self, number: int) -> None:
        if not any(step == number for step, _ in self._open):
            self._done_steps.add(number)

    def _take_failure(self, task: _Task) -> jobs.Outcome | None:
        task.failures += 1
        if task.failures >= self.route.max_attempts:
            return jobs.Failed(
                detail=f'task {task.index} failed {task.failures} times'
            )
        task.resumed = False
        self._send([task], firm=True)
        return None

    def _take_declined(
        self, declined: messages.Declined
    ) -> jobs.Outcome | None:
        tasks = [
            self._open[(declined.step, index)]
            for index in declined.indices
            if (declined.step, index) in self._open
            and self._open[(declined.step, index)].cell == declined.cell
        ]
        if not tasks:
            return None
        if declined.other and not any(task.was_moved for task in tasks):
            other = ids.CellId(declined.other)
            if self._router.owner(other) is not None:
                self._move(tasks, other)
                return None
        elif any(task.was_moved for task in tasks):
            home = self._router.home()
            if home is not None and home != declined.cell:
                self._move(tasks, home)
                return None
        return self._refuse(declined, tasks)

    def _move(self, tasks: list[_Task], cell: ids.CellId) -> None:
        for task in tasks:
            task.cell = cell
            task.was_moved = True
        self._send(tasks, firm=True)

    def _refuse(
        self, declined: messages.Declined, tasks: list[_Task]
    ) -> jobs.Outcome:
        for task in tasks:
            task.source = None
        is_all = len(tasks) == len(self._open)
        if is_all and not self._may_have_run and not self._done_steps:
            return jobs.NotRun(
                detail=declined.cause, retry_after_s=declined.retry_s
            )
        return jobs.GivenUp(detail=f'some tasks declined: {declined.cause}')

    def _strand(self, lost: OwnerLost) -> None:
        stranded = [
            task
            for task in self._open.values()
            if task.cell == lost.cell and task.source is lost.source
        ]
        for waiting in stranded:
            waiting.source = None
            waiting.resumed = True
            self._may_have_run = True
        if stranded:
            _LOG.info(
                'Owner lost, tasks wait for another.',
                extra={
                    'job': self.job.job,
                    'cell': lost.cell,
                    'owner': lost.source.peer.vm,
                    'tasks': [task.index for task in stranded],
                    'longest_wait_s': OWNER_WAIT_S,
                },
            )
        self._resume(lost.cell)

    def _resume(self, cell: ids.CellId) -> None:
        """Ask a cell's new owner for the tasks that the former one had."""
        stranded = [
            task
            for task in self._open.values()
            if task.cell == cell and task.source is None
        ]
        by_step: dict[int, list[_Task]] = {}
        for task in stranded:
            by_step.setdefault(task.step, []).append(task)
        for tasks in by_step.values():
            self._send(tasks, firm=True)

    def _withdraw(self) -> None:
        """Tell the owners that nothing more is wanted."""
        places = {
            (task.cell, task.source)
            for task in self._open.values()
            if task.source is not None
        }
        for cell, source in places:
            if source is not None:
                source.send(messages.Withdraw(cell=cell, job=self.job.job))
        self._open.clear()
