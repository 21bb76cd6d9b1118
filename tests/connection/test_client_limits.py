"""Decisions which client connections to refuse or to close."""

import testtools

from sardineproxy.connection import client_guard, client_limits
from sardineproxy.process import metrics

Phase = client_limits.Phase


def make_usage(max_held_bytes: int = 100) -> client_limits.Usage[str]:
    usage: client_limits.Usage[str] = client_limits.Usage(
        max_held_bytes=max_held_bytes
    )
    for conn in ('a', 'b', 'c', 'd'):
        usage.add(conn, 'clients', 0)
    return usage


class TestLimits(testtools.TestCase):
    def test_limits_of_the_machines_in_use(self) -> None:
        """Guards against limits that leave nothing for links and files."""
        for memory_mb, max_fds, connections in (
            (160, 1638, 722),
            (160, 3075, 1979),
            (552, 10_250, 8514),
            (96, 400, 150),
        ):
            limits = client_limits.derive_limits(
                memory_bytes=memory_mb * 1_000_000, max_fds=max_fds
            )
            self.assertEqual(connections, limits.connections)
            self.assertEqual(memory_mb * 250_000, limits.held_bytes)
            self.assertLessEqual(connections + limits.backlog, max_fds - 200)


class TestUsage(testtools.TestCase):
    """Guards against the close of a client that is within its limits."""

    def test_nothing_is_closed_within_the_limit(self) -> None:
        usage = make_usage()
        usage.update('a', Phase.ARRIVING, 100, 1)
        self.assertIsNone(usage.choose_excess(50))

    def test_slow_request_is_closed_first(self) -> None:
        usage = make_usage()
        usage.update('a', Phase.ACCEPTED, 60, 0)
        usage.update('b', Phase.ARRIVING, 20, 1)
        usage.update('c', Phase.ARRIVING, 20, 1.5)
        usage.update('d', Phase.ARRIVING, 20, 1.9)
        self.assertEqual('b', usage.choose_excess(2))

    def test_slow_reader_is_closed_before_a_new_request(self) -> None:
        usage = make_usage()
        usage.update('a', Phase.UNREAD, 60, 0)
        usage.update('b', Phase.ARRIVING, 60, 1.9)
        self.assertEqual('a', usage.choose_excess(2))

    def test_newest_unfinished_request_is_closed_if_none_is_slow(self) -> None:
        usage = make_usage()
        usage.update('a', Phase.ARRIVING, 60, 1.5)
        usage.update('b', Phase.ARRIVING, 30, 1.6)
        usage.update('c', Phase.ACCEPTED, 30, 1.7)
        self.assertEqual('b', usage.choose_excess(2))

    def test_accepted_requests_are_closed_last(self) -> None:
        usage = make_usage()
        usage.update('a', Phase.ACCEPTED, 80, 0)
        usage.update('b', Phase.ACCEPTED, 40, 1)
        usage.update('c', Phase.ARRIVING, 1, 1.9)
        self.assertEqual('c', usage.choose_excess(2))
        usage.remove('c')
        self.assertEqual('b', usage.choose_excess(2))
        usage.remove('b')
        self.assertIsNone(usage.choose_excess(2))

    def test_phase_since_is_kept_while_bytes_arrive(self) -> None:
        """Guards against a trickle that always counts as new."""
        usage = make_usage()
        for second in range(5):
            usage.update('a', Phase.ARRIVING, 10 * second, second)
        usage.update('b', Phase.ARRIVING, 90, 4.5)
        self.assertEqual('a', usage.choose_excess(4.6))

    def test_longest_idle_connection_makes_room(self) -> None:
        usage = make_usage()
        for conn in ('c', 'd'):
            usage.update(conn, Phase.ACCEPTED, 1, 0)
            usage.update(conn, Phase.IDLE, 0, 0)
        usage.update('b', Phase.ACCEPTED, 1, 1)
        usage.update('b', Phase.IDLE, 0, 2)
        usage.remove('a')
        self.assertIsNone(usage.choose_replaceable('clients', 15, 14))
        usage.add('a', 'clients', 14)
        usage.update('a', Phase.ARRIVING, 1, 14)
        self.assertEqual(
            ('c', Phase.IDLE), usage.choose_replaceable('clients', 15, 15)
        )
        self.assertIsNone(usage.choose_replaceable('readiness', 15, 99))

    def test_connections_without_a_whole_request_make_room(self) -> None:
        """Guards against a crowd that keeps ordinary clients out."""
        usage = make_usage()
        usage.update('a', Phase.UNREAD, 1, 0)
        usage.update('b', Phase.ARRIVING, 1, 0)
        usage.update('c', Phase.IDLE, 0, 0)
        usage.update('d', Phase.ACCEPTED, 1, 0)
        self.assertIsNone(usage.choose_replaceable('clients', 15, 0.09))
        for replaced in (('c', Phase.NEW), ('b', Phase.ARRIVING)):
            self.assertEqual(
                replaced, usage.choose_replaceable('clients', 15, 0.1)
            )
            usage.remove(replaced[0])
        self.assertIsNone(usage.choose_replaceable('clients', 15, 0.9))
        self.assertEqual(
            ('a', Phase.UNREAD), usage.choose_replaceable('clients', 15, 1)
        )

    def test_removed_connections_hold_nothing(self) -> None:
        usage = make_usage()
        usage.update('a', Phase.ARRIVING, 90, 1)
        usage.remove('a')
        usage.remove('a')
        usage.update('a', Phase.ARRIVING, 90, 1)
        self.assertEqual(0, usage.held_bytes)
        self.assertEqual(3, usage.count('clients'))


class _Connection:
    def __init__(self) -> None:
        self.causes: list[client_guard.Cause] = []

    def close_excess(self, cause: client_guard.Cause) -> None:
        self.causes.append(cause)


class TestGuard(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now: float = 0
        self.metrics = metrics.Metrics()
        self.guard = client_guard.ClientGuard(
            limits=client_limits.Limits(
                held_bytes=100, connections=2, backlog=1
            ),
            metrics=self.metrics,
            now=lambda: self.now,
        )

    def add(self) -> tuple[_Connection, bool]:
        conn = _Connection()
        return conn, self.guard.add(
            conn, listener='clients', max_connections=2, min_idle_s=15
        )

    def test_connections_are_refused_until_one_has_been_idle(self) -> None:
        """Guards against listeners that idle connections block for good."""
        first, _ = self.add()
        self.add()
        self.assertFalse(self.add()[1])
        self.now = 15
        self.assertTrue(self.add()[1])
        self.assertEqual([client_guard.Cause.IDLE], first.causes)
        self.assertEqual(
            1,
            self.metrics.counters()[
                'client_connections_closed_total'
                '{cause="connections",listener="clients"}'
            ],
        )

    def test_bytes_over_the_limit_close_connections(self) -> None:
        """Guards against memory use by many clients that each hold little."""
        first, _ = self.add()
        second, _ = self.add()
        self.guard.update(first, client_guard.Phase.ARRIVING, 60)
        self.guard.update(second, client_guard.Phase.ARRIVING, 60)
        self.assertEqual([], first.causes)
        self.assertEqual([client_guard.Cause.MEMORY], second.causes)
        self.assertIn(
            'sardineproxy_client_held_bytes 60', self.metrics.render()
        )
