"""Tables of the store that a node follows, and its registration."""

import asyncio
import math
import random
from typing import Callable, Protocol

import result

from sardineproxy import background, clock, deployment, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.load import table_age
from sardineproxy.process.membership import (
    table_follower,
    registry,
    worker_list,
)

#: Long-poll timeout for the configuration, as a fraction of the time within
#: which a new version must be active. With one half, a version is in time
#: even if one response is lost.
CONFIG_POLL_WAIT_SHARE = 0.5

#: Long-poll timeout for the same table, and largest age of its copy with which
#: a leader starts tasks, as fractions of the time within which an evacuation
#: must take effect. One or two responses may be lost without a pause.
EVACUATION_POLL_WAIT_SHARE = 0.2
EVACUATION_AGE_SHARE = 0.9

#: Long-poll timeout for members and claims, in seconds.
REGISTRY_POLL_WAIT_S = 5.0

#: Age of the list of workers in seconds from which the whole list is read. Each
#: worker changes its entry at least every 1.5 s, so that a longer list of
#: changes names each worker more than once.
WORKER_CHANGES_AGE_S = 1.5

#: Polling intervals of shard leaders and of the first candidates for a shard.
#: The list of workers changes with every worker heartbeat, so that a long poll
#: would return at once. The pause of leaders is below 2 s, after which a worker
#: that is leaving must receive no more orders. Candidates need a list in case
#: they become leader while the store is down.
LEADER_POLL_TIMING = table_follower.PollTiming(
    wait_s=0, pause_s=0.8, max_changes_age_s=WORKER_CHANGES_AGE_S
)
CANDIDATE_POLL_TIMING = table_follower.PollTiming(
    wait_s=0, pause_s=3, max_changes_age_s=WORKER_CHANGES_AGE_S
)

#: All other VMs read the list when they become leader or probe the workers of
#: a shard without a leader. With hundreds of VMs, regular reads of thousands
#: of entries would be most of the load of the store.
FOLLOWER_POLL_TIMING = table_follower.PollTiming(
    wait_s=0,
    pause_s=0,
    max_changes_age_s=WORKER_CHANGES_AGE_S,
    on_request=True,
)

#: Minimum and maximum delay before the registration is retried, in seconds.
REGISTER_RETRY_MIN_S = 0.3
REGISTER_RETRY_MAX_S = 0.6

_LOG = logs.get_logger('node')


class RowHandler(Protocol):
    """Callbacks for changed rows."""

    def configuration_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Apply changed rows of the operator's table."""

    def registry_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Apply changed members and claims."""

    def worker_rows_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Apply changed entries of workers."""

    def worker_list_timing(self) -> table_follower.PollTiming:
        """Return the polling intervals for the list of workers."""


class Feeds:
    """Followers of the store's tables, and the registration of the process."""

    def __init__(
        self,
        *,
        configuration_table: str,
        bounds: deployment.Bounds,
        worker_table: str,
        source: store.Store,
        handler: RowHandler,
        clock: clock.Clock,
        rng: random.Random,
        metrics: metrics.Metrics,
    ) -> None:
        """Create the followers.

        They read often enough to act within ``bounds``.
        """
        self._store = source
        self._clock = clock
        self._rng = rng
        self._evacuate_s = bounds.evacuate_s
        tables = (
            (
                configuration_table,
                handler.configuration_changed,
                _fixed_timing(_config_wait_s(bounds)),
            ),
            (
                registry.TABLE,
                handler.registry_changed,
                _fixed_timing(REGISTRY_POLL_WAIT_S),
            ),
            (
                worker_table,
                handler.worker_rows_changed,
                handler.worker_list_timing,
            ),
        )
        followers = [
            table_follower.TableFollower(
                table=table,
                source=source,
                timing=timing,
                clock=clock,
                rng=rng,
                metrics=metrics,
                on_rows=on_rows,
            )
            for table, on_rows, timing in tables
        ]
        self.configuration = followers[0]
        self.registry = followers[1]
        self.worker_list = followers[2]

    def start(self, member: registry.Member, tasks: background.Tasks) -> None:
        """Start the followers and the registration."""
        for follower in (self.configuration, self.registry, self.worker_list):
            tasks.spawn_restarting(follower.run, f'table {follower.table}')
        tasks.spawn_restarting(lambda: self._register(member), 'registration')

    def is_configuration_available(self) -> bool:
        """Return whether the store currently serves the configuration."""
        return self.configuration.healthy_since is not None

    def are_evacuations_current(self) -> bool:
        """Return whether the evacuated zones are known well enough.

        They must have been read once, and recently if the platform bounds the
        delay, unless the store cannot be read.
        """
        max_age_s = math.inf
        if self._evacuate_s is not None:
            max_age_s = EVACUATION_AGE_SHARE * self._evacuate_s
        return table_age.is_current(
            self.configuration.reads(self.last_response_at()),
            max_age_s,
            self._clock.now(),
        )

    def is_worker_list_complete(self) -> bool:
        """Return whether the list is certain to contain every worker."""
        return worker_list.is_complete(
            self.worker_list,
            store_healthy_since=self.store_healthy_since(),
            now=self._clock.now(),
        )

    def store_healthy_since(self) -> float | None:
        """Return since when no read of the store has failed, None if one does.

        A VM that has just begun to read the list of workers knows this from
        its reads of the configuration, of which one ends every few seconds.
        """
        since = self.worker_list.healthy_since
        if since is None or self.configuration.healthy_since is None:
            return since
        return min(since, self.configuration.healthy_since)

    def workers_listed_at(self) -> float:
        """Return the local time of the last read of the worker list."""
        return self.worker_list.last_success_at or 0

    def last_response_at(self) -> float:
        """Return the local time of the store's last response, in seconds."""
        return max(
            follower.last_success_at or 0
            for follower in (
                self.configuration,
                self.registry,
                self.worker_list,
            )
        )

    def is_worker_list_available(self) -> bool:
        """Return whether the store currently serves the list of workers."""
        return self.worker_list.healthy_since is not None

    async def _register(self, member: registry.Member) -> None:
        """Write this process's member row, with retries until it succeeds."""
        while True:
            response = await self._store.transact(
                conditions=(), writes=(registry.member_write(member),)
            )
            if isinstance(response, result.Ok):
                _LOG.info('Registered.', extra={'vm': member.vm})
                return
            _LOG.warning(
                'Registration failed; retrying.',
                extra={'cause': response.err_value.detail},
            )
            await asyncio.sleep(
                self._rng.uniform(REGISTER_RETRY_MIN_S, REGISTER_RETRY_MAX_S)
            )


def _config_wait_s(bounds: deployment.Bounds) -> float:
    """Return the long-poll timeout for the operator's table, in seconds."""
    wait_s = CONFIG_POLL_WAIT_SHARE * bounds.config_apply_s
    if bounds.evacuate_s is None:
        return wait_s
    return min(wait_s, EVACUATION_POLL_WAIT_SHARE * bounds.evacuate_s)


def _fixed_timing(wait_s: float) -> Callable[[], table_follower.PollTiming]:
    """Return a provider of constant polling intervals without pause."""
    timing = table_follower.PollTiming(wait_s=wait_s, pause_s=0)
    return lambda: timing
