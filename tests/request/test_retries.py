"""Tests of the retry budget and the backoff."""

import random

import testtools

from sardineproxy.request import retries


class RetryBudgetTest(testtools.TestCase):
    """Tests that retries are limited to a share of the successes."""

    def test_budget_follows_successes(self) -> None:
        """Guards against retries that multiply the load during failures."""
        budget = retries.RetryBudget(cfg=retries.Config(max_tokens=2))
        spent = [budget.try_spend() for _ in range(4)]
        self.assertEqual([True, True, False, False], spent)
        for _ in range(100):
            budget.record_success()
        self.assertEqual(2, sum(budget.try_spend() for _ in range(10)))

    def test_backoff_has_jitter_and_a_maximum(self) -> None:
        """Guards against synchronized retries and unbounded delays."""
        budget = retries.RetryBudget()
        rng = random.Random(1)
        backoffs = [budget.backoff_s(attempts=1, rng=rng) for _ in range(200)]
        self.assertLess(min(backoffs), 0.005)
        self.assertGreater(max(backoffs), 0.02)
        self.assertLess(budget.backoff_s(attempts=50, rng=rng), 1.01)
