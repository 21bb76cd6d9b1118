"""Odd documents from outside: deep nesting, large numbers, invalid text.

Other programs may write entries next to those of the workers, and clients
send what they like. Each case once raised an exception, or was accepted and
then broke the calls or links that used it.
"""

import json
from typing import Any

import result
import testtools

from sardineproxy.platform import (
    configuration,
    http_calls,
    settings,
    store_http,
    submissions,
    worker_entries,
)
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.process.stored_jobs import records
from tests.platform import samples

JOB_ID = '5c0e7a21d94b36f8'

#: More levels than the interpreter's recursion limit permits.
DEEP = b'[' * 20_000 + b']' * 20_000

#: More digits than the interpreter converts to an integer.
MANY_DIGITS = '9' * 5000

LONE_SURROGATE = '\ud800'


def decode_entry(body: bytes) -> Any:
    return worker_entries.decode(
        store.Row(key='servers/i-1', revision=1, body=body)
    )


def entry(**changes: Any) -> bytes:
    return json.dumps(samples.worker_entry(**changes)).encode()


def decode_job(**changes: Any) -> Any:
    body = json.dumps(samples.job(**changes)).encode()
    return submissions.decode_job(JOB_ID, body)


def decode_step(**fields: Any) -> Any:
    return decode_job(steps=[{'count': 1, **fields}])


class TestWorkerEntries(testtools.TestCase):
    def assert_rejected(self, body: bytes) -> None:
        decoded = decode_entry(body)
        self.assertIsInstance(decoded, result.Err, body[:80])

    def test_deep_nesting_is_an_error(self) -> None:
        """Guards against a recursion error that ends every reader."""
        self.assert_rejected(DEEP)
        self.assert_rejected(entry()[:-1] + b',"other":' + DEEP + b'}')

    def test_numbers_out_of_range_are_errors(self) -> None:
        """Guards against capacities that no message between VMs can carry."""
        for capacity in (10**400, 10**25, -1, 1e30, True):
            self.assert_rejected(entry(capacity={'cpu': capacity, 'mem_mb': 1}))
            self.assert_rejected(entry(capacity={'cpu': 1, 'mem_mb': capacity}))
        self.assert_rejected(entry(born=10**400))
        self.assert_rejected(entry(born=10**18))

    def test_address_must_be_connectable(self) -> None:
        """Guards against exceptions in the client that calls the worker."""
        for address in (
            f'127.0.0.1:{MANY_DIGITS}',
            '127.0.0.1:65536',
            '127.0.0.1:0',
            '127.0.0.1:\u0668\u0660',
            'a\0b:80',
            'a/b:80',
            'user@127.0.0.1:80',
            '0.0.0.0:80',
            ':80',
        ):
            self.assert_rejected(entry(address=address))

    def test_text_must_be_encodable_and_short(self) -> None:
        """Guards against text that no link or log can carry."""
        self.assert_rejected(entry(zone=LONE_SURROGATE))
        self.assert_rejected(entry(labels=['a', LONE_SURROGATE]))
        self.assert_rejected(entry(service='s' * 300))
        self.assert_rejected(entry(labels=['a'] * 5000))

    def test_error_names_the_field_and_the_accepted_range(self) -> None:
        """Guards against a log line that does not say what is wrong."""
        error = decode_entry(entry(state='asleep')).err_value
        self.assertIn('state', error)
        self.assertIn('draining', error)
        error = decode_entry(entry(address='127.0.0.1:70000')).err_value
        self.assertIn('127.0.0.1:70000', error)


class TestSubmissions(testtools.TestCase):
    def test_text_that_cannot_be_encoded_is_malformed(self) -> None:
        """Guards against an exception for a payload with a lone surrogate."""
        decoded = decode_job(spec=LONE_SURROGATE)
        self.assertIsInstance(decoded.err_value, submissions.Malformed)

    def test_fields_that_no_message_can_carry_are_malformed(self) -> None:
        """Guards against a job that closes the link to its shard's leader.

        The leader rejects a message with such a field, and the link with it.
        """
        for fields in (
            {'affinity': 'r' * 300},
            {'requires': 'k' * 300},
            {'cpu': 10**20},
            {'mem_mb': 10**20},
            {'anti_affinity': 10**20},
            {'estimate_ms': 1e300},
        ):
            decoded = decode_step(**fields)
            self.assertIsInstance(decoded, result.Err, fields)

    def test_wait_of_many_digits_is_not_stated(self) -> None:
        """Guards against an exception for a huge ``Deadline-Ms``."""
        self.assertIsNone(submissions.decode_wait_s(MANY_DIGITS))
        self.assertIsNone(submissions.decode_wait_s('\u0661\u0662'))
        self.assertEqual(1.5, submissions.decode_wait_s('1500'))


