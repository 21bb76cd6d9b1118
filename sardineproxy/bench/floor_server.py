"""Bare aiohttp client and server, whose processor time is the floor.

Run as ``python -m sardineproxy.bench.floor_server NAME``. ``POST /proxy``
sends the body to the endpoint at the port of header ``X-Target`` and answers
with what came back. ``POST /client`` sends paced requests itself.
``GET /cpu`` answers with the processor time of the process in seconds.
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
    """Answers without any logic of a dispatcher."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use ``session`` for all requests to endpoints."""
        self._session = session

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Answer one request."""
        match req.path:
            case '/proxy':
                body = await self._post(
                    req.headers['X-Target'],
                    req.headers['X-Run-Ms'],
                    await req.read(),
                )
                return web.Response(body=body, content_type='application/json')
            case '/client':
                return web.json_response(
                    await self._run_client(json.loads(await req.read()))
                )
        return web.json_response({'cpu_s': time.process_time()})

    async def _post(self, port: str, run_ms: str, body: bytes) -> bytes:
        async with self._session.post(
            f'http://{HOST}:{port}/floor',
            headers={'X-Task': 'floor', 'X-Run-Ms': run_ms},
            data=body,
        ) as reply:
            return await reply.read()

    async def _run_client(self, order: dict[str, Any]) -> dict[str, float]:
        """Return the processor time of paced requests without the pacing."""
        requests_s = await pace(
            lambda: self._post(
                str(order['port']), str(order['run_ms']), b'floor'
            ),
            count=order['count'],
            rate=order['rate'],
        )
        pacing_s = await pace(
            lambda: asyncio.sleep(0), count=order['count'], rate=order['rate']
        )
        return {'cpu_s': requests_s - pacing_s}


async def pace(
    act: Callable[[], Awaitable[Any]], *, count: int, rate: float
) -> float:
    """Act at random times, without waiting; return processor seconds."""
    rng = random.Random(count)
    began_s = time.process_time()
    due = time.monotonic()
    pending = []
    for _ in range(count):
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0, due - time.monotonic()))  # noqa: WPS476
        pending.append(asyncio.ensure_future(act()))
    await asyncio.gather(*pending)
    return time.process_time() - began_s


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
