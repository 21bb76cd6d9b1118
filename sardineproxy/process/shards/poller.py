"""Polls one worker, continuously only while runs may exist on it.

A poll returns the results of runs, extends the lease of those that are still
active, and confirms the worker's state after a call without a response.
"""

import asyncio
from typing import Protocol

from sardineproxy import clock, logs
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    health,
    lease,
    ledger,
    process_check,
    reconciler,
    runs,
    times,
    workers,
)

_LOG = logs.get_logger('worker')

_State = runs.RunState


class PolledAgent(Protocol):
    """The agent of the polled worker."""

    @property
    def worker(self) -> workers.Worker:
        """Return the worker's entry in the platform's list."""

    @property
    def fence(self) -> int:
        """Return the current fence of calls to the worker."""

    @property
    def is_listed(self) -> bool:
        """Return whether the newest list contains the worker."""

    @property
    def former_runs_until(self) -> float:
        """Return until when leases of unrequested runs may be extended."""

    @property
    def may_extend_lease(self) -> bool:
        """Return whether the lease of the worker's runs may be extended."""

    def mark_unconfirmed(self, cause: str) -> None:
        """Start no runs until a report for a higher fence has arrived."""

    def handle_fenced(self) -> None:
        """Handle a worker that has seen the fence of a newer leader."""

    def raise_fence(self) -> bool:
        """Raise the fence above that of an inquiry, if it may have been one."""

    def handle_report(
        self, unrequested: list[workers.ActiveRun], *, is_newly_confirmed: bool
    ) -> None:
        """Handle an applied report.

        ``unrequested`` are runs that this process did not start.
        ``is_newly_confirmed`` is true if it confirmed the worker's state.
        """

    def handle_lease_expired(self, run: runs.Run) -> None:
        """Handle a run whose lease expired on an unresponsive worker."""


