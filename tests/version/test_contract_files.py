"""Each bad contract is refused with a sentence that a person can act on."""

import json
import pathlib
import tempfile

import testtools
from testtools import matchers

from sardineproxy.version import contract_files
from tests.version import samples

_LARGE = 'a number over 0 and up to'
_KEYS = (
    'one of the keys customer, credential_sha256, weight, submit_per_s, '
    'submit_burst, hold, queue, max_job_tasks, default_deadline_ms, '
    'max_deadline_ms'
)

#: Changed fields of a contract, and the sentence that refuses them.
BAD_FIELDS = (
    ({'weight': 0}, f'weight: found 0; accepted is {_LARGE} 10000.'),
    (
        {'weight': float('nan')},
        f'weight: found NaN; accepted is {_LARGE} 10000.',
    ),
    ({'weight': True}, f'weight: found true; accepted is {_LARGE} 10000.'),
    (
        {'submit_per_s': float('inf')},
        f'submit_per_s: found Infinity; accepted is {_LARGE} 1000000.',
    ),
    (
        {'hold': 1.5},
        'hold: found 1.5; accepted is a whole number from 1 to 1000000.',
    ),
    (
        {'submit_burst': 1699},
        'submit_burst: found 1699; accepted is at least max_job_tasks, 1700, '
        'or no job of that size is ever admitted.',
    ),
    (
        {'queue': 10},
        'queue: found 10; accepted is at least max_job_tasks, 1700, or no '
        'job of that size is ever admitted.',
    ),
    (
        {'default_deadline_ms': 2, 'max_deadline_ms': 1},
        'default_deadline_ms: found 2; accepted is at most max_deadline_ms, 1.',
    ),
    ({'wieght': 1}, 'wieght: found the key "wieght"; accepted is "weight".'),
    ({'x': 1}, f'x: found the key "x"; accepted is {_KEYS}.'),
    (
        {'customer': 'Acme & Co'},
        'customer: found "Acme & Co"; accepted is a name of 1 to 63 '
        'lower-case letters, digits and hyphens that does not start with a '
        'hyphen.',
    ),
)


class ParseTextTest(testtools.TestCase):
    """One contract's text is checked whole."""

    def test_accepts_comments_and_fills_defaults(self):
        text = json.dumps(samples.contract_fields()) + ' // agreed in May'
        parsed = contract_files.parse_text('a.jsonc', text).unwrap()
        self.assertThat(parsed.max_job_tasks, matchers.Equals(1700))

    def test_names_what_is_wrong_with_a_field(self):
        for changes, expected in BAD_FIELDS:
            text = json.dumps(samples.contract_fields(**changes))
            self.assertThat(
                self._faults(text), matchers.Equals((f'a.jsonc: {expected}',))
            )

    def test_reports_every_fault_at_once(self):
        fields = samples.contract_fields(weight=-1, hold=0)
        fields.pop('queue')
        self.assertThat(self._faults(json.dumps(fields)), matchers.HasLength(3))

    def test_never_shows_a_credential_given_in_place_of_its_hash(self):
        many = [f's3cret{number}' for number in range(5)]
        for found in ('s3cret', ['s3cret'], many, {'s3cret': 1}):
            text = json.dumps(samples.contract_fields(credential_sha256=found))
            self.assertThat(
                ''.join(self._faults(text)),
                matchers.MatchesAll(
                    matchers.Contains('as hash-credential prints them'),
                    matchers.Not(matchers.Contains('s3cret')),
                ),
            )

    def test_refuses_repeated_keys_and_broken_text(self):
        whole = json.dumps(samples.contract_fields())
        for text, expected in (
            (
                whole.replace('{', '{"hold": 3, '),
                'a.jsonc: hold: found the key more than once; accepted is '
                'each key once.',
            ),
            (
                '{// note\n"hold": 1, /* \n */ "weight" 1, }',
                'a.jsonc: line 3 column 14: found "Expecting \':\' delimiter"; '
                'accepted is JSON with comments.',
            ),
            ('[]', 'a.jsonc: text: found a list; accepted is one JSON object.'),
            (
                ' ' * 65_537,
                'a.jsonc: size: found 65537 bytes; accepted is at most 65536 '
                'bytes.',
            ),
        ):
            self.assertThat(self._faults(text), matchers.Equals((expected,)))

    def _faults(self, text):
        return contract_files.parse_text('a.jsonc', text).unwrap_err()


class LoadDirectoryTest(testtools.TestCase):
    """A directory is refused as a whole if any file of it is wrong."""

    def setUp(self):
        super().setUp()
        kept = tempfile.TemporaryDirectory()
        self.addCleanup(kept.cleanup)
        self.path = pathlib.Path(kept.name)

    def test_names_both_files_of_a_clash(self):
        self._write('a.jsonc')
        self._write('b.jsonc')
        self.assertThat(
            self._faults(),
            matchers.MatchesListwise(
                [
                    matchers.Equals(
                        'b.jsonc: customer: found "acme", which a.jsonc has '
                        'too; accepted is one contract for a customer.'
                    ),
                    matchers.MatchesRegex(
                        r'b\.jsonc: credential_sha256\.0: found [0-9a-f]{8}'
                        r'\.\.\., which a\.jsonc has too; accepted is each '
                        r'credential once\.'
                    ),
                ]
            ),
        )

    def test_refuses_no_contracts_because_all_customers_would_go(self):
        self.path.joinpath('README').write_text('')
        self.assertThat(
            self._faults()[0], matchers.Contains('found 0 files *.jsonc')
        )

    def test_refuses_files_that_would_be_passed_over(self):
        self._write('a.jsonc')
        self._write('b.json', customer='beta')
        self.assertThat(
            self._faults()[0], matchers.StartsWith('b.json: file name: ')
        )
        self.path.joinpath('b.json').write_bytes(b'')
        self.path.joinpath('b.json').rename(self.path / 'c.jsonc')
        self.path.joinpath('c.jsonc').write_bytes(b'{"a": "\xff"}')
        self.assertThat(
            self._faults()[0], matchers.StartsWith('c.jsonc: byte 7: ')
        )

    def _write(self, name, **fields):
        text = json.dumps(samples.contract_fields(**fields))
        self.path.joinpath(name).write_text(text)

    def _faults(self):
        return contract_files.load_directory(self.path).unwrap_err()
