"""Floors of the run: round trip and the libraries' processor time."""

import asyncio
import dataclasses
import json
import time

from sardineproxy.bench import floor_server, measures
from sardineproxy.demo import child, deployment, parts

#: Run time of the tasks that measure the floors, in milliseconds.
RUN_MS = 50
ROUND_TRIPS = 40
MODULE = 'sardineproxy.bench.floor_server'

#: Size of a single request's document, in bytes.
BODY = b'x' * 250


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Floor:
    """What no dispatcher on these libraries can go below."""

    #: Response of an idle endpoint less the task's run time, in seconds.
    round_trip_s: float

    #: Processor time of a bare client, in seconds for each job's task.
    job_task_cpu_s: float

    #: Processor time of a bare client and server for each single request.
    single_cpu_s: float


async def measure(
    dep: deployment.Deployment, *, seconds: float, rate: float
) -> Floor:
    """Measure at ``rate`` requests a second for about ``seconds`` each.

    The rate is that of one entry process in the main phase, because the
    processor time of a request depends on how many share a wake-up.
    """
    endpoint = max(dep.endpoints.values(), key=lambda one: one.speed)
    round_trip_s = await _measure_round_trip(dep, endpoint)
    servers = await asyncio.gather(
        *(dep.start_program(name, module=MODULE) for name in ('job', 'single'))
    )
    count = max(20, round(seconds * rate))
    cpu_s = await asyncio.gather(
        _measure_client(dep, servers[0], endpoint, count, rate),
        _measure_proxy(dep, servers[1], endpoint, count, rate),
    )
    await asyncio.gather(*(server.stop() for server in servers))
    return Floor(
        round_trip_s=round_trip_s,
        job_task_cpu_s=cpu_s[0] / count,
        single_cpu_s=cpu_s[1] / count,
    )


async def _measure_round_trip(
    dep: deployment.Deployment, endpoint: parts.Endpoint
) -> float:
    """Return the median response of an idle endpoint less the run time."""
    took_s = []
    for _ in range(ROUND_TRIPS):
        began = time.monotonic()
        await _post(dep, endpoint.port, '/floor')  # noqa: WPS476
        took_s.append(time.monotonic() - began)
    run_s = RUN_MS / endpoint.speed / 1000
    return measures.percentile(took_s, 50) - run_s


async def _measure_client(
    dep: deployment.Deployment,
    server: child.Child,
    endpoint: parts.Endpoint,
    count: int,
    rate: float,
) -> float:
    order = {
        'port': endpoint.port,
        'run_ms': RUN_MS,
        'count': count,
        'rate': rate,
    }
    url = f'http://{parts.HOST}:{server.ports["http"]}/client'
    return float(json.loads(await dep.request('POST', url, order))['cpu_s'])


async def _measure_proxy(
    dep: deployment.Deployment,
    server: child.Child,
    endpoint: parts.Endpoint,
    count: int,
    rate: float,
) -> float:
    port = server.ports['http']
    url = f'http://{parts.HOST}:{port}/cpu'
    before = json.loads(await dep.request('GET', url))['cpu_s']
    await floor_server.pace(
        lambda: _post(dep, port, '/proxy', target=endpoint.port),
        count=count,
        rate=rate,
    )
    after = json.loads(await dep.request('GET', url))['cpu_s']
    return float(after - before)


async def _post(
    dep: deployment.Deployment, port: int, path: str, *, target: int = 0
) -> None:
    headers = {
        'X-Target': str(target),
        'X-Run-Ms': str(RUN_MS),
        'X-Task': 'floor',
    }
    async with dep.session.post(
        f'http://{parts.HOST}:{port}{path}', headers=headers, data=BODY
    ) as reply:
        await reply.read()
