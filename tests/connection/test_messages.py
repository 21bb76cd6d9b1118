"""Compatibility of messages with processes of an older version."""

import msgpack
import testtools

from sardineproxy.connection import messages
from tests.process.shards import samples


class TestOmittedFields(testtools.TestCase):
    def test_submission_without_authority_is_decoded(self) -> None:
        """Guards against links that break while VMs are updated in turn."""
        submit = samples.make_submit()
        frame = messages.CODEC.encode(submit, header=0).unwrap()
        fields = msgpack.unpackb(frame[4:])
        self.assertEqual(list(messages.NO_AUTHORITY), fields.pop())
        decoded = messages.CODEC.decode(msgpack.packb(fields))
        self.assertEqual(submit, decoded.unwrap().message)

    def test_field_without_a_default_is_required(self) -> None:
        """Guards against truncated messages that are accepted."""
        frame = messages.CODEC.encode(samples.make_submit(), header=0).unwrap()
        fields = msgpack.unpackb(frame[4:])[:-2]
        self.assertIsNotNone(
            messages.CODEC.decode(msgpack.packb(fields)).err_value
        )

    def test_malformed_authority_is_refused(self) -> None:
        """Guards against a peer that names a negative epoch."""
        frame = messages.CODEC.encode(samples.make_submit(), header=0).unwrap()
        fields = msgpack.unpackb(frame[4:])
        for malformed in (['zone', -1, 0], ['zone', 1], 'zone', [1, 1, 1]):
            decoded = messages.CODEC.decode(
                msgpack.packb([*fields[:-1], malformed])
            )
            self.assertIsNotNone(decoded.err_value)
