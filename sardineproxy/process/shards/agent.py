"""Orders to one worker, and what may run on it.

The worker does not guard its capacity, so that a run takes room here from
its order until a report shows that it has ended or can never start.
"""

from typing import Protocol

from sardineproxy import background, clock, logs
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    fences,
    health,
    held_ends,
    lease,
    ledger,
    reports,
    runs,
    times,
    watch,
    workers,
)

#: Ends that a worker lists and that are not stored, over which it gets no
#: more orders. A worker lists 500 ends.
MAX_HELD_ENDS = 300

_LOG = logs.get_logger('worker')

_State = runs.RunState


class Events(reports.Events, Protocol):
    """Hears what becomes of runs and of the worker."""

    def has_room(self) -> None:
        """Room became free."""

    def superseded(self, agent: 'Agent') -> None:
        """The worker has seen a higher fence of another owner."""

    def strays(self, agent: 'Agent', found: list[workers.Running]) -> None:
        """The worker runs what this process did not order."""


class Agent:  # noqa: WPS214
    """The owner's side of one worker."""

    def __init__(
        self,
        *,
        worker: workers.Worker,
        right: fences.Right,
        api: workers.WorkerApi,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        events: Events,
        cfg: times.CallTiming,
        count: int = 0,
    ) -> None:
        """Start without knowledge of what runs on the worker.

        ``count`` is that of a former agent of this owner, as the worker may
        have seen its fence.
        """
        self.worker = worker
        self.right = right
        self.health = health.Health()
        self.ledger = ledger.Ledger(capacity=worker.capacity)
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._cfg = cfg
        self._lease = lease.Lease(cfg=cfg)
        self._reports = reports.Reports(
            worker=worker.worker,
            ledger=self.ledger,
            health=self.health,
            events=events,
            orders=self,
            cfg=cfg,
        )
        self._watch = watch.Watch(
            subject=self,
            api=api,
            ledger=self.ledger,
            lease=self._lease,
            health=self.health,
            reports=self._reports,
            clock=clock,
            metrics=metrics,
            cfg=cfg,
        )
        self.count = count

        #: False while another process may own the cell: runs of stored jobs
        #: must lapse then.
        self.is_confirmed = True
        self._leaving = False
        self._tasks = background.Tasks()

    def open(self) -> None:
        """Start to watch the worker."""
        self._tasks.spawn(self._watch.run())

    async def close(self) -> None:
        """Stop all calls."""
        await self._tasks.close()

    def acknowledge(self) -> None:
        """Acknowledge ends that were released."""
        self._watch.acknowledge()

    def abandon(self) -> None:
        """Stop all calls without waiting for their end."""
        self._tasks.abandon()

    @property
    def fence(self) -> int:
        """Return the fence of orders from now on."""
        return self.right.fence(self.count)

    @property
    def held(self) -> held_ends.HeldEnds:
        """Return the ends that must not be acknowledged yet."""
        return self._reports.held

    @property
    def is_synced(self) -> bool:
        """Tell whether a report under the present fence is known."""
        return not self._watch.in_doubt

    @property
    def is_silent(self) -> bool:
        """Tell whether the worker has not answered its last call."""
        return self._watch.silent_since is not None

    def is_gone(self, now: float) -> bool:
        """Tell whether the worker has left and nothing can run on it."""
        return (
            self._leaving
            and self.ledger.is_empty
            and self._lease.has_expired(now)
        )

    @property
    def extends_lease(self) -> bool:
        """Tell whether the lease of what runs may be extended."""
        return self.is_confirmed or not self.ledger.has_stored

    def takes_work(self, now: float) -> bool:
        """Tell whether runs may be ordered."""
        if not self.extends_lease:
            # An order extends the lease of all that runs.
            return False
        if self._leaving or self.is_silent or not self.is_synced:
            return False
        if self.worker.state is not workers.WorkerState.READY:
            return False
        if self.worker.born_ms != self._watch.born_ms:
            # A new life may have another capacity, which the list tells.
            return False
        if self.ledger.unknown or len(self.held) > MAX_HELD_ENDS:
            return False
        if self.health.on_probation and self.ledger.runs:
            return False
        return self.health.is_open(now)

    def update(self, worker: workers.Worker) -> None:
        """Use the worker's newer entry in the list."""
        if worker.state is not self.worker.state:
            _LOG.info(
                'State changed.',
                extra={
                    'worker': worker.worker,
                    'state': worker.state.value,
                    'running': len(self.ledger.runs),
                },
            )
        reborn = worker.born_ms != self.worker.born_ms
        self.ledger.resize(self.worker.capacity, worker.capacity)
        self.worker = worker
        self._leaving = False
        if reborn and worker.born_ms != self._watch.born_ms:
            self.doubt('started anew')

    def leave(self) -> None:
        """Order nothing more: the worker is not listed any more."""
        if not self._leaving:
            self._leaving = True
            _LOG.info(
                'Not listed any more.', extra={'worker': self.worker.worker}
            )
            self.doubt('not listed')

    def renew(self, right: fences.Right) -> None:
        """Use a higher right of the same owner from now on."""
        self.right = right
        self.count = 0

    def start(self, run: runs.Run, now: float) -> None:
        """Order a run; its room is taken from now on."""
        run.ordered_at = now
        run.fence = self.fence
        run.expires_ms = self._lease.extend(now)
        self.ledger.hold(run)
        self._tasks.spawn(self._order(run))
        self._watch.wake()

    def stop(self, run: runs.Run) -> None:
        """Order the stop of a run."""
        if run.state is _State.STOPPING:
            return
        run.state = _State.STOPPING
        run.stop_at = self._clock.now()
        if run.sent:
            self._tasks.spawn(self._order_stop(run.task, run.number, run))
        self._watch.wake()

    def stop_again(self, run: runs.Run) -> None:
        """Order the stop of a run once more."""
        self._tasks.spawn(self._order_stop(run.task, run.number, run))

    def stop_unknown(self) -> None:
        """Stop what another process ordered and nobody asks for."""
        for task, found in self.ledger.unknown.items():
            self._tasks.spawn(self._order_stop(task, found.run))
        self._watch.wake()

    def adopt(self, run: runs.Run, now: float) -> None:
        """Take over a run that another process ordered."""
        found = self.ledger.unknown.pop(run.task)
        run.state = _State.RUNNING
        run.started_at = now
        run.percent = found.percent
        run.sent = True
        self.ledger.hold(run)
        self._watch.wake()

    def doubt(self, why: str) -> None:
        """Order nothing until a report under a higher fence is known.

        The higher fence makes sure that orders without an answer are not
        carried out after that report.
        """
        self.count += 1
        self._metrics.count('worker_doubts_total')
        _LOG.info(
            'In doubt.',
            extra={
                'worker': self.worker.worker,
                'cause': why,
                'fence': self.fence,
                'runs': len(self.ledger.runs),
            },
        )
        self._watch.restart()

    # What the watch tells.

    def fenced(self) -> None:
        """The worker has seen a higher fence of another owner."""
        self._events.superseded(self)

    def heard(self, strays: list[workers.Running], *, ends_doubt: bool) -> None:
        """A report was used; ``strays`` are runs that others ordered."""
        if strays:
            self._events.strays(self, strays)
        if ends_doubt:
            self._events.has_room()

    def lapsed(self, run: runs.Run) -> None:
        """The lease of a run has expired on a silent worker."""
        self._events.lost(run, 'lease expired on a silent worker')

    def state(self, now: float) -> dict[str, object]:
        """Return what is believed of the worker, for the state dump."""
        silent_since = self._watch.silent_since
        return {
            'worker': self.worker.worker,
            'state': self.worker.state.value,
            'fence': self.fence,
            'in_doubt': self._watch.in_doubt,
            'silent_s': silent_since and round(now - silent_since, 3),
            'free_millicores': self.ledger.free.millicores,
            'runs': {
                run.task: run.state.value for run in self.ledger.runs.values()
            },
            'unknown': list(self.ledger.unknown),
            'health': self.health.state(now),
        }

    async def _order(self, run: runs.Run) -> None:
        if run.state is _State.STOPPING:
            self._never_started(run, 'withdrawn before its order was sent')
            return
        run.sent = True
        answer = await self._api.start(
            self.worker,
            workers.Order(
                task=run.task,
                run=run.number,
                payload=run.batch.payload,
                fence=run.fence,
                expires_ms=run.expires_ms,
            ),
            timeout_s=self._cfg.order_timeout_s,
        )
        now = self._clock.now()
        self._metrics.observe('worker_order_seconds', now - run.ordered_at)
        if self.ledger.runs.get(run.task) is not run:
            return
        match answer:
            case workers.Accepted():
                run.note_running(now)
            case workers.Refused():
                self._note_refused(run, answer, now)
            case workers.Unanswered(unsent=True):
                self._never_started(run, answer.cause)
                self._watch.note_silent(answer.cause, now)
            case workers.Unanswered():
                self._note_doubtful(run)
                self.doubt(f'order of {run.task} not answered: {answer.cause}')

    def _note_doubtful(self, run: runs.Run) -> None:
        if run.state is _State.ORDERED:
            run.state = _State.DOUBTFUL
        elif run.state is _State.STOPPING:
            # The stop is sent again under a higher fence, if it runs.
            run.state = _State.DOUBTFUL
            run.withdrawn = True

    def _note_refused(
        self, run: runs.Run, refused: workers.Refused, now: float
    ) -> None:
        _LOG.info(
            'Order refused.',
            extra={
                'worker': self.worker.worker,
                'task': run.task,
                'run': run.number,
                'why': refused.why.value,
                'detail': refused.detail,
                'fence': run.fence,
            },
        )
        match refused.why:
            case workers.Refusal.FENCED if run.fence >= self.fence:
                self._never_started(run, 'fenced')
                self._events.superseded(self)
                return
            case workers.Refusal.NOT_DONE | workers.Refusal.NO_ROOM:
                self.health.refused(now)
            case workers.Refusal.OTHER_WORKER:
                self.leave()
            case _:
                pass
        self._never_started(run, refused.why.value)

    def _never_started(self, run: runs.Run, cause: str) -> None:
        if run.state is _State.RUNNING:
            return
        self.ledger.release(run)
        self._events.lost(run, cause)

    async def _order_stop(
        self,
        task: workers.TaskName,
        number: int,
        run: runs.Run | None = None,
    ) -> None:
        answer = await self._api.stop(
            self.worker,
            task=task,
            run=number,
            fence=self.fence,
            timeout_s=self._cfg.order_timeout_s,
        )
        match answer:
            case workers.Accepted() if run is not None:
                run.stopped_at = self._clock.now()
            case workers.Unanswered():
                if run is not None:
                    # It is stopped again as soon as it is seen to run.
                    run.stop_at = 0
                self.doubt(f'stop of {task} not answered: {answer.cause}')
            case _:
                pass
