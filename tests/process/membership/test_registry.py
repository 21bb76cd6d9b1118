"""Decoding of members and claims from rows in arbitrary order."""

import json

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy import deployment, ids
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from tests import examples

SHARD = ids.ShardId('z')


def claim_row(revision: int, epoch: int) -> store.Row:
    body = json.dumps({'epoch': epoch, 'owner': ['a', '1'], 'heirs': []})
    return store.Row(
        key=registry.shard_key(SHARD), revision=revision, body=body.encode()
    )


class TestRegistry(testtools.TestCase):
    def test_written_member_can_be_read(self) -> None:
        """Guards against an encoder and a decoder that do not match."""
        member = registry.Member(
            vm=ids.VmId('a'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('z'),
            address=deployment.Address(host='10.0.0.1', port=80),
            cores=0.5,
        )
        write = registry.member_write(member)
        tested = registry.Registry()
        tested.apply((store.Row(key=write.key, revision=1, body=write.body),))
        self.assertEqual({member.vm: member}, tested.members)

    @hypothesis.given(strategies.permutations(range(1, 6)))
    @examples.settings()
    def test_newest_row_wins_in_any_order(self, order: list[int]) -> None:
        """Guards against an outdated claim that a peer sends late."""
        tested = registry.Registry()
        for revision in order:
            tested.apply((claim_row(revision, epoch=revision * 10),))
        self.assertEqual(50, tested.claims[SHARD].epoch)

    def test_malformed_row_is_ignored(self) -> None:
        """Guards against a crash on a malformed row of another process."""
        tested = registry.Registry()
        tested.apply((claim_row(1, 1),))
        malformed = store.Row(
            key=registry.shard_key(SHARD), revision=2, body=b'{'
        )
        tested.apply((malformed,))
        self.assertEqual(1, tested.claims[SHARD].epoch)

    def test_removed_member_is_deleted(self) -> None:
        """Guards against links to VMs whose rows were removed."""
        tested = registry.Registry()
        row = store.Row(
            key='sardineproxy/member/a',
            revision=1,
            body=json.dumps(
                {
                    'incarnation': '1',
                    'zone': 'z',
                    'host': '10.0.0.1',
                    'port': 1,
                    'cores': 1,
                }
            ).encode(),
        )
        tested.apply((row,))
        tested.apply((store.Row(key=row.key, revision=2, body=None),))
        self.assertEqual({}, tested.members)
