"""Orders to one worker, and what may run on it.

The worker does not guard its capacity, so that a run takes room here from
its order until a report shows that it has ended or can never start.
"""

import asyncio
import dataclasses
from typing import Coroutine, Protocol

from sardineproxy import clock, logs
from sardineproxy.process import metrics
from sardineproxy.process.cells import fences, health, runs, workers

_LOG = logs.get_logger('worker')

_MS_PER_S = 1000

_State = runs.RunState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Times of calls to workers, in seconds."""

    #: Longest wait for the answer to an order. A round trip in a zone takes
    #: 0.2 ms and the worker 0.5 ms; the shortest job must be on time within
    #: 0.15 s even if its order is lost.
    order_timeout_s: float = 0.06

    #: Longest wait of a worker for a new end. The lease must be extended
    #: twice in its time even if one answer is lost.
    look_wait_s: float = 0.3

    #: Time for the answer to a look beyond its wait.
    look_timeout_s: float = 0.1

    #: Longest lease of what runs.
    lease_s: float = 1.0

    #: A worker's clock may be this much slower than ours.
    clock_error: float = 0.02

    #: Allowance for the way of an order to a worker, in seconds.
    travel_s: float = 0.05

    #: Pauses between looks at a silent worker.
    silent_pause_s: float = 0.1
    silent_pause_max_s: float = 0.8

    #: A run that is listed this long after its stop is stopped again. The
    #: platform's bound of a stop is 0.05 s.
    stop_retry_s: float = 0.15

    #: A run without progress for ``standstill_s`` and this share of its
    #: expected time is started elsewhere. Progress is told in percent, at
    #: least every ``look_wait_s``.
    standstill_s: float = 0.4
    standstill_share: float = 0.05

    #: Pause before a look that only acknowledges ends.
    ack_pause_s: float = 0.2


class Events(Protocol):
    """Hears what becomes of runs."""

    def ended(self, run: runs.Run, how: workers.Ending) -> None:
        """A run ended as its worker says."""

    def lost(self, run: runs.Run, cause: str) -> None:
        """A run does not exist any more, or never will."""

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
        cfg: Config,
    ) -> None:
        """Start without knowledge of what runs on the worker."""
        self.worker = worker
        self.right = right
        self.health = health.Health()
        self.runs: dict[workers.TaskName, runs.Run] = {}

        #: Runs that were ordered by another process, by task.
        self.unknown: dict[workers.TaskName, workers.Running] = {}

        #: Ends of such runs, kept while coordinators may ask for them.
        self.foreign_ends: dict[workers.TaskName, workers.End] = {}
        self.keeps_foreign_ends = True
        #: Room that nothing takes.
        self.free = worker.capacity
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._cfg = cfg
        self._count = 0
        self._acked = 0
        self._ack_sent = 0
        self._born_ms = 0
        self._clock_ms = 0
        self._clock_at: float = 0
        self._in_doubt = True
        self._leaving = False
        self._silent_since: float | None = None
        self._lease_until: float = 0
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

    @property
    def fence(self) -> int:
        """Return the fence of orders from now on."""
        return self.right.fence(self._count)

    @property
    def is_synced(self) -> bool:
        """Tell whether a report under the present fence is known."""
        return not self._in_doubt

    @property
    def is_silent(self) -> bool:
        """Tell whether the worker has not answered its last call."""
        return self._silent_since is not None

    def takes_work(self, now: float) -> bool:
        """Tell whether runs may be ordered."""
        if self._in_doubt or self._leaving or self.is_silent or self.unknown:
            return False
        if self.worker.state is not workers.WorkerState.READY:
            return False
        if self.health.on_probation and self.runs:
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
                    'running': len(self.runs),
                },
            )
        reborn = worker.born_ms != self.worker.born_ms
        taken = self.worker.capacity.minus(self.free)
        self.free = worker.capacity.minus(taken)
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
        self._count = 0

    def start(self, run: runs.Run, now: float) -> None:
        """Order a run; its room is taken from now on."""
        run.ordered_at = now
        run.fence = self.fence
        run.expires_ms = self._lease_end(now)
        self._hold(run)
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

    def stop_unknown(self) -> None:
        """Stop what another process ordered and nobody asks for."""
        for task, found in self.unknown.items():
            self._spawn(self._order_stop(task, found.run))
        self.keeps_foreign_ends = False
        self.foreign_ends.clear()
        self._wake.set()

    def adopt(self, run: runs.Run, now: float) -> None:
        """Take over a run that another process ordered."""
        found = self.unknown.pop(run.task)
        run.state = _State.RUNNING
        run.started_at = now
        run.percent = found.percent
        run.sent = True
        self._hold(run)
        self._wake.set()

    def doubt(self, why: str) -> None:
        """Order nothing until a report under a higher fence is known.

        The higher fence makes sure that orders without an answer are not
        carried out after that report.
        """
        self._count += 1
        self._in_doubt = True
        self._metrics.count('worker_doubts_total')
        _LOG.info(
            'In doubt.',
            extra={
                'worker': self.worker.worker,
                'cause': why,
                'fence': self.fence,
                'runs': len(self.runs),
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
            'free_millicores': self.free.millicores,
            'runs': {run.task: run.state.value for run in self.runs.values()},
            'unknown': list(self.unknown),
            'health': self.health.state(now),
        }

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _hold(self, run: runs.Run) -> None:
        self.runs[run.task] = run
        self.free = self.free.minus(run.batch.shape)

    def _release(self, run: runs.Run) -> None:
        self.runs.pop(run.task)
        self.free = self.free.plus(run.batch.shape)

    def _worker_clock_ms(self, now: float) -> int:
        """Return about what the worker's clock shows."""
        return self._clock_ms + int((now - self._clock_at) * _MS_PER_S)

    def _lease_end(self, now: float) -> int:
        """Return the end of a lease from now on, on the worker's clock."""
        self._lease_until = (
            now
            + self._cfg.lease_s * (1 + self._cfg.clock_error)
            + self._cfg.travel_s
        )
        return self._worker_clock_ms(now) + int(self._cfg.lease_s * _MS_PER_S)

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
        if self.runs.get(run.task) is not run:
            return
        match answer:
            case workers.Accepted():
                self._note_running(run, now)
            case workers.Refused():
                self._note_refused(run, answer, now)
            case workers.Unanswered(unsent=True):
                self._never_started(run, answer.cause)
                self._note_silent(answer.cause, now)
            case workers.Unanswered():
                self._note_doubtful(run)
                self.doubt(f'order of {run.task} not answered: {answer.cause}')

    def _note_running(self, run: runs.Run, now: float) -> None:
        if run.state in {_State.ORDERED, _State.DOUBTFUL}:
            run.state = _State.RUNNING
        if not run.started_at:
            run.started_at = now

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
        self._release(run)
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
            must_ack = self._acked > self._ack_sent
            pause_s = self._cfg.ack_pause_s if must_ack else None
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    def _is_needed(self) -> bool:
        return bool(
            self.runs
            or self.unknown
            or self._in_doubt
            or self._silent_since is not None
        )

    def _next_look(self, now: float) -> workers.Look:
        wanted = any(
            run.state is not _State.STOPPING for run in self.runs.values()
        )
        expires_ms = None
        # The runs of a silent worker must end some time, heard or not.
        extends = (wanted or self.unknown) and self._silent_since is None
        if extends and self._clock_ms:
            expires_ms = self._lease_end(now)
        at_once = self._in_doubt or not (self.runs or self.unknown)
        return workers.Look(
            fence=self.fence,
            acked=self._acked,
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
        if now < self._lease_until:
            return
        self.unknown.clear()
        for run in list(self.runs.values()):
            self._release(run)
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
        if report.clock_ms < self._clock_ms:
            # A newer report was faster.
            return
        self._clock_ms = report.clock_ms
        self._clock_at = now
        was_in_doubt = self._in_doubt
        if look.fence == self.fence:
            self._in_doubt = False
        self._take_ends(report, now)
        listed = {found.task: found for found in report.running}
        self._take_running(listed, now)
        self._drop_absent(look, listed, asked_at)
        self._note_unknown(listed)
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
                    'runs': len(self.runs),
                },
            )
            # Orders to the former life may still be carried out.
            self.doubt('started anew')
        self._born_ms = report.born_ms
        self._acked = 0
        self._ack_sent = 0
        self._clock_ms = 0
        self.unknown.clear()
        self.health = health.Health()

    def _take_ends(self, report: workers.Report, now: float) -> None:
        for end in report.ended:
            if end.number <= self._acked:
                continue
            self._acked = end.number
            run = self.runs.get(end.task)
            self.unknown.pop(end.task, None)
            if run is None or run.number != end.run:
                if self.keeps_foreign_ends:
                    self.foreign_ends[end.task] = end
                continue
            self._release(run)
            self.health.ended(run, end.how, now)
            self._events.ended(run, end.how)

    def _take_running(
        self, listed: dict[workers.TaskName, workers.Running], now: float
    ) -> None:
        for task, found in listed.items():
            run = self.runs.get(task)
            if run is not None and run.number == found.run:
                self._note_running(run, now)
                self._note_progress(run, found.percent, now)
                if run.withdrawn:
                    run.withdrawn = False
                    self.stop(run)
                self._stop_again(run, now)

    def _note_progress(self, run: runs.Run, percent: float, now: float) -> None:
        """Stop a run that stands still, so that it starts elsewhere."""
        if percent > run.percent or not run.progress_at:
            run.percent = percent
            run.progress_at = now
            self.health.progressed(run, now)
            return
        still_s = now - run.progress_at
        bound_s = self._cfg.standstill_s + (
            self._cfg.standstill_share * run.batch.work_s / self.health.speed
        )
        if run.state is not _State.RUNNING or still_s < bound_s:
            return
        _LOG.warning(
            'Run stands still.',
            extra={
                'worker': self.worker.worker,
                'task': run.task,
                'run': run.number,
                'percent': percent,
                'still_s': round(still_s, 3),
            },
        )
        self.health.stood_still(now)
        self.stop(run)

    def _stop_again(self, run: runs.Run, now: float) -> None:
        """Repeat a stop that had no effect."""
        is_due = now - run.stop_at > self._cfg.stop_retry_s
        if run.state is _State.STOPPING and is_due:
            run.stop_at = now
            self._spawn(self._order_stop(run.task, run.number, run))

    def _drop_absent(
        self,
        look: workers.Look,
        listed: dict[workers.TaskName, workers.Running],
        asked_at: float,
    ) -> None:
        """Give up runs that are not listed and cannot start any more.

        What was known before the look was sent must show in its answer.
        """
        for run in list(self.runs.values()):
            found = listed.get(run.task)
            if found is not None and found.run == run.number:
                continue
            was_running = 0 < run.started_at < asked_at
            was_stopped = 0 < run.stopped_at < asked_at
            cannot_start = (
                run.state is _State.DOUBTFUL and run.fence < look.fence
            )
            if was_running or was_stopped or cannot_start:
                self._release(run)
                self._events.lost(run, 'not listed by its worker')

    def _note_unknown(
        self, listed: dict[workers.TaskName, workers.Running]
    ) -> None:
        found = {
            task: row
            for task, row in listed.items()
            if task not in self.runs or self.runs[task].number != row.run
        }
        self.unknown = found
        if found:
            self._events.strays(self, list(found.values()))
