"""Tests of the limits and errors of the JSON parser."""

import testtools
from testtools import matchers

from sardineproxy import json_text

MAX_BYTES = 1000


class ParseObjectTest(testtools.TestCase):
    """Malformed text results in an error that describes the fault."""

    def test_accepts_comments(self) -> None:
        parsed = json_text.parse_object(
            '{"a": 1 // one\n}', max_bytes=MAX_BYTES
        )
        self.assertThat(parsed.unwrap(), matchers.Equals({'a': 1}))

    def test_errors_state_the_line_of_the_file(self) -> None:
        """Guards against wrong line numbers in errors after comments.

        The JSON library removes comments together with their line ends.
        """
        text = '{\n// one\n/* two\n */ "a": 1\n"b": 2}'
        parsed = json_text.parse_object(text, max_bytes=MAX_BYTES)
        self.assertThat(parsed.unwrap_err(), matchers.Contains('line 5'))

    def test_rejects_input_that_parsers_interpret_differently(self) -> None:
        for text, expected in (
            ('{"a": 1, "a": 2}', 'key "a" occurs twice'),
            ('{"a": NaN}', 'NaN is not a JSON number'),
            ('[1]', 'expected a JSON object, found list'),
            ('{"a": ' + '[' * 40 + ']' * 40 + '}', 'nesting is deeper'),
            ('{"a": "' + 'x' * MAX_BYTES + '"}', 'at most 1000 allowed'),
        ):
            parsed = json_text.parse_object(text, max_bytes=MAX_BYTES)
            self.assertThat(parsed.unwrap_err(), matchers.Contains(expected))
