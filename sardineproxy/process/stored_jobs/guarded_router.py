"""Looks up shard leaders for a job manager whose authority is confirmed."""

from typing import Callable

from sardineproxy import ids
from sardineproxy.connection import link
from sardineproxy.process.stored_jobs import execution
from sardineproxy.version import routes


class GuardedRouter:
    """Finds no leader while the authority of a job manager is unconfirmed.

    Tasks then stay unassigned, as if their shard had no leader.
    """

    def __init__(
        self,
        *,
        router: execution.Router,
        is_confirmed: Callable[[], bool],
        on_unconfirmed: Callable[[], None],
    ) -> None:
        """Create a router that calls ``on_unconfirmed`` for each denied lookup."""
        self._router = router
        self._is_confirmed = is_confirmed
        self._on_unconfirmed = on_unconfirmed

    def default_shard(self) -> ids.ShardId | None:
        """Return the shard that this VM submits jobs to, None without one."""
        return self._router.default_shard()

    def leader_link(self, shard: ids.ShardId) -> link.Link | None:
        """Return the link to the leader of a shard, None without one."""
        if self._is_confirmed():
            return self._router.leader_link(shard)
        self._on_unconfirmed()
        return None

    def route(self, route: ids.RouteId) -> routes.Route | None:
        """Return a route of the active version, None if it was removed."""
        return self._router.route(route)
