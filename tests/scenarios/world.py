"""State of a scenario: real processes, submissions and their checks."""

import asyncio
import collections
import dataclasses
import json
from typing import Any, Awaitable, Callable

import aiohttp

from sardineproxy.demo import child, deployment, parts

CREDENTIAL = 'caller-credential-1'
AUTHORIZATION_HEADER = {'Authorization': f'Bearer {CREDENTIAL}'}

#: Time limit of each wait; only a failure exceeds it, even on a loaded machine.
WAIT_TIMEOUT_S = 90
POLL_INTERVAL_S = 0.05

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
    """Reply to a caller; status 0 if the connection failed."""

    status: int
    document: dict[str, Any]


@dataclasses.dataclass(kw_only=True)
class Submission:
    """Request or job with its key and one reply for each time it was sent."""

    path: str
    body: dict[str, Any]
    tasks: tuple[str, ...]
    key: str | None
    replies: list['asyncio.Task[Reply]']


class World:
    """State that the steps of one scenario share."""

    def __init__(self) -> None:
        """Create an event loop and a deployment without processes."""
        self._runner = asyncio.Runner()
        self.deployment = deployment.Deployment(region='lombardia')
        self.submissions: dict[str, Submission] = {}
        self.endpoint_processes: dict[str, child.Child] = {}
        self.shared: dict[str, Any] = {}
        self._starts_at_killed_endpoints: collections.Counter[str] = (
            collections.Counter()
        )

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine until it completes."""
        return self._runner.run(coroutine)

    def close(self) -> None:
        """Stop all processes."""
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
        await self.wait_until(self._owns_all_slots)

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        """Wait until ``condition`` returns true."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def read_state(self, entry: str) -> dict[str, Any]:
        """Return the document of ``/state`` of an entry VM."""
        url = self.deployment.entries[entry].admin_url('/state')
        async with self.deployment.session.get(url) as response:
            return await response.json()

    async def create_key(self, entry: str) -> str:
        """Return a new idempotency key from an entry VM."""
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
        **extra: Any,
    ) -> None:
        """Send a new submission without waiting for its reply.

        The kind is ``job``, ``lookup`` (an idempotent request) or ``stamping``
        (one that is not idempotent).
        """
        tasks = tuple(f'{label}-{index}' for index in range(count))
        documents = [
            _render_task(task, run_ms=run_ms, idempotent=kind == 'lookup')
            for task in tasks
        ]
        needs_key = kind != 'lookup'
        submission = Submission(
            path='/v1/jobs' if kind == 'job' else '/v1/requests',
            body={'tasks': documents, **extra}
            if kind == 'job'
            else {**documents[0], **extra},
            tasks=tasks,
            key=await self.create_key(entry) if needs_key else None,
            replies=[],
        )
        self.submissions[label] = submission
        self.send(label, entry)

    def send(self, label: str, entry: str) -> None:
        """Send a submission, possibly not for the first time."""
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
        """Send one request as a caller and return the reply."""
        headers = dict(AUTHORIZATION_HEADER)
        if key is not None:
            headers['Idempotency-Key'] = key
        url = self.deployment.entries[entry].url(path)
        try:
            async with self.deployment.session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=WAIT_TIMEOUT_S),
            ) as reply:
                return Reply(status=reply.status, document=await reply.json())
        except (aiohttp.ClientError, TimeoutError):
            return Reply(status=0, document={})

    async def wait_for_reply(self, label: str) -> Reply:
        """Wait for the reply to the last time a submission was sent."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await asyncio.shield(self.submissions[label].replies[-1])

    async def count_starts(self) -> collections.Counter[str]:
        """Return the number of starts of each task at all endpoints."""
        start_counts = collections.Counter(self._starts_at_killed_endpoints)
        for name in self.deployment.endpoints:
            if name not in self.shared.get('killed', ()):
                _, starts = await self.deployment.read_record(name)
                start_counts.update(start['task'] for start in starts)
        return start_counts

    async def save_record(self, endpoint: str) -> None:
        """Save the record of an endpoint before it is killed."""
        _, starts = await self.deployment.read_record(endpoint)
        self._starts_at_killed_endpoints.update(
            start['task'] for start in starts
        )
        self.shared.setdefault('killed', set()).add(endpoint)

    async def count_started_tasks(self, label: str) -> int:
        """Return the number of tasks of a submission that were started."""
        start_counts = await self.count_starts()
        return sum(
            start_counts[task] > 0 for task in self.submissions[label].tasks
        )

    async def find_contradictions(self) -> list[str]:
        """Return contradictions between replies and the endpoints' records."""
        start_counts = await self.count_starts()
        # A killed endpoint may have started tasks after its record was read.
        records_complete = not self.shared.get('killed')
        contradictions = []
        for label, submission in self.submissions.items():
            if submission.key is not None:
                contradictions += _find_duplicate_starts(
                    label, submission, start_counts
                )
            for reply_task in submission.replies:
                if reply_task.done() and not reply_task.cancelled():
                    contradictions += _find_contradictions(
                        label,
                        submission,
                        reply_task.result(),
                        start_counts,
                        records_complete,
                    )
        return contradictions

    async def _start_zone(
        self, zone: str, entries: int, endpoints: int
    ) -> None:
        first_entry = len(self.deployment.entries) + 1
        first_endpoint = len(self.deployment.endpoints) + 1
        await asyncio.gather(
            *(
                self.deployment.start_entry(
                    parts.EntrySpec(name=f'entry-{number}', zone=zone)
                )
                for number in range(first_entry, first_entry + entries)
            ),
            *(
                self._start_endpoint(f'endpoint-{number}', zone)
                for number in range(first_endpoint, first_endpoint + endpoints)
            ),
        )

    async def _start_endpoint(self, name: str, zone: str) -> None:
        spec = parts.EndpointSpec(name=name, zone=zone)
        process = await self.deployment.start_endpoints([spec])
        self.endpoint_processes[name] = process

    async def _start_relays(self) -> None:
        control_ports = []
        for entry in self.deployment.entries.values():
            target = f'{parts.HOST}:{entry.process.ports["peers"]}'
            relay = await self.deployment.start_program(
                'standin-relay', f'--target={target}'
            )
            entry.process.ports['peers'] = relay.ports['relay']
            control_ports.append(relay.ports['control'])
        self.shared['relay_controls'] = control_ports

    async def _owns_all_slots(self) -> bool:
        owned: set[str] = set()
        for name in self.deployment.entries:
            state = await self.read_state(name)
            owned.update(state['slots']['owned'])
        return owned == set(self.deployment.endpoints)


