"""Policy file of the node."""

import dataclasses
import pathlib

import result
import testtools
from testtools import matchers

from sardineproxy.process.node import policy
from tests.process.node import samples


class TestParse(testtools.TestCase):
    def test_policy_file_of_the_repository_is_valid(self) -> None:
        """Guards against a deployment that fails to start.

        An invalid policy file in the repository would cause this.
        """
        path = pathlib.Path(__file__).parents[3] / 'deploy' / 'policy.jsonc'
        self.assertIsInstance(policy.load(path), result.Ok)

    def test_settings_replace_defaults(self) -> None:
        """Guards against settings that are parsed but not applied."""
        text = '{"cell": {"recall_s": 4}, "workers": {"lease_s": 0.5}} // end'
        node_policy = policy.parse(text).ok_value
        self.assertEqual(4, node_policy.shard.recall_s)
        self.assertEqual(0.5, node_policy.shard.calls.lease_s)

    def test_errors_name_the_setting(self) -> None:
        """Guards against silently ignoring a misspelt setting."""
        for text, key_path in (
            ('{"cells": {}}', 'cells'),
            ('{"workers": {"lease": 1}}', 'workers.lease'),
            ('{"cell": {"recall_s": 0}}', 'cell.recall_s'),
            ('{"cell": {"recall_s": true}}', 'cell.recall_s'),
            ('{"cell": {"lookahead": 1}}', 'cell.lookahead'),
            ('{"cell": {"calls": 1}}', 'cell.calls'),
            ('{"cell": 3}', 'cell'),
            ('{"cell": {"distance_factor": 3}}', 'cell.distance_factor'),
        ):
            error = policy.parse(text).err_value
            self.assertThat(error, matchers.StartsWith(f'{key_path}: '))

    def test_lookahead_is_switched_on(self) -> None:
        """Guards against a switch without effect, or one that is on."""
        self.assertFalse(policy.Policy().shard.lookahead)
        node_policy = policy.parse('{"cell": {"lookahead": true}}').ok_value
        self.assertIs(True, node_policy.shard.lookahead)


class TestFit(testtools.TestCase):
    def test_poll_wait_fits_into_a_short_lease(self) -> None:
        """Guards against leases that expire between two polls.

        A platform with a shorter lease also needs a shorter poll wait.
        """
        bounds = dataclasses.replace(
            samples.make_deployment().bounds, lease_s=0.4
        )
        calls = policy.Policy().fit(bounds).shard.calls
        self.assertEqual(0.4, calls.lease_s)
        self.assertThat(2 * calls.look_wait_s, matchers.LessThan(0.4))

    def test_stop_is_not_retried_within_the_bound(self) -> None:
        """Guards against sending a stop again while the first is pending."""
        bounds = dataclasses.replace(
            samples.make_deployment().bounds, stop_timeout_s=0.5
        )
        calls = policy.Policy().fit(bounds).shard.calls
        self.assertThat(calls.stop_retry_s, matchers.GreaterThan(0.5))

    def test_default_policy_fits_the_sample_bounds(self) -> None:
        """Guards against bounds that override a valid policy."""
        bounds = samples.make_deployment().bounds
        self.assertEqual(policy.Policy(), policy.Policy().fit(bounds))
