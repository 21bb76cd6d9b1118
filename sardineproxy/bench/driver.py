"""Open-loop load: submissions leave at their times, whatever comes back."""

import asyncio
import dataclasses
from typing import Protocol, Sequence

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

    The response counts from the planned arrival. That of an unanswered
    submission is the time after which the driver gave up.
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
    """Sends one submission and checks the answer."""

    async def send(self, submission: workload.Submission) -> Reply:
        """Return what became of the submission; raise nothing."""


class Driver:
    """Drives one phase of load."""

    def __init__(self, *, clock: clocks.Clock, sender: Sender) -> None:
        """Send by ``sender``."""
        self._clock = clock
        self._sender = sender
        self._samples: list[Sample] = []

        #: Clock reading of the phase's start.
        self.start = float(0)

    async def drive(
        self,
        submissions: Sequence[workload.Submission],
        *,
        drain_limit_s: float,
    ) -> list[Sample]:
        """Send all; wait at most ``drain_limit_s`` after the last arrival."""
        self.start = self._clock.now() + LEAD_S
        pending: set[asyncio.Task[None]] = set()
        for submission in submissions:
            await self._sleep_until(self.start + submission.arrival)  # noqa: WPS476
            task = asyncio.create_task(self._send(submission))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await self._drain(pending.copy(), drain_limit_s)
        return self._samples

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
        due = self.start + submission.arrival
        late_s = self._clock.now() - due
        reply = Reply(useful=0, fault=UNANSWERED)
        try:
            reply = await self._sender.send(submission)
        finally:
            self._samples.append(
                Sample(
                    submission=submission,
                    response_s=self._clock.now() - due,
                    late_s=late_s,
                    reply=reply,
                )
            )
