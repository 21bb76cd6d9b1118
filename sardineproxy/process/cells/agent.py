"""Orders to one worker, and what may run on it.

The worker does not guard its capacity, so that a run takes room here from
its order until a report shows that it has ended or can never start.
"""

import asyncio
from typing import Coroutine, Protocol

from sardineproxy import clock, logs
from sardineproxy.process import metrics
from sardineproxy.process.cells import (
    fences,
    health,
    lease,
    ledger,
    reports,
    runs,
    times,
    workers,
)

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
        cfg: times.Calls,
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
        self.count = count
        self._ack_sent = 0
        self._born_ms = 0
        self._in_doubt = True
        self._leaving = False
        self._silent_since: float | None = None
        self._silent_looks = 0
        self._wake = asyncio.Event()
        self._look: asyncio.Task[object] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Start to watch the worker."""
        self._spawn(self._watch())

    async def close(self) -> None:
        """Stop all calls."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def abandon(self) -> None:
        """Stop all calls without waiting for their end."""
        for task in self._tasks:
            task.cancel()

    @property
    def fence(self) -> int:
        """Return the fence of orders from now on."""
        return self.right.fence(self.count)

    @property
    def is_synced(self) -> bool:
        """Tell whether a report under the present fence is known."""
        return not self._in_doubt

    @property
    def is_silent(self) -> bool:
        """Tell whether the worker has not answered its last call."""
        return self._silent_since is not None

    def is_gone(self, now: float) -> bool:
        """Tell whether the worker has left and nothing can run on it."""
        return (
            self._leaving
            and self.ledger.is_empty
            and self._lease.has_expired(now)
        )

    def takes_work(self, now: float) -> bool:
        """Tell whether runs may be ordered."""
        if self._in_doubt or self._leaving or self.is_silent:
            return False
        if self.worker.state is not workers.WorkerState.READY:
            return False
        if self.ledger.unknown:
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
        if reborn and worker.born_ms != self._born_ms:
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
        self._spawn(self._order(run))
        self._wake.set()

    def stop(self, run: runs.Run) -> None:
        """Order the stop of a run."""
        if run.state is _State.STOPPING:
            return
        run.state = _State.STOPPING
        run.stop_at = self._clock.now()
        if run.sent:
            self._spawn(self._order_stop(run.task, run.number, run))
        self._wake.set()

    def stop_again(self, run: runs.Run) -> None:
        """Order the stop of a run once more."""
        self._spawn(self._order_stop(run.task, run.number, run))

    def stop_unknown(self) -> None:
        """Stop what another process ordered and nobody asks for."""
        for task, found in self.ledger.unknown.items():
            self._spawn(self._order_stop(task, found.run))
        self.ledger.drop_foreign()
        self._wake.set()

    def adopt(self, run: runs.Run, now: float) -> None:
        """Take over a run that another process ordered."""
        found = self.ledger.unknown.pop(run.task)
        run.state = _State.RUNNING
        run.started_at = now
        run.percent = found.percent
        run.sent = True
        self.ledger.hold(run)
        self._wake.set()

    def doubt(self, why: str) -> None:
        """Order nothing until a report under a higher fence is known.

        The higher fence makes sure that orders without an answer are not
        carried out after that report.
        """
        self.count += 1
        self._in_doubt = True
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
        if self._look is not None:
            self._look.cancel()
        self._wake.set()

    def state(self, now: float) -> dict[str, object]:
        """Return what is believed of the worker, for the state dump."""
        return {
            'worker': self.worker.worker,
            'state': self.worker.state.value,
            'fence': self.fence,
            'in_doubt': self._in_doubt,
            'silent_s': self._silent_since and now - self._silent_since,
            'free_millicores': self.ledger.free.millicores,
            'runs': {
                run.task: run.state.value for run in self.ledger.runs.values()
            },
            'unknown': list(self.ledger.unknown),
            'health': self.health.state(now),
        }

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

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
                self._note_silent(answer.cause, now)
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

    async def _watch(self) -> None:
        """Look at the worker as long as something may run on it."""
        while True:
            await self._until_needed()
            now = self._clock.now()
            look = self._next_look(now)
            self._metrics.count('worker_looks_total')
            self._look = asyncio.create_task(
                self._api.look(
                    self.worker,
                    look,
                    timeout_s=look.wait_s + self._cfg.look_timeout_s,
                )
            )
            try:
                answer = await self._look
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():  # type: ignore[union-attr]
                    raise
                continue
            finally:
                self._look = None
            await self._take(look, answer, now)

    async def _until_needed(self) -> None:
        while not self._is_needed():
            self._wake.clear()
            must_ack = self._reports.acked > self._ack_sent
            pause_s = self._cfg.ack_pause_s if must_ack else None
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _is_needed(self) -> bool:
        return not self.ledger.is_empty or self._in_doubt or self.is_silent

    def _next_look(self, now: float) -> workers.Look:
        wanted = any(
            run.state is not _State.STOPPING
            for run in self.ledger.runs.values()
        )
        expires_ms = None
        # The runs of a silent worker must end some time, heard or not.
        extends = (wanted or self.ledger.unknown) and not self.is_silent
        if extends and self._lease.is_known:
            expires_ms = self._lease.extend(now)
        at_once = self._in_doubt or self.ledger.is_empty
        return workers.Look(
            fence=self.fence,
            acked=self._reports.acked,
            expires_ms=expires_ms,
            wait_s=0 if at_once else self._cfg.look_wait_s,
        )

    async def _take(
        self,
        look: workers.Look,
        answer: workers.Report | workers.Refused | workers.Unanswered,
        asked_at: float,
    ) -> None:
        now = self._clock.now()
        match answer:
            case workers.Report():
                self._note_heard(now)
                self._ack_sent = max(self._ack_sent, look.acked)
                self._take_report(look, answer, asked_at, now)
            case workers.Refused(why=workers.Refusal.FENCED):
                if look.fence >= self.fence:
                    self._events.superseded(self)
                    await asyncio.sleep(self._cfg.silent_pause_s)
            case workers.Refused():
                self._note_silent(f'{answer.why.value} {answer.detail}', now)
                await self._pause()
            case workers.Unanswered():
                if self._in_doubt:
                    self._note_silent(answer.cause, now)
                    await self._pause()
                else:
                    self.doubt(f'look not answered: {answer.cause}')

    async def _pause(self) -> None:
        self._silent_looks += 1
        self._drop_lapsed(self._clock.now())
        await asyncio.sleep(
            min(
                self._cfg.silent_pause_s * self._silent_looks,
                self._cfg.silent_pause_max_s,
            )
        )

    def _note_silent(self, cause: str, now: float) -> None:
        if self._silent_since is None:
            self._silent_since = now
            if not self._in_doubt:
                self.doubt(cause)
            _LOG.warning(
                'Worker lost.',
                extra={'worker': self.worker.worker, 'cause': cause},
            )

    def _note_heard(self, now: float) -> None:
        self._silent_looks = 0
        if self._silent_since is not None:
            _LOG.info(
                'Worker regained.',
                extra={
                    'worker': self.worker.worker,
                    'silent_s': round(now - self._silent_since, 3),
                },
            )
            self._silent_since = None

    def _drop_lapsed(self, now: float) -> None:
        """Give up the runs of a silent worker once their lease has expired."""
        if not self._lease.has_expired(now):
            return
        self.ledger.unknown.clear()
        for run in list(self.ledger.runs.values()):
            self.ledger.release(run)
            self._events.lost(run, 'lease expired on a silent worker')

    def _take_report(
        self,
        look: workers.Look,
        report: workers.Report,
        asked_at: float,
        now: float,
    ) -> None:
        if report.born_ms != self._born_ms:
            self._start_anew(report)
            if look.acked:
                return
        if report.clock_ms < self._lease.clock_ms:
            # A newer report was faster.
            return
        self._lease.read(report.clock_ms, now)
        was_in_doubt = self._in_doubt
        if look.fence == self.fence:
            self._in_doubt = False
        strays = self._reports.take(look, report, asked_at=asked_at, now=now)
        if strays:
            self._events.strays(self, strays)
        if was_in_doubt and not self._in_doubt:
            self._events.has_room()

    def _start_anew(self, report: workers.Report) -> None:
        """Forget the worker's former life."""
        if self._born_ms:
            _LOG.warning(
                'Worker started anew.',
                extra={
                    'worker': self.worker.worker,
                    'born_ms': report.born_ms,
                    'runs': len(self.ledger.runs),
                },
            )
            # Orders to the former life may still be carried out.
            self.doubt('started anew')
        self._born_ms = report.born_ms
        self._reports.acked = 0
        self._ack_sent = 0
        self._lease.forget_clock()
        self.ledger.unknown.clear()
        self.health.reset()
