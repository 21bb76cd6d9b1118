"""Starts and stops runs on one worker, and tracks its free capacity.

The worker does not enforce its capacity. A run therefore occupies capacity
here from its start order until a report shows that it has ended or can never
start.
"""

import math
from typing import Protocol

from sardineproxy import background, clock, logs
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    fencing,
    health,
    unacked_results,
    lease,
    ledger,
    listing,
    reconciler,
    runs,
    times,
    poller,
    workers,
)

#: Times that a leader raises its fence, after a worker has refused it, before it
#: takes itself for superseded. An inquiry may have raised the fence.
MAX_RAISES = 2

#: Longest time in which a raised fence is accepted or refused, in seconds.
FENCE_DOUBT_S = 0.2

#: A worker with more unstored results than this gets no more runs. It lists
#: up to 500 results.
MAX_UNSTORED_RESULTS = 300

_LOG = logs.get_logger('worker')

_State = runs.RunState


class Events(reconciler.Events, Protocol):
    """Receives the events of one worker and its runs."""

    def capacity_freed(self, agent: 'Agent') -> None:
        """Handle newly available capacity of a worker."""

    def superseded(self, agent: 'Agent') -> None:
        """Handle a worker that has seen the fence of a newer leader."""

    def fence_refused(self, agent: 'Agent', *, until: float) -> None:
        """Start no run while it is unknown whether there is a newer leader.

        ``until`` is local time, in seconds.
        """

    def fence_accepted(self, agent: 'Agent') -> None:
        """Handle a worker that has accepted a raised fence."""

    def unrequested_runs(
        self, agent: 'Agent', unrequested: list[workers.ActiveRun]
    ) -> None:
        """Handle runs that this process did not start."""


