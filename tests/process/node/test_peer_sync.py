"""Exchange of versions and registry rows between entry VMs."""

import zlib

import result
import testtools
from testtools import matchers

from sardineproxy.connection import messages
from sardineproxy.platform import configuration
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.process.node import peer_sync
from sardineproxy.version import active_config
from tests.platform import samples


class TestVersions(testtools.TestCase):
    def test_large_version_is_compressed_losslessly(self) -> None:
        """Guards against a version that saturates the links between VMs.

        A version with many routes is large, but the routes are similar.
        """
        body = samples.configuration(
            7,
            *(
                samples.route(name=f'r-{number}', path_prefix=f'/p{number}/')
                for number in range(1900)
            ),
        )
        versions = active_config.ActiveConfig(decode=configuration.decode)
        versions.offer(body, 'test')
        packed = peer_sync.pack_version(versions)
        self.assertThat(
            len(packed.compressed_body), matchers.LessThan(len(body) // 8)
        )
        self.assertEqual(body, peer_sync.unpack_version(packed).ok_value)

    def test_corrupt_and_oversized_versions_are_rejected(self) -> None:
        """Guards against memory exhaustion and incomplete versions.

        A small message can decompress to any size, and a message may be
        corrupt or truncated.
        """
        oversized = zlib.compress(bytes(peer_sync.MAX_VERSION_BYTES + 1))
        for packed in (b'no zlib', oversized, zlib.compress(b'{}')[:-1]):
            message = messages.VersionResponse(number=1, compressed_body=packed)
            unpacked = peer_sync.unpack_version(message)
            self.assertIsInstance(unpacked, result.Err)


class TestRegistryRows(testtools.TestCase):
    def test_rows_keep_their_revisions(self) -> None:
        """Guards against outdated claims that replace newer ones.

        The receiver compares rows by revision.
        """
        tested = registry.Registry()
        row = store.Row(
            key='sardineproxy/cell/z',
            revision=9,
            body=b'{"epoch": 3, "owner": ["a", "1"], "heirs": []}',
        )
        tested.apply((row,))
        message = peer_sync.pack_registry(tested)
        self.assertEqual((row,), peer_sync.unpack_registry(message))
