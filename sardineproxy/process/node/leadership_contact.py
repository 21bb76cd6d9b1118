"""Tracks whether this process would know of a takeover of its shards."""

import dataclasses
from typing import Callable, Iterable, Mapping

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contact:
    """Contact of the leader of a shard, in seconds of the local clock."""

    #: When leadership was last confirmed.
    confirmed_at: float

    #: Since when every process that could take over the shard has sent a
    #: message; None if there is none, or if one is not connected.
    heard_at: float | None


class LeadershipContact:
    """Last contact with all processes that could take over a shard.

    These are the successors under the shard's claim, and the leaders of other
    shards, which take over the shard of a zone that seems to be lost.
    """

    def __init__(
        self,
        *,
        last_received_at: Callable[[ids.VmId], float | None],
        last_store_response_at: Callable[[], float],
    ) -> None:
        """Create an instance without contact.

        ``last_received_at`` returns the time of the last message from a VM,
        None if it is not connected.
        """
        self._last_received_at = last_received_at
        self._last_store_response_at = last_store_response_at
        self._connected_at: dict[ids.ShardId, float] = {}

    def check(
        self,
        shard: ids.ShardId,
        *,
        successors: Iterable[ids.VmId],
        claimed_shards: Iterable[ids.ShardId],
        leaders: Mapping[ids.ShardId, ids.VmId],
        now: float,
    ) -> Contact:
        """Return the contact of the leader of a shard.

        ``claimed_shards`` have ever had a leader; ``leaders`` are the present
        ones. While all these processes are connected, they would report a
        takeover. Otherwise the store's responses count.
        """
        rivals = [
            *successors,
            *(leaders.get(other) for other in claimed_shards if other != shard),
        ]
        heard = [
            None if vm is None else self._last_received_at(vm) for vm in rivals
        ]
        is_connected = None not in heard
        if is_connected:
            self._connected_at[shard] = now
        return Contact(
            confirmed_at=max(
                self._connected_at.get(shard, 0), self._last_store_response_at()
            ),
            heard_at=min(
                (heard_at for heard_at in heard if heard_at is not None),
                default=None,
            )
            if is_connected
            else None,
        )