class Agent:  # noqa: WPS214
    """The leader's representation of one worker."""

    def __init__(
        self,
        *,
        worker: workers.Worker,
        token: fencing.FencingToken,
        api: workers.WorkerApi,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        events: Events,
        cfg: times.CallTiming,
        listing: listing.Listing = listing.Listing.LISTED,
        fence_count: int = 0,
    ) -> None:
        """Create an agent; the runs on the worker are not known yet.

        ``fence_count`` exceeds the count of the leader's previous agent for
        this worker, because the worker may have seen its fences.
        """
        self.worker = worker
        self.token = token
        self.health = health.Health()
        self.ledger = ledger.Ledger(capacity=worker.capacity)
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._cfg = cfg
        self._lease = lease.Lease(cfg=cfg)
        self._reconciler = reconciler.Reconciler(
            worker=worker.worker,
            ledger=self.ledger,
            health=self.health,
            events=events,
            stopper=self,
            cfg=cfg,
        )
        self._poller = poller.Poller(
            agent=self,
            api=api,
            ledger=self.ledger,
            lease=self._lease,
            health=self.health,
            reconciler=self._reconciler,
            clock=clock,
            metrics=metrics,
            cfg=cfg,
        )
        self.fence_count = fence_count
        self._raises = 0

        #: Local time, in seconds, until which the leases of runs that a former
        #: leader started may last before they are adopted.
        self.former_runs_until = math.inf

        #: False while another process may lead the shard. The leases of
        #: stored jobs' runs must expire then.
        self.is_leadership_confirmed = True
        self._listing = listing

        #: True while no run is started, because the worker is cold after an
        #: evacuation and others are used first.
        self.is_held = False
        self._cold_until = clock.now() + worker.cold_left_s
        self._is_cold = False
        self.update_cold(clock.now())
        self._tasks = background.Tasks()

    def open(self) -> None:
        """Start polling the worker."""
        self._tasks.spawn_restarting(self._poller.run, self._unit)

    async def close(self) -> None:
        """Stop all calls and wait for their end."""
        await self._tasks.close()

    def release_result(
        self, task: workers.TaskName, run: int, *, after_lapse: bool
    ) -> None:
        """Acknowledge a result to the worker.

        With ``after_lapse`` the lease of its runs is not extended until then,
        so that it expires before.
        """
        was_waiting = self.unacked.wait_for_lapse
        if self.unacked.release(task, run, after_lapse=after_lapse):
            self._poller.acknowledge()
        elif self.unacked.wait_for_lapse and not was_waiting:
            # A former leader may have extended the lease.
            self._lease.assume_extended(self._clock.now())

    def abandon(self) -> None:
        """Stop all calls without waiting for their end."""
        self._tasks.cancel_all()

    @property
    def fence(self) -> int:
        """Return the current fence of calls to the worker."""
        return self.token.fence(self.fence_count)

    @property
    def unacked(self) -> unacked_results.UnackedResults:
        """Return the results that must not be acknowledged yet."""
        return self._reconciler.unacked

    @property
    def is_synced(self) -> bool:
        """Return whether a report for the current fence was received."""
        return not self._poller.is_unconfirmed

    @property
    def has_reported(self) -> bool:
        """Return whether the worker has ever reported to this leader."""
        return self._poller.started_ms > 0

    @property
    def is_unresponsive(self) -> bool:
        """Return whether the worker currently fails to respond to calls."""
        return self._poller.unresponsive_since is not None

    def is_removable(self, now: float) -> bool:
        """Return whether the worker is unlisted and nothing can run on it."""
        return (
            self._listing is listing.Listing.UNLISTED
            and self.ledger.is_empty
            and self._lease.has_expired(now)
        )

    @property
    def is_listed(self) -> bool:
        """Return whether the newest list contains the worker."""
        return self._listing is listing.Listing.LISTED

    @property
    def may_extend_lease(self) -> bool:
        """Return whether the lease of the worker's runs may be extended."""
        if self.unacked.wait_for_lapse:
            return False
        return self.is_leadership_confirmed or not self.ledger.has_stored_runs

    def acknowledge_lapsed(self, now: float) -> None:
        """Acknowledge the results that wait for the expiry of the lease."""
        if self.unacked.wait_for_lapse and self._lease.has_expired(now):
            self.unacked.lapsed()
            self._poller.acknowledge()

    @property
    def is_cold(self) -> bool:
        """Return whether tasks take longer because of a recent start."""
        return self._is_cold

    def update_cold(self, now: float) -> bool:
        """Update whether the worker is cold; return whether that changed."""
        is_cold = now < self._cold_until and self._cfg.cold_overage > 1
        if is_cold is self._is_cold:
            return False
        self._is_cold = is_cold
        self.health.set_cold_factor(self._cfg.cold_overage if is_cold else 1)
        return True

    def accepts_work(self, now: float) -> bool:
        """Return whether runs may be started on the worker."""
        if self.is_held or not self.may_extend_lease:
            # A start order extends the lease of all runs of the worker.
            return False
        if self._listing is not listing.Listing.LISTED:
            return False
        if self.is_unresponsive or not self.is_synced:
            return False
        if self.worker.state is not workers.WorkerState.READY:
            return False
        if self.worker.started_ms != self._poller.started_ms:
            # The restarted worker may have another capacity, which becomes
            # known from its next entry in the list.
            return False
        if self.ledger.unrequested or len(self.unacked) > MAX_UNSTORED_RESULTS:
            return False
        if self.health.on_probation and self.ledger.runs:
            return False
        return self.health.is_available(now)

    def update(self, worker: workers.Worker) -> None:
        """Apply a newer list entry of the worker."""
        if worker.state is not self.worker.state:
            _LOG.info(
                'Worker state changed.',
                extra={
                    'worker': worker.worker,
                    'state': worker.state.value,
                    'running': len(self.ledger.runs),
                },
            )
        is_restarted = worker.started_ms != self.worker.started_ms
        self.ledger.resize(self.worker.capacity, worker.capacity)
        if is_restarted or worker.cold_left_s != self.worker.cold_left_s:
            self._cold_until = self._clock.now() + worker.cold_left_s
        self.worker = worker
        self.apply_listing(listing.Event.ENTRY_CHANGED)
        if is_restarted and worker.started_ms != self._poller.started_ms:
            self.mark_unconfirmed('worker restarted')

    def apply_listing(self, event: listing.Event) -> None:
        """Apply an event of the worker's entry; ``update`` does so itself."""
        former = self._listing
        self._listing = listing.advance(former, event)
        if self._listing is former:
            return
        _LOG.info(
            'Worker is listed again.'
            if self._listing is listing.Listing.LISTED
            else 'Worker is no longer listed.',
            extra={
                'worker': self.worker.worker,
                'listing': self._listing.value,
            },
        )
        if former is listing.Listing.LISTED:
            self.mark_unconfirmed('worker not listed')

    def renew_token(self, token: fencing.FencingToken) -> None:
        """Use a higher fencing token of the same leader from now on."""
        self.token = token
        self.fence_count = 0

    def start(self, run: runs.Run, now: float) -> None:
        """Start a run; it occupies capacity from now on."""
        run.ordered_at = now
        run.fence = self.fence
        run.expires_ms = self._lease.extend(now)
        self.ledger.add(run)
        self._tasks.spawn(
            self._send_start(run),
            unit=self._unit,
            on_failure=lambda: self._handle_failed_start(run),
        )
        self._poller.order_sent(now)

    def stop(self, run: runs.Run) -> None:
        """Stop a run unless a stop is already in progress."""
        if run.state is _State.STOPPING:
            return
        run.state = _State.STOPPING
        run.stop_sent_at = self._clock.now()
        if run.is_sent:
            self._spawn_stop(run.task, run.number, run)
        self._poller.wake()

    def retry_stop(self, run: runs.Run) -> None:
        """Send the stop of a run again."""
        self._spawn_stop(run.task, run.number, run)

    def stop_unrequested(self) -> None:
        """Stop runs of another process that no coordinator resumed."""
        for task, active_run in self.ledger.unrequested.items():
            self._spawn_stop(task, active_run.run)
        self._poller.wake()

    def adopt(self, run: runs.Run, now: float) -> None:
        """Adopt a run that another process started."""
        active_run = self.ledger.unrequested.pop(run.task)
        run.state = _State.RUNNING
        run.started_at = now
        run.percent = active_run.percent
        run.is_sent = True
        self.ledger.add(run)
        self._poller.extend_adopted()

    def mark_unconfirmed(self, cause: str) -> None:
        """Start no runs until a report for a higher fence has arrived.

        The higher fence ensures that the worker does not execute unanswered
        orders after that report.
        """
        self.fence_count += 1
        self._metrics.count('worker_doubts_total')
        _LOG.info(
            'Worker state unknown, report required.',
            extra={
                'worker': self.worker.worker,
                'cause': cause,
                'fence': self.fence,
                'runs': len(self.ledger.runs),
            },
        )
        self._poller.restart_poll()

    # Implementation of poller.PolledAgent.

    def handle_fenced(self) -> None:
        """Report that the worker has seen the fence of a newer leader."""
        self._events.superseded(self)

    def raise_fence(self) -> bool:
        """Raise the fence above that of an inquiry, if it may have been one.

        Returns False if the worker has refused raised fences, too: no fence of
        this leader exceeds that of a newer one.
        """
        if self._raises >= MAX_RAISES:
            return False
        self._raises += 1
        self._events.fence_refused(
            self, until=self._clock.now() + FENCE_DOUBT_S
        )
        self.fence_count += self.fence_count
        self.mark_unconfirmed('fence refused')
        return True

    def handle_report(
        self, unrequested: list[workers.ActiveRun], *, is_newly_confirmed: bool
    ) -> None:
        """Handle an applied report.

        ``unrequested`` are runs that this process did not start.
        ``is_newly_confirmed`` is true if it confirmed the worker's state.
        """
        if unrequested:
            self._events.unrequested_runs(self, unrequested)
        if is_newly_confirmed and self._raises:
            self._raises = 0
            self._events.fence_accepted(self)
        if is_newly_confirmed:
            self._events.capacity_freed(self)

    def handle_lease_expired(self, run: runs.Run) -> None:
        """Report a run as lost whose lease expired without a response."""
        self._events.run_lost(run, 'lease expired on an unresponsive worker')

    def state(self, now: float) -> dict[str, object]:
        """Return the state of the worker for the state dump."""
        unresponsive_since = self._poller.unresponsive_since
        return {
            'worker': self.worker.worker,
            'state': self.worker.state.value,
            'fence': self.fence,
            'in_doubt': self._poller.is_unconfirmed,
            'silent_s': unresponsive_since
            and round(now - unresponsive_since, 3),
            'free_millicores': self.ledger.free_capacity.millicores,
            'runs': {
                run.task: run.state.value for run in self.ledger.runs.values()
            },
            'unknown': list(self.ledger.unrequested),
            'health': self.health.state(now),
        }

    @property
    def _unit(self) -> str:
        """Return the name of the worker for reports of errors."""
        return f'worker {self.worker.worker}'

    def _handle_failed_start(self, run: runs.Run) -> None:
        """Handle an error after which it is unknown whether a run exists."""
        self._mark_run_unconfirmed(run)
        self.mark_unconfirmed(f'start of {run.task} failed')

    def _spawn_stop(
        self,
        task: workers.TaskName,
        run_number: int,
        run: runs.Run | None = None,
    ) -> None:
        self._tasks.spawn(
            self._send_stop(task, run_number, run),
            unit=self._unit,
            on_failure=lambda: self.mark_unconfirmed(f'stop of {task} failed'),
        )

    async def _send_start(self, run: runs.Run) -> None:
        if run.state is _State.STOPPING:
            self._handle_not_started(run, 'stopped before its start was sent')
            return
        run.is_sent = True
        response = await self._api.start(
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
        match response:
            case workers.Accepted(clock_ms=clock_ms):
                run.mark_running(now)
                self._poller.order_answered(clock_ms, now)
            case workers.Refused():
                self._handle_refusal(run, response, now)
            case workers.Unanswered(unsent=True):
                self._handle_not_started(run, response.cause)
                self._poller.mark_unresponsive(response.cause, now)
            case workers.Unanswered():
                self._mark_run_unconfirmed(run)
                self.mark_unconfirmed(
                    f'start of {run.task} not answered: {response.cause}'
                )

    def _mark_run_unconfirmed(self, run: runs.Run) -> None:
        if run.state is _State.ORDERED:
            run.state = _State.UNCONFIRMED
        elif run.state is _State.STOPPING:
            # The stop is sent again with a higher fence if the run is listed.
            run.state = _State.UNCONFIRMED
            run.stop_when_running = True

    def _handle_refusal(
        self, run: runs.Run, refused: workers.Refused, now: float
    ) -> None:
        _LOG.info(
            'Worker refused to start a run.',
            extra={
                'worker': self.worker.worker,
                'task': run.task,
                'run': run.number,
                'why': refused.reason.value,
                'detail': refused.detail,
                'fence': run.fence,
            },
        )
        match refused.reason:
            case workers.Refusal.FENCED if run.fence >= self.fence:
                if not self.raise_fence():
                    self.handle_fenced()
            case workers.Refusal.NOT_EXECUTED | workers.Refusal.NO_CAPACITY:
                self.health.record_refusal(now)
            case workers.Refusal.OTHER_WORKER:
                self.apply_listing(listing.Event.OTHER_WORKER)
            case _:
                pass
        self._handle_not_started(run, refused.reason.value)

    def _handle_not_started(self, run: runs.Run, cause: str) -> None:
        if run.state is _State.RUNNING:
            return
        self.ledger.remove(run)
        self._events.run_lost(run, cause)

    async def _send_stop(
        self,
        task: workers.TaskName,
        run_number: int,
        run: runs.Run | None = None,
    ) -> None:
        response = await self._api.stop(
            self.worker,
            task=task,
            run=run_number,
            fence=self.fence,
            timeout_s=self._cfg.order_timeout_s,
        )
        match response:
            case workers.Accepted() if run is not None:
                run.stop_accepted_at = self._clock.now()
            case workers.Unanswered():
                if run is not None:
                    # The stop is sent again as soon as the run is listed.
                    run.stop_sent_at = 0
                self.mark_unconfirmed(
                    f'stop of {task} not answered: {response.cause}'
                )
            case _:
                pass
