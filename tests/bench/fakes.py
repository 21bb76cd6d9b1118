"""Fake entry process for tests of bench and demo; other programs are real.

It sends each task to a random endpoint and enforces no limits. Tasks run for
a fraction of their run time, which keeps the tests short.
Run as ``python -m tests.bench.fakes NAME``.
"""

import asyncio
import json
import pathlib
import random
import sys
import time
from typing import Any

import aiohttp
from aiohttp import web

from sardineproxy import __main__ as programs
from sardineproxy.process import platform, platform_http, ready

RUN_TIME_FACTOR = 0.05
METRICS = """sardineproxy_peer_frames_total{kind="Heartbeat"} 3
sardineproxy_endpoint_attempts_total 0
"""


class _FakeEntry:
    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._port = 0
        self._endpoints: list[platform.Vm] = []
        self._replies_by_key: dict[str, asyncio.Future[dict[str, Any]]] = {}

    async def serve(self) -> None:
        self._session = aiohttp.ClientSession()
        address = self._settings['platform']
        client = platform_http.HttpPlatform(
            session=self._session, host=address['host'], port=address['port']
        )
        vms = (await client.list_vms()).unwrap().vms
        self._endpoints = [
            vm for vm in vms if vm.role is platform.VmRole.ENDPOINT
        ]
        app = web.Application(client_max_size=1 << 23)
        app.router.add_post('/v1/keys', self._create_keys)
        app.router.add_post('/v1/{kind}', self._handle_submission)
        app.router.add_get('/readyz', self._handle_readyz)
        app.router.add_get('/metrics', self._handle_metrics)
        app.router.add_get('/state', self._handle_state)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        self._port = runner.addresses[0][1]
        ready.announce(dict.fromkeys(('callers', 'admin', 'peers'), self._port))
        await asyncio.Event().wait()

    async def _create_keys(self, req: web.Request) -> web.Response:
        count = (await req.json())['count']
        keys = [f'{self._port}.{random.random()}' for _ in range(count)]
        return web.json_response({'keys': keys})

    async def _handle_submission(self, req: web.Request) -> web.Response:
        document = await req.json()
        key = req.headers.get('Idempotency-Key', '')
        if key and int(key.split('.')[0]) != self._port:
            return await self._forward_to_issuer(key, req.path, document)
        stored_reply = self._replies_by_key.get(key)
        if stored_reply is not None:
            return web.json_response(await stored_reply)
        if key:
            self._replies_by_key[key] = (
                asyncio.get_running_loop().create_future()
            )
        reply_document = await self._run_submission(document)
        if key:
            self._replies_by_key[key].set_result(reply_document)
        return web.json_response(reply_document)

    async def _run_submission(self, document: dict[str, Any]) -> dict[str, Any]:
        if 'tasks' not in document:
            return await self._run_task(document)
        task_results = await asyncio.gather(
            *map(self._run_task, document['tasks'])
        )
        return {'state': 'complete', 'tasks': task_results}

    async def _forward_to_issuer(
        self, key: str, path: str, document: dict[str, Any]
    ) -> web.Response:
        url = f'http://127.0.0.1:{key.split(".")[0]}{path}'
        async with self._session.post(
            url, json=document, headers={'Idempotency-Key': key}
        ) as reply:
            return web.json_response(await reply.json())

    async def _run_task(self, task: dict[str, Any]) -> dict[str, Any]:
        vm = random.choice(self._endpoints)
        run_ms = RUN_TIME_FACTOR * float(task['headers']['X-Run-Ms'])
        async with self._session.request(
            task['method'],
            f'http://{vm.host}:{vm.port}{task["path"]}',
            headers={**task['headers'], 'X-Run-Ms': str(run_ms)},
            data=task.get('body_text', ''),
        ) as response:
            text = await response.text()
        return {'verdict': 'ran', 'status': response.status, 'body_text': text}

    async def _handle_readyz(self, _: web.Request) -> web.Response:
        return web.Response()

    async def _handle_metrics(self, _: web.Request) -> web.Response:
        return web.Response(text=METRICS)

    async def _handle_state(self, _: web.Request) -> web.Response:
        return web.json_response({'cpu_s': time.process_time()})


if __name__ == '__main__':
    if sys.argv[1] != 'entry':
        sys.exit(programs.main(sys.argv))
    settings = json.loads(pathlib.Path(sys.argv[3]).read_text())
    asyncio.run(_FakeEntry(settings).serve())
