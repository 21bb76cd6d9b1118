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

_Answer = job_manager.JobReply

#: Longest wait for an owner of a job's home cell and its answer, in seconds.
#: A lost owner is replaced within a second.
ANSWER_WAIT_S = 2.5

#: Wait for one answer: longer than a keeper waits for the store, in seconds.
ONE_ANSWER_S = 1.3

#: Pause before an owner is asked again, in seconds.
RETRY_S = 0.05

#: Time that is kept for the way of the answer to the client, in seconds.
MARGIN_S = 0.1

_LOG = logs.get_logger('jobs')


class Surroundings(Protocol):
    """What the homes need to know."""

    @property
    def all_shards(self) -> Iterable[ids.ShardId]:
        """Return all cells of the deployment."""

    def leader(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to a cell's owner."""


#: Returns the question to a cell's owner for a token.
_Question = Callable[[ids.ShardId, int], messages.Message]


class JobService:
    """The keepers of this process, and questions to those of others."""

    def __init__(self, *, around: Surroundings, clock: clock.Clock) -> None:
        """Start without keepers."""
        self._around = around
        self._clock = clock
        self._tokens = itertools.count()
        self._asked: dict[int, asyncio.Future[_Answer]] = {}
        self._links: dict[int, link.Link] = {}
        self._tasks = background.Tasks()
        self.keepers: dict[ids.ShardId, job_manager.JobManager] = {}

    async def close(self) -> None:
        """Stop answering; keepers stay as they are stored."""
        await self._tasks.close()
        for each in self.keepers.values():
            await each.close()

    def home_of(self, job: ids.JobId) -> ids.ShardId:
        """Return the cell that keeps a job, the same at all VMs."""
        return rendezvous.rank(job, self._around.all_shards)[0]

    def add(self, kept: job_manager.JobManager) -> None:
        """Keep the jobs of a cell that this process owns now."""
        self.keepers[kept.shard] = kept
        kept.start()

    def drop(self, shard: ids.ShardId) -> None:
        """Leave the jobs of a cell to its next owner."""
        lost = self.keepers.pop(shard, None)
        if lost is not None:
            self._tasks.spawn(lost.close())

    # Questions of this process.

    async def keep(
        self, stored: records.StoredJob, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job at its home."""
        body = records.encode_job(stored)
        return await self._ask_home(
            stored.job.job,
            wait_s,
            lambda shard, token: messages.KeepJob(
                shard=shard, token=token, record=body
            ),
        )

    async def ask(
        self, job: ids.JobId, wait_s: float, *, cancel: bool = False
    ) -> job_manager.JobReply:
        """Return a job's state, or cancel it."""
        return await self._ask_home(
            job,
            wait_s,
            lambda shard, token: messages.AskJob(
                shard=shard, token=token, job=job, cancel=cancel
            ),
        )

    def loaded(self) -> list[ids.ShardId]:
        """Return the cells whose stored jobs this process knows."""
        return [shard for shard, each in self.keepers.items() if each.is_loaded]

    def pending(self) -> dict[ids.RouteId, int]:
        """Return how many jobs of each route have not begun here."""
        found: collections.Counter[ids.RouteId] = collections.Counter()
        for each in self.keepers.values():
            found.update(each.pending())
        return found

    # Links.

    def received(self, source: link.Link, message: messages.Message) -> bool:
        """Act on a message; tell whether it was for a keeper or its asker."""
        match message:
            case messages.KeepJob() | messages.AskJob():
                self._tasks.spawn(self._answer(source, message))
            case messages.TellJob(token=token, answer=answer):
                waiting = self._asked.get(token)
                if waiting is not None and not waiting.done():
                    waiting.set_result(_Answer(answer))
            case messages.Ended(stored=True) | messages.Declined(stored=True):
                self._tell(source, message)
            case messages.JobBegun():
                self._tell(source, message)
            case _:
                return False
        return True

    def closed(self, lost: link.Link) -> None:
        """Answer what was asked over a link that is lost."""
        for token, used in self._links.items():
            waiting = self._asked[token]
            if used is lost and not waiting.done():
                waiting.set_result(_Answer.UNKNOWN)

    def tell_all(
        self, event: open_tasks.LeaderLost | open_tasks.LeaderFound
    ) -> None:
        """Tell all stored jobs of a change of a cell's owner."""
        for each in self.keepers.values():
            each.tell_all(event)

    def _tell(
        self,
        source: link.Link,
        message: messages.Ended | messages.Declined | messages.JobBegun,
    ) -> None:
        kept = self.keepers.get(self.home_of(message.job))
        if kept is not None:
            kept.tell(source, message)

    async def _ask_home(
        self, job: ids.JobId, wait_s: float, question: _Question
    ) -> job_manager.JobReply:
        """Ask the home's owner, and the next one if it is lost.

        The answer is UNKNOWN if an owner was asked and did not answer.
        """
        shard = self.home_of(job)
        until = self._clock.now() + min(wait_s - MARGIN_S, ANSWER_WAIT_S)
        worst = _Answer.UNAVAILABLE
        while True:
            answer = await self._ask_once(shard, question)
            if answer is _Answer.REFUSED and worst is _Answer.UNKNOWN:
                # What an earlier question did is not known.
                return worst
            if answer not in {_Answer.UNAVAILABLE, _Answer.UNKNOWN}:
                return answer
            if answer is _Answer.UNKNOWN:
                worst = answer
            if self._clock.now() + RETRY_S >= until:
                return worst
            await asyncio.sleep(RETRY_S)

    async def _ask_once(
        self, shard: ids.ShardId, question: _Question
    ) -> job_manager.JobReply:
        source = self._around.leader(shard)
        if source is None:
            return _Answer.UNAVAILABLE
        token = next(self._tokens)
        waiting: asyncio.Future[_Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._asked[token] = waiting
        self._links[token] = source
        try:
            if not source.send(question(shard, token)):
                return _Answer.UNAVAILABLE
            async with asyncio.timeout(ONE_ANSWER_S):
                return await waiting
        except TimeoutError:
            return _Answer.UNKNOWN
        finally:
            self._asked.pop(token)
            self._links.pop(token)

    async def _answer(
        self, source: link.Link, asked: messages.KeepJob | messages.AskJob
    ) -> None:
        answer = await self._find_answer(asked)
        source.send(messages.TellJob(token=asked.token, answer=answer.value))

    async def _find_answer(
        self, asked: messages.KeepJob | messages.AskJob
    ) -> job_manager.JobReply:
        kept = self.keepers.get(asked.shard)
        if kept is None:
            return _Answer.UNAVAILABLE
        match asked:
            case messages.AskJob(job=job, cancel=True):
                return await kept.cancel(job)
            case messages.AskJob(job=job):
                return await kept.ask(job)
        decoded = records.decode_job(asked.record)
        if isinstance(decoded, result.Err):
            _LOG.error('Job not kept.', extra={'cause': decoded.err_value})
            return _Answer.REFUSED
        return await kept.accept(decoded.ok_value)
