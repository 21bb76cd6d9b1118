"""What a node reads from the store and writes to it when it starts."""

import asyncio
import random
from typing import Callable, Coroutine, Protocol

import result

from sardineproxy import clock, logs
from sardineproxy.process import metrics, store
from sardineproxy.process.membership import (
    table_follower,
    registry,
    worker_list,
)

#: Longest wait for a change of the configuration, as a part of the time in
#: which it must be in force even if one answer is lost.
CONFIG_POLL_WAIT_SHARE = 0.5

#: Longest wait for a change of members and claims, in seconds.
DIRECTORY_POLL_WAIT_S = 5.0

#: The list of workers changes with each of their beats, so that it is asked
#: for at intervals; a leaving worker must get no orders after 2 s.
LEADER_ROSTER_TIMING = table_follower.PollTiming(wait_s=0, pause_s=0.8)
SUCCESSOR_ROSTER_TIMING = table_follower.PollTiming(wait_s=0, pause_s=1.5)

#: Pace of VMs that will not own a cell soon.
FOLLOWER_ROSTER_TIMING = table_follower.PollTiming(wait_s=0, pause_s=15)

#: Shortest and longest pause before a registration is tried again, in seconds.
REGISTER_RETRY_MIN_S = 0.3
REGISTER_RETRY_MAX_S = 0.6

_LOG = logs.get_logger('node')


class RowHandler(Protocol):
    """Uses what the feeds bring."""

    def configuration_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Use changed rows of the operator's table."""

    def directory_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Use changed members and claims."""

    def roster_changed(self, rows: tuple[store.Row, ...]) -> None:
        """Use changed entries of workers."""

    def roster_timing(self) -> table_follower.PollTiming:
        """Return how often the list of workers is needed."""


class Feeds:
    """The followed tables, and this process's own row."""

    def __init__(
        self,
        *,
        configuration_table: str,
        configuration_s: float,
        roster_table: str,
        source: store.Store,
        handler: RowHandler,
        clock: clock.Clock,
        rng: random.Random,
        metrics: metrics.Metrics,
    ) -> None:
        """Prepare to follow the tables.

        A configuration must be in force within ``configuration_s``.
        """
        self._store = source
        self._clock = clock
        self._rng = rng
        tables = (
            (
                configuration_table,
                handler.configuration_changed,
                _fixed_timing(CONFIG_POLL_WAIT_SHARE * configuration_s),
            ),
            (
                registry.TABLE,
                handler.directory_changed,
                _fixed_timing(DIRECTORY_POLL_WAIT_S),
            ),
            (roster_table, handler.roster_changed, handler.roster_timing),
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
        self.directory = followers[1]
        self.roster = followers[2]

    def tasks(
        self, member: registry.Member
    ) -> list[Coroutine[None, None, None]]:
        """Return what runs for the whole life of the process."""
        return [
            self.configuration.run(),
            self.directory.run(),
            self.roster.run(),
            self._register(member),
        ]

    def is_configuration_available(self) -> bool:
        """Tell whether the store answers about the configuration."""
        return self.configuration.healthy_since is not None

    def is_worker_list_complete(self) -> bool:
        """Tell whether no worker can be missing from the list."""
        return worker_list.is_complete(self.roster, self._clock.now())

    def listed_at(self) -> float:
        """Return the local time of the list of workers, in seconds."""
        return self.roster.answered_at or 0

    def last_response_at(self) -> float:
        """Return the local time of the store's last answer, in seconds."""
        return max(
            each.answered_at or 0
            for each in (self.configuration, self.directory, self.roster)
        )

    def list_answers(self) -> bool:
        """Tell whether the store answers about the list of workers."""
        return self.roster.healthy_since is not None

    async def _register(self, member: registry.Member) -> None:
        """Write this process's member row; repeat until it is there."""
        while True:
            answer = await self._store.transact(
                conditions=(), writes=(registry.member_write(member),)
            )
            if isinstance(answer, result.Ok):
                _LOG.info('Registered.', extra={'vm': member.vm})
                return
            _LOG.warning(
                'Not registered.', extra={'cause': answer.err_value.detail}
            )
            await asyncio.sleep(
                self._rng.uniform(REGISTER_RETRY_MIN_S, REGISTER_RETRY_MAX_S)
            )


def _fixed_timing(wait_s: float) -> Callable[[], table_follower.PollTiming]:
    """Return a pace that does not change."""
    timing = table_follower.PollTiming(wait_s=wait_s, pause_s=0)
    return lambda: timing
