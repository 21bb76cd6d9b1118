"""Orders of a cell's waiting tasks: which goes first, where, and how long."""

from typing import Mapping, Protocol

from sardineproxy import ids, logs
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    agent,
    backlog,
    fences,
    placement,
    rooms,
    runs,
    times,
)
from sardineproxy.request import jobs

#: Size of a task before any is known, in thousandths of a core, and weight of
#: a new one in the average, which tells other cells how much room there is.
TYPICAL_MILLICORES = 14_000.0
TYPICAL_WEIGHT = 0.05

_LOG = logs.get_logger('cell')


class Listing(Protocol):
    """Tells how old the list of workers is."""

    def listed_at(self) -> float:
        """Return the local time of the list of workers, in seconds."""

    def list_answers(self) -> bool:
        """Tell whether the store answers about the list of workers."""


class Ordering:
    """Orders runs of waiting tasks, and gives tasks up that wait too long."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        right: fences.Right,
        agents: Mapping[ids.WorkerId, agent.Agent],
        backlog: backlog.Backlog,
        others: rooms.Rooms,
        listing: Listing,
        metrics: metrics.Metrics,
        cfg: times.ShardTiming,
    ) -> None:
        """Order from ``agents``; ``others`` tells the room of other cells."""
        self._shard = shard
        self._agents = agents
        self._backlog = backlog
        self._others = others
        self._listing = listing
        self._metrics = metrics
        self._cfg = cfg
        self._typical_millicores = TYPICAL_MILLICORES
        self._best_speed = 1.0

        #: Right of the owner, for the log.
        self.right = right

    def free_tasks(self, now: float) -> int:
        """Return how many more average tasks could start now."""
        free = placement.count_free(
            int(self._typical_millicores),
            placement.usable(self._agents.values(), now),
        )
        return max(0, free - self._backlog.count_waiting())

    def note_size(self, millicores: int) -> None:
        """Note the size of new tasks."""
        self._typical_millicores += TYPICAL_WEIGHT * (
            millicores - self._typical_millicores
        )

    def dispatch(self, *, with_stored: bool, now: float) -> None:
        """Order runs of waiting tasks as far as there is room.

        Tasks of stored jobs wait unless ``with_stored``.
        """
        waiting = [
            batch
            for batch in self._backlog.waiting()
            if with_stored or not batch.stored
        ]
        if not waiting:
            return
        candidates = placement.usable(self._agents.values(), now)
        if candidates:
            self._best_speed = placement.best_speed(candidates)
        waiting.sort(key=self._urgency)
        for batch in waiting:
            self._place(batch, candidates, now)
            if batch.waiting():
                self._review(batch, now)

    def move_overflow(self, batch: runs.Batch, now: float) -> None:
        """Send tasks that find no room here to cells that have some."""
        if batch.firm:
            return
        mine = len(batch.waiting())
        free = placement.count_free(
            batch.resources.millicores,
            placement.usable(self._agents.values(), now),
        )
        excess = min(mine, self._backlog.count_waiting() - free)
        for shard, room in self._others.free(now).items():
            count = min(excess, room)
            if shard == self._shard or count <= 0:
                continue
            excess -= count
            self._backlog.decline(
                batch,
                batch.waiting()[-count:],
                cause='more room there',
                other=shard,
            )

    def drop(self, batch: runs.Batch, cause: str) -> None:
        """Forget a batch and stop what runs of it."""
        self._backlog.drop(batch, cause, self._stop)

    def tell_begun_anew(self, batch: runs.Batch) -> None:
        """Tell a keeper that asks again that tasks were ordered."""
        batch.told_begun = False
        if any(task.run for task in batch.tasks.values()):
            self._tell_begun(batch)

    def _place(
        self, batch: runs.Batch, candidates: list[agent.Agent], now: float
    ) -> None:
        placed: dict[int, ids.WorkerId] = {}
        for index in batch.waiting():
            if batch.task_name(index) in self._backlog.live:
                continue
            chosen = placement.choose(
                batch,
                candidates,
                best=self._best_speed,
                distance_factor=self._cfg.distance_factor,
                now=now,
            )
            if chosen is None:
                break
            self._start(batch, index, chosen, now)
            placed[index] = chosen.worker.worker
        if placed:
            self._tell_begun(batch)
            _LOG.info(
                'Tasks ordered.',
                extra={
                    'job': batch.job,
                    'step': batch.step,
                    'placed': placed,
                    'waiting': len(batch.waiting()),
                    'age_s': round(now - batch.arrived_at, 4),
                    'due_s': round(batch.due_at - now, 4),
                    'epoch': self.right.epoch,
                    'rank': self.right.rank,
                    'list_age_s': round(now - self._listing.listed_at(), 3),
                },
            )

    def _start(
        self, batch: runs.Batch, index: int, chosen: agent.Agent, now: float
    ) -> None:
        task = batch.tasks[index]
        run = runs.Run(
            task=batch.task_name(index),
            number=task.number,
            batch=batch,
            index=index,
            worker=chosen.worker.worker,
            work_s=batch.work_s
            * placement.distance(batch, chosen, self._cfg.distance_factor),
            ordered_at=now,
        )
        task.number += 1
        task.run = run
        batch.started = True
        self._backlog.live[run.task] = run
        self._metrics.count('runs_ordered_total')
        chosen.start(run, now)

    def _review(self, batch: runs.Batch, now: float) -> None:
        """Give a batch up whose tasks wait too long."""
        if batch.stored:
            return
        if not batch.started and now > self._latest_start(batch):
            self._backlog.decline(
                batch, batch.waiting(), cause='no room in time'
            )
        elif now + batch.work_s > min(batch.late_at, batch.deadline):
            self._give_up(batch)

    def _urgency(self, batch: runs.Batch) -> tuple[int, float]:
        """Return the order of the queue, the most urgent first."""
        return batch.priority, self._latest_start(batch)

    def _latest_start(self, batch: runs.Batch) -> float:
        """Return when a task must start to be on time, in local seconds."""
        return batch.due_at - batch.work_s / self._best_speed

    def _give_up(self, batch: runs.Batch) -> None:
        for index in list(batch.tasks):
            self._backlog.send_end(
                batch, index, batch.tasks[index].number, jobs.TaskResult.LATE
            )
        self.drop(batch, 'too late')

    def _stop(self, run: runs.Run) -> None:
        self._agents[run.worker].stop(run)

    def _tell_begun(self, batch: runs.Batch) -> None:
        """Tell the keeper of a stored job that one of its tasks was ordered."""
        if batch.stored and not batch.told_begun and batch.link is not None:
            batch.told_begun = True
            batch.link.send(messages.JobBegun(shard=self._shard, job=batch.job))