class Poller:
    """Polls one worker and detects when it is unresponsive or restarted."""

    def __init__(
        self,
        *,
        agent: PolledAgent,
        api: workers.WorkerApi,
        ledger: ledger.Ledger,
        lease: lease.Lease,
        health: health.Health,
        reconciler: reconciler.Reconciler,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        cfg: times.CallTiming,
    ) -> None:
        """Create a poller; ``run`` makes the calls."""
        self._agent = agent
        self._api = api
        self._ledger = ledger
        self._lease = lease
        self._health = health
        self._reconciler = reconciler
        self._clock = clock
        self._metrics = metrics
        self._cfg = cfg

        #: True until a report for the current fence has arrived.
        self.is_unconfirmed = True

        #: Whether the current poll extends the lease of this leader's runs.
        self._extends_own_runs = False

        #: Start of the worker process according to its newest report, in Unix
        #: milliseconds; 0 before the first report.
        self.started_ms = 0

        #: Local time since which the worker is unresponsive, in seconds; None
        #: if it responds.
        self.unresponsive_since: float | None = None
        self._failed_polls = 0
        self._acked_position = 0
        self._process_check = process_check.ProcessCheck()
        self._wake = asyncio.Event()
        self._results_released = asyncio.Event()
        self._poll: asyncio.Task[object] | None = None

    def wake(self) -> None:
        """Check at once whether a poll is needed."""
        self._wake.set()

    def order_sent(self, now: float) -> None:
        """Poll the worker for the run that a start order creates."""
        self._process_check.order_sent(now)
        self._wake.set()

    def order_answered(self, clock_ms: int, now: float) -> None:
        """Check by its clock which process has executed a start order."""
        is_same = self._lease.agrees_with(clock_ms, now)
        self._process_check.order_answered(now, is_same=is_same)
        if self._lease.has_clock and not is_same:
            self._agent.mark_unconfirmed('order executed by another process')

    def acknowledge(self) -> None:
        """Send the acknowledgement of released results soon."""
        self._results_released.set()
        self._wake.set()

    def restart_poll(self) -> None:
        """Cancel the current poll and send a new one at once."""
        self.is_unconfirmed = True
        self._results_released.set()
        if self._poll is not None:
            self._poll.cancel()
        self._wake.set()

    def extend_adopted(self) -> None:
        """Extend the lease for an adopted run at once."""
        if self._poll is not None and not self._extends_own_runs:
            self._results_released.set()
            self._poll.cancel()
        self._wake.set()

    def mark_unresponsive(self, cause: str, now: float) -> None:
        """Record that a call failed or a poll was refused."""
        if self.unresponsive_since is not None:
            return
        self.unresponsive_since = now
        if not self.is_unconfirmed:
            self._agent.mark_unconfirmed(cause)
        _LOG.warning(
            'Worker does not respond.',
            extra={'worker': self._agent.worker.worker, 'cause': cause},
        )

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        while True:
            await self._wait_until_needed()
            if not self.is_unconfirmed:
                await self._process_check.wait_for_order(
                    self._clock.now(), self._cfg.order_timeout_s
                )
            now = self._clock.now()
            poll = self._build_poll(now)
            self._metrics.count('worker_looks_total')
            self._poll = asyncio.create_task(
                self._api.poll(
                    self._agent.worker,
                    poll,
                    timeout_s=poll.wait_s + self._cfg.look_timeout_s,
                )
            )
            try:
                response = await self._poll
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():  # type: ignore[union-attr]
                    raise
                continue
            finally:
                self._poll = None
            await self._handle_response(poll, response, now)

    async def _wait_until_needed(self) -> None:
        if self._is_poll_needed():
            await self._pause_while_unacked()
        while not self._is_poll_needed():
            self._wake.clear()
            has_new_acks = (
                self._reconciler.unacked.acked_through > self._acked_position
            )
            pause_s = (
                self._cfg.ack_pause_s
                if has_new_acks
                else self._cfg.idle_pause_s
            )
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    async def _pause_while_unacked(self) -> None:
        """Pause before a poll to which the worker would respond at once.

        The worker does not wait for a new result while it lists an
        unacknowledged one.
        """
        self._results_released.clear()
        if self._reconciler.unacked.is_empty or self.is_unconfirmed:
            return
        try:
            async with asyncio.timeout(self._cfg.held_pause_s):
                await self._results_released.wait()
        except TimeoutError:
            return

    def _is_poll_needed(self) -> bool:
        if self.is_unconfirmed or self.unresponsive_since is not None:
            return True
        return not self._ledger.is_empty

    def _build_poll(self, now: float) -> workers.Poll:
        has_unstopped_runs = any(
            run.state is not _State.STOPPING
            for run in self._ledger.runs.values()
        )
        expires_ms = None
        # The leases on an unresponsive worker are not extended, so that its
        # runs end at a known time even if it never responds again.
        is_responsive = self.unresponsive_since is None
        is_extendable = is_responsive and self._agent.may_extend_lease
        if is_extendable and self._lease.has_clock:
            former_until = self._agent.former_runs_until
            if has_unstopped_runs:
                expires_ms = self._lease.extend(now)
            elif self._ledger.unrequested and now < former_until:
                expires_ms = self._lease.extend(now, former_until)
        self._extends_own_runs = has_unstopped_runs
        respond_at_once = self.is_unconfirmed or self._ledger.is_empty
        wait_s = 0 if respond_at_once else self._cfg.look_wait_s
        acked = 0
        if self._process_check.may_acknowledge(now, waits=wait_s > 0):
            acked = self._reconciler.unacked.acked_through
        return workers.Poll(
            fence=self._agent.fence,
            acked=acked,
            expires_ms=expires_ms,
            wait_s=wait_s,
        )

    async def _handle_response(
        self,
        poll: workers.Poll,
        response: workers.Report | workers.Refused | workers.Unanswered,
        sent_at: float,
    ) -> None:
        now = self._clock.now()
        match response:
            case workers.Report():
                self._mark_responsive(now)
                self._acked_position = max(self._acked_position, poll.acked)
                self._apply_report(poll, response, sent_at, now)
            case workers.Refused(reason=workers.Refusal.FENCED):
                if poll.fence >= self._agent.fence:
                    await self._handle_fenced(now)
            case workers.Refused():
                self.mark_unresponsive(
                    f'{response.reason.value} {response.detail}', now
                )
                await self._back_off()
            case workers.Unanswered():
                if self.is_unconfirmed:
                    self.mark_unresponsive(response.cause, now)
                    await self._back_off()
                else:
                    self._agent.mark_unconfirmed(
                        f'poll not answered: {response.cause}'
                    )

    async def _handle_fenced(self, now: float) -> None:
        if self._agent.raise_fence():
            return
        if self._agent.is_listed:
            self._agent.handle_fenced()
            await asyncio.sleep(self._cfg.silent_pause_s)
        else:
            # Its entry may have named another zone, whose leader has ordered
            # it since.
            self.mark_unresponsive('fenced while not listed', now)
            await self._back_off()

    async def _back_off(self) -> None:
        self._failed_polls += 1
        self._drop_expired(self._clock.now())
        await asyncio.sleep(
            min(
                self._cfg.silent_pause_s * self._failed_polls,
                self._cfg.silent_pause_max_s,
            )
        )

    def _drop_expired(self, now: float) -> None:
        """Report the runs as lost once the worker's lease has expired."""
        if not self._lease.has_expired(now):
            return
        self._ledger.unrequested.clear()
        for run in list(self._ledger.runs.values()):
            self._ledger.remove(run)
            self._agent.handle_lease_expired(run)

    def _mark_responsive(self, now: float) -> None:
        self._failed_polls = 0
        if self.unresponsive_since is None:
            return
        _LOG.info(
            'Worker responds again.',
            extra={
                'worker': self._agent.worker.worker,
                'silent_s': round(now - self.unresponsive_since, 3),
            },
        )
        self.unresponsive_since = None

    def _apply_report(
        self,
        poll: workers.Poll,
        report: workers.Report,
        sent_at: float,
        now: float,
    ) -> None:
        if report.started_ms != self.started_ms:
            self._handle_restart(report)
            if poll.acked:
                # The poll acknowledged positions of the previous process, so
                # that results of the new one may be missing from the report.
                return
        self._process_check.reported(requested_at=sent_at, now=now)
        if report.clock_ms < self._lease.clock_ms:
            # A newer report has already arrived.
            return
        self._lease.set_clock(report.clock_ms, now)
        was_unconfirmed = self.is_unconfirmed
        if poll.fence == self._agent.fence:
            self.is_unconfirmed = False
        unrequested = self._reconciler.apply(
            poll, report, sent_at=sent_at, now=now
        )
        if unrequested:
            # A former leader may have extended it just before this report.
            self._lease.assume_extended(now)
        self._agent.handle_report(
            unrequested,
            is_newly_confirmed=was_unconfirmed and not self.is_unconfirmed,
        )

    def _handle_restart(self, report: workers.Report) -> None:
        """Discard the state of the worker's previous process."""
        if self.started_ms:
            _LOG.warning(
                'Worker restarted.',
                extra={
                    'worker': self._agent.worker.worker,
                    'born_ms': report.started_ms,
                    'runs': len(self._ledger.runs),
                },
            )
            # Orders to the previous process may still be executed.
            self._agent.mark_unconfirmed('worker restarted')
        self.started_ms = report.started_ms
        self._process_check.restarted()
        self._reconciler.unacked.reset()
        self._acked_position = 0
        self._lease.reset_clock()
        self._ledger.unrequested.clear()
        self._health.reset()
