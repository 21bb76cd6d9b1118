"""Routes of a configuration version, from hosts and paths to services."""

import dataclasses

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Sends jobs with this host and path prefix to this service."""

    route: ids.RouteId
    host: str
    path_prefix: str
    service: ids.ServiceId

    #: A job is on time if it takes at most ``stretch`` times the run time of
    #: its longest task, plus ``slack_s`` seconds.
    stretch: float
    slack_s: float

    #: Priority of the jobs; lower numbers are served first.
    priority: int

    #: Number of failed runs of a task at which its job fails.
    max_attempts: int

    def time_limit_s(self, expected_s: float) -> float:
        """Return the time limit of a job by its expected time, in seconds."""
        return expected_s * self.stretch + self.slack_s


class RoutingTable:
    """The routes of one version."""

    def __init__(self, *, number: int, routes: tuple[Route, ...]) -> None:
        """Index the routes by host and path prefix."""
        self.number = number
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix.setdefault(route.path_prefix, route)

        #: Lengths of the path prefixes of each host, longest first; there are
        #: far fewer lengths than routes.
        self._prefix_lengths = {
            host: sorted(set(map(len, by_prefix)), reverse=True)
            for host, by_prefix in self._by_host.items()
        }
        self._by_id = {item.route: item for item in routes}

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._by_id)

    def get(self, route: ids.RouteId) -> Route | None:
        """Return the route with this identifier."""
        return self._by_id.get(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        for length in self._prefix_lengths[host]:
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
