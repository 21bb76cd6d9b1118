"""A deployment of real processes, its callers, and the checker."""

import asyncio
import collections
import dataclasses
import json
from typing import Any, Awaitable, Callable

import aiohttp

from sardineproxy.demo import child, deployment, parts

CREDENTIAL = 'caller-credential-1'
AUTHORIZATION = {'Authorization': f'Bearer {CREDENTIAL}'}

#: Bound of each wait; only a failure reaches it, also on a busy machine.
WAIT_LIMIT_S = 90
POLL_S = 0.05

CONTRACT = {
    'customer': 'desk',
    'weight': 1,
    'submit_per_s': 10_000,
    'submit_burst': 10_000,
    'hold': 10_000,
    'queue': 5000,
}


@dataclasses.dataclass(kw_only=True)
class Reply:
    """What a caller received; status 0 if the connection broke."""

    status: int
    document: dict[str, Any]


@dataclasses.dataclass(kw_only=True)
class Submission:
    """One submission, its key and the exchanges that carry it."""

    path: str
    body: dict[str, Any]
    tasks: tuple[str, ...]
    key: str | None
    replies: list['asyncio.Task[Reply]']


class World:
    """Everything that one scenario starts; steps call it from outside."""

    def __init__(self) -> None:
        """Start the event loop."""
        self._runner = asyncio.Runner()
        self.deployment = deployment.Deployment(region='lombardia')
        self.submissions: dict[str, Submission] = {}
        self.endpoint_processes: dict[str, child.Child] = {}
        self.notes: dict[str, Any] = {}
        self._lost_starts: collections.Counter[str] = collections.Counter()

    def run(self, coro: Any) -> Any:
        """Run a coroutine to its end."""
        return self._runner.run(coro)

    def close(self) -> None:
        """End all processes."""
        self.run(self.deployment.__aexit__(None, None, None))
        self._runner.close()

    async def start(
        self,
        *,
        zones: dict[str, tuple[int, int]],
        relays: bool = False,
        **contract: Any,
    ) -> None:
        """Start entry VMs and endpoints, by zone, and apply a contract.

        With ``relays``, peers reach each entry VM through a relay of its own.
        """
        # Seeds name the entry VMs' own ports, which would bypass the relays.
        self.deployment.use_seeds = not relays
        await self.deployment.__aenter__()
        await self.deployment.start_platform()
        for zone, (entries, endpoints) in zones.items():
            await self._start_zone(zone, entries, endpoints)
        if relays:
            await self._start_relays()
        await self.deployment.register()
        digest = await self.deployment.hash_credential(CREDENTIAL)
        await self.deployment.apply(
            [{**CONTRACT, **contract, 'credential_sha256': [digest]}]
        )
        await self.deployment.wait_ready()
        await self.until(self._owns_all_slots)

    async def until(self, holds: Callable[[], Awaitable[bool]]) -> None:
        """Wait until ``holds`` is true."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not await holds():
                await asyncio.sleep(POLL_S)

    async def state(self, entry: str) -> dict[str, Any]:
        """Return the state dump of an entry VM."""
        url = self.deployment.entries[entry].admin_url('/state')
        async with self.deployment.session.get(url) as reply:
            return await reply.json()

    async def mint(self, entry: str) -> str:
        """Return a new key of ``entry``."""
        reply = await self.call(entry, 'POST', '/v1/keys', {'count': 1})
        return reply.document['keys'][0]

    async def submit(
        self,
        label: str,
        entry: str,
        *,
        kind: str,
        count: int = 1,
        run_ms: int,
        **more: Any,
    ) -> None:
        """Begin a submission; its reply is awaited by a later step."""
        tasks = tuple(f'{label}-{index}' for index in range(count))
        documents = [
            _task(task, run_ms=run_ms, idempotent=kind == 'lookup')
            for task in tasks
        ]
        keyed = kind != 'lookup'
        submission = Submission(
            path='/v1/jobs' if kind == 'job' else '/v1/requests',
            body={'tasks': documents, **more}
            if kind == 'job'
            else {**documents[0], **more},
            tasks=tasks,
            key=await self.mint(entry) if keyed else None,
            replies=[],
        )
        self.submissions[label] = submission
        self.send(label, entry)

    def send(self, label: str, entry: str) -> None:
        """Send a submission, again if it was sent before."""
        submission = self.submissions[label]
        submission.replies.append(
            asyncio.get_running_loop().create_task(
                self.call(
                    entry,
                    'POST',
                    submission.path,
                    submission.body,
                    key=submission.key,
                )
            )
        )

    async def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        key: str | None = None,
    ) -> Reply:
        """Exchange one caller's request."""
        headers = dict(AUTHORIZATION)
        if key is not None:
            headers['Idempotency-Key'] = key
        url = self.deployment.entries[entry].url(path)
        try:
            async with self.deployment.session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=WAIT_LIMIT_S),
            ) as reply:
                return Reply(status=reply.status, document=await reply.json())
        except (aiohttp.ClientError, TimeoutError):
            return Reply(status=0, document={})

    async def last_reply(self, label: str) -> Reply:
        """Return the newest reply to a submission."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            return await asyncio.shield(self.submissions[label].replies[-1])

    async def starts(self) -> collections.Counter[str]:
        """Return how often each task was started at any endpoint."""
        counted = collections.Counter(self._lost_starts)
        for name in self.deployment.endpoints:
            if name not in self.notes.get('killed', ()):
                _, starts = await self.deployment.read_record(name)
                counted.update(start['task'] for start in starts)
        return counted

    async def keep_record(self, endpoint: str) -> None:
        """Keep the record of an endpoint that is about to be killed."""
        _, starts = await self.deployment.read_record(endpoint)
        self._lost_starts.update(start['task'] for start in starts)
        self.notes.setdefault('killed', set()).add(endpoint)

    async def started(self, label: str) -> int:
        """Return how many tasks of a submission were started."""
        counted = await self.starts()
        return sum(counted[task] > 0 for task in self.submissions[label].tasks)

    async def check(self) -> list[str]:
        """Return what the endpoints' records contradict, none if all holds."""
        counted = await self.starts()
        # A killed endpoint may have started tasks after its record was read.
        complete = not self.notes.get('killed')
        faults = []
        for label, submission in self.submissions.items():
            if submission.key is not None:
                faults += _doubled(label, submission, counted)
            for sent in submission.replies:
                if sent.done() and not sent.cancelled():
                    faults += _contradictions(
                        label, submission, sent.result(), counted, complete
                    )
        return faults

    async def _start_zone(
        self, zone: str, entries: int, endpoints: int
    ) -> None:
        first = len(self.deployment.entries) + 1
        second = len(self.deployment.endpoints) + 1
        await asyncio.gather(
            *(
                self.deployment.start_entry(
                    parts.EntrySpec(name=f'entry-{number}', zone=zone)
                )
                for number in range(first, first + entries)
            ),
            *(
                self._start_endpoint(f'endpoint-{number}', zone)
                for number in range(second, second + endpoints)
            ),
        )

    async def _start_endpoint(self, name: str, zone: str) -> None:
        spec = parts.EndpointSpec(name=name, zone=zone)
        process = await self.deployment.start_endpoints([spec])
        self.endpoint_processes[name] = process

    async def _start_relays(self) -> None:
        controls = []
        for entry in self.deployment.entries.values():
            target = f'{parts.HOST}:{entry.process.ports["peers"]}'
            relay = await self.deployment.start_program(
                'standin-relay', f'--target={target}'
            )
            entry.process.ports['peers'] = relay.ports['relay']
            controls.append(relay.ports['control'])
        self.notes['relay_controls'] = controls

    async def _owns_all_slots(self) -> bool:
        owned: set[str] = set()
        for name in self.deployment.entries:
            state = await self.state(name)
            owned.update(state['slots']['owned'])
        return owned == set(self.deployment.endpoints)


