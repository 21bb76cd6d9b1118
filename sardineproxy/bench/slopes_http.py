"""Slopes of a request through bare aiohttp and through an entry process.

The endpoint and the caller run in other threads, whose CPU time is not
counted.
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

#: Concurrent requests.
CONCURRENCY = 8
REQUEST_COUNTS = (200, 800)
JOB_TASK_COUNTS = (100, 800)
JOB_COUNT = 3
CONNECTION_COUNTS = (50, 200)

MAX_REPLY_BYTES = 65_536
ENDPOINT_COUNT = 48
ENDPOINT_RESPONSE = slopes_net.render_response(
    b'{"task": "task", "endpoint": "endpoint"}'
)
REQUEST_BODY = b'x' * 100


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    with slopes_net.FixedServer({b'/': ENDPOINT_RESPONSE}) as endpoint:
        _measure_costs(out, endpoint.port)
        out.add(
            slopes_fit.measure_slope_async(
                'http.caller_connection',
                'B/connection',
                lambda count: _measure_connection_memory(endpoint.port, count),
                CONNECTION_COUNTS,
                repeats=2,
            )
        )


def _measure_costs(out: slopes_fit.Report, port: int) -> None:
    """Print the costs and their ratios to the floors.

    A cost and its floor are measured right after each other, because the
    speed of a shared machine changes between measurements.
    """
    measurements: dict[str, list[slopes_fit.Measurement]] = {}
    for _ in range(slopes_fit.REPEATS):
        for name, (measure_cost, counts) in _COSTS.items():
            measurement = {
                count: asyncio.run(measure_cost(port, count))
                for count in counts
            }
            measurements.setdefault(name, []).append(measurement)
    for name, measurements_of_cost in measurements.items():
        out.add(slopes_fit.summarize(name, 'us/request', measurements_of_cost))
    for name, floor_name in (
        ('http.job_task', 'http.floor_client'),
        ('http.single', 'http.floor_proxy'),
    ):
        ratios = [
            slopes_fit.fit_line(entry_measurement)[0]
            / slopes_fit.fit_line(floor_measurement)[0]
            for entry_measurement, floor_measurement in zip(
                measurements[name], measurements[floor_name]
            )
        ]
        out.add_figure(
            f'{name}_over_floor',
            statistics.median(ratios),
            f'times {floor_name}',
            f'{min(ratios):.3g} to {max(ratios):.3g} in {len(ratios)} runs',
        )


async def _time_bare_client(port: int, count: int) -> float:
    """Return the CPU time of a bare client."""
    async with _open_session() as session:
        numbers = iter(range(count))
        started_s = time.thread_time()
        await asyncio.gather(
            *(_post_all(session, port, numbers) for _ in range(CONCURRENCY))
        )
        return (time.thread_time() - started_s) * slopes_fit.US_PER_S


async def _post_all(
    session: aiohttp.ClientSession, port: int, numbers: Iterator[int]
) -> None:
    for number in numbers:
        await _post(session, port, str(number))


async def _post(session: aiohttp.ClientSession, port: int, task: str) -> bytes:
    async with session.post(
        f'http://{slopes_net.HOST}:{port}/tasks',
        headers={'X-Task': task, 'X-Run-Ms': '0'},
        data=REQUEST_BODY,
    ) as response:
        return await response.read()


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


async def _time_bare_proxy(port: int, count: int) -> float:
    """Return the CPU time of a bare server that forwards with a bare client."""
    async with _open_session() as session:

        async def handle(req: web.BaseRequest) -> web.Response:  # noqa: WPS430
            await req.read()
            return web.Response(body=await _post(session, port, 'task'))

        server = web.Server(handle, access_log=None)
        listener = await asyncio.get_running_loop().create_server(
            server, slopes_net.HOST, 0
        )
        cpu_us = await _time_serving(
            listener.sockets[0].getsockname()[1],
            [
                slopes_net.render_request('/', REQUEST_BODY)
                for _ in range(count)
            ],
            CONCURRENCY,
        )
        listener.close()
        await server.shutdown()
        return cpu_us


async def _time_serving(
    port: int, requests: list[bytes], concurrency: int
) -> float:
    """Return this thread's CPU time to serve requests from another thread."""
    with slopes_net.LoopThread() as caller_thread:
        started_s = time.thread_time()
        await caller_thread.submit(
            slopes_net.send_requests(port, requests, concurrency=concurrency)
        )
        return (time.thread_time() - started_s) * slopes_fit.US_PER_S


