"""Agents of the workers that a shard uses, listed or not."""

import math
from typing import Callable, Iterable

from sardineproxy import clock, ids
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    agent,
    fencing,
    listing,
    times,
    workers,
)


class AgentSet:
    """Adds agents for workers, and removes those that are not needed."""

    def __init__(
        self,
        *,
        token: fencing.FencingToken,
        api: workers.WorkerApi,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        events: agent.Events,
        cfg: times.CallTiming,
    ) -> None:
        """Create a set without agents."""
        self.by_worker: dict[ids.WorkerId, agent.Agent] = {}
        self._token = token
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._cfg = cfg
        self._unlisted: set[ids.WorkerId] = set()

        #: Local time, in seconds, until which leases of a former leader's runs
        #: may last before they are adopted.
        self.former_runs_until = math.inf

        #: Fence counts of removed workers. A worker that is listed again
        #: refuses lower fences than it has already seen.
        self._former_fence_counts: dict[ids.WorkerId, int] = {}

    async def close(self) -> None:
        """Stop all calls to workers; their runs continue."""
        for worker_agent in self.by_worker.values():
            await worker_agent.close()

    def set_listed(self, listed: Iterable[workers.Worker]) -> None:
        """Apply the newest list of the shard's workers."""
        by_id = {worker.worker: worker for worker in listed}
        for worker_id, worker in by_id.items():
            existing = self.by_worker.get(worker_id)
            if existing is None:
                self._add(worker, listing.Listing.LISTED)
            elif existing.worker == worker:
                existing.apply_listing(listing.Event.ENTRY_UNCHANGED)
            else:
                existing.update(worker)
        self._unlisted.difference_update(by_id)
        for worker_id, worker_agent in self.by_worker.items():
            if worker_id not in by_id:
                worker_agent.apply_listing(listing.Event.ENTRY_MISSING)
                self._unlisted.add(worker_id)

    def add_unlisted(self, former: Iterable[workers.Worker]) -> None:
        """Add workers without a valid entry, on which runs may exist."""
        for worker in former:
            if worker.worker not in self.by_worker:
                self._add(worker, listing.Listing.UNLISTED)
                self._unlisted.add(worker.worker)

    def remove_unused(
        self, may_have_runs: Callable[[agent.Agent], bool], now: float
    ) -> list[ids.WorkerId]:
        """Remove unlisted workers on which nothing can run; return them.

        ``may_have_runs`` tells whether runs may exist that an agent does not
        know of.
        """
        removed = [
            worker_id
            for worker_id in self._unlisted
            if self.by_worker[worker_id].is_removable(now)
            and not may_have_runs(self.by_worker[worker_id])
        ]
        for worker_id in removed:
            self._unlisted.discard(worker_id)
            worker_agent = self.by_worker.pop(worker_id)
            self._former_fence_counts[worker_id] = worker_agent.fence_count
            worker_agent.abandon()
        return removed

    def renew_token(self, token: fencing.FencingToken) -> None:
        """Use a higher fencing token of the same leader from now on."""
        self._token = token
        self._former_fence_counts.clear()
        for worker_agent in self.by_worker.values():
            worker_agent.renew_token(token)

    def mark_all_unconfirmed(self, cause: str) -> None:
        """Start no runs on any worker until it has sent a new report."""
        for worker_agent in self.by_worker.values():
            worker_agent.mark_unconfirmed(cause)

    def set_leadership_confirmed(self, is_confirmed: bool) -> None:
        """Set whether no other process can lead the shard."""
        for worker_agent in self.by_worker.values():
            worker_agent.is_leadership_confirmed = is_confirmed

    def _add(self, worker: workers.Worker, state: listing.Listing) -> None:
        worker_agent = agent.Agent(
            worker=worker,
            token=self._token,
            api=self._api,
            clock=self._clock,
            metrics=self._metrics,
            events=self._events,
            cfg=self._cfg,
            listing=state,
            fence_count=self._former_fence_counts.pop(worker.worker, -1) + 1,
        )
        worker_agent.former_runs_until = self.former_runs_until
        self.by_worker[worker.worker] = worker_agent
        worker_agent.open()
