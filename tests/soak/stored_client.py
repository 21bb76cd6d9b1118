"""The part of a client that hands in stored jobs and asks for their states."""

import asyncio
import json
import random

import aiohttp

from tests.soak import client, fleet, trace

#: Time between two questions for a job's state, in seconds.
ASK_PAUSE_S = 0.3

#: Longest time from the end of the faults to the end of each accepted job, in
#: seconds: the platform asks for jobs as long after the end of its traffic.
FINISH_S = 14.0

#: Share of the accepted jobs that are cancelled.
CANCEL_SHARE = 0.1

FINAL_STATES = frozenset(('completed', 'failed', 'cancelled'))


class StoredClient(client.Client):
    """One client of stored jobs."""

    def __init__(
        self, *, zone: str, around: fleet.Fleet, rng: random.Random
    ) -> None:
        super().__init__(zone=zone, around=around, rng=rng)
        self._ends_at = float('inf')

    async def close(self) -> None:
        """Wait until all accepted jobs have ended, but not for ever."""
        self._ends_at = self._fleet.clock.now() + FINISH_S
        await super().close()

    def body(self, sent: trace.SentJob) -> dict[str, object]:
        """Return the body of a job."""
        document = super().body(sent)
        document.pop('burstable')
        return document

    async def carry(self, job: str) -> None:
        """Hand a job in, and follow it to its end."""
        await self._send_until_answered(job, leaves=False)
        statuses = {each.status for each in self._trace.attempts[job]}
        if 200 not in statuses:
            return
        sent = self._trace.jobs[job]
        if self._rng.random() < CANCEL_SHARE:
            sent.is_cancelled = True
            await self._ask('DELETE', job)
        while self._fleet.clock.now() < self._ends_at:
            await asyncio.sleep(ASK_PAUSE_S)
            sent.state = await self._ask('GET', job) or sent.state
            if sent.state in FINAL_STATES:
                return

    async def _ask(self, method: str, job: str) -> str:
        """Return a job's state, empty if there was no answer."""
        vm = self._fleet.pick(self._zone, self._rng)
        port = vm.ports['front']
        url = f'http://127.0.0.1:{port}{client.PREFIX}{job}'
        headers = {'Host': client.HOST, 'Deadline-Ms': '2500'}
        try:
            async with asyncio.timeout(client.WAIT_S + client.PATIENCE_S):
                async with self._session.request(
                    method, url, headers=headers
                ) as reply:
                    body = await reply.read()
        except (TimeoutError, aiohttp.ClientError):
            return ''
        if reply.status == 410:
            return 'unknown'
        return str(json.loads(body)['state']) if reply.status == 200 else ''
