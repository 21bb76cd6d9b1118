"""Who owns each cell, as the owners say."""

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import fences
from sardineproxy.process.membership import leaders

SHARD = ids.ShardId('zone-a')
ME = ids.VmId('me')
FIRST = ids.VmId('first')
SECOND = ids.VmId('second')


def beat(*rights: tuple[ids.ShardId, int, int, int]) -> messages.Beat:
    """Return the words of a VM that owns cells."""
    return messages.Beat(
        version=1, shards=tuple((*right, True) for right in rights), pending=()
    )


def make_leaders(**epochs: int) -> leaders.Leaders:
    """Return owners after each VM has told its epoch of the cell."""
    tested = leaders.Leaders(me=ME)
    for vm, epoch in epochs.items():
        tested.update(ids.VmId(vm), beat((SHARD, epoch, 0, 5)), 0)
    return tested


class TestChoice(testtools.TestCase):
    def test_highest_right_wins(self) -> None:
        """Guards against tasks sent to a former owner."""
        tested = make_leaders(first=3, second=2)
        tested.choose({})
        self.assertEqual({SHARD: FIRST}, tested.by_shard)

    def test_rank_decides_within_an_epoch(self) -> None:
        """Guards against two heirs that are both believed."""
        tested = leaders.Leaders(me=ME)
        tested.update(FIRST, beat((SHARD, 3, 1, 0)), 0)
        tested.update(SECOND, beat((SHARD, 3, 2, 0)), 0)
        tested.choose({})
        self.assertEqual({SHARD: SECOND}, tested.by_shard)

    def test_own_lower_right_is_lost(self) -> None:
        """Guards against two VMs that both order a worker."""
        change = make_leaders(first=3).choose(
            {SHARD: fences.Right(epoch=2, rank=0)}
        )
        self.assertEqual({SHARD: FIRST}, change.lost)

    def test_own_higher_right_stays(self) -> None:
        """Guards against a cell that is given up to its former owner."""
        tested = make_leaders(first=3)
        change = tested.choose({SHARD: fences.Right(epoch=4, rank=0)})
        self.assertEqual({}, change.lost)
        self.assertEqual({SHARD: ME}, tested.by_shard)

    def test_only_changes_are_told(self) -> None:
        """Guards against jobs that are sent again for no reason."""
        tested = make_leaders(first=3)
        self.assertEqual([SHARD], tested.choose({}).with_new_leader)
        self.assertEqual([], tested.choose({}).with_new_leader)

    def test_shard_without_a_leader_is_forgotten_with_its_free_capacity(
        self,
    ) -> None:
        """Guards against tasks sent to a VM that is gone."""
        tested = make_leaders(first=3)
        tested.choose({})
        tested.remove(FIRST)
        tested.choose({})
        self.assertEqual({}, tested.by_shard)
        self.assertEqual({}, tested.rooms.free(0))

    def test_one_shard_can_be_disowned(self) -> None:
        """Guards against all cells of a VM lost with one of them."""
        other = ids.ShardId('zone-b')
        tested = leaders.Leaders(me=ME)
        tested.update(FIRST, beat((SHARD, 1, 0, 0), (other, 1, 0, 0)), 0)
        tested.remove(FIRST, SHARD)
        tested.choose({})
        self.assertEqual({other: FIRST}, tested.by_shard)
