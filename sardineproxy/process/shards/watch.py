"""Looks at one worker as long as something may run on it.

Looks bring the ends of runs, extend the lease of what runs, and end the doubt
after a call without an answer.
"""

import asyncio
from typing import Protocol

from sardineproxy import clock, logs
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
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


class Subject(Protocol):
    """The agent of the worker that is watched."""

    @property
    def worker(self) -> workers.Worker:
        """Return the worker's entry in the list."""

    @property
    def fence(self) -> int:
        """Return the fence of calls from now on."""

    @property
    def extends_lease(self) -> bool:
        """Tell whether the lease of what runs may be extended."""

    def doubt(self, why: str) -> None:
        """Order nothing until a report under a higher fence is known."""

    def fenced(self) -> None:
        """The worker has seen a higher fence of another owner."""

    def heard(self, strays: list[workers.Running], *, ends_doubt: bool) -> None:
        """A report was used; ``strays`` are runs that others ordered."""

    def lapsed(self, run: runs.Run) -> None:
        """The lease of a run has expired on a silent worker."""


class Watch:
    """Calls that look at one worker, and what they show of its health."""

    def __init__(
        self,
        *,
        subject: Subject,
        api: workers.WorkerApi,
        ledger: ledger.Ledger,
        lease: lease.Lease,
        health: health.Health,
        reports: reports.Reports,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        cfg: times.CallTiming,
    ) -> None:
        """Start without a report; ``run`` makes the calls."""
        self._subject = subject
        self._api = api
        self._ledger = ledger
        self._lease = lease
        self._health = health
        self._reports = reports
        self._clock = clock
        self._metrics = metrics
        self._cfg = cfg

        #: True until a report under the present fence is known.
        self.in_doubt = True

        #: Start of the worker's life as its newest report says, in Unix
        #: milliseconds; 0 before the first report.
        self.born_ms = 0

        #: Local time since when no call was answered, None if the last was.
        self.silent_since: float | None = None
        self._silent_looks = 0
        self._ack_sent = 0
        self._wake = asyncio.Event()
        self._released = asyncio.Event()
        self._look: asyncio.Task[object] | None = None

    def wake(self) -> None:
        """Look again if that is needed now."""
        self._wake.set()

    def acknowledge(self) -> None:
        """Let the worker forget ends that were held."""
        self._released.set()
        self._wake.set()

    def restart(self) -> None:
        """Give up the present look and make a new one at once."""
        self.in_doubt = True
        self._released.set()
        if self._look is not None:
            self._look.cancel()
        self._wake.set()

    def note_silent(self, cause: str, now: float) -> None:
        """Note a call that was not answered."""
        if self.silent_since is not None:
            return
        self.silent_since = now
        if not self.in_doubt:
            self._subject.doubt(cause)
        _LOG.warning(
            'Worker lost.',
            extra={'worker': self._subject.worker.worker, 'cause': cause},
        )

    async def run(self) -> None:
        """Look at the worker until cancelled."""
        while True:
            await self._until_needed()
            now = self._clock.now()
            look = self._next_look(now)
            self._metrics.count('worker_looks_total')
            self._look = asyncio.create_task(
                self._api.look(
                    self._subject.worker,
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
        if self._is_needed():
            await self._rest_while_held()
        while not self._is_needed():
            self._wake.clear()
            has_acks = self._reports.held.acked > self._ack_sent
            pause_s = (
                self._cfg.ack_pause_s if has_acks else self._cfg.idle_pause_s
            )
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    async def _rest_while_held(self) -> None:
        """Pause before a look that the worker would answer at once.

        It does not wait for a new end while it lists one that is not
        acknowledged.
        """
        self._released.clear()
        if self._reports.held.is_empty or self.in_doubt:
            return
        try:
            async with asyncio.timeout(self._cfg.held_pause_s):
                await self._released.wait()
        except TimeoutError:
            return

    def _is_needed(self) -> bool:
        if self.in_doubt or self.silent_since is not None:
            return True
        return not self._ledger.is_empty

    def _next_look(self, now: float) -> workers.Look:
        wanted = any(
            run.state is not _State.STOPPING
            for run in self._ledger.runs.values()
        )
        expires_ms = None
        # The runs of a silent worker must end some time, heard or not.
        is_heard = self.silent_since is None
        may_extend = is_heard and self._subject.extends_lease
        if may_extend and self._lease.is_known:
            if wanted or self._ledger.unknown:
                expires_ms = self._lease.extend(now)
        at_once = self.in_doubt or self._ledger.is_empty
        return workers.Look(
            fence=self._subject.fence,
            acked=self._reports.held.acked,
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
                if look.fence >= self._subject.fence:
                    self._subject.fenced()
                    await asyncio.sleep(self._cfg.silent_pause_s)
            case workers.Refused():
                self.note_silent(f'{answer.why.value} {answer.detail}', now)
                await self._pause()
            case workers.Unanswered():
                if self.in_doubt:
                    self.note_silent(answer.cause, now)
                    await self._pause()
                else:
                    self._subject.doubt(f'look not answered: {answer.cause}')

    async def _pause(self) -> None:
        self._silent_looks += 1
        self._drop_lapsed(self._clock.now())
        await asyncio.sleep(
            min(
                self._cfg.silent_pause_s * self._silent_looks,
                self._cfg.silent_pause_max_s,
            )
        )

    def _drop_lapsed(self, now: float) -> None:
        """Give up the runs of a silent worker once their lease has expired."""
        if not self._lease.has_expired(now):
            return
        self._ledger.unknown.clear()
        for run in list(self._ledger.runs.values()):
            self._ledger.release(run)
            self._subject.lapsed(run)

    def _note_heard(self, now: float) -> None:
        self._silent_looks = 0
        if self.silent_since is None:
            return
        _LOG.info(
            'Worker regained.',
            extra={
                'worker': self._subject.worker.worker,
                'silent_s': round(now - self.silent_since, 3),
            },
        )
        self.silent_since = None

    def _take_report(
        self,
        look: workers.Look,
        report: workers.Report,
        asked_at: float,
        now: float,
    ) -> None:
        if report.born_ms != self.born_ms:
            self._start_anew(report)
            if look.acked:
                return
        if report.clock_ms < self._lease.clock_ms:
            # A newer report was faster.
            return
        self._lease.read(report.clock_ms, now)
        was_in_doubt = self.in_doubt
        if look.fence == self._subject.fence:
            self.in_doubt = False
        strays = self._reports.take(look, report, asked_at=asked_at, now=now)
        self._subject.heard(
            strays, ends_doubt=was_in_doubt and not self.in_doubt
        )

    def _start_anew(self, report: workers.Report) -> None:
        """Forget the worker's former life."""
        if self.born_ms:
            _LOG.warning(
                'Worker started anew.',
                extra={
                    'worker': self._subject.worker.worker,
                    'born_ms': report.born_ms,
                    'runs': len(self._ledger.runs),
                },
            )
            # Orders to the former life may still be carried out.
            self._subject.doubt('started anew')
        self.born_ms = report.born_ms
        self._reports.held.reset()
        self._ack_sent = 0
        self._lease.forget_clock()
        self._ledger.unknown.clear()
        self._health.reset()
