"""Settings of the node's own policy."""

import dataclasses
import pathlib

import result
import testtools
from testtools import matchers

from sardineproxy.process.node import policy
from tests.process.node import samples


class TestParse(testtools.TestCase):
    def test_settings_of_the_repository_are_valid(self) -> None:
        """Guards against a deployment that cannot start."""
        path = pathlib.Path(__file__).parents[3] / 'deploy' / 'policy.jsonc'
        self.assertIsInstance(policy.load(path), result.Ok)

    def test_settings_replace_defaults(self) -> None:
        """Guards against settings that have no effect."""
        text = '{"cell": {"recall_s": 4}, "workers": {"lease_s": 0.5}} // end'
        rules = policy.parse(text).ok_value
        self.assertEqual(4, rules.shard.recall_s)
        self.assertEqual(0.5, rules.shard.calls.lease_s)

    def test_errors_name_the_place(self) -> None:
        """Guards against a misspelt setting that is taken for a default."""
        for text, place in (
            ('{"cells": {}}', 'cells'),
            ('{"workers": {"lease": 1}}', 'workers.lease'),
            ('{"cell": {"recall_s": 0}}', 'cell.recall_s'),
            ('{"cell": {"recall_s": true}}', 'cell.recall_s'),
            ('{"cell": {"calls": 1}}', 'cell.calls'),
            ('{"cell": 3}', 'cell'),
            ('{"cell": {"distance_factor": 3}}', 'cell.distance_factor'),
        ):
            error = policy.parse(text).err_value
            self.assertThat(error, matchers.StartsWith(f'{place}: '))


class TestFit(testtools.TestCase):
    def test_short_leases_are_extended_in_time(self) -> None:
        """Guards against runs that lapse where leases are shorter."""
        bounds = dataclasses.replace(
            samples.make_deployment().bounds, lease_s=0.4
        )
        calls = policy.Policy().fit(bounds).shard.calls
        self.assertEqual(0.4, calls.lease_s)
        self.assertThat(2 * calls.look_wait_s, matchers.LessThan(0.4))

    def test_slow_stops_are_not_repeated_early(self) -> None:
        """Guards against stops that are sent again while one is on its way."""
        bounds = dataclasses.replace(
            samples.make_deployment().bounds, stop_s=0.5
        )
        calls = policy.Policy().fit(bounds).shard.calls
        self.assertThat(calls.stop_retry_s, matchers.GreaterThan(0.5))

    def test_usual_bounds_change_nothing(self) -> None:
        """Guards against a policy file without effect."""
        bounds = samples.make_deployment().bounds
        self.assertEqual(policy.Policy(), policy.Policy().fit(bounds))
