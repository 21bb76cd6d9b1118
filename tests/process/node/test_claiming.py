"""Which VM claims a cell, and when."""

from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import deployment, ids
from sardineproxy.process.shards import fences
from sardineproxy.process.membership import registry
from sardineproxy.process.node import claiming
from tests import virtual_time
from tests.process.node import samples

SHARD = ids.ShardId('z')
NOBODY: frozenset[ids.VmId] = frozenset()


def make_member(name: str, zone: str = 'z', cores: float = 1) -> Any:
    return registry.Member(
        vm=ids.VmId(name),
        incarnation=ids.Incarnation('1'),
        zone=ids.ZoneId(zone),
        address=deployment.Address(host='10.0.0.1', port=1),
        cores=cores,
    )


class Rig:
    """The claims of one VM, and the store that it shares with others."""

    def __init__(
        self, me: registry.Member, shared: samples.MemoryStore | None = None
    ) -> None:
        self.store = shared or samples.MemoryStore()
        self.directory = registry.Registry()
        self.rights: list[fences.Right] = []
        self.claims = claiming.ShardClaimer(
            store=self.store,
            directory=self.directory,
            me=me,
            on_token=lambda _, right: self.rights.append(right),
        )
        self.join(me)

    def join(self, *members: registry.Member) -> None:
        for member in members:
            write = registry.member_write(member)
            self.store.rows.put(write.key, write.body)
        self.read()

    def read(self) -> None:
        self.directory.apply(self.store.rows.read(registry.TABLE).rows)

    def should_claim(self, now: float, **changes: Any) -> bool:
        return self.claims.should_claim(
            SHARD,
            leader=changes.get('leader'),
            in_reach=changes.get('in_reach', NOBODY),
            now=1000 + now,
        )

    def needs_refresh(self, now: float, *, isolated: bool = False) -> bool:
        return self.claims.needs_refresh(
            SHARD, self.rights[-1], isolated=isolated, now=1000 + now
        )

    async def claim(self, now: float = 0) -> None:
        await self.claims.claim(SHARD, 1000 + now)


def run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    virtual_time.run(scenario)


class TestDue(testtools.TestCase):
    def test_largest_vm_of_the_zone_claims_first(self) -> None:
        """Guards against all VMs of a zone claiming at once."""
        small = Rig(make_member('small'))
        small.join(make_member('large', cores=2))
        reach = frozenset((ids.VmId('large'),))
        self.assertFalse(small.should_claim(0, in_reach=reach))
        self.assertFalse(small.should_claim(0.6, in_reach=reach))
        self.assertTrue(small.should_claim(0.8, in_reach=reach))

    def test_shard_with_a_leader_is_not_claimed(self) -> None:
        """Guards against cells that move for no reason."""
        rig = Rig(make_member('a'))
        self.assertFalse(rig.should_claim(0))
        self.assertFalse(rig.should_claim(60, leader=ids.VmId('b')))
        self.assertFalse(rig.should_claim(60.01))

    def test_other_zone_waits_while_the_zone_has_vms(self) -> None:
        """Guards against a zone's cell taken while its VMs can have it."""
        rig = Rig(make_member('a', zone='other'))
        rig.join(make_member('b'))
        reach = frozenset((ids.VmId('b'),))
        self.assertFalse(rig.should_claim(0, in_reach=reach))
        self.assertFalse(rig.should_claim(60, in_reach=reach))
        self.assertTrue(rig.should_claim(61))

    def test_sign_of_life_restarts_the_wait(self) -> None:
        """Guards against the loss of an owner that is only cut off."""

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            rig = Rig(make_member('a', zone='other'), leader.store)
            self.assertFalse(rig.should_claim(0))
            await leader.claim(5)
            rig.read()
            self.assertFalse(rig.should_claim(5))

        run(scenario)

    def test_workers_must_be_in_reach_for_a_while(self) -> None:
        """Guards against claims by the side that is cut off."""
        claims = Rig(make_member('a')).claims
        self.assertFalse(claims.record_probe(SHARD, reached=True, now=0))
        self.assertFalse(claims.record_probe(SHARD, reached=False, now=0.5))
        self.assertFalse(claims.record_probe(SHARD, reached=True, now=1))
        self.assertTrue(claims.record_probe(SHARD, reached=True, now=1.9))


class TestClaim(testtools.TestCase):
    def test_each_claim_has_a_higher_epoch(self) -> None:
        """Guards against a fence that does not rise."""

        async def scenario() -> None:
            first = Rig(make_member('a'))
            await first.claim()
            second = Rig(make_member('b'), first.store)
            await second.claim()
            self.assertTrue(first.rights[0] < second.rights[0])

        run(scenario)

    def test_claim_by_an_old_row_fails(self) -> None:
        """Guards against two owners of one epoch."""

        async def scenario() -> None:
            first = Rig(make_member('a'))
            second = Rig(make_member('b'), first.store)
            await first.claim()
            await second.claim()
            self.assertEqual([], second.rights)

        run(scenario)

    def test_successor_takes_over_while_the_store_is_unavailable(self) -> None:
        """Guards against a zone without work during an outage."""

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            rig.join(make_member('b'))
            await rig.claim()
            successor = Rig(make_member('b'), rig.store)
            successor.store.is_down = True
            await successor.claim()
            self.assertEqual([fences.Right(epoch=1, rank=1)], successor.rights)

        run(scenario)

    def test_restarted_successor_does_not_take_over(self) -> None:
        """Guards against a rank that two processes of one VM use."""

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            rig.join(make_member('b'))
            await rig.claim()
            successor = Rig(make_member('c'), rig.store)
            successor.store.is_down = True
            await successor.claim()
            self.assertEqual([], successor.rights)

        run(scenario)


class TestRefresh(testtools.TestCase):
    def test_row_is_rewritten_when_the_successors_change(self) -> None:
        """Guards against heirs that are gone when they are needed."""

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            await rig.claim()
            self.assertFalse(rig.needs_refresh(5))
            rig.join(make_member('b'))
            self.assertFalse(rig.needs_refresh(5))
            self.assertTrue(rig.needs_refresh(6.1))

        run(scenario)

    def test_isolated_leader_shows_that_it_is_alive(self) -> None:
        """Guards against a claim by another zone on a living owner."""

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            await rig.claim()
            self.assertTrue(rig.needs_refresh(5, isolated=True))
            await rig.claim(5)
            self.assertFalse(rig.needs_refresh(5.3, isolated=True))
            self.assertTrue(rig.needs_refresh(5.6, isolated=True))
            self.assertLess(
                claiming.ISOLATED_REFRESH_S, claiming.FOREIGN_CLAIM_DELAY_S
            )

        run(scenario)
