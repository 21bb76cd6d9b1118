"""Run tasks through the dispatcher and retry what may be retried."""

import random

from sardineproxy import clock, ids
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
        """Run tasks through ``dispatcher``."""
        self._dispatcher = dispatcher
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def run_single(self, *, task: work.Task) -> work.Outcome:
        """Run a single request and return its outcome."""
        return await self._dispatcher.run(task=task)

    async def run_job_task(self, *, task: work.Task) -> work.Outcome:
        """Run a job's task at most once and return its outcome."""
        return await self._dispatcher.run(task=task)

    def cancel(self, *, request_id: ids.RequestId) -> None:
        """End the waiting tasks of a request as not run."""
        self._dispatcher.cancel(request_id=request_id)

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return the number of the customer's waiting tasks."""
        return self._dispatcher.waiting(customer=customer)
