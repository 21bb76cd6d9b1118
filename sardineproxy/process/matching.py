"""Matching of waiting tasks to free slots.

Once an event has been handled, no waiting task can use a free slot. After the
release of one slot it is therefore enough to start a single task.
"""

import dataclasses
import random
from typing import Protocol

from sardineproxy import ids
from sardineproxy.process import health, platform, routing, slots
from sardineproxy.request import fair_queue, flows


class SlotSource(Protocol):
    """The part of the slot table's interface that the matcher uses."""

    def free_endpoints(
        self, *, customer: ids.CustomerId, now: float
    ) -> tuple[ids.EndpointId, ...]:
        """Return endpoints with a free slot that ``customer`` may use."""

    def acquire(
        self,
        *,
        endpoint: ids.EndpointId,
        customer: ids.CustomerId,
        now: float,
    ) -> slots.Ticket | None:
        """Acquire a free slot of the endpoint, or return None."""

    def release(self, *, ticket: slots.Ticket, now: float) -> None:
        """Release the slot."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Placement:
    """A started task and the slot that it uses."""

    entry: flows.QueueEntry
    ticket: slots.Ticket
    vm: platform.Vm

    #: Time at which the slot was acquired, in monotonic seconds.
    started: float


class Matcher:
    """Starts queued tasks on free slots, in the order of the fair queue."""

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        slot_table: SlotSource,
        rng: random.Random,
        zone: ids.ZoneId,
        health: health.Health,
    ) -> None:
        """Create a matcher without running tasks."""
        self._queue = queue
        self._slots = slot_table
        self._health = health

        #: Chooses endpoints and records task outcomes in their health.
        self.router = routing.Router(rng=rng, zone=zone, health=health)

        #: Started tasks by number. Read-only for other modules.
        self.running: dict[int, Placement] = {}

        #: Flows that could use none of the free slots although a flow behind
        #: them could. They are not scheduled again until one of their own
        #: tasks ends or all flows are tried.
        self.blocked: dict[ids.CustomerId, flows.Flow] = {}

    def place_new(
        self, entry: flows.QueueEntry, *, now: float
    ) -> Placement | None:
        """Start a new task at once if it can use a free slot.

        No waiting task could use this slot, so the fair queue is not bypassed.
        A task whose customer has waiting tasks is queued behind them.
        """
        flow = entry.flow
        if flow.singles or flow.jobs:
            return None
        return self._place(entry, now)

    def release(self, placement: Placement, *, now: float) -> None:
        """Release a task's slot and start the next task."""
        self.running.pop(placement.entry.number)
        self._slots.release(ticket=placement.ticket, now=now)
        if not self._queue.waiting:
            return
        flow = placement.entry.flow
        was_blocked = self.blocked.pop(flow.customer, None) is not None
        if was_blocked:
            self._queue.schedule(flow)
        started_flow = self._match_one(now)
        if started_flow is None and self.blocked:
            self._unblock_all()
            started_flow = self._match_one(now)
        # The customer was blocked by a limit of its own, which may have kept
        # it from slots other than the released one.
        if was_blocked and started_flow is not flow and flow.is_backlogged:
            if self._start_next(flow, now):
                self._queue.schedule(flow)

    def match_all(self, *, now: float) -> None:
        """Start all waiting tasks that can use a free slot."""
        self._unblock_all()
        skipped_flows = []
        flow = self._queue.pop_flow()
        while flow is not None:
            if self._start_next(flow, now):
                self._queue.schedule(flow)
            else:
                skipped_flows.append(flow)
            flow = self._queue.pop_flow()
        for skipped in skipped_flows:
            self._queue.schedule(skipped)

    def report_stragglers(self, *, now: float) -> None:
        """Record stragglers in the health estimates of their endpoints."""
        starts_by_endpoint: dict[ids.EndpointId, list[float]] = {}
        for placement in self.running.values():
            limit_s = self._health.straggler_after_s(
                placement.entry.task.customer
            )
            if now - placement.started > limit_s:
                starts = starts_by_endpoint.setdefault(
                    placement.ticket.endpoint, []
                )
                starts.append(placement.started)
        for endpoint, starts in starts_by_endpoint.items():
            self._health.record_stragglers(
                endpoint, count=len(starts), newest_start=max(starts), now=now
            )

    def _match_one(self, now: float) -> flows.Flow | None:
        """Start the first task that can use a free slot; return its flow.

        Flows before it can use no free slot because of their own limits. They
        are added to ``blocked``, so that the next release does not try all of
        them again.
        """
        skipped_flows = []
        flow = self._queue.pop_flow()
        while flow is not None and not self._start_next(flow, now):
            skipped_flows.append(flow)
            flow = self._queue.pop_flow()
        for skipped in skipped_flows:
            if flow is None:
                self._queue.schedule(skipped)
            else:
                self.blocked[skipped.customer] = skipped
        if flow is not None:
            self._queue.schedule(flow)
        return flow

    def _start_next(self, flow: flows.Flow, now: float) -> bool:
        """Start the flow's next task that can use a free slot, if any."""
        for entry in self._candidates(flow):
            placement = self._place(entry, now)
            if placement is not None:
                assert entry.waiter is not None
                entry.waiter.set_result(placement)
                return True
        return False

    def _candidates(self, flow: flows.Flow) -> tuple[flows.QueueEntry, ...]:
        """Return the tasks to try; remove abandoned ones from the queue.

        A task is abandoned when the coroutine that submitted it was cancelled.
        """
        entries = self._queue.candidates(flow)
        abandoned = [entry for entry in entries if _is_abandoned(entry)]
        while abandoned:
            for abandoned_entry in abandoned:
                self._queue.remove(abandoned_entry)
            entries = self._queue.candidates(flow)
            abandoned = [entry for entry in entries if _is_abandoned(entry)]
        return entries

    def _place(self, entry: flows.QueueEntry, now: float) -> Placement | None:
        """Start the task on the best free slot, or return None."""
        customer = entry.task.customer
        free = self._slots.free_endpoints(customer=customer, now=now)
        while free:
            endpoint = self.router.choose_endpoint(entry, free, now=now)
            if endpoint is None:
                return None
            ticket = self._slots.acquire(
                endpoint=endpoint, customer=customer, now=now
            )
            if ticket is not None:
                return self._start(entry, ticket, now)
            free = tuple(
                candidate for candidate in free if candidate != endpoint
            )
        return None

    def _start(
        self, entry: flows.QueueEntry, ticket: slots.Ticket, now: float
    ) -> Placement:
        self._queue.start(entry)
        self._health.record_start(ticket.endpoint, now=now)
        placement = Placement(
            entry=entry,
            ticket=ticket,
            vm=self.router.listed_vm(ticket.endpoint),
            started=now,
        )
        self.running[entry.number] = placement
        return placement

    def _unblock_all(self) -> None:
        for flow in self.blocked.values():
            self._queue.schedule(flow)
        self.blocked.clear()


def _is_abandoned(entry: flows.QueueEntry) -> bool:
    return entry.waiter is None or entry.waiter.done()
