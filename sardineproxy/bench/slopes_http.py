"""Slopes of a request through real aiohttp, bare and in an entry process.

The endpoint and the caller run in other threads, whose processor time does
not count.
"""

import asyncio
import gc
import json
import random
import socket
import statistics
import time
import tracemalloc
import types
from typing import Any, Callable, Coroutine, Iterator, Mapping

import aiohttp
from aiohttp import web

from sardineproxy.bench import slopes_fit, slopes_net, slopes_samples
from sardineproxy.process import entry, components

#: Requests on their way at once.
AT_ONCE = 8
REQUESTS = (200, 800)
JOB_TASKS = (100, 800)
JOBS = 3
CONNECTIONS = (50, 200)

#: Longest answer to a single request, in bytes.
MAX_ANSWER = 65_536
ENDPOINTS = 48
ANSWER = slopes_net.render(b'{"task": "task", "endpoint": "endpoint"}')
BODY = b'x' * 100


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    with slopes_net.FixedServer({b'/': ANSWER}) as endpoint:
        _measure_costs(out, endpoint.port)
        out.add(
            slopes_fit.measure_async(
                'http.caller_connection',
                'B/connection',
                lambda count: _weigh_connections(endpoint.port, count),
                CONNECTIONS,
                repeats=2,
            )
        )


def _measure_costs(out: slopes_fit.Report, port: int) -> None:
    """Print the costs, and those of the entry process over the floors.

    A cost and its floor are read right after each other, because the speed
    of a shared machine changes between readings.
    """
    readings: dict[str, list[slopes_fit.Reading]] = {}
    for _ in range(slopes_fit.REPEATS):
        for name, (cost, counts) in _COSTS.items():
            reading = {
                count: asyncio.run(cost(port, count)) for count in counts
            }
            readings.setdefault(name, []).append(reading)
    for name, found in readings.items():
        out.add(slopes_fit.summarize(name, 'us/request', found))
    for name, floor in (
        ('http.job_task', 'http.floor_client'),
        ('http.single', 'http.floor_proxy'),
    ):
        ratios = [
            slopes_fit.fit(ours)[0] / slopes_fit.fit(bare)[0]
            for ours, bare in zip(readings[name], readings[floor])
        ]
        out.add_figure(
            f'{name}_over_floor',
            statistics.median(ratios),
            f'times {floor}',
            f'{min(ratios):.3g} to {max(ratios):.3g} in {len(ratios)} runs',
        )


async def _call_bare(port: int, count: int) -> float:
    """Return the cost of a bare client."""
    async with _open_session() as session:
        numbers = iter(range(count))
        began_s = time.thread_time()
        await asyncio.gather(
            *(_post_each(session, port, numbers) for _ in range(AT_ONCE))
        )
        return (time.thread_time() - began_s) * slopes_fit.US_PER_S


async def _post_each(
    session: aiohttp.ClientSession, port: int, numbers: Iterator[int]
) -> None:
    for number in numbers:
        await _post(session, port, str(number))


async def _post(session: aiohttp.ClientSession, port: int, task: str) -> bytes:
    async with session.post(
        f'http://{slopes_net.HOST}:{port}/tasks',
        headers={'X-Task': task, 'X-Run-Ms': '0'},
        data=BODY,
    ) as reply:
        return await reply.read()


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


async def _proxy_bare(port: int, count: int) -> float:
    """Return the cost of a bare server that asks a bare client."""
    async with _open_session() as session:

        async def handle(req: web.BaseRequest) -> web.Response:  # noqa: WPS430
            await req.read()
            return web.Response(body=await _post(session, port, 'task'))

        server = web.Server(handle, access_log=None)
        listener = await asyncio.get_running_loop().create_server(
            server, slopes_net.HOST, 0
        )
        cost = await _time_calls(
            listener.sockets[0].getsockname()[1],
            [slopes_net.request('/', BODY) for _ in range(count)],
            AT_ONCE,
        )
        listener.close()
        await server.shutdown()
        return cost


async def _time_calls(port: int, requests: list[bytes], at_once: int) -> float:
    """Return this thread's cost of serving what another one sends."""
    with slopes_net.LoopThread() as caller:
        began_s = time.thread_time()
        await caller.begin(
            slopes_net.call_many(port, requests, at_once=at_once)
        )
        return (time.thread_time() - began_s) * slopes_fit.US_PER_S


