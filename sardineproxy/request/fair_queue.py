"""Start-time fair queueing of tasks over customers.

Each customer has a start tag in virtual seconds. Starting a task advances the
tag by the estimated run time divided by the customer's weight; finishing it
corrects the tag to the observed run time. The customer with the lowest tag
starts next.
"""

import dataclasses
import heapq
import itertools
from typing import Mapping

from sardineproxy import ids
from sardineproxy.request import flows, work

#: Minimum weight of a new observation in a customer's estimated run time; the
#: first observations have a higher weight.
ESTIMATE_GAIN = 0.1

#: A heap is rebuilt without outdated entries when its size exceeds this many
#: times the number of entries in use, plus ``MIN_REBUILD_SIZE``.
MAX_OUTDATED_RATIO = 2

#: Heaps of up to this many entries are never rebuilt.
MIN_REBUILD_SIZE = 64

#: Maximum number of tasks with excluded endpoints among the candidates.
MAX_RESTRICTED_CANDIDATES = 4

#: Credit of a customer whose queue was empty, in run times per running task;
#: one run time is added. Without it, bursts of a customer below its share would
#: wait although its average load allows them.
IDLE_CREDIT_PER_RUNNING = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Parameters of the fair queue."""

    #: Maximum number of a customer's single requests that start in a row while
    #: one of its job tasks waits.
    interactive_burst: int = 8

    #: Estimated run time of a customer without observations, in seconds.
    default_run_time_s: float = 0.2


class _FlowHeap:
    """Heap of flows by start tag; outdated entries are skipped when popped."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[float, int, flows.Flow]] = []
        self._last_version = 0

    def push(self, flow: flows.Flow, *, in_use: int) -> None:
        """Insert a flow by its start tag; ties are in order of insertion."""
        if len(self._heap) > _max_heap_size(in_use):
            self._heap = [
                item for item in self._heap if item[1] == item[2].heap_version
            ]
            heapq.heapify(self._heap)
        self._last_version += 1
        flow.heap_version = self._last_version
        heapq.heappush(self._heap, (flow.start_tag, flow.heap_version, flow))

    def pop(self) -> flows.Flow | None:
        """Remove and return the backlogged flow with the lowest start tag."""
        while self._heap:
            _, version, flow = heapq.heappop(self._heap)
            if version == flow.heap_version and flow.is_backlogged:
                flow.heap_version = 0
                return flow
        return None


