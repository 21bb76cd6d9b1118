"""Slopes of a task, a queued task and a stored record, without a network."""

import asyncio
import gc
import random
import time
from typing import Awaitable, Callable, Iterator

from sardineproxy import ids, verdicts
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.connection import endpoint as endpoint_conn
from sardineproxy.process import (
    directory,
    dispatcher,
    health,
    metrics,
    platform,
    slots,
)
from sardineproxy.request import documents, fair_queue, keys, records, work

#: Endpoints that one entry VM owns when there are about 200 entry VMs, which
#: is the size that the system is designed for.
OWNED_ENDPOINTS = 48

#: So many slots that an endpoint always has free ones.
UNLIMITED_SLOTS = 100_000
TASK_COUNTS = (1000, 3000)

#: Concurrent tasks while slots are free.
RUNNING_TASKS = 200

#: Concurrent tasks while half of them are queued: twice the slots.
RUNNING_AND_QUEUED_TASKS = (
    2 * OWNED_ENDPOINTS * slopes_samples.SLOTS_PER_ENDPOINT
)

#: Larger than ``TASK_COUNTS``, because not all of these tasks are in the
#: dispatcher at the same time.
STEADY_TASK_COUNTS = (2000, 6000)
CUSTOMER_COUNT = 370
REPLY_BYTES = 300


class StubClient(endpoint_conn.EndpointClient):
    """Returns a response to each task in the next event loop iteration."""

    async def attempt(
        self, *, task: work.Task, vm: platform.Vm
    ) -> work.Outcome:
        """Return a response without a connection."""
        await asyncio.sleep(0)
        return work.Response(
            status=200, headers=(), body=b'', endpoint=ids.EndpointId(vm.name)
        )


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_slope_async(
            'task.bare_asyncio',
            'us/task',
            _time_without_dispatch,
            STEADY_TASK_COUNTS,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'task.dispatch_free',
            'us/task',
            lambda count: _time_dispatch(
                count, OWNED_ENDPOINTS, UNLIMITED_SLOTS, RUNNING_TASKS
            ),
            STEADY_TASK_COUNTS,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'task.dispatch_queued',
            'us/task',
            lambda count: _time_dispatch(
                count,
                OWNED_ENDPOINTS,
                slopes_samples.SLOTS_PER_ENDPOINT,
                RUNNING_AND_QUEUED_TASKS,
            ),
            STEADY_TASK_COUNTS,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'task.free_endpoint',
            'us/task/free endpoint',
            _time_task_among_endpoints,
            (16, 64, 256, 746),
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'task.fair_queue', 'us/task', _time_fair_queue, TASK_COUNTS
        )
    )


def measure_kept(out: slopes_fit.Report) -> None:
    """Print the slopes of queued tasks and stored records."""
    out.add(
        slopes_fit.measure_slope_async(
            'queued.memory',
            'B/task',
            _measure_queued_memory,
            TASK_COUNTS,
            repeats=2,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'record.memory',
            'B/record',
            _measure_record_memory,
            TASK_COUNTS,
            repeats=2,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'record.cpu', 'us/record', _time_records, TASK_COUNTS
        )
    )


async def _time_without_dispatch(count: int) -> float:
    """Return the CPU time of ``count`` tasks without a dispatcher."""
    client = StubClient(
        clock=slopes_samples.make_clock(), metrics=metrics.Metrics()
    )
    vm = slopes_samples.make_endpoints(1)[0]
    return await _time_concurrent(
        lambda task: client.attempt(task=task, vm=vm), count, RUNNING_TASKS
    )


async def _time_dispatch(
    count: int, endpoint_count: int, slots_per_endpoint: int, concurrency: int
) -> float:
    built_dispatcher = _build_dispatcher(endpoint_count, slots_per_endpoint)
    cpu_us = await _time_concurrent(
        lambda task: built_dispatcher.run(task=task), count, concurrency
    )
    built_dispatcher.close()
    return cpu_us


async def _time_task_among_endpoints(endpoint_count: int) -> float:
    cpu_us = await _time_dispatch(
        TASK_COUNTS[0], endpoint_count, UNLIMITED_SLOTS, RUNNING_TASKS
    )
    return cpu_us / TASK_COUNTS[0]


async def _time_concurrent(
    run_task: Callable[[work.Task], Awaitable[object]],
    count: int,
    concurrency: int,
) -> float:
    """Return the CPU time of ``count`` tasks, ``concurrency`` at a time."""
    tasks = iter(slopes_samples.make_tasks(count))
    gc.collect()
    started_s = time.process_time()
    await asyncio.gather(
        *(_run_all(run_task, tasks) for _ in range(concurrency))
    )
    return (time.process_time() - started_s) * slopes_fit.US_PER_S


