"""Clients of the soak: they send jobs, and send them again after failures."""

import asyncio
import json
import random

import aiohttp

from tests.soak import fleet, trace

#: Time from a failure until a job is sent again, in seconds.
RESEND_S = 1.3

#: Longest wait for an answer, in seconds, and what a client adds to it before
#: it calls the answer missing.
WAIT_S = 2.5
PATIENCE_S = 1.0

#: Most sendings of one job.
MAX_SENDINGS = 3

#: Share of the clients that leave before they have their answer.
LEAVE_SHARE = 0.05

HOST = 'jobs.example'
PREFIX = '/jobs/'

_NO_BODY = aiohttp.ClientError


class Client:
    """One client, whose open connection stays with its VM."""

    def __init__(
        self, *, zone: str, around: fleet.Fleet, rng: random.Random
    ) -> None:
        self._zone = zone
        self._fleet = around
        self._trace = around.trace
        self._rng = rng
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        )
        self._vm = around.pick(zone, rng)
        self._jobs: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._jobs)
        await self._session.close()

    def send_job(self) -> None:
        """Send a new job; its answer is awaited elsewhere."""
        job = f'{self._rng.getrandbits(64):016x}'
        tasks = self._rng.randint(1, 4)
        sent = trace.SentJob(payload=f'payload of {job}', tasks=tasks)
        sent.is_stored = 'burstable' not in self.body(sent)
        self._trace.jobs[job] = sent
        task = asyncio.create_task(self.carry(job))
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    async def carry(self, job: str) -> None:
        """Send a job until it is answered, or leave."""
        leaves = self._rng.random() < LEAVE_SHARE
        await self._send_until_answered(job, leaves=leaves)

    def body(self, sent: trace.SentJob) -> dict[str, object]:
        """Return the body of a job."""
        step = {
            'count': sent.tasks,
            'cpu': 14_000,
            'mem_mb': 64,
            'estimate_ms': 300,
        }
        return {'spec': sent.payload, 'burstable': True, 'steps': [step]}

    async def _send_until_answered(self, job: str, *, leaves: bool) -> None:
        for _ in range(MAX_SENDINGS):
            attempt = await self._send(job, leaves=leaves)
            if leaves or attempt.status in {200, 503}:
                return
            self._vm = self._fleet.pick(self._zone, self._rng, other=self._vm)
            await asyncio.sleep(RESEND_S)

    async def _send(self, job: str, *, leaves: bool) -> trace.Attempt:
        sent = self._trace.jobs[job]
        vm = self._vm
        attempt = trace.Attempt(
            job=job,
            vm=vm.name,
            sent_at=self._fleet.clock.now(),
            wait_s=0.05 if leaves else WAIT_S,
        )
        self._trace.attempts[job].append(attempt)
        limit_s = attempt.wait_s if leaves else WAIT_S + PATIENCE_S
        try:
            async with asyncio.timeout(limit_s):
                await self._exchange(attempt, sent, vm.ports['front'])
        except TimeoutError:
            attempt.cause = 'left' if leaves else 'no answer in time'
        except aiohttp.ClientError as exc:
            attempt.cause = repr(exc)
        attempt.ended_at = self._fleet.clock.now()
        return attempt

    async def _exchange(
        self, attempt: trace.Attempt, sent: trace.SentJob, port: int
    ) -> None:
        async with self._session.post(
            f'http://127.0.0.1:{port}{PREFIX}{attempt.job}',
            json=self.body(sent),
            headers={'Host': HOST, 'Deadline-Ms': str(int(WAIT_S * 1000))},
        ) as reply:
            body = await reply.read()
            attempt.status = reply.status
            if reply.status == 200:
                attempt.state = json.loads(body)['state']