async def _submit_singles(port: int, count: int) -> float:
    """Return an entry process's cost of single requests."""
    process, callers = await _start_entry(port)
    body = json.dumps(_task_document(0)).encode()
    cost = await _time_calls(
        callers,
        [_authorized('/v1/requests', body) for _ in range(count)],
        AT_ONCE,
    )
    await _stop_entry(process)
    return cost


async def _submit_jobs(port: int, count: int) -> float:
    """Return an entry process's cost of a job of ``count`` tasks."""
    process, callers = await _start_entry(port)
    with slopes_net.LoopThread() as caller:
        minted = await caller.begin(
            slopes_net.call_many(
                callers,
                [_authorized('/v1/keys', b'{"count": %d}' % JOBS)],
                at_once=1,
            )
        )
    body = json.dumps(
        {'tasks': [_task_document(number) for number in range(count)]}
    ).encode()
    cost = await _time_calls(
        callers,
        [
            _authorized('/v1/jobs', body, {'Idempotency-Key': key})
            for key in json.loads(minted[0])['keys']
        ],
        1,
    )
    await _stop_entry(process)
    return cost / JOBS


async def _weigh_connections(port: int, count: int) -> float:
    """Return an entry process's memory of idle connections of callers."""
    process, callers = await _start_entry(port)
    tracemalloc.start()
    sockets = await asyncio.to_thread(_call_and_stay, callers, count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for conn in sockets:
        conn.close()
    await _stop_entry(process)
    return size


def _call_and_stay(port: int, count: int) -> list[socket.socket]:
    """Send one request over each of so many connections."""
    request = _authorized(
        '/v1/requests', json.dumps(_task_document(0)).encode()
    )
    sockets = []
    for _ in range(count):
        conn = socket.create_connection((slopes_net.HOST, port))
        conn.sendall(request)
        conn.recv(MAX_ANSWER)
        sockets.append(conn)
    return sockets


async def _start_entry(port: int) -> tuple[entry.EntryProcess, int]:
    """Start an entry process that owns all slots, and return its port."""
    dependencies = components.Dependencies(
        clock=slopes_samples.system_clock(),
        rng=random.Random(1),
        platform=slopes_samples.MemoryPlatform(
            vm_list=slopes_samples.listing(
                *slopes_samples.entry_vms(1),
                *slopes_samples.endpoints(ENDPOINTS, port=port),
            ),
            contracts=slopes_samples.documents(1),
        ),
    )
    process = entry.EntryProcess(
        cfg=slopes_samples.entry_settings(), dependencies=dependencies
    )
    ports = (await process.start()).unwrap()
    built = process._components  # noqa: SLF001
    assert built is not None
    while not (process.is_ready() and built.slots.owned):
        await asyncio.sleep(0.01)
    return process, ports['callers']


async def _stop_entry(process: entry.EntryProcess) -> None:
    # A graceful shutdown first waits for the balancer.
    built = process._components  # noqa: SLF001
    assert built is not None
    await process._close(built)  # noqa: SLF001


def _authorized(
    path: str, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    credential = f'Bearer {slopes_samples.CREDENTIAL}'
    return slopes_net.request(
        path, body, headers={'Authorization': credential, **(headers or {})}
    )


def _task_document(number: int) -> dict[str, object]:
    return {
        'method': 'POST',
        'path': '/tasks',
        'headers': {'X-Task': f'task-{number}', 'X-Run-Ms': '0'},
        'idempotent': True,
        'body_text': BODY.decode(),
    }


_Cost = Callable[[int, int], Coroutine[Any, Any, float]]

#: What is read, each next to its floor, and for which numbers of requests.
_COSTS: Mapping[str, tuple[_Cost, tuple[int, int]]] = types.MappingProxyType(
    {
        'http.floor_client': (_call_bare, REQUESTS),
        'http.job_task': (_submit_jobs, JOB_TASKS),
        'http.floor_proxy': (_proxy_bare, REQUESTS),
        'http.single': (_submit_singles, REQUESTS),
    }
)
