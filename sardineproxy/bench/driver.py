"""Open-loop load: submissions leave at their times, whatever comes back."""

import asyncio
import dataclasses
import gc
from typing import Any, Protocol, Sequence

from sardineproxy import clock as clocks
from sardineproxy.bench import workload

#: Pause before the first arrival, in seconds.
LEAD_S = 0.2

UNANSWERED = 'unanswered'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """What became of a submission."""

    #: Tasks whose right answer was received.
    useful: int

    #: What was wrong, or None.
    fault: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """A submission, its response time and its reply.

    The response counts from the moment at which the driver sent, which does
    not depend on answers, ``late_s`` after the planned arrival. That of an
    unanswered submission is the time after which the driver gave up.
    """

    submission: workload.Submission
    response_s: float
    late_s: float
    reply: Reply

    @property
    def counts(self) -> bool:
        """Tell whether the response time is a figure: right, or too late."""
        return self.reply.fault in {None, UNANSWERED}


class Sender(Protocol):
    """Sends submissions, and checks their answers after the phase."""

    async def send(self, submission: workload.Submission) -> Any:
        """Return the answer, unchecked; raise nothing."""

    def judge(self, submission: workload.Submission, answer: Any) -> Reply:
        """Check what ``send`` returned."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Answered:
    submission: workload.Submission
    response_s: float
    late_s: float

    #: None if the driver gave up.
    answer: Any


class Driver:
    """Drives one phase of load.

    Answers are checked after the phase, and the collector of cyclic garbage
    rests during it, because both delayed arrivals by tens of milliseconds.
    """

    def __init__(self, *, clock: clocks.Clock, sender: Sender) -> None:
        """Send by ``sender``."""
        self._clock = clock
        self._sender = sender
        self._answered: list[_Answered] = []

        #: Clock reading of the phase's start.
        self.start = float(0)

    async def drive(
        self,
        submissions: Sequence[workload.Submission],
        *,
        drain_limit_s: float,
    ) -> list[Sample]:
        """Send all; wait at most ``drain_limit_s`` after the last arrival."""
        gc.collect()
        gc.disable()
        try:
            await self._offer(submissions, drain_limit_s)
        finally:
            gc.enable()
        return [self._judge(answered) for answered in self._answered]

    async def _offer(
        self,
        submissions: Sequence[workload.Submission],
        drain_limit_s: float,
    ) -> None:
        self.start = self._clock.now() + LEAD_S
        pending: set[asyncio.Task[None]] = set()
        for submission in submissions:
            await self._sleep_until(self.start + submission.arrival)  # noqa: WPS476
            task = asyncio.create_task(self._send(submission))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await self._drain(pending.copy(), drain_limit_s)

    async def _sleep_until(self, when: float) -> None:
        delay_s = when - self._clock.now()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    async def _drain(
        self, pending: set[asyncio.Task[None]], limit_s: float
    ) -> None:
        if not pending:
            return
        _, late = await asyncio.wait(pending, timeout=limit_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _send(self, submission: workload.Submission) -> None:
        sent = self._clock.now()
        answer = None
        try:
            answer = await self._sender.send(submission)
        finally:
            self._answered.append(
                _Answered(
                    submission=submission,
                    response_s=self._clock.now() - sent,
                    late_s=sent - self.start - submission.arrival,
                    answer=answer,
                )
            )

    def _judge(self, answered: _Answered) -> Sample:
        reply = Reply(useful=0, fault=UNANSWERED)
        if answered.answer is not None:
            reply = self._sender.judge(answered.submission, answered.answer)
        return Sample(
            submission=answered.submission,
            response_s=answered.response_s,
            late_s=answered.late_s,
            reply=reply,
        )
