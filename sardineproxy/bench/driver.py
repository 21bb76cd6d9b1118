"""Open-loop load driver: the arrival times do not depend on the replies."""

import asyncio
import dataclasses
import gc
from typing import Any, Protocol, Sequence

from sardineproxy import clock as clocks
from sardineproxy.bench import workload

#: Delay from the start of the driver to the start of the phase.
START_DELAY_S = 0.2

UNANSWERED = 'unanswered'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Checked outcome of a submission."""

    #: Number of tasks with a correct result.
    correct_tasks: int

    #: First error that was found, or None.
    error: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """A submission with its response time and outcome.

    The response time starts when the driver sends, which is ``lateness_s``
    after the planned arrival and does not depend on earlier replies. For an
    unanswered submission it ends when the driver stopped waiting.
    """

    submission: workload.Submission
    response_s: float
    lateness_s: float
    outcome: Outcome

    @property
    def is_counted(self) -> bool:
        """True if the response time is included in the figures.

        It is for correct replies and for submissions without a reply.
        """
        return self.outcome.error in {None, UNANSWERED}


class Sender(Protocol):
    """Sends submissions during a phase and checks the replies after it."""

    async def send(self, submission: workload.Submission) -> Any:
        """Return the reply, unchecked; never raises."""

    def check(self, submission: workload.Submission, reply: Any) -> Outcome:
        """Check the reply that ``send`` returned."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RawSample:
    submission: workload.Submission
    response_s: float
    lateness_s: float

    #: None if the driver stopped waiting.
    reply: Any


class Driver:
    """Offers the load of one phase.

    Replies are checked after the phase, and the cyclic garbage collector is
    off during it, because checks and collections each delayed arrivals by tens
    of milliseconds.
    """

    def __init__(self, *, clock: clocks.Clock, sender: Sender) -> None:
        """Create a driver that sends through ``sender``."""
        self._clock = clock
        self._sender = sender
        self._raw_samples: list[_RawSample] = []

        #: Start of the phase, by ``clock``.
        self.started_at = float(0)

    async def run(
        self,
        submissions: Sequence[workload.Submission],
        *,
        drain_timeout_s: float,
    ) -> list[Sample]:
        """Send all submissions at their arrival times.

        Waits at most ``drain_timeout_s`` after the last arrival.
        """
        gc.collect()
        gc.disable()
        try:
            await self._send_all(submissions, drain_timeout_s)
        finally:
            gc.enable()
        return [self._check(raw_sample) for raw_sample in self._raw_samples]

    async def _send_all(
        self,
        submissions: Sequence[workload.Submission],
        drain_timeout_s: float,
    ) -> None:
        self.started_at = self._clock.now() + START_DELAY_S
        pending: set[asyncio.Task[None]] = set()
        for submission in submissions:
            await self._sleep_until(self.started_at + submission.arrival_s)  # noqa: WPS476
            task = asyncio.create_task(self._send_one(submission))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await self._drain(pending.copy(), drain_timeout_s)

    async def _sleep_until(self, arrives_at: float) -> None:
        delay_s = arrives_at - self._clock.now()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    async def _drain(
        self, pending: set[asyncio.Task[None]], timeout_s: float
    ) -> None:
        if not pending:
            return
        _, unanswered = await asyncio.wait(pending, timeout=timeout_s)
        for task in unanswered:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _send_one(self, submission: workload.Submission) -> None:
        sent_at = self._clock.now()
        reply = None
        try:
            reply = await self._sender.send(submission)
        finally:
            self._raw_samples.append(
                _RawSample(
                    submission=submission,
                    response_s=self._clock.now() - sent_at,
                    lateness_s=sent_at - self.started_at - submission.arrival_s,
                    reply=reply,
                )
            )

    def _check(self, raw_sample: _RawSample) -> Sample:
        outcome = Outcome(correct_tasks=0, error=UNANSWERED)
        if raw_sample.reply is not None:
            outcome = self._sender.check(
                raw_sample.submission, raw_sample.reply
            )
        return Sample(
            submission=raw_sample.submission,
            response_s=raw_sample.response_s,
            lateness_s=raw_sample.lateness_s,
            outcome=outcome,
        )
