"""Ways from any entry VM to the keeper of a stored job."""

import asyncio
import collections
import itertools
from typing import Callable, Iterable, Protocol

import result

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import rendezvous
from sardineproxy.process.stored_jobs import job_manager, records
from sardineproxy.request import open_tasks

_Reply = job_manager.JobReply

#: Longest wait for an owner of a job's home cell and its answer, in seconds.
#: A lost owner is replaced within a second.
REPLY_TIMEOUT_S = 2.5

#: Wait for one answer: longer than a keeper waits for the store, in seconds.
ATTEMPT_TIMEOUT_S = 1.3

#: Pause before an owner is asked again, in seconds.
RETRY_PAUSE_S = 0.05

#: Time that is kept for the way of the answer to the client, in seconds.
REPLY_MARGIN_S = 0.1

_LOG = logs.get_logger('jobs')


class ShardDirectory(Protocol):
    """What the homes need to know."""

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all cells of the deployment."""

    def leader(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to a cell's owner."""


#: Returns the question to a cell's owner for a token.
_RequestFactory = Callable[[ids.ShardId, int], messages.Message]


class JobService:
    """The keepers of this process, and questions to those of others."""

    def __init__(
        self, *, directory: ShardDirectory, clock: clock.Clock
    ) -> None:
        """Start without keepers."""
        self._directory = directory
        self._clock = clock
        self._tokens = itertools.count()
        self._pending_replies: dict[int, asyncio.Future[_Reply]] = {}
        self._links: dict[int, link.Link] = {}
        self._tasks = background.Tasks()
        self.managers: dict[ids.ShardId, job_manager.JobManager] = {}

    async def close(self) -> None:
        """Stop answering; keepers stay as they are stored."""
        await self._tasks.close()
        for manager in self.managers.values():
            await manager.close()

    def home_shard(self, job: ids.JobId) -> ids.ShardId:
        """Return the cell that keeps a job, the same at all VMs."""
        return rendezvous.rank(job, self._directory.all_shards)[0]

    def add_manager(self, manager: job_manager.JobManager) -> None:
        """Keep the jobs of a cell that this process owns now."""
        self.managers[manager.shard] = manager
        manager.start()

    def remove_manager(self, shard: ids.ShardId) -> None:
        """Leave the jobs of a cell to its next owner."""
        manager = self.managers.pop(shard, None)
        if manager is not None:
            self._tasks.spawn(manager.close())

    # Questions of this process.

    async def store(
        self, stored: records.StoredJob, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job at its home."""
        body = records.encode_job(stored)
        return await self._request_from_leader(
            stored.job.job_id,
            wait_s,
            lambda shard, token: messages.KeepJob(
                shard=shard, token=token, record=body
            ),
        )

    async def query(
        self, job: ids.JobId, wait_s: float, *, cancel: bool = False
    ) -> job_manager.JobReply:
        """Return a job's state, or cancel it."""
        return await self._request_from_leader(
            job,
            wait_s,
            lambda shard, token: messages.AskJob(
                shard=shard, token=token, job=job, cancel=cancel
            ),
        )

    def loaded_shards(self) -> list[ids.ShardId]:
        """Return the cells whose stored jobs this process knows."""
        return [
            shard
            for shard, manager in self.managers.items()
            if manager.is_loaded
        ]

    def pending(self) -> dict[ids.RouteId, int]:
        """Return how many jobs of each route have not begun here."""
        found: collections.Counter[ids.RouteId] = collections.Counter()
        for manager in self.managers.values():
            found.update(manager.pending())
        return found

    # Links.

    def handle_message(
        self, source: link.Link, message: messages.Message
    ) -> bool:
        """Act on a message; tell whether it was for a keeper or its asker."""
        match message:
            case messages.KeepJob() | messages.AskJob():
                self._tasks.spawn(self._serve(source, message))
            case messages.TellJob(token=token, answer=answer):
                waiting = self._pending_replies.get(token)
                if waiting is not None and not waiting.done():
                    waiting.set_result(_Reply(answer))
            case messages.Ended(stored=True) | messages.Declined(stored=True):
                self._deliver(source, message)
            case messages.JobBegun():
                self._deliver(source, message)
            case _:
                return False
        return True

    def link_closed(self, lost: link.Link) -> None:
        """Answer what was asked over a link that is lost."""
        for token, used in self._links.items():
            waiting = self._pending_replies[token]
            if used is lost and not waiting.done():
                waiting.set_result(_Reply.UNKNOWN)

    def broadcast(
        self, event: open_tasks.LeaderLost | open_tasks.LeaderFound
    ) -> None:
        """Tell all stored jobs of a change of a cell's owner."""
        for manager in self.managers.values():
            manager.broadcast(event)

    def _deliver(
        self,
        source: link.Link,
        message: messages.Ended | messages.Declined | messages.JobBegun,
    ) -> None:
        manager = self.managers.get(self.home_shard(message.job))
        if manager is not None:
            manager.handle_message(source, message)

    async def _request_from_leader(
        self, job: ids.JobId, wait_s: float, make_request: _RequestFactory
    ) -> job_manager.JobReply:
        """Ask the home's owner, and the next one if it is lost.

        The answer is UNKNOWN if an owner was asked and did not answer.
        """
        shard = self.home_shard(job)
        until = self._clock.now() + min(
            wait_s - REPLY_MARGIN_S, REPLY_TIMEOUT_S
        )
        worst = _Reply.UNAVAILABLE
        while True:
            answer = await self._attempt(shard, make_request)
            if answer is _Reply.REFUSED and worst is _Reply.UNKNOWN:
                # What an earlier question did is not known.
                return worst
            if answer not in {_Reply.UNAVAILABLE, _Reply.UNKNOWN}:
                return answer
            if answer is _Reply.UNKNOWN:
                worst = answer
            if self._clock.now() + RETRY_PAUSE_S >= until:
                return worst
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _attempt(
        self, shard: ids.ShardId, make_request: _RequestFactory
    ) -> job_manager.JobReply:
        source = self._directory.leader(shard)
        if source is None:
            return _Reply.UNAVAILABLE
        token = next(self._tokens)
        waiting: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[token] = waiting
        self._links[token] = source
        try:
            if not source.send(make_request(shard, token)):
                return _Reply.UNAVAILABLE
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                return await waiting
        except TimeoutError:
            return _Reply.UNKNOWN
        finally:
            self._pending_replies.pop(token)
            self._links.pop(token)

    async def _serve(
        self, source: link.Link, request: messages.KeepJob | messages.AskJob
    ) -> None:
        answer = await self._handle_request(request)
        source.send(messages.TellJob(token=request.token, answer=answer.value))

    async def _handle_request(
        self, request: messages.KeepJob | messages.AskJob
    ) -> job_manager.JobReply:
        manager = self.managers.get(request.shard)
        if manager is None:
            return _Reply.UNAVAILABLE
        match request:
            case messages.AskJob(job=job, cancel=True):
                return await manager.cancel(job)
            case messages.AskJob(job=job):
                return await manager.query(job)
        decoded = records.decode_job(request.record)
        if isinstance(decoded, result.Err):
            _LOG.error('Job not kept.', extra={'cause': decoded.err_value})
            return _Reply.REFUSED
        return await manager.accept(decoded.ok_value)
