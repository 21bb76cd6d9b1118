"""Tests of the policy for requesting versions from other entry VMs."""

import testtools

from sardineproxy.version import fetch_policy


def should_fetch(
    policy: fetch_policy.FetchPolicy,
    at: float,
    number: int = 2,
    **changes: bool,
) -> bool:
    return policy.should_fetch(
        number,
        active_number=1,
        store_available=changes.get('store_available', True),
        now=1000 + at,
    )


class TestShouldFetch(testtools.TestCase):
    def test_waits_for_the_store_first(self) -> None:
        """Guards against a large version sent on all links at once.

        Each VM requested a version of 430 KB from every peer. The transfers
        held up other messages until all links were closed as silent.
        """
        policy = fetch_policy.FetchPolicy()
        self.assertFalse(should_fetch(policy, 0))
        self.assertFalse(should_fetch(policy, 0.2))
        self.assertTrue(should_fetch(policy, 0.31))

    def test_requests_from_one_vm_at_a_time(self) -> None:
        """Guards against several large responses on one network link."""
        policy = fetch_policy.FetchPolicy()
        self.assertTrue(should_fetch(policy, 0, store_available=False))
        self.assertFalse(should_fetch(policy, 0.1, store_available=False))
        self.assertTrue(should_fetch(policy, 0.8, store_available=False))

    def test_requests_at_once_if_the_store_is_unavailable(self) -> None:
        """Guards against a needless delay while the store is unavailable."""
        self.assertTrue(
            should_fetch(fetch_policy.FetchPolicy(), 0, store_available=False)
        )

    def test_does_not_request_the_active_version(self) -> None:
        """Guards against responses that are not needed."""
        self.assertFalse(
            should_fetch(
                fetch_policy.FetchPolicy(), 0, 1, store_available=False
            )
        )

    def test_waits_for_the_store_again_for_each_version(self) -> None:
        """Guards against requests for versions that were just announced."""
        policy = fetch_policy.FetchPolicy()
        self.assertFalse(should_fetch(policy, 0))
        is_next_allowed = policy.should_fetch(
            3, active_number=2, store_available=True, now=1010
        )
        self.assertFalse(is_next_allowed)