def _render_task(
    label: str, *, run_ms: int, idempotent: bool
) -> dict[str, Any]:
    return {
        'method': 'GET' if idempotent else 'POST',
        'path': '/run',
        'headers': {'X-Run-Ms': str(run_ms), 'X-Task': label},
        'body_text': '' if idempotent else f'body of {label}',
        'idempotent': idempotent,
    }


def _find_duplicate_starts(
    label: str, submission: Submission, start_counts: collections.Counter[str]
) -> list[str]:
    return [
        f'{label}: {task} was started {start_counts[task]} times'
        for task in submission.tasks
        if start_counts[task] > 1
    ]


def _find_contradictions(
    label: str,
    submission: Submission,
    reply: Reply,
    start_counts: collections.Counter[str],
    records_complete: bool,
) -> list[str]:
    documents = reply.document.get('tasks')
    if not isinstance(documents, list):
        documents = [reply.document] * len(submission.tasks)
    contradictions = []
    for task, document in zip(submission.tasks, documents, strict=True):
        verdict = document.get('verdict')
        if verdict == 'not_run' and start_counts[task]:
            contradictions.append(f'{label}: {task} is not_run but was started')
        if verdict == 'ran' and records_complete and not start_counts[task]:
            contradictions.append(f'{label}: {task} ran but was never started')
        if verdict == 'ran' and _read_task_label(document) != task:
            contradictions.append(
                f'{label}: {task} got the response to another task'
            )
    return contradictions


def _read_task_label(document: dict[str, Any]) -> str | None:
    return json.loads(document['body_text'])['task']