async def _time_singles(port: int, count: int) -> float:
    """Return the CPU time of an entry process for single requests."""
    entry_process, caller_port = await _start_entry(port)
    body = json.dumps(_render_task(0)).encode()
    cpu_us = await _time_serving(
        caller_port,
        [_render_authorized('/v1/requests', body) for _ in range(count)],
        CONCURRENCY,
    )
    await _stop_entry(entry_process)
    return cpu_us


async def _time_jobs(port: int, count: int) -> float:
    """Return the CPU time of an entry process for a job of ``count`` tasks."""
    entry_process, caller_port = await _start_entry(port)
    with slopes_net.LoopThread() as caller_thread:
        key_replies = await caller_thread.submit(
            slopes_net.send_requests(
                caller_port,
                [_render_authorized('/v1/keys', b'{"count": %d}' % JOB_COUNT)],
                concurrency=1,
            )
        )
    body = json.dumps(
        {'tasks': [_render_task(number) for number in range(count)]}
    ).encode()
    cpu_us = await _time_serving(
        caller_port,
        [
            _render_authorized('/v1/jobs', body, {'Idempotency-Key': key})
            for key in json.loads(key_replies[0])['keys']
        ],
        1,
    )
    await _stop_entry(entry_process)
    return cpu_us / JOB_COUNT


async def _measure_connection_memory(port: int, count: int) -> float:
    """Return the memory of an entry process for idle caller connections."""
    entry_process, caller_port = await _start_entry(port)
    tracemalloc.start()
    connections = await asyncio.to_thread(_open_connections, caller_port, count)
    gc.collect()
    heap_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for conn in connections:
        conn.close()
    await _stop_entry(entry_process)
    return heap_bytes


def _open_connections(port: int, count: int) -> list[socket.socket]:
    """Open ``count`` connections and send one request over each."""
    request = _render_authorized(
        '/v1/requests', json.dumps(_render_task(0)).encode()
    )
    connections = []
    for _ in range(count):
        conn = socket.create_connection((slopes_net.HOST, port))
        conn.sendall(request)
        conn.recv(MAX_REPLY_BYTES)
        connections.append(conn)
    return connections


async def _start_entry(port: int) -> tuple[entry.EntryProcess, int]:
    """Start an entry process that owns all slots; return it and its port."""
    dependencies = components.Dependencies(
        clock=slopes_samples.make_clock(),
        rng=random.Random(1),
        platform=slopes_samples.InMemoryPlatform(
            vm_list=slopes_samples.make_vm_list(
                *slopes_samples.make_entry_vms(1),
                *slopes_samples.make_endpoints(ENDPOINT_COUNT, port=port),
            ),
            contracts=slopes_samples.make_documents(1),
        ),
    )
    entry_process = entry.EntryProcess(
        cfg=slopes_samples.make_entry_settings(), dependencies=dependencies
    )
    ports = (await entry_process.start()).unwrap()
    entry_components = entry_process._components  # noqa: SLF001
    assert entry_components is not None
    while not (entry_process.is_ready() and entry_components.slots.owned):
        await asyncio.sleep(0.01)
    return entry_process, ports['callers']


async def _stop_entry(entry_process: entry.EntryProcess) -> None:
    # A graceful shutdown would first wait for the load balancer.
    entry_components = entry_process._components  # noqa: SLF001
    assert entry_components is not None
    await entry_process._close(entry_components)  # noqa: SLF001


def _render_authorized(
    path: str, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    credential = f'Bearer {slopes_samples.CREDENTIAL}'
    return slopes_net.render_request(
        path, body, headers={'Authorization': credential, **(headers or {})}
    )


def _render_task(number: int) -> dict[str, object]:
    return {
        'method': 'POST',
        'path': '/tasks',
        'headers': {'X-Task': f'task-{number}', 'X-Run-Ms': '0'},
        'idempotent': True,
        'body_text': REQUEST_BODY.decode(),
    }


_CostFunction = Callable[[int, int], Coroutine[Any, Any, float]]

#: Cost function and numbers of requests or tasks; each cost follows its floor.
_COSTS: Mapping[str, tuple[_CostFunction, tuple[int, int]]] = (
    types.MappingProxyType(
        {
            'http.floor_client': (_time_bare_client, REQUEST_COUNTS),
            'http.job_task': (_time_jobs, JOB_TASK_COUNTS),
            'http.floor_proxy': (_time_bare_proxy, REQUEST_COUNTS),
            'http.single': (_time_singles, REQUEST_COUNTS),
        }
    )
)
