"""Tests of loading contract files and of the error messages."""

import json
import pathlib
import tempfile

import testtools
from testtools import matchers

from sardineproxy.version import contract_files
from tests.version import samples

_NUMBER_UP_TO = 'a number above 0, up to'
_KEYS = (
    'one of the keys customer, credential_sha256, weight, submit_per_s, '
    'submit_burst, hold, queue, max_job_tasks, default_deadline_ms, '
    'max_deadline_ms'
)

#: Changed fields of a contract, and the error message that they cause.
INVALID_FIELDS = (
    ({'weight': 0}, f'weight: found 0; expected {_NUMBER_UP_TO} 10000.'),
    (
        {'weight': float('nan')},
        f'weight: found NaN; expected {_NUMBER_UP_TO} 10000.',
    ),
    ({'weight': True}, f'weight: found true; expected {_NUMBER_UP_TO} 10000.'),
    (
        {'submit_per_s': float('inf')},
        f'submit_per_s: found Infinity; expected {_NUMBER_UP_TO} 1000000.',
    ),
    (
        {'hold': 1.5},
        'hold: found 1.5; expected an integer from 1 to 1000000.',
    ),
    (
        {'submit_burst': 1699},
        'submit_burst: found 1699; expected at least max_job_tasks, 1700, '
        'as a job of that size would be admitted only while the customer is '
        'idle.',
    ),
    (
        {'queue': 10},
        'queue: found 10; expected at least max_job_tasks, 1700, as a '
        'job of that size would be admitted only while the customer is idle.',
    ),
    (
        {'default_deadline_ms': 2, 'max_deadline_ms': 1},
        'default_deadline_ms: found 2; expected at most max_deadline_ms, 1.',
    ),
    ({'wieght': 1}, 'wieght: found the key "wieght"; expected "weight".'),
    ({'x': 1}, f'x: found the key "x"; expected {_KEYS}.'),
    (
        {'customer': 'Acme & Co'},
        'customer: found "Acme & Co"; expected a name of 1 to 63 '
        'lower-case letters, digits and hyphens that does not start with a '
        'hyphen.',
    ),
)


class ParseTextTest(testtools.TestCase):
    """Tests the parsing and validation of one contract."""

    def test_accepts_comments_and_fills_defaults(self):
        text = json.dumps(samples.contract_fields()) + ' // agreed in May'
        parsed = contract_files.parse_text('a.jsonc', text).unwrap()
        self.assertThat(parsed.max_job_tasks, matchers.Equals(1700))

    def test_error_message_of_each_invalid_field(self):
        for changes, expected in INVALID_FIELDS:
            text = json.dumps(samples.contract_fields(**changes))
            self.assertThat(
                self._errors(text), matchers.Equals((f'a.jsonc: {expected}',))
            )

    def test_reports_all_errors_at_once(self):
        fields = samples.contract_fields(weight=-1, hold=0)
        fields.pop('queue')
        self.assertThat(self._errors(json.dumps(fields)), matchers.HasLength(3))

    def test_never_prints_a_credential_given_instead_of_its_hash(self):
        hashes = [f's3cret{number}' for number in range(5)]
        for found in ('s3cret', ['s3cret'], hashes, {'s3cret': 1}):
            text = json.dumps(samples.contract_fields(credential_sha256=found))
            self.assertThat(
                ''.join(self._errors(text)),
                matchers.MatchesAll(
                    matchers.Contains('as hash-credential prints them'),
                    matchers.Not(matchers.Contains('s3cret')),
                ),
            )

    def test_rejects_duplicate_keys_and_malformed_text(self):
        valid = json.dumps(samples.contract_fields())
        for text, expected in (
            (
                valid.replace('{', '{"hold": 3, '),
                'a.jsonc: hold: found the key more than once; expected '
                'each key once.',
            ),
            (
                '{// note\n"hold": 1, /* \n */ "weight" 1, }',
                'a.jsonc: line 3 column 14: found "Expecting \':\' delimiter"; '
                'expected JSON with comments.',
            ),
            ('[]', 'a.jsonc: text: found a list; expected one JSON object.'),
            (
                ' ' * 65_537,
                'a.jsonc: size: found 65537 bytes; expected at most 65536 '
                'bytes.',
            ),
        ):
            self.assertThat(self._errors(text), matchers.Equals((expected,)))

    def _errors(self, text):
        return contract_files.parse_text('a.jsonc', text).unwrap_err()


class LoadDirectoryTest(testtools.TestCase):
    """A directory is rejected as a whole if any of its files is invalid."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)

    def test_names_both_files_of_a_duplicate(self):
        self._write('a.jsonc')
        self._write('b.jsonc')
        self.assertThat(
            self._errors(),
            matchers.MatchesListwise(
                [
                    matchers.Equals(
                        'b.jsonc: customer: found "acme", which a.jsonc '
                        'also uses; expected one contract per customer.'
                    ),
                    matchers.MatchesRegex(
                        r'b\.jsonc: credential_sha256\.0: found [0-9a-f]{8}'
                        r'\.\.\., which a\.jsonc also uses; expected '
                        r'unique credentials\.'
                    ),
                ]
            ),
        )

    def test_rejects_no_contracts_as_all_customers_would_be_removed(self):
        self.path.joinpath('README').write_text('')
        self.assertThat(
            self._errors()[0], matchers.Contains('found 0 files *.jsonc')
        )

    def test_rejects_files_that_would_be_ignored(self):
        self._write('a.jsonc')
        self._write('b.json', customer='beta')
        self.assertThat(
            self._errors()[0], matchers.StartsWith('b.json: file name: ')
        )
        self.path.joinpath('b.json').write_bytes(b'')
        self.path.joinpath('b.json').rename(self.path / 'c.jsonc')
        self.path.joinpath('c.jsonc').write_bytes(b'{"a": "\xff"}')
        self.assertThat(
            self._errors()[0], matchers.StartsWith('c.jsonc: byte 7: ')
        )

    def _write(self, name, **fields):
        text = json.dumps(samples.contract_fields(**fields))
        self.path.joinpath(name).write_text(text)

    def _errors(self):
        return contract_files.load_directory(self.path).unwrap_err()
