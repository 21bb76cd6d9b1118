"""Stand-in of a worker (PROTOCOL.md, "Running tasks").

The text ``spec`` of a job says how long its tasks take: ``work=SECONDS``, or
``work=SECONDS,SECONDS`` for the tasks of the first step and of the others.
"""

import asyncio
import json
import re
import time

from standin import http

MAX_HOLD_MS = 1000
STOP_S = 0.01
ANSWER_S = 0.0005
BEAT_S = 1.5
MAX_LISTED = 500


class Run:
    """One run, for the check at the end."""

    def __init__(self, task, number, worker, work_s):
        self.task = task
        self.number = number
        self.worker = worker
        self.work_s = work_s
        self.started_at = time.monotonic()
        self.ended_at = None
        self.how = None
        self.acked_at = None


class Worker:
    """One worker; a restart under the same id begins a new life."""

    def __init__(self, *, name, zone, service, store, log, cpu=32000,
                 rack='r1'):
        self.name, self.zone, self.service = name, zone, service
        self.store, self.log = store, log
        self.cpu, self.rack = cpu, rack
        self.state = 'ready'
        self.runs = []
        self.is_up = True
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._begin_life()

    async def start(self, host):
        self._server = await http.serve(self.handle, host)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self._spawn(self._beat())

    def crash(self):
        """End everything at once, for good."""
        self.is_up = False
        for run in list(self.running.values()):
            self._end(run, 'crashed')
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.log(f'{self.name}: crashed, for good')

    def write_entry(self):
        self.seq += 1
        self.store.beat(self.name, _encode({
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'slots': 8,
            'state': self.state, 'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 131072, 'gpu': 0},
            'labels': ['a', self.rack], 'clock_ms': self.clock_ms(),
            'seq': self.seq, 'born': self.born}), BEAT_S)

    def clock_ms(self):
        return int((time.monotonic() - self._clock_start) * 1000) + 5000

    async def handle(self, req):
        await asyncio.sleep(ANSWER_S)
        if not self.is_up:
            return None
        if req.path == '/healthz':
            return 200, {}
        if req.headers.get('target-instance', self.name) != self.name:
            return 421, {}
        document = req.json()
        fence = document.get('fence', 0)
        if fence < self.fence:
            return self._refuse('fence')
        self.fence = fence
        match req.path:
            case '/v1/run-start':
                return self._start(document)
            case '/v1/run-stop':
                return await self._stop(document)
            case '/v1/hold':
                return await self._hold(document)
        return 404, {}

    def _begin_life(self):
        self._clock_start = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.seq = 0
        self.running = {}
        self.closed = {}
        self.finished = []
        self.last_n = 0
        self.lease_ms = 0
        self._lease_task = None
        self._ended = asyncio.Event()

    def _start(self, document):
        task, number = document['task'], document['run']
        if document['expires_ms'] <= self.clock_ms():
            return self._refuse('late')
        self._extend(document['expires_ms'])
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, self._document()
        if current is not None or number <= self.closed.get(task, 0):
            return self._refuse('old')
        found = re.search(r'work=([0-9.]+)(?:,([0-9.]+))?', document['spec'])
        is_first_step = task.split('.')[2] == '0'
        work_s = found.group(1) if is_first_step else found.group(2) or found[1]
        run = Run(task, number, self.name, float(work_s))
        self.runs.append(run)
        self.running[task] = run
        self.log(f'{self.name}: {task} run {number} starts, '
                 f'fence {document["fence"]}')
        self._spawn(self._work(run))
        return 200, self._document()

    async def _stop(self, document):
        task, number = document['task'], document['run']
        self.closed[task] = max(number, self.closed.get(task, 0))
        await asyncio.sleep(STOP_S)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self._end(run, 'stopped')
        return 200, self._document()

    async def _hold(self, document):
        acked = document.get('acked_through', 0)
        for row in self.finished:
            if row[0] <= acked:
                row[5].acked_at = time.monotonic()
        self.finished = [row for row in self.finished if row[0] > acked]
        if 'expires_ms' in document:
            self._extend(document['expires_ms'])
        if not self.finished and document.get('wait_ms'):
            ended = self._ended
            try:
                async with asyncio.timeout(document['wait_ms'] / 1000):
                    await ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        return 200, self._document(
            running=[[run.task, run.number, '', min(99, int(
                100 * (now - run.started_at) / run.work_s)), 14000]
                for run in self.running.values()],
            finished=[row[:5] for row in self.finished[:MAX_LISTED]])

    def _extend(self, expires_ms):
        latest_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(expires_ms, latest_ms))
        if self._lease_task is None:
            self._lease_task = self._spawn(self._watch_lease())

    async def _watch_lease(self):
        while True:
            left_s = (self.lease_ms - self.clock_ms()) / 1000
            if left_s <= 0:
                break
            await asyncio.sleep(left_s)
        self._lease_task = None
        for run in list(self.running.values()):
            self._end(run, 'lapsed')

    async def _work(self, run):
        await asyncio.sleep(run.work_s)
        if self.running.get(run.task) is run:
            self._end(run, 'done')

    def _end(self, run, how):
        run.ended_at = time.monotonic()
        run.how = how
        self.running.pop(run.task)
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.last_n += 1
        self.finished.append([self.last_n, run.task, run.number, how, '', run])
        self.log(f'{self.name}: {run.task} run {run.number} ends {how}')
        self._ended.set()
        self._ended = asyncio.Event()

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(BEAT_S)

    def _refuse(self, reason):
        return 409, self._document(reason=reason)

    def _document(self, **fields):
        return {'clock_ms': self.clock_ms(), 'born': self.born, **fields}

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _encode(document):
    return json.dumps(document).encode()
