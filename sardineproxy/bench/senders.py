"""Senders of submissions: through entry processes, or to the endpoints."""

import abc
import asyncio
import collections
import json
import random
from typing import Sequence

import aiohttp

from sardineproxy.bench import driver, workload
from sardineproxy.demo import caller, parts, tasks

DEADLINE_MS = 60_000

#: Idempotency keys that one request creates.
KEYS_PER_BATCH = 200

#: Limit of the connections of all entry VMs to one endpoint.
CONNECTIONS_PER_ENDPOINT = 64

#: Index of the entry VM and customer.
_Route = tuple[int, str]


class EntrySender:
    """Submits to entry processes; renders all bodies before the phase."""

    def __init__(self, callers: dict[_Route, caller.Caller]) -> None:
        """Submit through ``callers``."""
        self._callers = callers
        self._keys: dict[_Route, list[str]] = {}
        self._bodies: dict[str, bytes] = {}

    async def prepare(self, submissions: Sequence[workload.Submission]) -> None:
        """Render the bodies and create the keys at the entry VMs that need them."""
        self._bodies = {
            submission.label: json.dumps(_render(submission)).encode()
            for submission in submissions
        }
        key_counts = collections.Counter(
            (submission.entry_index, submission.customer)
            for submission in submissions
            if submission.needs_key
        )
        await asyncio.gather(
            *(
                self._create_keys(route, count)
                for route, count in key_counts.items()
            )
        )

    async def send(self, submission: workload.Submission) -> bytes | str:
        """Submit and return the body of the reply, or an error as text."""
        route = (submission.entry_index, submission.customer)
        key = self._keys[route].pop() if submission.needs_key else ''
        try:
            _, body = await self._callers[route].post(
                caller.JOBS_PATH if submission.is_job else caller.REQUESTS_PATH,
                self._bodies[submission.label],
                key=key,
            )
        except (aiohttp.ClientError, TimeoutError) as exc:
            return repr(exc)
        return body

    def check(
        self, submission: workload.Submission, reply: bytes | str
    ) -> driver.Outcome:
        """Check the results of all tasks."""
        if isinstance(reply, str):
            return driver.Outcome(correct_tasks=0, error=reply)
        return _check_reply(submission, caller.parse_object(reply))

    async def _create_keys(self, route: _Route, count: int) -> None:
        batches = await asyncio.gather(
            *(
                self._callers[route].create_keys(
                    min(KEYS_PER_BATCH, count - first)
                )
                for first in range(0, count, KEYS_PER_BATCH)
            )
        )
        self._keys[route] = [key for batch in batches for key in batch]


class DirectSender(abc.ABC):
    """Sends each task directly to an endpoint that the subclass chooses."""

    def __init__(self, endpoints: Sequence[parts.Endpoint]) -> None:
        """Send to ``endpoints``."""
        self._endpoints = endpoints

    async def send(self, submission: workload.Submission) -> list[str]:
        """Run all tasks and return for each the response body or error text."""
        return await asyncio.gather(
            *(
                self._run_task(submission.entry_index, task)
                for task in submission.tasks
            )
        )

    def check(
        self, submission: workload.Submission, reply: list[str]
    ) -> driver.Outcome:
        """Check the response bodies of all tasks."""
        errors = [
            task.find_body_error(body)
            for task, body in zip(submission.tasks, reply, strict=True)
        ]
        return driver.Outcome(
            correct_tasks=errors.count(None),
            error=next((text for text in errors if text), None),
        )

    @abc.abstractmethod
    async def _run_task(self, entry_index: int, task: tasks.Task) -> str:
        """Run one task and return the response body or an error as text."""

    async def _send_task(
        self,
        session: aiohttp.ClientSession,
        endpoint: parts.Endpoint,
        task: tasks.Task,
    ) -> str:
        url = f'http://{parts.HOST}:{endpoint.port}{task.path}'
        try:
            async with session.post(
                url, headers=task.headers, data=task.body.encode()
            ) as response:
                return await response.text()
        except (aiohttp.ClientError, TimeoutError) as exc:
            return repr(exc)


class RandomSender(DirectSender):
    """Each entry VM chooses an endpoint at random and has no queue.

    The connections to an endpoint are divided among the entry VMs, so that
    none is refused; a task waits while all of them are in use.
    """

    def __init__(
        self, endpoints: Sequence[parts.Endpoint], *, entry_vms: int, seed: int
    ) -> None:
        """Create one session for each entry VM."""
        super().__init__(endpoints)
        self._rngs = [
            random.Random(seed + entry_index)
            for entry_index in range(entry_vms)
        ]
        self._sessions = [
            _create_session(CONNECTIONS_PER_ENDPOINT // entry_vms)
            for _ in range(entry_vms)
        ]

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(session.close() for session in self._sessions))

    async def _run_task(self, entry_index: int, task: tasks.Task) -> str:
        endpoint = self._rngs[entry_index].choice(self._endpoints)
        return await self._send_task(
            self._sessions[entry_index], endpoint, task
        )


class RoundRobinSender(DirectSender):
    """One shared FIFO queue; free slots are assigned round-robin."""

    def __init__(self, endpoints: Sequence[parts.Endpoint]) -> None:
        """Create the session that all entry VMs share."""
        super().__init__(endpoints)
        self._session = _create_session(CONNECTIONS_PER_ENDPOINT)
        self._free_slots = [endpoint.slots for endpoint in endpoints]
        self._next_index = 0
        self._slot_semaphore = asyncio.Semaphore(sum(self._free_slots))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _run_task(self, entry_index: int, task: tasks.Task) -> str:
        async with self._slot_semaphore:
            index = self._acquire_slot()
            try:
                return await self._send_task(
                    self._session, self._endpoints[index], task
                )
            finally:
                self._free_slots[index] += 1

    def _acquire_slot(self) -> int:
        count = len(self._free_slots)
        candidates = (self._next_index + offset for offset in range(count))
        index = next(
            candidate % count
            for candidate in candidates
            if self._free_slots[candidate % count]
        )
        self._free_slots[index] -= 1
        self._next_index = index + 1
        return index


def _create_session(connections: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=connections),
        timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
    )


def _render(submission: workload.Submission) -> tasks.Document:
    if submission.is_job:
        return tasks.render_job(submission.tasks, deadline_ms=DEADLINE_MS)
    return tasks.render_single(submission.tasks[0], deadline_ms=DEADLINE_MS)


def _check_reply(
    submission: workload.Submission, document: tasks.Document
) -> driver.Outcome:
    task_results = (
        document.get('tasks', ()) if submission.is_job else (document,)
    )
    errors = [
        task.find_error(task_result)
        for task, task_result in zip(submission.tasks, task_results)
    ]
    error = next((text for text in errors if text), None)
    if submission.is_job:
        error = tasks.find_job_error(submission.tasks, document)
    return driver.Outcome(correct_tasks=errors.count(None), error=error)