class _DeadlineHeap:
    """Heap of waiting tasks by deadline; outdated entries are skipped."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[float, int, flows.QueueEntry]] = []
        self._last_push = 0

    def push(self, entry: flows.QueueEntry, *, waiting: int) -> None:
        """Insert a waiting task."""
        if len(self._heap) > _max_heap_size(waiting):
            self._heap = [
                item
                for item in self._heap
                if item[2].state is flows.EntryState.WAITING
            ]
            heapq.heapify(self._heap)
        self._last_push += 1
        heapq.heappush(
            self._heap, (entry.task.deadline, self._last_push, entry)
        )

    def earliest(self) -> flows.QueueEntry | None:
        """Return the waiting task with the earliest deadline."""
        while self._heap:
            entry = self._heap[0][2]
            if entry.state is flows.EntryState.WAITING:
                return entry
            heapq.heappop(self._heap)
        return None


class FairQueue:
    """Queue of the waiting and started tasks of all customers."""

    def __init__(self, *, cfg: Config | None = None) -> None:
        """Create a queue without tasks."""
        self._cfg = cfg or Config()

        #: Flows by customer; read-only for other modules.
        self.flows: dict[ids.CustomerId, flows.Flow] = {}

        #: Number of all waiting tasks; read-only for other modules.
        self.waiting = 0
        self._weights: dict[ids.CustomerId, float] = {}
        self._requests: dict[ids.RequestId, dict[int, flows.QueueEntry]] = {}
        self._flow_heap = _FlowHeap()
        self._deadline_heap = _DeadlineHeap()
        self._virtual_s = float(0)
        self._last_number = 0

    def set_weights(self, weights: Mapping[ids.CustomerId, float]) -> None:
        """Replace all weights; customers not listed have weight 1."""
        self._weights = dict(weights)
        for customer, flow in tuple(self.flows.items()):
            flow.weight = self._weights.get(customer, 1)
            idle = not flow.waiting and not flow.running
            if idle and customer not in self._weights:
                self.flows.pop(customer)

    def register(
        self, task: work.Task, *, exclude: frozenset[ids.EndpointId]
    ) -> flows.QueueEntry:
        """Register a task; it neither waits nor runs yet."""
        self._last_number += 1
        entry = flows.QueueEntry(
            task=task,
            number=self._last_number,
            flow=self._flow(task.customer),
            exclude=exclude,
        )
        request = self._requests.get(task.request_id)
        if request is None:
            self._requests[task.request_id] = {entry.number: entry}
        else:
            request[entry.number] = entry
        return entry

    def enqueue(
        self, entry: flows.QueueEntry, *, at_front: bool = False
    ) -> None:
        """Append a task to its lane, or insert it ``at_front``."""
        flow = entry.flow
        was_backlogged = flow.is_backlogged
        self._leave_lane(entry)
        lane = _lane_of(entry)
        lane[entry.number] = entry
        if at_front:
            lane.move_to_end(entry.number, last=False)
        entry.lane = lane
        self._mark_waiting(entry)
        if not was_backlogged:
            flow.start_tag = max(
                flow.start_tag, self._virtual_s - _credit_s(flow)
            )
            self.schedule(flow)

    def pause(self, entry: flows.QueueEntry) -> None:
        """Make a task wait outside all lanes until ``enqueue``."""
        self._leave_lane(entry)
        entry.flow.paused += 1
        self._mark_waiting(entry)

    def pop_flow(self) -> flows.Flow | None:
        """Remove and return the flow whose task starts next.

        ``schedule`` inserts it again.
        """
        return self._flow_heap.pop()

    def schedule(self, flow: flows.Flow) -> None:
        """Insert a flow into the heap if it has tasks that can start."""
        if flow.is_backlogged:
            self._flow_heap.push(flow, in_use=len(self.flows))

    def candidates(self, flow: flows.Flow) -> tuple[flows.QueueEntry, ...]:
        """Return the flow's tasks that can start next, in order.

        Tasks with excluded endpoints come first.
        """
        lane = self._next_lane(flow)
        unrestricted = (next(iter(lane.values())),) if lane else ()
        if not flow.restricted:
            return unrestricted
        restricted = flow.restricted.values()
        return (
            *itertools.islice(restricted, MAX_RESTRICTED_CANDIDATES),
            *unrestricted,
        )

    def start(self, entry: flows.QueueEntry) -> None:
        """Mark a task as started and charge its estimated run time."""
        flow = entry.flow
        if entry.state is flows.EntryState.WAITING:
            if entry.lane is flow.singles and flow.jobs:
                flow.singles_in_row += 1
            elif entry.lane is flow.jobs:
                flow.singles_in_row = 0
            self._leave_lane(entry)
            self.waiting -= 1
        elif not flow.is_backlogged:
            flow.start_tag = max(
                flow.start_tag, self._virtual_s - _credit_s(flow)
            )
        entry.state = flows.EntryState.STARTED
        entry.charged_s = flow.run_time_s
        flow.running += 1
        self._virtual_s = max(self._virtual_s, flow.start_tag)
        flow.start_tag += entry.charged_s / flow.weight

    def undo_start(self, entry: flows.QueueEntry) -> None:
        """Undo the start of a task that did not run, and its charge."""
        entry.state = flows.EntryState.NEW
        self._end_run(entry, 0)

    def finish(self, entry: flows.QueueEntry, *, run_s: float) -> None:
        """Remove a started task and charge its observed run time."""
        flow = entry.flow
        flow.finished += 1
        gain = max(ESTIMATE_GAIN, 1 / flow.finished)
        flow.run_time_s += gain * (run_s - flow.run_time_s)
        self._end_run(entry, run_s)
        self.remove(entry)

    def remove(self, entry: flows.QueueEntry) -> None:
        """Remove a task that is not running."""
        if entry.state is flows.EntryState.WAITING:
            self._leave_lane(entry)
            self.waiting -= 1
        entry.state = flows.EntryState.ENDED
        request_id = entry.task.request_id
        request = self._requests[request_id]
        request.pop(entry.number)
        if not request:
            self._requests.pop(request_id)

    def cancel(self, request_id: ids.RequestId) -> list[flows.QueueEntry]:
        """Remove the waiting tasks of a request and return them.

        Its started tasks are marked as cancelled.
        """
        ended = []
        for entry in tuple(self._requests.get(request_id, {}).values()):
            if entry.state is flows.EntryState.WAITING:
                self.remove(entry)
                ended.append(entry)
            else:
                entry.cancelled = True
        return ended

    def expire(self, *, now: float) -> list[flows.QueueEntry]:
        """Remove the waiting tasks past their deadline and return them."""
        ended = []
        entry = self._deadline_heap.earliest()
        while entry is not None and entry.task.deadline <= now:
            self.remove(entry)
            ended.append(entry)
            entry = self._deadline_heap.earliest()
        return ended

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting task, None without one."""
        entry = self._deadline_heap.earliest()
        return None if entry is None else entry.task.deadline

    def _flow(self, customer: ids.CustomerId) -> flows.Flow:
        flow = self.flows.get(customer)
        if flow is None:
            flow = flows.Flow(
                customer=customer, run_time_s=self._cfg.default_run_time_s
            )
            flow.weight = self._weights.get(customer, 1)
            self.flows[customer] = flow
        return flow

    def _next_lane(self, flow: flows.Flow) -> flows.Lane:
        if not flow.jobs:
            return flow.singles
        if (
            not flow.singles
            or flow.singles_in_row >= self._cfg.interactive_burst
        ):
            return flow.jobs
        return flow.singles

    def _mark_waiting(self, entry: flows.QueueEntry) -> None:
        if entry.state is flows.EntryState.WAITING:
            return
        entry.state = flows.EntryState.WAITING
        self.waiting += 1
        self._deadline_heap.push(entry, waiting=self.waiting)

    def _leave_lane(self, entry: flows.QueueEntry) -> None:
        if entry.lane is not None:
            entry.lane.pop(entry.number)
            entry.lane = None
        elif entry.state is flows.EntryState.WAITING:
            entry.flow.paused -= 1

    def _end_run(self, entry: flows.QueueEntry, run_s: float) -> None:
        """Replace the charged run time of a started task by ``run_s``."""
        flow = entry.flow
        flow.running -= 1
        flow.start_tag += (run_s - entry.charged_s) / flow.weight
        if flow.heap_version:
            self.schedule(flow)


def _max_heap_size(in_use: int) -> int:
    return MIN_REBUILD_SIZE + MAX_OUTDATED_RATIO * in_use


def _credit_s(flow: flows.Flow) -> float:
    """Return the virtual seconds by which an idle flow's tag may lag behind."""
    tasks = 1 + flow.running * IDLE_CREDIT_PER_RUNNING
    return tasks * flow.run_time_s / flow.weight


def _lane_of(entry: flows.QueueEntry) -> flows.Lane:
    if entry.exclude or entry.unreachable:
        return entry.flow.restricted
    if entry.task.kind is work.TaskKind.SINGLE:
        return entry.flow.singles
    return entry.flow.jobs
