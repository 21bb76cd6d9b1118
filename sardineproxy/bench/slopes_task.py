"""Slopes of a task, a waiting task and a kept record, without a network."""

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

#: Endpoints that one of about 200 entry VMs owns at the target.
OWNED = 48

#: Slots of an endpoint that never runs out of them.
MANY_SLOTS = 100_000
TASKS = (1000, 3000)

#: Tasks that run at once on free slots.
RUNNING = 200

#: Tasks that run or wait at once: twice the slots.
CROWDED = 2 * OWNED * slopes_samples.SLOTS

#: More tasks than others, because they never are all in memory at once.
STEADY_TASKS = (2000, 6000)
CUSTOMERS = 370
ANSWER_BYTES = 300


class StubClient(endpoint_conn.EndpointClient):
    """Answers each task after one turn of the event loop."""

    async def attempt(
        self, *, task: work.Task, vm: platform.Vm
    ) -> work.Outcome:
        """Return an answer without a connection."""
        await asyncio.sleep(0)
        return work.Response(
            status=200, headers=(), body=b'', endpoint=ids.EndpointId(vm.name)
        )


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_async(
            'task.bare_asyncio', 'us/task', _run_bare, STEADY_TASKS
        )
    )
    out.add(
        slopes_fit.measure_async(
            'task.dispatch_free',
            'us/task',
            lambda count: _run_tasks(count, OWNED, MANY_SLOTS, RUNNING),
            STEADY_TASKS,
        )
    )
    out.add(
        slopes_fit.measure_async(
            'task.dispatch_queued',
            'us/task',
            lambda count: _run_tasks(
                count, OWNED, slopes_samples.SLOTS, CROWDED
            ),
            STEADY_TASKS,
        )
    )
    out.add(
        slopes_fit.measure_async(
            'task.free_endpoint',
            'us/task/free endpoint',
            _run_task_among,
            (16, 64, 256, 746),
        )
    )
    out.add(
        slopes_fit.measure('task.fair_queue', 'us/task', _order_tasks, TASKS)
    )


def measure_kept(out: slopes_fit.Report) -> None:
    """Print the slopes of waiting tasks and kept records."""
    out.add(
        slopes_fit.measure_async(
            'queued.memory', 'B/task', _keep_waiting, TASKS, repeats=2
        )
    )
    out.add(
        slopes_fit.measure_async(
            'record.memory', 'B/record', _keep_records, TASKS, repeats=2
        )
    )
    out.add(
        slopes_fit.measure_async(
            'record.cpu', 'us/record', _time_records, TASKS
        )
    )


async def _run_bare(count: int) -> float:
    """Return the cost of as many tasks that are answered without dispatch."""
    client = StubClient(
        clock=slopes_samples.system_clock(), metrics=metrics.Metrics()
    )
    vm = slopes_samples.endpoints(1)[0]
    return await _run_steadily(
        lambda task: client.attempt(task=task, vm=vm), count, RUNNING
    )


async def _run_tasks(
    count: int, endpoints: int, each: int, at_once: int
) -> float:
    built = _build(endpoints, each)
    took_us = await _run_steadily(
        lambda task: built.run(task=task), count, at_once
    )
    built.close()
    return took_us


async def _run_task_among(endpoints: int) -> float:
    took_us = await _run_tasks(TASKS[0], endpoints, MANY_SLOTS, RUNNING)
    return took_us / TASKS[0]


async def _run_steadily(
    act: Callable[[work.Task], Awaitable[object]], count: int, at_once: int
) -> float:
    """Return the processor time of ``count`` tasks, some at once."""
    tasks = iter(slopes_samples.tasks(count))
    gc.collect()
    began_s = time.process_time()
    await asyncio.gather(*(_run_each(act, tasks) for _ in range(at_once)))
    return (time.process_time() - began_s) * slopes_fit.US_PER_S


async def _run_each(
    act: Callable[[work.Task], Awaitable[object]], tasks: Iterator[work.Task]
) -> None:
    for task in tasks:
        await act(task)


def _build(endpoints: int, each: int) -> dispatcher.Dispatcher:
    """Return a dispatcher that owns all slots of so many endpoints."""
    vms = slopes_samples.endpoints(endpoints, slots=each)
    known = directory.VmDirectory()
    known.offer(slopes_samples.listing(*vms))
    table = slots.SlotTable()
    table.set_owned({ids.EndpointId(vm.name): vm.slots for vm in vms})
    registry = metrics.Metrics()
    clock = slopes_samples.system_clock()
    return dispatcher.Dispatcher(
        clock=clock,
        rng=random.Random(1),
        zone=ids.ZoneId(slopes_samples.ZONE),
        directory=known,
        slot_table=table,
        client=StubClient(clock=clock, metrics=registry),
        health=health.Health(rng=random.Random(2)),
        metrics=registry,
    )


def _order_tasks(count: int) -> float:
    tasks = slopes_samples.tasks(count, customers=CUSTOMERS)
    return slopes_fit.cpu_us(lambda: _pass_through(tasks))


def _pass_through(tasks: list[work.Task]) -> None:
    """Let all tasks wait, then start and end each in its order."""
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


async def _keep_waiting(count: int) -> float:
    return slopes_fit.heap_bytes(lambda: _wait_without_slots(count))


def _wait_without_slots(count: int) -> object:
    """Return tasks that wait for slots, as far as their first wait."""
    built = _build(1, 0)
    waiting = [built.run(task=task) for task in slopes_samples.tasks(count)]
    for one in waiting:
        one.send(None)
    return built, waiting


async def _keep_records(count: int) -> float:
    return slopes_fit.heap_bytes(lambda: _fill_table(count))


async def _time_records(count: int) -> float:
    return slopes_fit.cpu_us(lambda: _fill_table(count))


def _fill_table(count: int) -> records.RecordStore:
    """Return a table of answered records."""
    key_issuer = keys.KeyIssuer(
        vm=ids.VmId('entry-00000'),
        incarnation=ids.Incarnation('0' * 16),
        secret=b'secret',
        ttl_s=slopes_samples.LONG_S,
    )
    table = records.RecordStore(
        key_issuer=key_issuer,
        key_ttl_s=slopes_samples.LONG_S,
        record_ttl_s=slopes_samples.LONG_S,
        max_records=count,
        max_reply_bytes=count * ANSWER_BYTES,
    )
    for number in range(1, count + 1):
        _keep_record(
            table, key_issuer, ids.CustomerId(f'team-{number % CUSTOMERS}')
        )
    return table


def _keep_record(
    table: records.RecordStore,
    key_issuer: keys.KeyIssuer,
    customer: ids.CustomerId,
) -> None:
    """Mint a key, look it up, run its work and keep the answer."""
    text = key_issuer.issue(customer=customer, now=0)
    key = keys.parse(text)
    assert key is not None, 'keys that are minted are well formed'
    table.find(key=key, customer=customer, now=1)
    reply_future = asyncio.get_running_loop().create_future()
    record = records.Record(
        request_id=text,
        customer=customer,
        kind=work.TaskKind.SINGLE,
        fingerprint=bytes.fromhex(key.mac),
        size=ANSWER_BYTES,
        task_count=1,
        started_at=1,
        reply_future=reply_future,
        sequence=key.sequence,
    )
    table.open(record=record)
    reply_future.set_result(
        documents.Reply(
            status=200,
            headers=(),
            body=b'%0300d' % key.sequence,
            verdict=verdicts.Verdict.RAN,
        )
    )
    table.close(record=record)
