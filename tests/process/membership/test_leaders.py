"""Choice of shard leaders from the heartbeats of VMs."""

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import fencing
from sardineproxy.process.membership import leaders

SHARD = ids.ShardId('zone-a')
OWN_VM = ids.VmId('me')
FIRST = ids.VmId('first')
SECOND = ids.VmId('second')


def make_beat(*shards: tuple[ids.ShardId, int, int, int]) -> messages.Heartbeat:
    """Return the heartbeat of a VM that leads shards."""
    return messages.Heartbeat(
        version=1, shards=tuple((*shard, True) for shard in shards), pending=()
    )


def make_leaders(**epochs: int) -> leaders.Leaders:
    """Return leaders after every VM has reported its epoch of the shard."""
    tested = leaders.Leaders(own_vm=OWN_VM)
    for vm, epoch in epochs.items():
        tested.update(ids.VmId(vm), make_beat((SHARD, epoch, 0, 5)), 0)
    return tested


class TestChoice(testtools.TestCase):
    def test_highest_token_wins(self) -> None:
        """Guards against tasks being sent to a former leader."""
        tested = make_leaders(first=3, second=2)
        tested.choose({})
        self.assertEqual({SHARD: FIRST}, tested.by_shard)

    def test_rank_decides_within_an_epoch(self) -> None:
        """Guards against two successors that both count as leader."""
        tested = leaders.Leaders(own_vm=OWN_VM)
        tested.update(FIRST, make_beat((SHARD, 3, 1, 0)), 0)
        tested.update(SECOND, make_beat((SHARD, 3, 2, 0)), 0)
        tested.choose({})
        self.assertEqual({SHARD: SECOND}, tested.by_shard)

    def test_shard_with_a_lower_own_token_is_lost(self) -> None:
        """Guards against two VMs that both send orders to a worker."""
        change = make_leaders(first=3).choose(
            {SHARD: fencing.FencingToken(epoch=2, rank=0)}
        )
        self.assertEqual({SHARD: FIRST}, change.lost_shards)

    def test_shard_with_a_higher_own_token_stays(self) -> None:
        """Guards against giving up a shard to its former leader."""
        tested = make_leaders(first=3)
        change = tested.choose({SHARD: fencing.FencingToken(epoch=4, rank=0)})
        self.assertEqual({}, change.lost_shards)
        self.assertEqual({SHARD: OWN_VM}, tested.by_shard)

    def test_only_changed_leaders_are_returned(self) -> None:
        """Guards against jobs being resent although no leader changed."""
        tested = make_leaders(first=3)
        self.assertEqual([SHARD], tested.choose({}).shards_with_new_leader)
        self.assertEqual([], tested.choose({}).shards_with_new_leader)

    def test_shard_without_a_leader_is_forgotten_with_its_free_capacity(
        self,
    ) -> None:
        """Guards against tasks being sent to a VM that has left."""
        tested = make_leaders(first=3)
        tested.choose({})
        tested.remove(FIRST)
        tested.choose({})
        self.assertEqual({}, tested.by_shard)
        self.assertEqual({}, tested.capacities.find_available(0))

    def test_one_shard_can_be_disowned(self) -> None:
        """Guards against removing all shards of a VM along with one."""
        other = ids.ShardId('zone-b')
        tested = leaders.Leaders(own_vm=OWN_VM)
        tested.update(FIRST, make_beat((SHARD, 1, 0, 0), (other, 1, 0, 0)), 0)
        tested.remove(FIRST, SHARD)
        tested.choose({})
        self.assertEqual({other: FIRST}, tested.by_shard)