def _task(label: str, *, run_ms: int, idempotent: bool) -> dict[str, Any]:
    return {
        'method': 'GET' if idempotent else 'POST',
        'path': '/run',
        'headers': {'X-Run-Ms': str(run_ms), 'X-Task': label},
        'body_text': '' if idempotent else f'body of {label}',
        'idempotent': idempotent,
    }


def _doubled(
    label: str, submission: Submission, counted: collections.Counter[str]
) -> list[str]:
    return [
        f'{label}: {task} started {counted[task]} times'
        for task in submission.tasks
        if counted[task] > 1
    ]


def _contradictions(
    label: str,
    submission: Submission,
    reply: Reply,
    counted: collections.Counter[str],
    complete: bool,
) -> list[str]:
    documents = reply.document.get('tasks')
    if not isinstance(documents, list):
        documents = [reply.document] * len(submission.tasks)
    faults = []
    for task, document in zip(submission.tasks, documents, strict=True):
        verdict = document.get('verdict')
        if verdict == 'not_run' and counted[task]:
            faults.append(f'{label}: {task} is not_run but started')
        if verdict == 'ran' and complete and not counted[task]:
            faults.append(f'{label}: {task} ran but never started')
        if verdict == 'ran' and _answered_task(document) != task:
            faults.append(f'{label}: {task} got the answer of another task')
    return faults


def _answered_task(document: dict[str, Any]) -> str | None:
    return json.loads(document['body_text'])['task']
