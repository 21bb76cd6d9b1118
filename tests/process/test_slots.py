"""Tests of the slot table and of the division of concurrency limits."""

import hypothesis
import testtools
from hypothesis import strategies
from testtools import matchers

from sardineproxy import ids
from sardineproxy.process import rendezvous, slots, views
from tests import examples

X = 'x'
Y = 'y'
E1 = 'e1'
E2 = 'e2'


class SlotTableTest(testtools.TestCase):
    """A slot runs one task at a time, within the concurrency limits."""

    def setUp(self) -> None:
        """Create a table that owns three slots at two endpoints."""
        super().setUp()
        self.table = slots.SlotTable()
        self.table.set_owned({E1: 2, E2: 1})

    def acquire(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId = X
    ) -> slots.Ticket | None:
        return self.table.acquire(endpoint=endpoint, customer=customer, now=0)

    def free_endpoints(self, customer: ids.CustomerId = X) -> set[str]:
        return set(self.table.free_endpoints(customer=customer, now=0))

    def test_acquires_each_slot_once(self) -> None:
        """Guards against two tasks on one slot.

        A third task is started at an endpoint with two slots.
        """
        tickets = [self.acquire(E1), self.acquire(E1), self.acquire(E1)]
        self.assertIs(None, tickets[2])
        self.assertEqual({E2}, self.free_endpoints())

    def test_second_release_frees_nothing(self) -> None:
        """Guards against a second release that frees another task's slot.

        Two tasks run at an endpoint, and the slot of one is released twice.
        """
        ticket = self.acquire(E1)
        self.acquire(E1)
        for _ in range(2):
            self.table.release(ticket=ticket, now=0)
        self.assertEqual(2, self.table.free_slots)

    def test_limits_each_customer(self) -> None:
        """Guards against exceeding a limit, and against use without a limit.

        One customer has a limit of one slot; the other is not in the limits
        until later.
        """
        self.table.set_concurrency_limits({X: 1})
        self.assertIsNot(None, self.acquire(E1))
        self.assertEqual(0, len(self.free_endpoints(X)))
        self.assertIs(None, self.acquire(E2))
        self.assertEqual(0, len(self.free_endpoints(Y)))
        self.table.set_concurrency_limits({X: 1, Y: 1})
        self.assertEqual({E1, E2}, self.free_endpoints(Y))

    def test_loans_count_against_the_limit(self) -> None:
        """Guards against exceeding a limit by lending slots.

        One of two slots of the limit is in use when five are to be lent.
        """
        self.table.set_concurrency_limits({X: 2})
        self.acquire(E1)
        self.assertEqual(1, sum(self.table.lend(X, 5).values()))
        self.assertIs(None, self.acquire(E2))

    def test_slot_stays_in_use_when_its_ownership_changes(self) -> None:
        """Guards against usage counts that are lost with the ownership.

        A view removes an endpoint with a running task, and a later view adds
        it again.
        """
        ticket = self.acquire(E2)
        self.table.set_owned({E1: 2})
        self.table.set_owned({E1: 2, E2: 1})
        self.assertEqual({E1}, self.free_endpoints())
        self.table.release(ticket=ticket, now=0)
        self.assertEqual({E1, E2}, self.free_endpoints())

    def test_starts_nothing_after_the_ownership_has_expired(self) -> None:
        """Guards against use of slots that another VM may own.

        The ownership was not extended in time.
        """
        self.table.set_valid_until(0)
        self.assertEqual(0, len(self.free_endpoints()))
        self.assertIs(None, self.acquire(E1))

    def test_change_of_slots_or_limits_is_emitted(self) -> None:
        """Guards against tasks that wait although slots became available."""
        notifications: list[None] = []
        self.table.changed.subscribe(notifications.append)
        self.table.set_owned({E1: 3})
        self.table.set_concurrency_limits({X: 1})
        self.assertEqual(2, len(notifications))

    def test_uses_borrowed_slots_of_its_customer_only(self) -> None:
        """Guards against use of slots that were lent for other customers."""
        self.table.set_owned({})
        lent_endpoint = 'e3'
        self.table.borrowed.extend_lease('b', 1)
        self.table.borrowed.add(
            lender='b', allocations=[(X, lent_endpoint, 1)], now=0
        )
        self.assertEqual(0, len(self.free_endpoints(Y)))
        self.assertEqual({lent_endpoint}, self.free_endpoints(X))
        ticket = self.acquire(lent_endpoint)
        self.assertEqual(0, len(self.free_endpoints(X)))
        self.table.release(ticket=ticket, now=0)
        self.assertEqual({lent_endpoint}, self.free_endpoints(X))


_weights = strategies.dictionaries(
    strategies.text(max_size=3), strategies.integers(0, 500), max_size=8
)


class DivisionTest(testtools.TestCase):
    """The shares of a limit add up to it exactly."""

    @examples.settings()
    @hypothesis.given(total=strategies.integers(0, 10_000), weights=_weights)
    def test_divides_exactly(self, total: int, weights: dict[str, int]) -> None:
        shares = rendezvous.divide(total, weights, 'key')
        weight_sum = sum(weights.values())
        self.assertEqual(total if weight_sum else 0, sum(shares.values()))
        for node, share in shares.items():
            fair = total * weights[node] / weight_sum if weight_sum else 0
            self.assertThat(abs(share - fair), matchers.LessThan(1))

    @examples.settings()
    @hypothesis.given(
        limit=strategies.integers(0, 1000),
        zones=strategies.lists(
            strategies.lists(
                strategies.integers(0, 99), min_size=1, max_size=4
            ).filter(any),
            min_size=1,
            max_size=4,
        ),
    )
    def test_shares_of_all_vms_add_up_to_the_limit(
        self, limit: int, zones: list[list[int]]
    ) -> None:
        zone_slots = {
            f'z{zone}': sum(owned) for zone, owned in enumerate(zones)
        }
        shares = [
            views.LimitDivision(
                vm=f'v{vm}',
                zone=f'z{zone}',
                zone_slots=zone_slots,
                vm_slots={
                    f'v{index}': count for index, count in enumerate(owned)
                },
            ).limit_share(X, limit)
            for zone, owned in enumerate(zones)
            for vm, _ in enumerate(owned)
        ]
        self.assertEqual(limit, sum(shares))

    def test_assigns_by_size_and_moves_few_keys(self) -> None:
        """Guards against needless moves of endpoints when a VM is removed.

        Only the keys of the removed VM get another owner.
        """
        sizes = {'a': 1.0, 'b': 2.0, 'c': 1.0}
        keys = [f'endpoint-{number}' for number in range(4000)]
        owners_before = [rendezvous.winner(key, sizes) for key in keys]
        self.assertThat(
            abs(owners_before.count('b') - 2000), matchers.LessThan(120)
        )
        sizes.pop('c')
        for key, owner in zip(keys, owners_before):
            if owner != 'c':
                self.assertEqual(owner, rendezvous.winner(key, sizes))
