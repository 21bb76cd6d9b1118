"""Choice of shard leaders from the heartbeats of VMs."""

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import fencing
from sardineproxy.process.membership import capacity_rows, leaders
from tests.process.shards import samples

SHARD = ids.ShardId('zone-a')
OWN_VM = ids.VmId('me')
FIRST = ids.VmId('first')
SECOND = ids.VmId('second')
ROUTE = ids.RouteId('r')


def make_heartbeat(
    *shards: tuple[ids.ShardId, int, int, int],
) -> messages.Heartbeat:
    """Return the heartbeat of a VM that leads shards."""
    return messages.Heartbeat(
        version=1,
        shards=tuple((*shard, True) for shard in shards),
        pending=(),
        free_capacity=capacity_rows.encode(
            [samples.make_classes(free) for _, _, _, free in shards]
        ),
    )


def make_pending(
    count: int, *loaded: ids.ShardId, loading: ids.ShardId | None = None
) -> messages.Heartbeat:
    """Return the heartbeat of a VM that manages the jobs of shards."""
    shards = [(shard, 1, 0, 0, True) for shard in loaded]
    if loading is not None:
        shards.append((loading, 1, 0, 0, False))
    return messages.Heartbeat(
        version=1, shards=tuple(shards), pending=((ROUTE, count),)
    )


def make_leaders(**epochs: int) -> leaders.Leaders:
    """Return leaders to which every VM has reported its epoch of the shard."""
    tested = leaders.Leaders(own_vm=OWN_VM)
    for vm, epoch in epochs.items():
        tested.update(ids.VmId(vm), make_heartbeat((SHARD, epoch, 0, 5)), 0)
    return tested


class TestPendingJobs(testtools.TestCase):
    def test_jobs_of_a_lost_leader_count_until_they_are_loaded(self) -> None:
        """Guards against queues that are said to be empty after a kill.

        The review shows it in REPORT-3.md under "Shown, but left out".
        """
        tested = leaders.Leaders(own_vm=OWN_VM)
        for vm, count in ((FIRST, 3), (SECOND, 4)):
            tested.update(vm, make_pending(count, ids.ShardId(vm)), 0)
        self.assertEqual(7, tested.pending_jobs(ROUTE))
        tested.remove(FIRST)
        self.assertEqual(7, tested.pending_jobs(ROUTE))
        own = ids.ShardId(SECOND)
        lost = ids.ShardId(FIRST)
        tested.update(SECOND, make_pending(4, own, loading=lost), 1)
        self.assertEqual(7, tested.pending_jobs(ROUTE))
        tested.update(SECOND, make_pending(6, own, lost), 2)
        self.assertEqual(6, tested.pending_jobs(ROUTE))

    def test_jobs_of_a_returned_shard_are_not_counted_twice(self) -> None:
        """Guards against counts of a former leader that never end."""
        tested = leaders.Leaders(own_vm=OWN_VM)
        tested.update(FIRST, make_pending(3, SHARD), 0)
        tested.update(FIRST, make_pending(0), 1)
        self.assertEqual(3, tested.pending_jobs(ROUTE))
        tested.update(SECOND, make_pending(3, SHARD), 2)
        self.assertEqual(3, tested.pending_jobs(ROUTE))
        tested.update(SECOND, make_pending(0), 3)
        tested.update(FIRST, make_pending(2, SHARD), 4)
        self.assertEqual(2, tested.pending_jobs(ROUTE))


class TestChoice(testtools.TestCase):
    def test_highest_token_wins(self) -> None:
        """Guards against tasks being sent to a former leader.

        A former leader reports the shard until it learns of the takeover.
        """
        tested = make_leaders(first=3, second=2)
        tested.choose({})
        self.assertEqual({SHARD: FIRST}, tested.by_shard)

    def test_rank_decides_within_an_epoch(self) -> None:
        """Guards against two successors that both count as leader.

        In a store outage, both can take over under the same claim.
        """
        tested = leaders.Leaders(own_vm=OWN_VM)
        tested.update(FIRST, make_heartbeat((SHARD, 3, 1, 0)), 0)
        tested.update(SECOND, make_heartbeat((SHARD, 3, 2, 0)), 0)
        tested.choose({})
        self.assertEqual({SHARD: SECOND}, tested.by_shard)

    def test_shard_with_a_lower_own_token_is_lost(self) -> None:
        """Guards against two VMs that both send orders to a worker.

        This VM leads the shard until it learns of the other VM's claim.
        """
        change = make_leaders(first=3).choose(
            {SHARD: fencing.FencingToken(epoch=2, rank=0)}
        )
        self.assertEqual({SHARD: FIRST}, change.lost_shards)

    def test_shard_with_a_higher_own_token_stays(self) -> None:
        """Guards against stepping down because of an outdated report.

        A former leader reports the shard until it learns of the takeover.
        """
        tested = make_leaders(first=3)
        change = tested.choose({SHARD: fencing.FencingToken(epoch=4, rank=0)})
        self.assertEqual({}, change.lost_shards)
        self.assertEqual({SHARD: OWN_VM}, tested.by_shard)

    def test_only_changed_leaders_are_returned(self) -> None:
        """Guards against jobs being resent although no leader changed.

        Leaders are chosen anew after every change of the reported tokens.
        """
        tested = make_leaders(first=3)
        self.assertEqual([SHARD], tested.choose({}).shards_with_new_leader)
        self.assertEqual([], tested.choose({}).shards_with_new_leader)

    def test_shard_without_a_leader_is_removed_with_its_free_capacity(
        self,
    ) -> None:
        """Guards against tasks being sent to a VM that has left."""
        tested = make_leaders(first=3)
        tested.choose({})
        self.assertIn(SHARD, tested.capacities.startable_tasks(0))
        tested.remove(FIRST)
        tested.choose({})
        self.assertEqual({}, tested.by_shard)
        self.assertEqual({}, tested.capacities.startable_tasks(0))

    def test_single_shard_of_a_vm_can_be_removed(self) -> None:
        """Guards against removing all shards of a VM along with one."""
        other = ids.ShardId('zone-b')
        tested = leaders.Leaders(own_vm=OWN_VM)
        tested.update(
            FIRST, make_heartbeat((SHARD, 1, 0, 0), (other, 1, 0, 0)), 0
        )
        tested.remove(FIRST, SHARD)
        tested.choose({})
        self.assertEqual({other: FIRST}, tested.by_shard)
