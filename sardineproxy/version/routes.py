"""One configuration version: routes from requests to services."""

import dataclasses

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Jobs with this host and path prefix go to this service."""

    route: ids.RouteId
    host: str
    path_prefix: str
    service: ids.ServiceId

    #: A job is on time within ``stretch`` times its longest task and
    #: ``slack_s`` seconds more.
    stretch: float
    slack_s: float

    #: Lower numbers come first.
    priority: int

    #: Runs of a task that may fail before its job fails.
    max_attempts: int

    def time_limit_s(self, expected_s: float) -> float:
        """Return within which time a job is on time, in seconds."""
        return expected_s * self.stretch + self.slack_s


class RoutingTable:
    """The routes of one version."""

    def __init__(self, *, number: int, routes: tuple[Route, ...]) -> None:
        """Index the routes by host and prefix."""
        self.number = number
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            of_host = self._by_host.setdefault(route.host, {})
            of_host.setdefault(route.path_prefix, route)

        #: Lengths of the prefixes of each host, longest first; there are far
        #: fewer of them than routes.
        self._lengths = {
            host: sorted(set(map(len, of_host)), reverse=True)
            for host, of_host in self._by_host.items()
        }
        self._by_id = {each.route: each for each in routes}

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._by_id)

    def get(self, route: ids.RouteId) -> Route | None:
        """Return a route by its name."""
        return self._by_id.get(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        of_host = self._by_host.get(host)
        if of_host is None:
            return None
        for length in self._lengths[host]:
            found = of_host.get(path[:length])
            if found is not None:
                return found
        return None
