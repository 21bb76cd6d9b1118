"""What entry VMs tell each other of the store's contents."""

import zlib

import result
import testtools
from testtools import matchers

from sardineproxy.connection import messages
from sardineproxy.platform import configuration
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.process.node import peer_sync
from sardineproxy.version import in_force
from tests.platform import samples


class TestVersions(testtools.TestCase):
    def test_large_version_is_sent_small_and_whole(self) -> None:
        """Guards against network links that one version fills."""
        body = samples.configuration(
            7,
            *(
                samples.route(name=f'r-{number}', path_prefix=f'/p{number}/')
                for number in range(1900)
            ),
        )
        versions = in_force.InForce(decode=configuration.decode)
        versions.offer(body, 'test')
        packed = peer_sync.pack_version(versions)
        self.assertThat(len(packed.packed), matchers.LessThan(len(body) // 8))
        self.assertEqual(body, peer_sync.unpack_version(packed).ok_value)

    def test_damaged_and_oversized_versions_are_refused(self) -> None:
        """Guards against memory that a peer's message fills."""
        huge = zlib.compress(bytes(peer_sync.MAX_VERSION_BYTES + 1))
        for packed in (b'no zlib', huge, zlib.compress(b'{}')[:-1]):
            given = messages.VersionGive(number=1, packed=packed)
            unpacked = peer_sync.unpack_version(given)
            self.assertIsInstance(unpacked, result.Err)


class TestDirectory(testtools.TestCase):
    def test_rows_keep_their_revisions(self) -> None:
        """Guards against old claims that replace newer ones."""
        directory = registry.Registry()
        row = store.Row(
            key='sardineproxy/cell/z',
            revision=9,
            body=b'{"epoch": 3, "owner": ["a", "1"], "heirs": []}',
        )
        directory.apply((row,))
        given = peer_sync.pack_directory(directory)
        self.assertEqual((row,), peer_sync.unpack_directory(given))