async def _run_all(
    run_task: Callable[[work.Task], Awaitable[object]],
    tasks: Iterator[work.Task],
) -> None:
    for task in tasks:
        await run_task(task)


def _build_dispatcher(
    endpoint_count: int, slots_per_endpoint: int
) -> dispatcher.Dispatcher:
    """Return a dispatcher that owns all slots of its endpoints."""
    vms = slopes_samples.make_endpoints(
        endpoint_count, slots=slots_per_endpoint
    )
    vm_directory = directory.VmDirectory()
    vm_directory.offer(slopes_samples.make_vm_list(*vms))
    table = slots.SlotTable()
    table.set_owned({ids.EndpointId(vm.name): vm.slots for vm in vms})
    registry = metrics.Metrics()
    clock = slopes_samples.make_clock()
    return dispatcher.Dispatcher(
        clock=clock,
        rng=random.Random(1),
        zone=ids.ZoneId(slopes_samples.ZONE),
        directory=vm_directory,
        slot_table=table,
        client=StubClient(clock=clock, metrics=registry),
        health=health.Health(rng=random.Random(2)),
        metrics=registry,
    )


def _time_fair_queue(count: int) -> float:
    tasks = slopes_samples.make_tasks(count, customers=CUSTOMER_COUNT)
    return slopes_fit.measure_cpu_us(lambda: _run_through_queue(tasks))


def _run_through_queue(tasks: list[work.Task]) -> None:
    """Queue all tasks, then start and finish each in fair order."""
    queue = fair_queue.FairQueue()
    for task in tasks:
        queue.enqueue(queue.register(task, exclude=frozenset()))
    flow = queue.pop_flow()
    while flow is not None:
        entry = queue.candidates(flow)[0]
        queue.start(entry)
        queue.schedule(flow)
        queue.finish(entry, run_s=0.2)
        flow = queue.pop_flow()


async def _measure_queued_memory(count: int) -> float:
    return slopes_fit.measure_heap_bytes(lambda: _wait_without_slots(count))


def _wait_without_slots(count: int) -> object:
    """Return coroutines of tasks, suspended while they wait for a slot."""
    built_dispatcher = _build_dispatcher(1, 0)
    waiting_tasks = [
        built_dispatcher.run(task=task)
        for task in slopes_samples.make_tasks(count)
    ]
    for coroutine in waiting_tasks:
        coroutine.send(None)
    return built_dispatcher, waiting_tasks


async def _measure_record_memory(count: int) -> float:
    return slopes_fit.measure_heap_bytes(lambda: _fill_record_store(count))


async def _time_records(count: int) -> float:
    return slopes_fit.measure_cpu_us(lambda: _fill_record_store(count))


def _fill_record_store(count: int) -> records.RecordStore:
    """Return a store with ``count`` completed records."""
    key_issuer = keys.KeyIssuer(
        vm=ids.VmId('entry-00000'),
        incarnation=ids.Incarnation('0' * 16),
        secret=b'secret',
        ttl_s=slopes_samples.NO_EXPIRY_S,
    )
    record_store = records.RecordStore(
        key_issuer=key_issuer,
        key_ttl_s=slopes_samples.NO_EXPIRY_S,
        record_ttl_s=slopes_samples.NO_EXPIRY_S,
        max_records=count,
        max_reply_bytes=count * REPLY_BYTES,
    )
    for number in range(1, count + 1):
        _add_record(
            record_store,
            key_issuer,
            ids.CustomerId(f'team-{number % CUSTOMER_COUNT}'),
        )
    return record_store


def _add_record(
    record_store: records.RecordStore,
    key_issuer: keys.KeyIssuer,
    customer: ids.CustomerId,
) -> None:
    """Issue a key, look it up, open its record and store the reply."""
    text = key_issuer.issue(customer=customer, now=0)
    key = keys.parse(text)
    assert key is not None, 'the issued key cannot be parsed'
    record_store.find(key=key, customer=customer, now=1)
    reply_future = asyncio.get_running_loop().create_future()
    record = records.Record(
        request_id=text,
        customer=customer,
        kind=work.TaskKind.SINGLE,
        fingerprint=bytes.fromhex(key.mac),
        size=REPLY_BYTES,
        task_count=1,
        started_at=1,
        reply_future=reply_future,
        sequence=key.sequence,
    )
    record_store.open(record=record)
    reply_future.set_result(
        documents.Reply(
            status=200,
            headers=(),
            body=b'%0300d' % key.sequence,
            verdict=verdicts.Verdict.RAN,
        )
    )
    record_store.close(record=record)