class TestConfiguration(testtools.TestCase):
    def test_deep_nesting_is_an_error(self) -> None:
        """Guards against a version that ends every process that reads it."""
        self.assertIsInstance(configuration.decode(DEEP), result.Err)

    def test_fields_that_no_message_can_carry_are_errors(self) -> None:
        """Guards against routes whose jobs close the links."""
        for changes in (
            {'name': 'r' * 300},
            {'service': 's' * 300},
            {'priority': 10**20},
            {'max_attempts': 10**20},
            {'stretch': 1e300},
        ):
            body = samples.configuration(7, samples.route(**changes))
            decoded = configuration.decode(body)
            self.assertIsInstance(decoded, result.Err, changes)


class TestSettings(testtools.TestCase):
    def test_deep_nesting_is_an_error(self) -> None:
        """Guards against a settings file that ends the reload of settings."""
        text = f'{samples.SETTINGS}\n[odd]\nnested = {DEEP.decode()}'
        self.assertIsInstance(settings.decode(text.encode()), result.Err)

    def test_number_of_many_digits_is_an_error(self) -> None:
        """Guards against an exception for a bound that is out of range."""
        text = samples.SETTINGS.replace('grace_s = 6', f'grace_s = {10**400}')
        self.assertIsInstance(settings.decode(text.encode()), result.Err)


class TestStoreRows(testtools.TestCase):
    def decode_page(self, *rows: Any) -> Any:
        return store_http.decode_rows(
            'servers',
            http_calls.Response(
                status=200, document={'ver': 7, 'rows': list(rows)}
            ),
        )

    def test_odd_row_leaves_the_other_rows(self) -> None:
        """Guards against one odd row that hides a whole page of the table."""
        sound = {'key': 'i-1', 'ver': 5, 'value': 'e30='}
        for odd in (
            'row',
            {'key': 4, 'ver': 6, 'value': 'e30='},
            {'key': 'i-2', 'ver': 10**30, 'value': 'e30='},
        ):
            page = self.decode_page(odd, sound).ok_value
            self.assertEqual(['servers/i-1'], [row.key for row in page.rows])

    def test_undecodable_value_is_an_odd_body(self) -> None:
        """Guards against an exception for a value that is not base64."""
        for value in ('\u00e9', '!', 'abc', 4, None):
            page = self.decode_page(
                {'key': 'i-1', 'ver': 5, 'value': value}
            ).ok_value
            self.assertEqual([b''], [row.body for row in page.rows])


class TestRegistry(testtools.TestCase):
    def apply(self, key: str, body: bytes) -> registry.Registry:
        tested = registry.Registry()
        tested.apply((store.Row(key=key, revision=1, body=body),))
        return tested

    def test_odd_member_is_ignored(self) -> None:
        """Guards against a row that ends every process, again at each start."""
        sound = {
            'incarnation': '1',
            'zone': 'z',
            'host': '10.0.0.1',
            'port': 80,
            'cores': 1,
        }
        for body in (
            DEEP,
            json.dumps({**sound, 'port': 10**400}).encode(),
            json.dumps({**sound, 'port': 70_000}).encode(),
            json.dumps({**sound, 'host': 'a/b'}).encode(),
            json.dumps({**sound, 'cores': None}).encode(),
            json.dumps({**sound, 'zone': 'z' * 300}).encode(),
        ):
            tested = self.apply('sardineproxy/member/a', body)
            self.assertEqual({}, tested.members, body[:80])

    def test_odd_claim_is_ignored(self) -> None:
        """Guards against epochs whose fence no worker can read."""
        for body in (
            DEEP,
            b'{"epoch": 1e999, "owner": ["a", "1"], "heirs": []}',
            b'{"epoch": 1, "owner": ["a"], "heirs": []}',
            b'{"epoch": 1, "owner": ["a", "1"], "heirs": 4}',
            json.dumps(
                {'epoch': 10**30, 'owner': ['a', '1'], 'heirs': []}
            ).encode(),
        ):
            tested = self.apply('sardineproxy/cell/z', body)
            self.assertEqual({}, tested.claims, body[:80])


class TestRecords(testtools.TestCase):
    def test_random_rows_are_errors(self) -> None:
        """Guards against a row of the jobs' table that ends its manager."""
        for body in (b'', b'\xc1', b'\x91' * 2000, b'\xdd\xff\xff\xff\xff'):
            self.assertIsInstance(records.decode_job(body), result.Err)
            self.assertIsInstance(records.decode_progress(body), result.Err)
