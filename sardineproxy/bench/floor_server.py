"""Bare aiohttp client and server, whose CPU time is the floor.

Run as ``python -m sardineproxy.bench.floor_server NAME``. ``POST /proxy``
forwards the body to the endpoint at the port in the header ``X-Target`` and
returns its response. ``POST /client`` makes the process send requests at the
given rate and returns their CPU time. ``GET /cpu`` returns the CPU time of
the process in seconds.
"""

import asyncio
import json
import random
import time
from typing import Any, Awaitable, Callable

import aiohttp
from aiohttp import web

from sardineproxy.process import ready

HOST = '127.0.0.1'


class FloorServer:
    """Serves requests without any dispatch logic."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use ``session`` for all requests to endpoints."""
        self._session = session

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Serve one request."""
        match req.path:
            case '/proxy':
                body = await self._post_task(
                    req.headers['X-Target'],
                    req.headers['X-Run-Ms'],
                    await req.read(),
                )
                return web.Response(body=body, content_type='application/json')
            case '/client':
                return web.json_response(
                    await self._measure_client_cpu(json.loads(await req.read()))
                )
        return web.json_response({'cpu_s': time.process_time()})

    async def _post_task(self, port: str, run_ms: str, body: bytes) -> bytes:
        async with self._session.post(
            f'http://{HOST}:{port}/floor',
            headers={'X-Task': 'floor', 'X-Run-Ms': run_ms},
            data=body,
        ) as response:
            return await response.read()

    async def _measure_client_cpu(
        self, params: dict[str, Any]
    ) -> dict[str, float]:
        """Return the CPU time of paced requests, less that of the pacing."""
        requests_cpu_s = await run_paced(
            lambda: self._post_task(
                str(params['port']), str(params['run_ms']), b'floor'
            ),
            count=params['count'],
            operations_per_s=params['rate'],
        )
        pacing_cpu_s = await run_paced(
            lambda: asyncio.sleep(0),
            count=params['count'],
            operations_per_s=params['rate'],
        )
        return {'cpu_s': requests_cpu_s - pacing_cpu_s}


async def run_paced(
    operation: Callable[[], Awaitable[Any]],
    *,
    count: int,
    operations_per_s: float,
) -> float:
    """Run operations that start at random times; return their CPU seconds.

    No operation waits for the previous one to end.
    """
    rng = random.Random(count)
    cpu_s_at_start = time.process_time()
    due_at = time.monotonic()
    futures = []
    for _ in range(count):
        due_at += rng.expovariate(operations_per_s)
        await asyncio.sleep(max(0, due_at - time.monotonic()))  # noqa: WPS476
        futures.append(asyncio.ensure_future(operation()))
    await asyncio.gather(*futures)
    return time.process_time() - cpu_s_at_start


async def _serve() -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        listener = await asyncio.get_running_loop().create_server(
            web.Server(FloorServer(session).handle, access_log=None), HOST, 0
        )
        ready.announce({'http': listener.sockets[0].getsockname()[1]})
        await listener.serve_forever()


if __name__ == '__main__':
    asyncio.run(_serve())
