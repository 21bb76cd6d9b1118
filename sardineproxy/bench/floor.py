"""Measured lower bounds: the round trip and the CPU time of the libraries."""

import asyncio
import dataclasses
import json
import time

from sardineproxy.bench import floor_server, measures
from sardineproxy.demo import child, deployment, parts

#: Run time at speed 1 of the tasks that measure the floors.
TASK_RUN_MS = 50
ROUND_TRIP_SAMPLES = 40
SERVER_MODULE = 'sardineproxy.bench.floor_server'

#: As long as the document of a single request.
REQUEST_BODY = b'x' * 250


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Floors:
    """Lower bounds of the costs of any dispatcher that uses these libraries."""

    #: Response time of an idle endpoint, without the run time of the task.
    round_trip_s: float

    #: CPU time of a bare client for each task of a job.
    job_task_cpu_s: float

    #: CPU time of a bare client and server for each single request.
    single_cpu_s: float


async def measure_floors(
    dep: deployment.Deployment, *, duration_s: float, requests_per_s: float
) -> Floors:
    """Measure the round trip, then the CPU time for about ``duration_s``.

    ``requests_per_s`` is the rate of one entry process in the main phase,
    because the CPU time of a request depends on how many requests share a
    wake-up of the event loop.
    """
    endpoint = max(
        dep.endpoints.values(), key=lambda candidate: candidate.speed
    )
    round_trip_s = await _measure_round_trip(dep, endpoint)
    servers = await asyncio.gather(
        *(
            dep.start_program(name, module=SERVER_MODULE)
            for name in ('job', 'single')
        )
    )
    request_count = max(20, round(duration_s * requests_per_s))
    cpu_s = await asyncio.gather(
        _measure_client_cpu(
            dep, servers[0], endpoint, request_count, requests_per_s
        ),
        _measure_proxy_cpu(
            dep, servers[1], endpoint, request_count, requests_per_s
        ),
    )
    await asyncio.gather(*(server.stop() for server in servers))
    return Floors(
        round_trip_s=round_trip_s,
        job_task_cpu_s=cpu_s[0] / request_count,
        single_cpu_s=cpu_s[1] / request_count,
    )


async def _measure_round_trip(
    dep: deployment.Deployment, endpoint: parts.Endpoint
) -> float:
    """Return the median response time of an idle endpoint less the run time."""
    durations_s = []
    for _ in range(ROUND_TRIP_SAMPLES):
        started_at = time.monotonic()
        await _post_task(dep, endpoint.port, '/floor')  # noqa: WPS476
        durations_s.append(time.monotonic() - started_at)
    run_s = TASK_RUN_MS / endpoint.speed / 1000
    return measures.percentile(durations_s, 50) - run_s


async def _measure_client_cpu(
    dep: deployment.Deployment,
    server: child.Child,
    endpoint: parts.Endpoint,
    request_count: int,
    requests_per_s: float,
) -> float:
    params = {
        'port': endpoint.port,
        'run_ms': TASK_RUN_MS,
        'count': request_count,
        'rate': requests_per_s,
    }
    url = f'http://{parts.HOST}:{server.ports["http"]}/client'
    return float(json.loads(await dep.request('POST', url, params))['cpu_s'])


async def _measure_proxy_cpu(
    dep: deployment.Deployment,
    server: child.Child,
    endpoint: parts.Endpoint,
    request_count: int,
    requests_per_s: float,
) -> float:
    port = server.ports['http']
    url = f'http://{parts.HOST}:{port}/cpu'
    cpu_s_before = json.loads(await dep.request('GET', url))['cpu_s']
    await floor_server.run_paced(
        lambda: _post_task(dep, port, '/proxy', target_port=endpoint.port),
        count=request_count,
        operations_per_s=requests_per_s,
    )
    cpu_s_after = json.loads(await dep.request('GET', url))['cpu_s']
    return float(cpu_s_after - cpu_s_before)


async def _post_task(
    dep: deployment.Deployment, port: int, path: str, *, target_port: int = 0
) -> None:
    headers = {
        'X-Target': str(target_port),
        'X-Run-Ms': str(TASK_RUN_MS),
        'X-Task': 'floor',
    }
    async with dep.session.post(
        f'http://{parts.HOST}:{port}{path}', headers=headers, data=REQUEST_BODY
    ) as response:
        await response.read()
