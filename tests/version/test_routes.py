"""Tests of finding a route by host and path."""

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy import ids
from sardineproxy.version import routes
from tests import examples

_PREFIXES = strategies.text(alphabet='/ab', max_size=4)


def make_route(host: str, prefix: str) -> routes.Route:
    return routes.Route(
        route=ids.RouteId(f'{host} {prefix}'),
        host=host,
        path_prefix=prefix,
        service=ids.ServiceId('s'),
        stretch=1,
        slack_s=0,
        priority=0,
        max_attempts=1,
    )


class TestFind(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from('xy'), _PREFIXES),
            unique=True,
            max_size=8,
        ),
        strategies.sampled_from('xyz'),
        strategies.text(alphabet='/ab', max_size=6),
    )
    @examples.settings(300)
    def test_longest_prefix_of_the_host_is_found(
        self, hosts_and_prefixes: list[tuple[str, str]], host: str, path: str
    ) -> None:
        """Guards against an index that differs from a linear search."""
        table = routes.RoutingTable(
            number=1,
            routes=tuple(make_route(*pair) for pair in hosts_and_prefixes),
        )
        matching = [
            prefix
            for route_host, prefix in hosts_and_prefixes
            if route_host == host and path.startswith(prefix)
        ]
        found = table.find(host, path)
        expected = max(matching, key=len, default=None)
        self.assertEqual(expected, found.path_prefix if found else None)
