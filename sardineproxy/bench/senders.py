"""How submissions reach the endpoints: by entry processes, or directly."""

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

#: Keys that are created by one request.
KEYS_PER_REQUEST = 200

#: Connections to one endpoint from all entry points together.
CONNECTIONS = 64

_Place = tuple[int, str]


class EntrySender:
    """Submits to entry processes; all is rendered before the phase."""

    def __init__(self, callers: dict[_Place, caller.Caller]) -> None:
        """Use the caller of each entry's index and customer."""
        self._callers = callers
        self._keys: dict[_Place, list[str]] = {}
        self._bodies: dict[str, bytes] = {}

    async def prepare(self, submissions: Sequence[workload.Submission]) -> None:
        """Render the submissions and create their keys where they are sent."""
        self._bodies = {
            submission.label: json.dumps(_render(submission)).encode()
            for submission in submissions
        }
        counts = collections.Counter(
            (submission.entry, submission.customer)
            for submission in submissions
            if submission.needs_key
        )
        await asyncio.gather(
            *(self._mint(place, count) for place, count in counts.items())
        )

    async def send(self, submission: workload.Submission) -> bytes | str:
        """Submit and return the answer's body, or what went wrong."""
        place = (submission.entry, submission.customer)
        key = self._keys[place].pop() if submission.needs_key else ''
        try:
            _, body = await self._callers[place].post(
                caller.JOBS_PATH if submission.is_job else caller.REQUESTS_PATH,
                self._bodies[submission.label],
                key=key,
            )
        except (aiohttp.ClientError, TimeoutError) as exc:
            return repr(exc)
        return body

    def judge(
        self, submission: workload.Submission, answer: bytes | str
    ) -> driver.Reply:
        """Check an answer."""
        if isinstance(answer, str):
            return driver.Reply(useful=0, fault=answer)
        return _judge(submission, caller.parse_object(answer))

    async def _mint(self, place: _Place, count: int) -> None:
        batches = await asyncio.gather(
            *(
                self._callers[place].create_keys(
                    min(KEYS_PER_REQUEST, count - first)
                )
                for first in range(0, count, KEYS_PER_REQUEST)
            )
        )
        self._keys[place] = [key for batch in batches for key in batch]


class DirectSender(abc.ABC):
    """Sends each task straight to an endpoint that a baseline chooses."""

    def __init__(self, endpoints: Sequence[parts.Endpoint]) -> None:
        """Choose among ``endpoints``."""
        self._endpoints = endpoints

    async def send(self, submission: workload.Submission) -> list[str]:
        """Run all tasks and return the bodies, or what went wrong."""
        return await asyncio.gather(
            *(self._run(submission.entry, task) for task in submission.tasks)
        )

    def judge(
        self, submission: workload.Submission, answer: list[str]
    ) -> driver.Reply:
        """Check the bodies."""
        faults = [
            task.find_body_fault(text)
            for task, text in zip(submission.tasks, answer, strict=True)
        ]
        return driver.Reply(
            useful=faults.count(None),
            fault=next((fault for fault in faults if fault), None),
        )

    @abc.abstractmethod
    async def _run(self, entry: int, task: tasks.Task) -> str:
        """Run one task and return the answer's body, or what went wrong."""

    async def _post(
        self,
        session: aiohttp.ClientSession,
        endpoint: parts.Endpoint,
        task: tasks.Task,
    ) -> str:
        url = f'http://{parts.HOST}:{endpoint.port}{task.path}'
        try:
            async with session.post(
                url, headers=task.headers, data=task.body.encode()
            ) as reply:
                return await reply.text()
        except (aiohttp.ClientError, TimeoutError) as exc:
            return repr(exc)


class RandomSender(DirectSender):
    """Each entry point chooses an endpoint at random and keeps no queue.

    The endpoint's connections are divided among the entry points, so that
    none is refused; beyond them a task waits for a connection.
    """

    def __init__(
        self, endpoints: Sequence[parts.Endpoint], *, entries: int, seed: int
    ) -> None:
        """Open one session for each entry point."""
        super().__init__(endpoints)
        self._rngs = [random.Random(seed + entry) for entry in range(entries)]
        self._sessions = [
            _open_session(CONNECTIONS // entries) for _ in range(entries)
        ]

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(session.close() for session in self._sessions))

    async def _run(self, entry: int, task: tasks.Task) -> str:
        endpoint = self._rngs[entry].choice(self._endpoints)
        return await self._post(self._sessions[entry], endpoint, task)


class RoundRobinSender(DirectSender):
    """One shared first-come queue; free slots are taken in turn."""

    def __init__(self, endpoints: Sequence[parts.Endpoint]) -> None:
        """Open one session."""
        super().__init__(endpoints)
        self._session = _open_session(CONNECTIONS)
        self._free = [endpoint.slots for endpoint in endpoints]
        self._turn = 0
        self._slots = asyncio.Semaphore(sum(self._free))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _run(self, entry: int, task: tasks.Task) -> str:
        async with self._slots:
            index = self._take()
            try:
                return await self._post(
                    self._session, self._endpoints[index], task
                )
            finally:
                self._free[index] += 1

    def _take(self) -> int:
        count = len(self._free)
        order = (self._turn + step for step in range(count))
        index = next(turn % count for turn in order if self._free[turn % count])
        self._free[index] -= 1
        self._turn = index + 1
        return index


def _open_session(connections: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=connections),
        timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
    )


def _render(submission: workload.Submission) -> tasks.Document:
    if submission.is_job:
        return tasks.render_job(submission.tasks, deadline_ms=DEADLINE_MS)
    return tasks.render_single(submission.tasks[0], deadline_ms=DEADLINE_MS)


def _judge(
    submission: workload.Submission, document: tasks.Document
) -> driver.Reply:
    answers = document.get('tasks', ()) if submission.is_job else (document,)
    faults = [
        task.find_fault(answer)
        for task, answer in zip(submission.tasks, answers)
    ]
    fault = next((one for one in faults if one), None)
    if submission.is_job:
        fault = tasks.find_job_fault(submission.tasks, document)
    return driver.Reply(useful=faults.count(None), fault=fault)
