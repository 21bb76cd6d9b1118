"""Slot table: what is taken, held and free."""

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
    """A slot is used once at a time and within the holding limit."""

    def setUp(self) -> None:
        """Own three slots at two endpoints."""
        super().setUp()
        self.table = slots.SlotTable()
        self.table.set_owned({E1: 2, E2: 1})

    def take(
        self, endpoint: ids.EndpointId, customer: ids.CustomerId = X
    ) -> slots.Ticket | None:
        return self.table.acquire(endpoint=endpoint, customer=customer, now=0)

    def free(self, customer: ids.CustomerId = X) -> set[str]:
        return set(self.table.free_endpoints(customer=customer, now=0))

    def test_takes_each_slot_once(self) -> None:
        tickets = [self.take(E1), self.take(E1), self.take(E1)]
        self.assertIs(None, tickets[2])
        self.assertEqual({E2}, self.free())

    def test_second_release_frees_nothing(self) -> None:
        """A ticket released twice must not free another task's slot."""
        first = self.take(E1)
        self.take(E1)
        for _ in range(2):
            self.table.release(ticket=first, now=0)
        self.assertEqual(2, self.table.free_slots)

    def test_holds_each_customer_to_its_limit(self) -> None:
        self.table.set_concurrency_limits({X: 1})
        self.assertIsNot(None, self.take(E1))
        self.assertEqual(0, len(self.free(X)))
        self.assertIs(None, self.take(E2))
        self.assertEqual(0, len(self.free(Y)))
        self.table.set_concurrency_limits({X: 1, Y: 1})
        self.assertEqual({E1, E2}, self.free(Y))

    def test_loans_count_against_the_limit(self) -> None:
        self.table.set_concurrency_limits({X: 2})
        self.take(E1)
        self.assertEqual(1, sum(self.table.lend(X, 5).values()))
        self.assertIs(None, self.take(E2))

    def test_slot_given_up_in_use_comes_back_used(self) -> None:
        """A view that takes an endpoint and returns it resets no counts."""
        ticket = self.take(E2)
        self.table.set_owned({E1: 2})
        self.table.set_owned({E1: 2, E2: 1})
        self.assertEqual({E1}, self.free())
        self.table.release(ticket=ticket, now=0)
        self.assertEqual({E1, E2}, self.free())

    def test_starts_nothing_when_ownership_may_have_passed(self) -> None:
        self.table.set_valid_until(0)
        self.assertEqual(0, len(self.free()))
        self.assertIs(None, self.take(E1))

    def test_tells_of_slots_that_come_otherwise_than_by_release(self) -> None:
        told: list[None] = []
        self.table.changed.subscribe(told.append)
        self.table.set_owned({E1: 3})
        self.table.set_concurrency_limits({X: 1})
        self.assertEqual(2, len(told))

    def test_uses_borrowed_slots_of_its_customer_only(self) -> None:
        self.table.set_owned({})
        lent = 'e3'
        self.table.borrowed.extend_lease('b', 1)
        self.table.borrowed.add(lender='b', lots=[(X, lent, 1)], now=0)
        self.assertEqual(0, len(self.free(Y)))
        self.assertEqual({lent}, self.free(X))
        ticket = self.take(lent)
        self.assertEqual(0, len(self.free(X)))
        self.table.release(ticket=ticket, now=0)
        self.assertEqual({lent}, self.free(X))


_weights = strategies.dictionaries(
    strategies.text(max_size=3), strategies.integers(0, 500), max_size=8
)


class DivisionTest(testtools.TestCase):
    """Parts of a limit add up to it exactly in every view."""

    @examples.settings()
    @hypothesis.given(total=strategies.integers(0, 10_000), weights=_weights)
    def test_divides_exactly(self, total: int, weights: dict[str, int]) -> None:
        parts = rendezvous.divide(total, weights, 'key')
        whole = sum(weights.values())
        self.assertEqual(total if whole else 0, sum(parts.values()))
        for node, part in parts.items():
            fair = total * weights[node] / whole if whole else 0
            self.assertThat(abs(part - fair), matchers.LessThan(1))

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
    def test_parts_of_all_vms_add_up_to_the_limit(
        self, limit: int, zones: list[list[int]]
    ) -> None:
        zone_slots = {
            f'z{zone}': sum(owned) for zone, owned in enumerate(zones)
        }
        parts = [
            views.LimitDivision(
                vm=f'v{vm}',
                zone=f'z{zone}',
                zone_slots=zone_slots,
                vm_slots={
                    f'v{each}': count for each, count in enumerate(owned)
                },
            ).limit_share(X, limit)
            for zone, owned in enumerate(zones)
            for vm, _ in enumerate(owned)
        ]
        self.assertEqual(limit, sum(parts))

    def test_assigns_by_size_and_moves_only_what_it_must(self) -> None:
        """A vanished VM's endpoints move; the others stay where they are."""
        sizes = {'a': 1.0, 'b': 2.0, 'c': 1.0}
        keys = [f'endpoint-{number}' for number in range(4000)]
        before = [rendezvous.winner(key, sizes) for key in keys]
        self.assertThat(abs(before.count('b') - 2000), matchers.LessThan(120))
        sizes.pop('c')
        for key, owner in zip(keys, before):
            if owner != 'c':
                self.assertEqual(owner, rendezvous.winner(key, sizes))
