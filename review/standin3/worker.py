"""A worker, as PROTOCOL.md describes it, with a record of its runs."""

import asyncio
import random
import time

import http11

MAX_HOLD_MS = 1000
STOP_S = 0.02
HEARTBEAT_S = 1.5


class Run:
    """One run, for the record and the checks."""

    def __init__(self, worker, task, number, started_at, work_s):
        self.worker, self.task, self.number = worker, task, number
        self.started_at, self.work_s = started_at, work_s
        self.ended_at = None
        self.how = None
        self.acked_at = None
        #: Whether the worker's lease lapsed between the end and the ack.
        self.lapsed_since = False

    def line(self):
        """Return the run for the record."""
        end = 'runs on' if self.ended_at is None else f'{self.how} at {self.ended_at:.3f}'
        noted = '' if self.acked_at is None else f', noted at {self.acked_at:.3f}'
        lapsed = ', the lease lapsed in between' if self.lapsed_since else ''
        return (
            f'{self.started_at:8.3f} {self.worker} runs {self.task} run {self.number}: '
            f'{end}{noted}{lapsed}'
        )


class Worker:
    """One worker; its state moves on with each call and each tick."""

    def __init__(self, *, name, zone, service, work_of, now, cpu=32_000, labels=('a',)):
        self.name, self.zone, self.service = name, zone, service
        self.cpu, self.labels = cpu, list(labels)
        self.runs = []
        self.specs = {}
        self.reaches_store = True
        self._is_up = True
        self.heartbeat_at = time.monotonic()
        self.on_expired = lambda: None
        self.address = ''
        self._work_of = work_of
        self._now = now
        self._start_anew()

    def _start_anew(self):
        """Forget everything, as a process that starts under the same id does."""
        self._born = int(time.time() * 1000)
        self._clock_zero = time.monotonic() - 100
        self._fence = 0
        self._lease_ms = 0
        self._running = {}
        self._closed = {}
        self._ends = []
        self._last_number = 0
        self._unacked = {}
        self._event = asyncio.Event()

    async def listen(self, host, store):
        """Start to serve and to write heartbeats to the store."""
        self._server = await http11.serve(self._handle, host)
        self.address = f'{host}:{self._server.port}'
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._register(store)),
        ]

    @property
    def is_idle(self):
        """Return whether nothing runs."""
        return not self._running

    async def crash(self, down_s):
        """Crash, and start again under the same id and at the same address."""
        self._server.close()
        for run in self._running.values():
            run.ended_at, run.how = self._now(), 'lost'
        self._start_anew()
        self._is_up = False
        await asyncio.sleep(down_s)
        self._start_anew()
        host, _, port = self.address.rpartition(':')
        self._server = await http11.serve(self._handle, host, int(port))
        self._is_up = True
        self.heartbeat_at = time.monotonic()

    async def _register(self, store):
        """Write the entry; the store removes it after three silent intervals."""
        seq, written_at, listed = 0, 0.0, False
        while True:
            now = time.monotonic()
            if now >= self.heartbeat_at:
                # The first interval is shorter, so that the workers' phases differ.
                self.heartbeat_at = now + (HEARTBEAT_S if seq else random.uniform(0.1, HEARTBEAT_S))
                if self.reaches_store and self._is_up:
                    seq, written_at, listed = seq + 1, now, True
                    store.put('servers', self.name, self._entry(seq))
            if listed and now - written_at >= 3 * HEARTBEAT_S:
                listed = False
                store.put('servers', self.name, None)
                self.on_expired()
            await asyncio.sleep(0.01)

    def _entry(self, seq):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 65_536, 'gpu': 0},
            'labels': self.labels,
            'born': self._born,
            'seq': seq,
        }

    async def _tick(self):
        while True:
            self._advance()
            await asyncio.sleep(0.002)

    async def _handle(self, method, path, query, headers, document):
        if headers.get('target-instance', self.name) != self.name:
            raise http11.Reply(421)
        self._advance()
        if document.get('fence', 0) < self._fence:
            raise http11.Reply(409, self._answer(reason='fence'))
        self._fence = document.get('fence', 0)
        match path:
            case '/v1/run-start':
                return self._start(document)
            case '/v1/run-stop':
                return self._stop(document)
            case '/v1/hold':
                return await self._hold(document)
        raise http11.Reply(404)

    def _start(self, document):
        task, number = document['task'], document['run']
        running = self._running.get(task)
        if running is not None and running.number == number:
            return self._answer()
        if document['expires_ms'] <= self._clock_ms():
            raise http11.Reply(409, self._answer(reason='late'))
        self._extend(document['expires_ms'])
        if running is not None or number <= self._closed.get(task, 0):
            raise http11.Reply(409, self._answer(reason='old'))
        run = Run(self.name, task, number, self._now(), self._work_of(task))
        self.specs[task] = document['spec']
        self.runs.append(run)
        self._running[task] = run
        return self._answer()

    def _stop(self, document):
        task, number = document['task'], document['run']
        self._closed[task] = max(number, self._closed.get(task, 0))
        run = self._running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, 'stopped')
        return self._answer()

    async def _hold(self, document):
        self._note_lapse()
        if document.get('expires_ms') is not None:
            self._extend(document['expires_ms'])
        acked = document['acked_through']
        self._forget(acked)
        until = time.monotonic() + document.get('wait_ms', 0) / 1000
        while not self._ends and time.monotonic() < until:
            self._event.clear()
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self._event.wait()
            except TimeoutError:
                pass
        self._advance()
        # The list has the ends beyond ``acked_through``, also of those that
        # came during the wait.
        self._forget(acked)
        return self._answer(
            running=[
                [run.task, run.number, '', self._percent(run), 0]
                for run in self._running.values()
            ],
            finished=self._ends[:500],
        )

    def _forget(self, acked):
        """Forget the ends up to a number; they are taken note of."""
        self._ends = [end for end in self._ends if end[0] > acked]
        for position in [key for key in self._unacked if key <= acked]:
            self._unacked.pop(position).acked_at = self._now()

    def _percent(self, run):
        share = (self._now() - run.started_at) / run.work_s
        return min(99, int(100 * share))

    def _advance(self):
        now, lapsed = self._now(), self._clock_ms() > self._lease_ms
        self._note_lapse()
        for run in list(self._running.values()):
            if now - run.started_at >= run.work_s:
                self._end(run, 'done')
            elif lapsed:
                self._end(run, 'lapsed')

    def _end(self, run, how):
        if self._running.get(run.task) is not run:
            return
        self._running.pop(run.task)
        run.ended_at, run.how = self._now(), how
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self._last_number += 1
        self._unacked[self._last_number] = run
        self._ends.append([self._last_number, run.task, run.number, how, ''])
        self._event.set()

    def _note_lapse(self):
        if self._clock_ms() > self._lease_ms:
            for run in self._unacked.values():
                run.lapsed_since = True

    def _extend(self, expires_ms):
        latest = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(expires_ms, latest))

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_zero) * 1000)

    def _answer(self, **fields):
        return {'clock_ms': self._clock_ms(), 'born': self._born, **fields}


def find_twice(runs):
    """Return what breaks the rule TWICE, one sentence each."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    broken = []
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda run: run.started_at)
        for index, first in enumerate(task_runs):
            for second in task_runs[index + 1 :]:
                end = float('inf') if first.ended_at is None else first.ended_at
                if second.started_at < end:
                    until = min(end, second.ended_at or end)
                    broken.append(
                        f'TWICE: {task} runs on {first.worker} and from '
                        f'{second.started_at:.3f} on {second.worker} too, '
                        + ('to the end' if until == float('inf') else f'until {until:.3f}')
                    )
                elif first.how == 'done' and first.acked_at and not first.lapsed_since:
                    broken.append(
                        f'TWICE: {task} starts on {second.worker} at {second.started_at:.3f}, '
                        f'after its run on {first.worker} ended done at {end:.3f}, '
                        f'which was noted at {first.acked_at:.3f}'
                    )
    return broken
