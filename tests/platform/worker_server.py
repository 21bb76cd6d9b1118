"""HTTP server of a simulated worker, with fault injection."""

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

from sardineproxy import deployment
from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model

#: Interval at which a waiting poll checks for results, in seconds.
_RESULT_CHECK_INTERVAL_S = 0.005

_REASONS = {
    workers.Refusal.FENCED: 'fence',
    workers.Refusal.OLD_RUN: 'old',
    workers.Refusal.EXPIRED: 'late',
}


class WorkerServer:
    """Serves one ``WorkerModel`` on its own address."""

    def __init__(self, *, model: worker_model.WorkerModel, clock: Any) -> None:
        self.model = model
        self.clock = clock

        #: Payloads of the start orders received, by task.
        self.payloads: dict[str, str] = {}

        #: Orders are refused with status 503.
        self.is_unhealthy = False

        #: Orders get no response and are executed after this delay, in seconds;
        #: 0 if they are executed and get a response without delay.
        self.order_delay_s: float = 0
        self._delayed_orders: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = '127.0.0.1') -> int:
        """Start to serve, set the worker's address, and return the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            web.Server(self.handle, access_log=None), host, 0
        )
        port: int = server.sockets[0].getsockname()[1]
        self.set_address(port, host)
        return port

    def set_address(self, port: int, host: str = '127.0.0.1') -> None:
        """Set the address in the worker's entry, for example to a relay."""
        self.model.worker = dataclasses.replace(
            self.model.worker, address=deployment.Address(host=host, port=port)
        )

    def worker_entry(self) -> bytes:
        """Return the worker's entry in the platform's list."""
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
            self._execute_later(req.path, document)
            await asyncio.sleep(3600)
        if req.path == '/v1/hold':
            await self._wait_for_results(document)
        return self._reply(self._execute(req.path, document))

    def _execute(self, path: str, document: Any) -> Any:
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
                return self.model.poll(_decode_poll(document), now)
        return None

    async def _wait_for_results(self, document: Any) -> None:
        """Wait for a result; the poll's fencing token takes effect at once."""
        wait_s = document.get('wait_ms', 0) / 1000
        first = self.model.poll(_decode_poll(document), self.clock.now())
        deadline = self.clock.now() + wait_s
        while isinstance(first, workers.Report) and self.clock.now() < deadline:
            self.model.advance(self.clock.now())
            if self.model.has_unacked_results(document['acked_through']):
                return
            await asyncio.sleep(_RESULT_CHECK_INTERVAL_S)

    def _execute_later(self, path: str, document: Any) -> None:
        started_ms = self.model.worker.started_ms

        async def execute_delayed() -> None:
            await asyncio.sleep(self.order_delay_s)
            if self.model.is_up and self.model.worker.started_ms == started_ms:
                self._execute(path, document)

        task = asyncio.create_task(execute_delayed())
        self._delayed_orders.add(task)
        task.add_done_callback(self._delayed_orders.discard)

    def _reply(self, outcome: Any) -> web.Response:
        document: dict[str, Any] = {
            'clock_ms': self.model.clock_ms(self.clock.now()),
            'born': self.model.worker.started_ms,
        }
        status = 200
        match outcome:
            case workers.Refused(reason=refusal):
                status = 409
                document['reason'] = _REASONS[refusal]
            case workers.Report():
                document['running'] = [
                    [row.task, row.run, '', row.percent, 0]
                    for row in outcome.active
                ]
                document['finished'] = [
                    [row.position, row.task, row.run, row.result.value, '']
                    for row in outcome.finished
                ]
            case None:
                return web.Response(status=404)
        return web.Response(
            status=status,
            body=json.dumps(document).encode(),
            content_type='application/json',
        )


def _decode_poll(document: Any) -> workers.Poll:
    return workers.Poll(
        fence=document.get('fence', 0),
        acked=document['acked_through'],
        expires_ms=document.get('expires_ms'),
        wait_s=document.get('wait_ms', 0) / 1000,
    )
