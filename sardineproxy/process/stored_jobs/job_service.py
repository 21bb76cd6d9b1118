"""Requests about stored jobs, served by the leaders of their home shards."""

import asyncio
import collections
import itertools
from typing import Callable, Iterable, Protocol

import result

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import rendezvous
from sardineproxy.process.stored_jobs import authority, job_manager, records
from sardineproxy.request import open_tasks

_Reply = job_manager.JobReply

#: Maximum time in seconds in which a request to the leader of the job's home
#: shard is retried. A failed leader is replaced within a second.
REPLY_TIMEOUT_S = 2.5

#: Timeout of one attempt in seconds, longer than the job manager's timeout of
#: a write to the store.
ATTEMPT_TIMEOUT_S = 1.3

#: Delay before the next attempt, in seconds.
RETRY_DELAY_S = 0.05

#: Time reserved to return the reply to the client, in seconds.
REPLY_MARGIN_S = 0.1

_LOG = logs.get_logger('jobs')


class ShardDirectory(Protocol):
    """Looks up shards and their leaders."""

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all shards of the deployment."""

    def leader_link(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to the leader of a shard, None if unknown."""


#: Creates the request to the leader of a shard, with a request id.
_RequestFactory = Callable[[ids.ShardId, int], messages.Message]


class JobService:
    """Job managers of this process, and requests to those of all VMs."""

    def __init__(
        self, *, directory: ShardDirectory, clock: clock.Clock
    ) -> None:
        """Create a service without job managers."""
        self._directory = directory
        self._clock = clock
        self._request_ids = itertools.count()
        self._pending_replies: dict[int, asyncio.Future[_Reply]] = {}
        self._request_links: dict[int, link.Link] = {}
        self._tasks = background.Tasks()

        #: Times of the last requests that found no leader of their shard.
        self._unserved_at: dict[ids.ShardId, float] = {}
        self.managers: dict[ids.ShardId, job_manager.JobManager] = {}

    async def close(self) -> None:
        """Stop serving requests and close all job managers."""
        await self._tasks.close()
        for manager in self.managers.values():
            await manager.close()

    def home_shard(self, job: ids.JobId) -> ids.ShardId:
        """Return the shard that stores a job; all VMs compute the same."""
        return rendezvous.rank(job, self._directory.all_shards)[0]

    def add_manager(self, manager: job_manager.JobManager) -> None:
        """Start managing the jobs of a shard that this process leads.

        A former manager of the shard is replaced.
        """
        former = self.remove_manager(manager.shard)
        self.managers[manager.shard] = manager
        manager.start(former)

    def remove_manager(
        self, shard: ids.ShardId
    ) -> job_manager.JobManager | None:
        """Stop managing the jobs of a shard; return its former manager."""
        manager = self.managers.pop(shard, None)
        if manager is not None:
            manager.retire()
            self._tasks.spawn(manager.close(), unit='closing of a job manager')
        return manager

    # Requests from this process.

    async def store(
        self, stored_job: records.StoredJob, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job in its home shard; retry for up to ``wait_s`` seconds."""
        body = records.encode_job(stored_job)
        return await self._request_from_leader(
            stored_job.job.job_id,
            wait_s,
            lambda shard, request_id: messages.StoreJob(
                shard=shard, request_id=request_id, record=body
            ),
        )

    async def query(
        self, job: ids.JobId, wait_s: float, *, cancel: bool = False
    ) -> job_manager.JobReply:
        """Return the state of a job, after cancelling it if ``cancel``."""
        return await self._request_from_leader(
            job,
            wait_s,
            lambda shard, request_id: messages.QueryJob(
                shard=shard, request_id=request_id, job=job, cancel=cancel
            ),
        )

    def loaded_shards(self) -> list[ids.ShardId]:
        """Return the shards whose stored jobs are loaded here."""
        return [
            shard
            for shard, manager in self.managers.items()
            if manager.is_loaded
        ]

    def has_unserved_request(self, shard: ids.ShardId, now: float) -> bool:
        """Return whether a request recently found no leader of a shard."""
        unserved_at = self._unserved_at.get(shard)
        return unserved_at is not None and now - unserved_at < REPLY_TIMEOUT_S

    def pending(self) -> dict[ids.RouteId, int]:
        """Return the number of jobs per route that have not started."""
        counts: collections.Counter[ids.RouteId] = collections.Counter()
        for manager in self.managers.values():
            counts.update(manager.pending())
        return counts

    # Messages and links.

    def handle_message(
        self, source: link.Link, message: messages.Message
    ) -> bool:
        """Handle a message; return False if it concerns no stored job."""
        match message:
            case messages.StoreJob() | messages.QueryJob():
                self._tasks.spawn(
                    self._serve(source, message), unit='stored job request'
                )
            case messages.JobResponse(request_id=request_id, reply=reply):
                reply_fut = self._pending_replies.get(request_id)
                if reply_fut is not None and not reply_fut.done():
                    reply_fut.set_result(_Reply(reply))
            case (
                messages.RunEnded(stored=True) | messages.Declined(stored=True)
            ):
                self._deliver(source, message)
            case messages.JobStarted():
                self._deliver(source, message)
            case messages.OutdatedAuthority():
                manager = self.managers.get(message.authority[0])
                if manager is not None:
                    manager.handle_refusal(source, message)
            case _:
                return False
        return True

    def link_closed(self, closed: link.Link) -> None:
        """Resolve requests that were sent over a closed link as UNKNOWN."""
        for request_id, request_link in self._request_links.items():
            reply_fut = self._pending_replies[request_id]
            if request_link is closed and not reply_fut.done():
                reply_fut.set_result(_Reply.UNKNOWN)

    def broadcast(
        self, event: open_tasks.LeaderLost | open_tasks.LeaderFound
    ) -> None:
        """Report a change of a shard's leader to all stored jobs."""
        for manager in self.managers.values():
            manager.broadcast(event)

    def invalidate_authority(self) -> None:
        """Let all job managers ask the store before they send any more work."""
        for manager in self.managers.values():
            manager.invalidate_authority()

    def tick(
        self,
        now: float,
        check_contact: Callable[[ids.ShardId, float], authority.Contact],
    ) -> None:
        """Run the periodic work of the job managers.

        ``check_contact`` returns the contact of the leader of a shard.
        """
        for shard, manager in list(self.managers.items()):
            manager.tick(check_contact(shard, now), now)

    def _deliver(
        self,
        source: link.Link,
        message: messages.RunEnded | messages.Declined | messages.JobStarted,
    ) -> None:
        manager = self.managers.get(self.home_shard(message.job))
        if manager is not None:
            manager.handle_message(source, message)

    async def _request_from_leader(
        self, job: ids.JobId, wait_s: float, make_request: _RequestFactory
    ) -> job_manager.JobReply:
        """Send a request to the leader of the home shard, with retries.

        Each attempt goes to the current leader. The reply is UNKNOWN if a
        leader may have received the request and its response was lost.
        """
        shard = self.home_shard(job)
        retry_until = self._clock.now() + min(
            wait_s - REPLY_MARGIN_S, REPLY_TIMEOUT_S
        )
        fallback_reply = _Reply.UNAVAILABLE
        while True:
            reply = await self._request_once(shard, make_request)
            if reply is _Reply.REFUSED and fallback_reply is _Reply.UNKNOWN:
                # An earlier attempt may have stored the job.
                return fallback_reply
            if reply not in {_Reply.UNAVAILABLE, _Reply.UNKNOWN}:
                return reply
            if reply is _Reply.UNKNOWN:
                fallback_reply = reply
            if self._clock.now() + RETRY_DELAY_S >= retry_until:
                return fallback_reply
            await asyncio.sleep(RETRY_DELAY_S)

    async def _request_once(
        self, shard: ids.ShardId, make_request: _RequestFactory
    ) -> job_manager.JobReply:
        leader = self._directory.leader_link(shard)
        if leader is None:
            self._unserved_at[shard] = self._clock.now()
            return _Reply.UNAVAILABLE
        request_id = next(self._request_ids)
        reply_fut: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[request_id] = reply_fut
        self._request_links[request_id] = leader
        try:
            if not leader.send(make_request(shard, request_id)):
                return _Reply.UNAVAILABLE
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                return await reply_fut
        except TimeoutError:
            return _Reply.UNKNOWN
        finally:
            self._pending_replies.pop(request_id)
            self._request_links.pop(request_id)

    async def _serve(
        self, source: link.Link, request: messages.StoreJob | messages.QueryJob
    ) -> None:
        reply = await self._handle_request(request)
        source.send(
            messages.JobResponse(
                request_id=request.request_id, reply=reply.value
            )
        )

    async def _handle_request(
        self, request: messages.StoreJob | messages.QueryJob
    ) -> job_manager.JobReply:
        manager = self.managers.get(request.shard)
        if manager is None:
            return _Reply.UNAVAILABLE
        match request:
            case messages.QueryJob(job=job, cancel=True):
                return await manager.cancel(job)
            case messages.QueryJob(job=job):
                return await manager.query(job)
        decoded = records.decode_job(request.record)
        if isinstance(decoded, result.Err):
            _LOG.error(
                'Request to store a job refused: the job is malformed.',
                extra={'cause': decoded.err_value},
            )
            return _Reply.REFUSED
        return await manager.accept(decoded.ok_value)
