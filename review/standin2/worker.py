"""Stand-in of a worker, after PROTOCOL.md ("Running tasks").

The run time of a task is stated in the payload of its job, as ``ms=NUMBER``
for each step, for example ``ms=1000,200``. With ``fail=NUMBER`` in the payload
the first runs of each task end ``failed``.
"""

import asyncio
import re
import time

import http_server

MAX_HOLD_MS = 1000


class Worker:
    def __init__(self, *, name, zone, labels, cpu, clock, record):
        self.name, self.zone, self.labels, self.cpu = name, zone, labels, cpu
        self.clock, self.record = clock, record
        self.started_at = clock()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0
        self.running = {}   # task -> [run, ends_at, started_at, duration_s]
        self.closed = {}    # task -> highest run stopped or ended
        self.finished = []  # [position, task, run, how]
        self.lapsed = set()  # positions whose lease lapsed before their ack
        self.last = 0
        self.seq = 0
        self.port = 0
        self.wake = asyncio.Condition()
        self.server = http_server.HttpServer(self._handle)
        self.is_up = True
        self.is_store_cut = False   # its entry in the store lapses
        self.written_at = 0         # last write of its entry
        self.late_s = 0     # orders get no answer and are executed this late
        self.failures = {}  # task -> runs that ended ``failed``, of all workers

    async def listen(self, host):
        self.host = host
        self.port = await self.server.listen(host)

    def entry(self):
        self.seq += 1
        return {
            'service': 'sportello', 'address': f'{self.host}:{self.port}',
            'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': 'ready',
            'cold_left_ms': 0, 'seq': self.seq, 'born': self.born,
            'capacity': {'cpu': self.cpu, 'mem_mb': 131072, 'gpu': 0},
            'labels': self.labels,
        }

    def clock_ms(self):
        return int((self.clock() - self.started_at) * 1000) + 1000

    def crash(self):
        """End everything that runs; later lists do not show it."""
        self.advance()
        for task, (run, *_) in list(self.running.items()):
            self.record('end', worker=self.name, task=task, run=run,
                        how='crashed')
        self.is_up = False

    def restart(self):
        """Start again under the same id, with nothing known of before."""
        self.started_at = self.clock()
        self.born = int(time.time() * 1000)
        self.fence = self.lease_ms = self.last = self.seq = 0
        self.running, self.closed, self.finished = {}, {}, []
        self.lapsed = set()
        self.is_up = True

    def advance(self):
        """End the runs that are complete or whose lease has expired."""
        now = self.clock()
        lease_end = self.started_at + (self.lease_ms - 1000) / 1000
        if lease_end < now:
            self.lapsed.update(row[0] for row in self.finished)
        for task, (run, ends_at, _, _) in list(self.running.items()):
            if ends_at <= min(now, lease_end):
                self._end(task, run, self._result(task))
            elif lease_end <= now:
                self._end(task, run, 'lapsed')

    def _result(self, task):
        if self.failures.get(task, 0) <= 0:
            return 'done'
        self.failures[task] -= 1
        return 'failed'

    def _end(self, task, run, how):
        self.running.pop(task)
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.last += 1
        self.finished.append([self.last, task, run, how])
        self.record('end', worker=self.name, task=task, run=run, how=how)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            if not self.is_up:
                continue
            count = len(self.finished)
            self.advance()
            if len(self.finished) != count:
                async with self.wake:
                    self.wake.notify_all()

    async def _handle(self, method, path, query, headers, document):
        if headers.get('target-instance', self.name) != self.name:
            return 421, self._stamp()
        if not self.is_up:
            return None
        if self.late_s and path != '/v1/hold':
            asyncio.get_running_loop().call_later(
                self.late_s, self._execute_late, path, document, self.born)
            await asyncio.sleep(30)
            return None
        return await self._execute(path, document)

    def _execute_late(self, path, document, born):
        if self.is_up and self.born == born:
            asyncio.ensure_future(self._execute(path, document))

    async def _execute(self, path, document):
        self.advance()
        if document.get('fence', 0) < self.fence:
            return 409, {**self._stamp(), 'reason': 'fence'}
        self.fence = document.get('fence', 0)
        if path == '/v1/run-start':
            return self._start(document)
        if path == '/v1/run-stop':
            return self._stop(document)
        if path == '/v1/hold':
            return await self._hold(document)
        return 404, {}

    def _extend(self, expires_ms):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(expires_ms, limit_ms))

    def _start(self, document):
        task, run = document['task'], document['run']
        if document['expires_ms'] <= self.clock_ms():
            return 409, {**self._stamp(), 'reason': 'late'}
        self._extend(document['expires_ms'])
        active = self.running.get(task)
        if active is not None and active[0] == run:
            return 200, self._stamp()
        if active is not None or run <= self.closed.get(task, 0):
            return 409, {**self._stamp(), 'reason': 'old'}
        duration_s = run_time_s(document['spec'], task)
        failing = re.search('fail=([0-9]+)', document['spec'])
        if failing and task not in self.failures:
            self.failures[task] = int(failing[1])
        now = self.clock()
        self.running[task] = [run, now + duration_s, now, duration_s]
        self.record('start', worker=self.name, task=task, run=run,
                    fence=self.fence, spec=document['spec'])
        return 200, self._stamp()

    def _stop(self, document):
        task, run = document['task'], document['run']
        active = self.running.get(task)
        if active is not None and active[0] <= run:
            self._end(task, active[0], 'stopped')
        self.closed[task] = max(run, self.closed.get(task, 0))
        return 200, self._stamp()

    async def _hold(self, document):
        if document.get('expires_ms') is not None:
            self._extend(document['expires_ms'])
        for position, task, run, how in self.finished:
            if position <= document['acked_through']:
                self.record('acked', worker=self.name, task=task, run=run,
                            how=how, lapsed=position in self.lapsed)
        self.finished = [
            row for row in self.finished if row[0] > document['acked_through']
        ]
        wait_s = document.get('wait_ms', 0) / 1000
        if wait_s and not self.finished:
            async with self.wake:
                try:
                    async with asyncio.timeout(wait_s):
                        await self.wake.wait()
                except TimeoutError:
                    pass
            self.advance()
        now = self.clock()
        running = [
            [task, run, '', min(99, int(100 * (now - since) / duration_s)), 0]
            for task, (run, _, since, duration_s) in self.running.items()
        ]
        finished = [[*row, ''] for row in self.finished[:500]]
        return 200, {**self._stamp(), 'running': running, 'finished': finished}

    def _stamp(self):
        return {'clock_ms': self.clock_ms(), 'born': self.born}


def run_time_s(payload, task):
    """Return the run time that a job's payload states for a task's step."""
    times_ms = re.search(r'ms=([0-9,]+)', payload)[1].split(',')
    return int(times_ms[int(task.split('.')[2])]) / 1000
