"""Tests of the settings: validation and error messages."""

import json

import testtools
from testtools import matchers

from sardineproxy.process import settings

VALID = {
    'vm': 'entry-1',
    'zone': 'sondrio',
    'region': 'lombardia',
    'callers': {'host': '127.0.0.1', 'port': 8080},
    'admin': {'host': '127.0.0.1', 'port': 8081},
    'peers': {'host': '127.0.0.1', 'port': 8082},
    'platform': {'host': '127.0.0.1', 'port': 9000},
}


def parse_with(**changes: object) -> object:
    return settings.parse(json.dumps({**VALID, **changes}))


class SettingsTest(testtools.TestCase):
    """Guards against a start with invalid settings, and unclear errors."""

    def test_accepts_valid_settings(self) -> None:
        self.assertThat(parse_with().unwrap().vm, matchers.Equals('entry-1'))

    def test_error_is_one_sentence_with_the_location(self) -> None:
        for changes, expected in (
            ({'zon': 'x'}, "zon: unknown key, found 'x'."),
            ({'size': '2'}, 'size: Input should be a valid integer'),
            ({'size': 0}, 'size: Input should be greater than or equal to 1'),
            (
                {'platform': {'host': 'platform.local', 'port': 1}},
                'platform.host: expected an IP address, not a host name',
            ),
            ({'callers': {'host': '127.0.0.1'}}, 'callers.port: this key is'),
            (
                {'callers': {'host': '127.0.0.1', 'port': 8081}},
                'settings: callers, admin and peers must differ in port',
            ),
            (
                {'shutdown': {'notice_s': 5.0, 'limit_s': 4.0}},
                'shutdown: limit_s must exceed notice_s by at least 3 s',
            ),
            (
                {'retention': {'key_ttl_s': 900.0, 'record_ttl_s': 60.0}},
                'retention: record_ttl_s must be at least key_ttl_s',
            ),
            (
                {'peering': {'heartbeat_s': 4.0, 'silent_s': 5.0}},
                'peering: silent_s must be at least twice heartbeat_s',
            ),
        ):
            errors = parse_with(**changes).unwrap_err()
            self.assertThat(errors, matchers.HasLength(1))
            self.assertThat(errors[0], matchers.StartsWith(expected))

    def test_rejects_nan(self) -> None:
        text = json.dumps({**VALID, 'shutdown': {'notice_s': float('nan')}})
        errors = settings.parse(text).unwrap_err()
        self.assertThat(errors[0], matchers.Contains('NaN'))
