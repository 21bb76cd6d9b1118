"""Tracks whether this process would know of a takeover of its shards."""

from typing import Callable, Container, Iterable

from sardineproxy import ids


class LeadershipContact:
    """Last contact with all processes that could take over a shard.

    These are the successors under the shard's claim, and the leaders of other
    shards, which take over the shard of a zone that seems to be lost.
    """

    def __init__(
        self,
        *,
        is_connected: Callable[[ids.VmId], bool],
        last_store_response_at: Callable[[], float],
    ) -> None:
        """Create an instance without contact."""
        self._is_connected = is_connected
        self._last_store_response_at = last_store_response_at
        self._connected_at: dict[ids.ShardId, float] = {}

    def confirmed_at(
        self,
        shard: ids.ShardId,
        *,
        successors: Iterable[ids.VmId],
        claimed_shards: Iterable[ids.ShardId],
        led_shards: Container[ids.ShardId],
        now: float,
    ) -> float:
        """Return the local time at which leadership was last confirmed.

        ``claimed_shards`` have ever had a leader, and ``led_shards`` have one
        to which a link is open. While all these processes are connected, they
        would report a takeover. Otherwise the store's responses count.
        """
        has_contact = all(map(self._is_connected, successors)) and all(
            other in led_shards for other in claimed_shards if other != shard
        )
        if has_contact:
            self._connected_at[shard] = now
        return max(
            self._connected_at.get(shard, 0), self._last_store_response_at()
        )
