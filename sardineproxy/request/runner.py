"""Runs tasks through the dispatcher and retries idempotent requests."""

import asyncio
import random

from sardineproxy import clock, ids
from sardineproxy.connection import endpoint
from sardineproxy.process import dispatcher, metrics
from sardineproxy.request import retries, work


class Runner:
    """Runs single requests and tasks of jobs."""

    def __init__(
        self,
        *,
        dispatcher: dispatcher.Dispatcher,
        budget: retries.RetryBudget,
        clock: clock.Clock,
        rng: random.Random,
        metrics: metrics.Metrics,
    ) -> None:
        """Create a runner that passes tasks to ``dispatcher``."""
        self._dispatcher = dispatcher
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

        #: Requests that may be retried; cancelled ones are removed.
        self._retriable: set[ids.RequestId] = set()

        #: Events that end the backoff of a cancelled request early.
        self._cancel_events: dict[ids.RequestId, asyncio.Event] = {}

    async def run_single(self, *, task: work.Task) -> work.Outcome:
        """Run a single request and return its outcome.

        An idempotent one is retried at other endpoints within its deadline
        and the retry budget.
        """
        if not task.idempotent:
            return await self._run_once(task)
        self._retriable.add(task.request_id)
        try:
            return await self._run_with_retries(task)
        finally:
            self._retriable.discard(task.request_id)

    async def run_job_task(self, *, task: work.Task) -> work.Outcome:
        """Run a job's task at most once and return its outcome."""
        return await self._run_once(task)

    def cancel(self, *, request_id: ids.RequestId) -> None:
        """Refuse the waiting tasks of a request and stop its retries."""
        self._retriable.discard(request_id)
        cancel_event = self._cancel_events.get(request_id)
        if cancel_event is not None:
            cancel_event.set()
        self._dispatcher.cancel(request_id=request_id)

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return the number of the customer's waiting tasks."""
        return self._dispatcher.waiting(customer=customer)

    async def _run_once(
        self,
        task: work.Task,
        exclude: frozenset[ids.EndpointId] = dispatcher.NOTHING_EXCLUDED,
    ) -> work.Outcome:
        outcome = await self._dispatcher.run(task=task, exclude=exclude)
        if retries.is_success(outcome):
            self._budget.record_success()
        return outcome

    async def _run_with_retries(self, task: work.Task) -> work.Outcome:
        outcome = await self._run_once(task)
        if retries.is_success(outcome):
            return outcome
        excluded = _reached_endpoints(outcome)
        attempts = 1
        while await self._wait_to_retry(task, outcome, attempts):
            self._metrics.count('retries_total')
            attempts += 1
            latest = await self._run_once(task, excluded)
            excluded |= _reached_endpoints(latest)
            outcome = _preferred_outcome(outcome, latest)
            if isinstance(latest, work.Refused):
                break
        return outcome

    async def _wait_to_retry(
        self, task: work.Task, outcome: work.Outcome, attempts: int
    ) -> bool:
        """Wait for the backoff; return whether another attempt may start."""
        if attempts >= self._budget.cfg.max_attempts:
            return False
        if task.request_id not in self._retriable:
            return False
        if not retries.is_retriable(task, outcome):
            return False
        backoff_s = self._budget.backoff_s(attempts=attempts, rng=self._rng)
        if self._clock.now() + backoff_s >= task.deadline:
            return False
        if not self._budget.try_spend():
            self._metrics.count('retries_denied_total')
            return False
        await self._back_off(task.request_id, backoff_s)
        return task.request_id in self._retriable

    async def _back_off(
        self, request_id: ids.RequestId, backoff_s: float
    ) -> None:
        """Wait for ``backoff_s``, or until the request is cancelled."""
        cancel_event = asyncio.Event()
        self._cancel_events[request_id] = cancel_event
        try:
            await asyncio.wait_for(cancel_event.wait(), backoff_s)
        except TimeoutError:
            return
        finally:
            self._cancel_events.pop(request_id)


def _reached_endpoints(outcome: work.Outcome) -> frozenset[ids.EndpointId]:
    """Return the endpoint that an attempt reached, or an empty set."""
    if isinstance(outcome, (work.Response, endpoint.ResponseLost)):
        return frozenset((outcome.endpoint,))
    return dispatcher.NOTHING_EXCLUDED


def _preferred_outcome(
    earlier: work.Outcome, latest: work.Outcome
) -> work.Outcome:
    """Return the outcome to report after two attempts.

    A refusal of the latest attempt is never reported: the earlier attempt was
    started, so "not run" would be wrong.
    """
    if isinstance(latest, work.Response):
        return latest
    if isinstance(earlier, work.Response) or isinstance(latest, work.Refused):
        return earlier
    return latest
