"""Compares the authority of job managers with the newest known tokens.

A job manager that has been replaced may send work before it learns of that.
Its token is then lower than one that a leader has seen for the same home shard.
"""

import types
from typing import Mapping

from sardineproxy import ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import fencing

#: Maximum number of home shards with a recorded token. It bounds memory if a
#: peer names shards that do not exist.
MAX_SHARDS = 1000

_LOG = logs.get_logger('cell')

#: Messages with the authority of a job manager.
ManagerMessage = (
    messages.Submit
    | messages.Withdraw
    | messages.WithdrawTasks
    | messages.ResultsStored
)


class ManagerTokens:
    """The highest fencing token that was seen for each home shard."""

    def __init__(self, *, metrics: metrics.Metrics) -> None:
        """Create an instance that has seen no token."""
        self._metrics = metrics
        self._highest: dict[ids.ShardId, fencing.FencingToken] = {}

    @property
    def highest(self) -> Mapping[ids.ShardId, fencing.FencingToken]:
        """Return the highest token of each home shard."""
        return types.MappingProxyType(self._highest)

    def observe(self, shard: ids.ShardId, token: fencing.FencingToken) -> None:
        """Record that a process leads a shard with a token."""
        known = self._highest.get(shard)
        if known is None and len(self._highest) >= MAX_SHARDS:
            return
        if known is None or token > known:
            self._highest[shard] = token

    def observe_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record the tokens of the shards that another process leads."""
        for shard, epoch, rank, *_ in heartbeat.shards:
            self.observe(shard, fencing.FencingToken(epoch=epoch, rank=rank))

    def admits(self, source: link.Link, message: ManagerMessage) -> bool:
        """Return whether no token above that of a message was seen.

        Otherwise the sender is notified. Messages without a token are admitted.
        """
        home, epoch, rank = message.authority
        if not home:
            return True
        token = fencing.FencingToken(epoch=epoch, rank=rank)
        self.observe(home, token)
        highest = self._highest.get(home, token)
        if token >= highest:
            return True
        kind = type(message).__name__
        self._metrics.count('outdated_authority_total', message=kind)
        _LOG.warning(
            'Message of a replaced job manager refused.',
            extra={
                'job': message.job,
                'cell': message.shard,
                'home': home,
                'kind': kind,
                'from': source.peer.vm,
                'epoch': epoch,
                'rank': rank,
                'newer_epoch': highest.epoch,
                'newer_rank': highest.rank,
            },
        )
        source.send(
            messages.OutdatedAuthority(
                shard=message.shard,
                job=message.job,
                authority=(home, highest.epoch, highest.rank),
            )
        )
        return False
