"""A modelled worker over HTTP, as the platform spells it, with faults."""

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

from sardineproxy import deployment
from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model

#: Step in which a waiting look checks for new ends, in seconds.
_LOOK_STEP_S = 0.005

_REASONS = {
    workers.Refusal.FENCED: 'fence',
    workers.Refusal.OLD_RUN: 'old',
    workers.Refusal.EXPIRED: 'late',
}


class WorkerServer:
    """Serves one ``WorkerModel`` on an address of its own."""

    def __init__(self, *, model: worker_model.WorkerModel, clock: Any) -> None:
        self.model = model
        self.clock = clock

        #: Payloads of the orders that came, by task.
        self.payloads: dict[str, str] = {}

        #: Orders are answered with 503.
        self.is_unhealthy = False

        #: Orders get no answer and are carried out after this time, in
        #: seconds; 0 for orders that are carried out at once.
        self.order_delay_s: float = 0
        self._late: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = '127.0.0.1') -> int:
        """Serve until the loop ends; note the address in the model."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            web.Server(self.handle, access_log=None), host, 0
        )
        port: int = server.sockets[0].getsockname()[1]
        self.set_address(port, host)
        return port

    def set_address(self, port: int, host: str = '127.0.0.1') -> None:
        """List another address, such as that of a relay."""
        self.model.worker = dataclasses.replace(
            self.model.worker, address=deployment.Address(host=host, port=port)
        )

    def worker_entry(self) -> bytes:
        """Return what the worker writes into the platform's list."""
        worker = self.model.worker
        document = {
            'service': worker.service,
            'address': str(worker.address),
            'zone': worker.zone,
            'version': 'v1',
            'slots': 8,
            'state': worker.state.value,
            'cold_left_ms': 0,
            'capacity': {
                'cpu': worker.capacity.millicores,
                'mem_mb': worker.capacity.memory_mb,
                'gpu': worker.capacity.gpus,
            },
            'labels': list(worker.labels),
            'clock_ms': self.model.clock_ms(self.clock.now()),
            'born': worker.started_ms,
            'seq': 1,
        }
        return json.dumps(document).encode()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if not self.model.is_up:
            await asyncio.sleep(3600)
        worker_id = self.model.worker.worker
        if req.headers.get('Target-Instance', worker_id) != worker_id:
            return web.Response(status=421)
        document = await req.json()
        if self.is_unhealthy and req.path != '/v1/hold':
            return web.Response(status=503)
        if self.order_delay_s and req.path != '/v1/hold':
            self._carry_out_late(req.path, document)
            await asyncio.sleep(3600)
        if req.path == '/v1/hold':
            await self._wait(document)
        return self._reply(self._act(req.path, document))

    def _act(self, path: str, document: Any) -> Any:
        now = self.clock.now()
        match path:
            case '/v1/run-start':
                task = workers.TaskName(document['task'])
                self.payloads[task] = document['spec']
                order = workers.Order(
                    task=task,
                    run=document['run'],
                    payload=document['spec'],
                    fence=document.get('fence', 0),
                    expires_ms=document['expires_ms'],
                )
                return self.model.start(order, now)
            case '/v1/run-stop':
                return self.model.stop(
                    workers.TaskName(document['task']),
                    document['run'],
                    document.get('fence', 0),
                    now,
                )
            case '/v1/hold':
                return self.model.poll(_to_look(document), now)
        return None

    async def _wait(self, document: Any) -> None:
        """Keep a look open until there is an end; its fence counts at once."""
        wait_s = document.get('wait_ms', 0) / 1000
        first = self.model.poll(_to_look(document), self.clock.now())
        until = self.clock.now() + wait_s
        while isinstance(first, workers.Report) and self.clock.now() < until:
            self.model.advance(self.clock.now())
            if self.model.has_ends(document['acked_through']):
                return
            await asyncio.sleep(_LOOK_STEP_S)

    def _carry_out_late(self, path: str, document: Any) -> None:
        started_ms = self.model.worker.started_ms

        async def later() -> None:
            await asyncio.sleep(self.order_delay_s)
            if self.model.is_up and self.model.worker.started_ms == started_ms:
                self._act(path, document)

        task = asyncio.create_task(later())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _reply(self, answer: Any) -> web.Response:
        document: dict[str, Any] = {
            'clock_ms': self.model.clock_ms(self.clock.now()),
            'born': self.model.worker.started_ms,
        }
        status = 200
        match answer:
            case workers.Refused(reason=why):
                status = 409
                document['reason'] = _REASONS[why]
            case workers.Report():
                document['running'] = [
                    [row.task, row.run, '', row.percent, 0]
                    for row in answer.active
                ]
                document['finished'] = [
                    [end.position, end.task, end.run, end.result.value, '']
                    for end in answer.finished
                ]
            case None:
                return web.Response(status=404)
        return web.Response(
            status=status,
            body=json.dumps(document).encode(),
            content_type='application/json',
        )


def _to_look(document: Any) -> workers.Poll:
    return workers.Poll(
        fence=document.get('fence', 0),
        acked=document['acked_through'],
        expires_ms=document.get('expires_ms'),
        wait_s=document.get('wait_ms', 0) / 1000,
    )
