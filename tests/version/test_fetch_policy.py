"""When other VMs are asked for a version."""

import testtools

from sardineproxy.version import fetch_policy


def ask(
    tested: fetch_policy.FetchPolicy,
    at: float,
    number: int = 2,
    **changes: bool,
) -> bool:
    return tested.should_fetch(
        number,
        active_number=1,
        store_available=changes.get('store_available', True),
        now=1000 + at,
    )


class TestAsking(testtools.TestCase):
    def test_store_is_awaited_first(self) -> None:
        """Guards against a version that all VMs fetch from each other.

        In trouble-1 of cyd-ysgythru-grown a version of 430 KB came over each
        link; the links were silent for so long that all were closed.
        """
        tested = fetch_policy.FetchPolicy()
        self.assertFalse(ask(tested, 0))
        self.assertFalse(ask(tested, 0.2))
        self.assertTrue(ask(tested, 0.31))

    def test_one_vm_is_asked_at_a_time(self) -> None:
        """Guards against several large answers on one network link."""
        tested = fetch_policy.FetchPolicy()
        self.assertTrue(ask(tested, 0, store_available=False))
        self.assertFalse(ask(tested, 0.1, store_available=False))
        self.assertTrue(ask(tested, 0.8, store_available=False))

    def test_without_the_store_the_first_vm_is_asked_at_once(self) -> None:
        """Guards against a version that is late where the store is away."""
        self.assertTrue(
            ask(fetch_policy.FetchPolicy(), 0, store_available=False)
        )

    def test_version_in_force_is_not_asked_for(self) -> None:
        """Guards against answers that nobody needs."""
        self.assertFalse(
            ask(fetch_policy.FetchPolicy(), 0, 1, store_available=False)
        )

    def test_each_new_version_is_awaited_anew(self) -> None:
        """Guards against questions about versions that just came."""
        tested = fetch_policy.FetchPolicy()
        self.assertFalse(ask(tested, 0))
        later = tested.should_fetch(
            3, active_number=2, store_available=True, now=1010
        )
        self.assertFalse(later)
