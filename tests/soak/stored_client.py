"""Clients that submit stored jobs and poll their states."""

import asyncio
import json
import random

import aiohttp

from tests.soak import client, fleet, trace

#: Time between two polls of a job's state, in seconds.
POLL_INTERVAL_S = 0.3

#: Longest time from the end of the faults to the completion of each accepted
#: job, in seconds. The platform polls jobs for as long after its traffic ends.
COMPLETION_TIMEOUT_S = 14.0

#: Share of the accepted jobs that are cancelled.
CANCEL_SHARE = 0.1

FINAL_STATES = frozenset(('completed', 'failed', 'cancelled'))


class StoredClient(client.Client):
    """One client of stored jobs."""

    def __init__(
        self, *, zone: str, fleet: fleet.Fleet, rng: random.Random
    ) -> None:
        super().__init__(zone=zone, fleet=fleet, rng=rng)
        self._polls_until = float('inf')

    async def close(self) -> None:
        """Wait for the completion of all accepted jobs, up to a timeout."""
        self._polls_until = self._fleet.clock.now() + COMPLETION_TIMEOUT_S
        await super().close()

    def body(self, job_record: trace.SubmittedJob) -> dict[str, object]:
        """Return the request body for a job."""
        document = super().body(job_record)
        document.pop('burstable')
        return document

    async def run_job(self, job: str) -> None:
        """Submit a job, and poll it until its final state."""
        await self._submit_until_reply(job, disconnects=False)
        statuses = {attempt.status for attempt in self._trace.attempts[job]}
        if 200 not in statuses:
            return
        job_record = self._trace.jobs[job]
        if self._rng.random() < CANCEL_SHARE:
            job_record.is_cancelled = True
            await self._query_state('DELETE', job)
        while self._fleet.clock.now() < self._polls_until:
            await asyncio.sleep(POLL_INTERVAL_S)
            job_record.state = (
                await self._query_state('GET', job) or job_record.state
            )
            if job_record.state in FINAL_STATES:
                return

    async def _query_state(self, method: str, job: str) -> str:
        """Return a job's state, empty if there was no reply."""
        vm = self._fleet.pick_vm(self._zone, self._rng)
        port = vm.ports['front']
        url = f'http://127.0.0.1:{port}{client.PREFIX}{job}'
        headers = {'Host': client.HOST, 'Deadline-Ms': '2500'}
        try:
            async with asyncio.timeout(
                client.REPLY_TIMEOUT_S + client.TIMEOUT_MARGIN_S
            ):
                async with self._session.request(
                    method, url, headers=headers
                ) as reply:
                    body = await reply.read()
        except (TimeoutError, aiohttp.ClientError):
            return ''
        if reply.status == 410:
            return 'unknown'
        return str(json.loads(body)['state']) if reply.status == 200 else ''
