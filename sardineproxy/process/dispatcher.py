"""Dispatch of tasks to endpoints with a free slot.

A task runs in the coroutine that submitted it. The dispatcher assigns slots
and wakes only the coroutines whose tasks start or are refused.
"""

import asyncio
import dataclasses
import math
import random
from typing import Mapping

import reactivex

from sardineproxy import clock, ids, problems
from sardineproxy.connection import endpoint as endpoint_conn
from sardineproxy.process import (
    demand,
    directory,
    dispatch_timing,
    health,
    matching,
    metrics,
    platform,
    slots,
)
from sardineproxy.request import fair_queue, flows, work

#: Default of ``Dispatcher.run``: the task may run at any endpoint.
NOTHING_EXCLUDED: frozenset[ids.EndpointId] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Parameters of the dispatcher."""

    queue: fair_queue.Config = dataclasses.field(
        default_factory=fair_queue.Config
    )

    #: Delay in seconds before blocked customers, which could use none of the
    #: free slots, are tried again.
    blocked_retry_s: float = 0.05

    #: Shortest interval between items of the backlog stream, in seconds.
    backlog_interval_s: float = 0.001

    #: Interval at which stragglers are detected and health estimates decay,
    #: in seconds.
    housekeeping_s: float = 0.25

    #: Endpoints in a row that are unreachable for a task before it backs off.
    max_unreachable_in_row: int = 3

    #: Mean length of this backoff, in seconds.
    unreachable_backoff_s: float = 0.2


class Dispatcher:
    """Dispatches tasks to the slots that this process may use."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        zone: ids.ZoneId,
        directory: directory.VmDirectory,
        slot_table: slots.SlotTable,
        client: endpoint_conn.EndpointClient,
        health: health.Health,
        metrics: metrics.Metrics,
        cfg: Config | None = None,
    ) -> None:
        """Create a dispatcher for the endpoints listed in ``directory``."""
        self._clock = clock
        self._rng = rng
        self._client = client
        self._health = health
        self._metrics = metrics
        self._cfg = cfg or Config()
        self._queue = fair_queue.FairQueue(cfg=self._cfg.queue)
        self._matcher = matching.Matcher(
            queue=self._queue,
            slot_table=slot_table,
            rng=rng,
            zone=zone,
            health=health,
        )
        self._timer = dispatch_timing.EarliestTimer(self._on_timer)
        self._next_housekeeping_at = -math.inf
        self._backlog = dispatch_timing.DemandStream(
            measure=self.demand, interval_s=self._cfg.backlog_interval_s
        )
        self._closed = False
        self._subscription = directory.listing.subscribe(self._on_listing)

    @property
    def backlog(self) -> reactivex.Observable[demand.Demand]:
        """Return a stream that emits the demand while tasks wait for slots."""
        return self._backlog.stream

    async def run(
        self,
        *,
        task: work.Task,
        exclude: frozenset[ids.EndpointId] = NOTHING_EXCLUDED,
    ) -> work.Outcome:
        """Run the task once as soon as a slot is free; return its outcome.

        Endpoints in ``exclude`` are not used while others are listed.
        """
        now = self._clock.now()
        if self._closed:
            return work.Refused(problem=_shutting_down())
        if now >= task.deadline:
            return work.Refused(problem=endpoint_conn.deadline_passed())
        entry = self._queue.register(task, exclude=exclude)
        placement = self._matcher.place_new(entry, now=now)
        if placement is None:
            self._prepare_wait(entry, now)
            self._queue.enqueue(entry)
        outcome: work.Outcome | None = None
        while outcome is None:
            if placement is None:
                wait_result = await self._wait(entry)
                if isinstance(wait_result, work.Refused):
                    return wait_result
                placement = wait_result
            outcome = await self._attempt(placement)
            placement = None
        return outcome

    def cancel(self, *, request_id: ids.RequestId) -> None:
        """Refuse the waiting tasks of a request as cancelled.

        Tasks that have a slot but are not sent yet are refused, too.
        """
        for entry in self._queue.cancel(request_id):
            self._refuse(entry, _cancelled())

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return the number of the customer's waiting tasks."""
        flow = self._queue.flows.get(customer)
        return 0 if flow is None else flow.waiting

    def set_weights(self, weights: Mapping[ids.CustomerId, float]) -> None:
        """Replace the customers' scheduling weights."""
        self._queue.set_weights(weights)

    def demand(self) -> demand.Demand:
        """Return the number of waiting and running tasks of each customer."""
        return demand.Demand(
            customers=tuple(
                demand.CustomerDemand(
                    customer=flow.customer,
                    weight=flow.weight,
                    waiting=flow.waiting,
                    running=flow.running,
                )
                for flow in self._queue.flows.values()
                if flow.running or flow.waiting
            )
        )

    def start_waiting_tasks(self) -> None:
        """Start all waiting tasks that can use a free slot."""
        if self._queue.waiting:
            now = self._clock.now()
            self._matcher.match_all(now=now)
            self._report_backlog(now)

    def close(self) -> None:
        """Refuse all waiting tasks and new ones, and stop the timers."""
        self._closed = True
        self._subscription.dispose()
        for entry in self._queue.expire(now=math.inf):
            self._refuse(entry, _shutting_down())
        self._timer.close()
        self._backlog.close()

    def state(self, *, now: float) -> dict[str, object]:
        """Return the state dump."""
        running = self._matcher.running.values()
        return {
            'customers': {
                flow.customer: {
                    'waiting': flow.waiting,
                    'running': flow.running,
                    'weight': flow.weight,
                    'run_s': round(flow.run_time_s, 4),
                }
                for flow in self._queue.flows.values()
            },
            'held_customers': sorted(self._matcher.blocked),
            'longest_run_s': max(
                (now - placement.started for placement in running),
                default=0,
            ),
            'endpoints': self._health.state(now=now),
        }

    def _on_listing(self, vm_list: platform.VmList) -> None:
        self._matcher.router.set_listing(vm_list)
        self.start_waiting_tasks()

    def _prepare_wait(self, entry: flows.QueueEntry, now: float) -> None:
        entry.waiter = asyncio.get_running_loop().create_future()
        self._timer.set(
            min(entry.task.deadline, now + self._cfg.housekeeping_s), now=now
        )

    async def _wait(
        self, entry: flows.QueueEntry
    ) -> matching.Placement | work.Refused:
        waiter = entry.waiter
        assert waiter is not None, '_prepare_wait was not called'
        self._backlog.schedule()
        try:
            return await waiter
        except asyncio.CancelledError:
            if entry.state is flows.EntryState.WAITING:
                self._queue.remove(entry)
            placement = self._matcher.running.get(entry.number)
            if placement is not None:
                self._finish_attempt(
                    placement, work.Refused(problem=_cancelled())
                )
            raise

    async def _attempt(
        self, placement: matching.Placement
    ) -> work.Outcome | None:
        """Send the task; return its outcome, or None if it was requeued."""
        entry = placement.entry
        outcome: work.Outcome | None = None
        try:
            if entry.cancelled:
                outcome = work.Refused(problem=_cancelled())
            else:
                outcome = await self._client.attempt(
                    task=entry.task, vm=placement.vm
                )
        finally:
            self._finish_attempt(placement, outcome)
        if entry.state in _REQUEUED_STATES:
            return None
        if _is_unreachable(outcome):
            return work.Refused(
                problem=_final_refusal(entry, closed=self._closed)
            )
        return outcome

    def _finish_attempt(
        self, placement: matching.Placement, outcome: work.Outcome | None
    ) -> None:
        """Record the outcome, release the slot and start the next task.

        ``outcome`` is None if the attempt was cancelled.
        """
        entry = placement.entry
        now = self._clock.now()
        run_s = now - placement.started
        in_service_before = len(self._health.ranks)
        self._matcher.router.record_outcome(
            entry.task,
            placement.ticket.endpoint,
            outcome,
            run_s=run_s,
            now=now,
        )
        if isinstance(outcome, work.Refused):
            self._queue.undo_start(entry)
            may_requeue = not (self._closed or entry.cancelled)
            if (
                may_requeue
                and _is_unreachable(outcome)
                and now < entry.task.deadline
            ):
                self._requeue(entry, placement.ticket.endpoint, now)
            else:
                self._queue.remove(entry)
        else:
            self._queue.finish(entry, run_s=run_s)
        self._matcher.release(placement, now=now)
        if len(self._health.ranks) > in_service_before:
            # All free slots of the readmitted endpoint may be used now.
            self.start_waiting_tasks()
        elif self._queue.waiting:
            self._report_backlog(now)

    def _requeue(
        self, entry: flows.QueueEntry, endpoint: ids.EndpointId, now: float
    ) -> None:
        """Requeue a task at the front after its endpoint was unreachable.

        No byte of the task was sent, so another endpoint may run it.
        """
        self._metrics.count('dispatch_put_back_total')
        self._prepare_wait(entry, now)
        entry.unreached_attempts += 1
        if entry.unreached_attempts % self._cfg.max_unreachable_in_row:
            entry.unreachable |= {endpoint}
            self._queue.enqueue(entry, at_front=True)
            return
        # Several endpoints in a row are unreachable. Back off, because trying
        # all others at once would cause a burst of connection attempts.
        entry.unreachable = NOTHING_EXCLUDED
        self._queue.pause(entry)
        backoff_s = self._cfg.unreachable_backoff_s * self._rng.uniform(
            0.5, 1.5
        )
        asyncio.get_running_loop().call_later(backoff_s, self._resume, entry)

    def _resume(self, entry: flows.QueueEntry) -> None:
        if entry.state is flows.EntryState.WAITING:
            self._queue.enqueue(entry, at_front=True)
            self.start_waiting_tasks()

    def _refuse(
        self, entry: flows.QueueEntry, problem: problems.Problem
    ) -> None:
        self._metrics.count('dispatch_refused_total', code=problem.code)
        if entry.waiter is not None and not entry.waiter.done():
            entry.waiter.set_result(work.Refused(problem=problem))

    def _report_backlog(self, now: float) -> None:
        """Publish the backlog, and schedule a retry of blocked customers."""
        self._backlog.schedule()
        if self._matcher.blocked:
            self._timer.set(now + self._cfg.blocked_retry_s, now=now)

    def _on_timer(self) -> None:
        """Process deadlines, ended ejections, blocked flows and stragglers."""
        now = self._clock.now()
        for entry in self._queue.expire(now=now):
            self._refuse(entry, endpoint_conn.deadline_passed())
        if now >= self._next_housekeeping_at:
            self._next_housekeeping_at = now + self._cfg.housekeeping_s
            self._matcher.report_stragglers(now=now)
            self._health.decay_unused(now=now)
        self.start_waiting_tasks()
        if not self._queue.waiting and not self._matcher.running:
            return
        for fire_at in (
            self._next_housekeeping_at,
            self._queue.next_deadline(),
            self._health.next_probe_at(now=now),
        ):
            if fire_at is not None:
                self._timer.set(fire_at, now=now)


#: States of a task that was requeued after an attempt. It may have started
#: again before the previous attempt returned.
_REQUEUED_STATES = frozenset(
    (flows.EntryState.WAITING, flows.EntryState.STARTED)
)


def _is_unreachable(outcome: work.Outcome | None) -> bool:
    if not isinstance(outcome, work.Refused):
        return False
    return outcome.problem.code == endpoint_conn.UNREACHABLE


def _final_refusal(
    entry: flows.QueueEntry, *, closed: bool
) -> problems.Problem:
    """Return the problem of a task that is not requeued."""
    if entry.cancelled:
        return _cancelled()
    return _shutting_down() if closed else endpoint_conn.deadline_passed()


def _shutting_down() -> problems.Problem:
    return problems.refusal(
        code='shutting_down',
        status=503,
        detail='The entry process shuts down.',
        retry_after_s=1,
    )


def _cancelled() -> problems.Problem:
    return problems.refusal(
        code='cancelled',
        status=409,
        detail='The request was cancelled before the task started.',
    )
