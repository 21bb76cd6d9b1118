"""Log lines as JSON objects."""

import io
import json

import testtools

from sardineproxy import logs


class TestLines(testtools.TestCase):
    def log(self, **fields: object) -> dict[str, object]:
        stream = io.StringIO()
        logs.configure(stream=stream)
        logs.get_logger('test').info('Event.', extra=fields)
        return json.loads(stream.getvalue())

    def test_line_has_time_level_and_prefixed_message(self) -> None:
        """Guards against renamed fields, which operators search for."""
        line = self.log(job='j', placed={0: 'w'})
        self.assertEqual(['time', 'level', 'message'], list(line)[:3])
        self.assertRegex(str(line['time']), r'^\S+ \d\d:\d\d:\d\d,\d{3}$')
        self.assertEqual('test: Event.', line['message'])
        self.assertEqual({'0': 'w'}, line['placed'])

    def test_text_of_a_client_cannot_break_the_line(self) -> None:
        """Guards against an exception while odd text is logged."""
        line = self.log(path='\udc80', number=10**30)
        self.assertEqual('\udc80', line['path'])
        self.assertEqual(10**30, line['number'])
