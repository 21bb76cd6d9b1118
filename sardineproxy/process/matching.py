"""Start waiting tasks on free slots.

Between events every waiting task is one that no free slot fits. A released
slot therefore needs a search for one start, not for all that are possible.
"""

import dataclasses
import random
from typing import Protocol

from sardineproxy import ids
from sardineproxy.process import health, platform, routing, slots
from sardineproxy.request import fair_queue, flows


class SlotSource(Protocol):
    """What matching needs of the slot table."""

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
        """Take a free slot of the endpoint, or return None."""

    def release(self, *, ticket: slots.Ticket, now: float) -> None:
        """Give the slot back."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Placement:
    """A started task and its slot."""

    entry: flows.QueueEntry
    ticket: slots.Ticket
    vm: platform.Vm

    #: Monotonic seconds at which the slot was taken.
    started: float


class Matcher:
    """Takes tasks from the queue and slots from the table."""

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        slot_table: SlotSource,
        rng: random.Random,
        zone: ids.ZoneId,
        health: health.Health,
    ) -> None:
        """Start with no running tasks."""
        self._queue = queue
        self._slots = slot_table
        self._health = health

        #: Choice of the endpoint and what outcomes teach about it.
        self.router = routing.Router(rng=rng, zone=zone, health=health)

        #: Started tasks by number; only the matcher changes it.
        self.running: dict[int, Placement] = {}

        #: Flows that could use no free slot while others could.
        self.blocked: dict[ids.CustomerId, flows.Flow] = {}

    def place_new(
        self, entry: flows.QueueEntry, *, now: float
    ) -> Placement | None:
        """Start a new task at once if a free slot fits it.

        The waiting tasks of its customer fit no free slot, nor do those of
        other customers; a customer without waiting tasks may be luckier.
        """
        flow = entry.flow
        if flow.singles or flow.jobs:
            return None
        return self._place(entry, now)

    def release(self, placement: Placement, *, now: float) -> None:
        """Give a slot back and start the next task on it."""
        self.running.pop(placement.entry.number)
        self._slots.release(ticket=placement.ticket, now=now)
        if not self._queue.waiting:
            return
        flow = placement.entry.flow
        was_blocked = self.blocked.pop(flow.customer, None) is not None
        if was_blocked:
            self._queue.schedule(flow)
        started = self._match_one(now)
        if started is None and self.blocked:
            self._unblock_all()
            started = self._match_one(now)
        # A limit of its own held the customer back, maybe from other slots
        # than the one that was released.
        if was_blocked and started is not flow and flow.is_backlogged:
            if self._start_next(flow, now):
                self._queue.schedule(flow)

    def match_all(self, *, now: float) -> None:
        """Start all tasks that fit a free slot."""
        self._unblock_all()
        misfits = []
        flow = self._queue.pop_flow()
        while flow is not None:
            if self._start_next(flow, now):
                self._queue.schedule(flow)
            else:
                misfits.append(flow)
            flow = self._queue.pop_flow()
        for misfit in misfits:
            self._queue.schedule(misfit)

    def report_stragglers(self, *, now: float) -> None:
        """Tell the health estimates which tasks run for too long."""
        starts: dict[ids.EndpointId, list[float]] = {}
        for placement in self.running.values():
            limit_s = self._health.straggler_after_s(
                placement.entry.task.customer
            )
            if now - placement.started > limit_s:
                started = starts.setdefault(placement.ticket.endpoint, [])
                started.append(placement.started)
        for endpoint, started in starts.items():
            self._health.record_stragglers(
                endpoint, count=len(started), since=max(started), now=now
            )

    def _match_one(self, now: float) -> flows.Flow | None:
        """Start the first task that fits; return its flow.

        Flows that come before it fit no free slot because of limits of their
        own; they are held, so that the next release does not try them all.
        """
        misfits = []
        flow = self._queue.pop_flow()
        while flow is not None and not self._start_next(flow, now):
            misfits.append(flow)
            flow = self._queue.pop_flow()
        for misfit in misfits:
            if flow is None:
                self._queue.schedule(misfit)
            else:
                self.blocked[misfit.customer] = misfit
        if flow is not None:
            self._queue.schedule(flow)
        return flow

    def _start_next(self, flow: flows.Flow, now: float) -> bool:
        """Start the flow's next task if a free slot fits one."""
        for entry in self._candidates(flow):
            placement = self._place(entry, now)
            if placement is not None:
                assert entry.waiter is not None
                entry.waiter.set_result(placement)
                return True
        return False

    def _candidates(self, flow: flows.Flow) -> tuple[flows.QueueEntry, ...]:
        """Return the tasks to try, without those that nobody waits for."""
        entries = self._queue.candidates(flow)
        abandoned = [each for each in entries if _is_abandoned(each)]
        while abandoned:
            for entry in abandoned:
                self._queue.remove(entry)
            entries = self._queue.candidates(flow)
            abandoned = [each for each in entries if _is_abandoned(each)]
        return entries

    def _place(self, entry: flows.QueueEntry, now: float) -> Placement | None:
        """Take the best free slot for a task and start it."""
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
            free = tuple(other for other in free if other != endpoint)
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
