"""Clients of the soak test; they submit jobs and retry after failures."""

import asyncio
import json
import random

import aiohttp

from tests.soak import fleet, trace

#: Time from a failure until a job is submitted again, in seconds.
RETRY_DELAY_S = 1.3

#: Time that the proxy has for its answer, and the client's additional wait
#: before it treats the answer as missing, in seconds.
ANSWER_TIMEOUT_S = 2.5
TIMEOUT_MARGIN_S = 1.0

#: Maximum number of requests for one job.
MAX_ATTEMPTS = 3

#: Share of the jobs whose client disconnects before it has an answer.
DISCONNECT_SHARE = 0.05

HOST = 'jobs.example'
PREFIX = '/jobs/'

_NO_BODY = aiohttp.ClientError


class Client:
    """One client, which keeps its connection to one VM until a failure."""

    def __init__(
        self, *, zone: str, fleet: fleet.Fleet, rng: random.Random
    ) -> None:
        self._zone = zone
        self._fleet = fleet
        self._trace = fleet.trace
        self._rng = rng
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        )
        self._vm = fleet.pick_vm(zone, rng)
        self._jobs: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._jobs)
        await self._session.close()

    def submit_job(self) -> None:
        """Submit a new job without waiting for its answer."""
        job = f'{self._rng.getrandbits(64):016x}'
        tasks = self._rng.randint(1, 4)
        job_record = trace.SubmittedJob(
            payload=f'payload of {job}', tasks=tasks
        )
        job_record.is_stored = 'burstable' not in self.body(job_record)
        self._trace.jobs[job] = job_record
        task = asyncio.create_task(self.run_job(job))
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    async def run_job(self, job: str) -> None:
        """Submit a job until it is answered, or disconnect."""
        disconnects = self._rng.random() < DISCONNECT_SHARE
        await self._submit_until_answered(job, disconnects=disconnects)

    def body(self, job_record: trace.SubmittedJob) -> dict[str, object]:
        """Return the request body for a job."""
        step = {
            'count': job_record.tasks,
            'cpu': 14_000,
            'mem_mb': 64,
            'estimate_ms': 300,
        }
        return {'spec': job_record.payload, 'burstable': True, 'steps': [step]}

    async def _submit_until_answered(
        self, job: str, *, disconnects: bool
    ) -> None:
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._submit(job, disconnects=disconnects)
            if disconnects or attempt.status in {200, 503}:
                return
            self._vm = self._fleet.pick_vm(
                self._zone, self._rng, excluded=self._vm
            )
            await asyncio.sleep(RETRY_DELAY_S)

    async def _submit(self, job: str, *, disconnects: bool) -> trace.Attempt:
        job_record = self._trace.jobs[job]
        vm = self._vm
        attempt = trace.Attempt(
            job=job,
            vm=vm.name,
            sent_at=self._fleet.clock.now(),
            wait_s=0.05 if disconnects else ANSWER_TIMEOUT_S,
        )
        self._trace.attempts[job].append(attempt)
        limit_s = (
            attempt.wait_s
            if disconnects
            else ANSWER_TIMEOUT_S + TIMEOUT_MARGIN_S
        )
        try:
            async with asyncio.timeout(limit_s):
                await self._post_job(attempt, job_record, vm.ports['front'])
        except TimeoutError:
            attempt.cause = 'left' if disconnects else 'no answer in time'
        except aiohttp.ClientError as exc:
            attempt.cause = repr(exc)
        attempt.ended_at = self._fleet.clock.now()
        return attempt

    async def _post_job(
        self, attempt: trace.Attempt, job_record: trace.SubmittedJob, port: int
    ) -> None:
        async with self._session.post(
            f'http://127.0.0.1:{port}{PREFIX}{attempt.job}',
            json=self.body(job_record),
            headers={
                'Host': HOST,
                'Deadline-Ms': str(int(ANSWER_TIMEOUT_S * 1000)),
            },
        ) as reply:
            body = await reply.read()
            attempt.status = reply.status
            if reply.status == 200:
                attempt.state = json.loads(body)['state']
