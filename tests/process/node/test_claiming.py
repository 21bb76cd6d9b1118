"""Conditions under which a VM claims a shard or rewrites its claim."""

import dataclasses
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import deployment, ids
from sardineproxy.process.shards import fencing
from sardineproxy.process.membership import registry
from sardineproxy.process.node import claiming
from tests import virtual_time
from tests.process.node import samples

SHARD = ids.ShardId('z')
NO_VMS: frozenset[ids.VmId] = frozenset()


def make_member(name: str, zone: str = 'z', cores: float = 1) -> Any:
    return registry.Member(
        vm=ids.VmId(name),
        incarnation=ids.Incarnation('1'),
        zone=ids.ZoneId(zone),
        address=deployment.Address(host='10.0.0.1', port=1),
        cores=cores,
    )


class Rig:
    """The shard claimer of one VM, and the store shared with other VMs.

    Times are in seconds after a start at 1000 s.
    """

    def __init__(
        self,
        member: registry.Member,
        shared_store: samples.MemoryStore | None = None,
    ) -> None:
        self.store = shared_store or samples.MemoryStore()
        self.registry = registry.Registry()
        self.tokens: list[fencing.FencingToken] = []
        self.claimer = claiming.ShardClaimer(
            store=self.store,
            registry=self.registry,
            member=member,
            on_token=lambda _, token: self.tokens.append(token),
        )
        self.register(member)

    def register(self, *members: registry.Member) -> None:
        for member in members:
            write = registry.member_write(member)
            self.store.rows.put(write.key, write.body)
        self.refresh_registry()

    def refresh_registry(self) -> None:
        self.registry.apply(self.store.rows.read(registry.TABLE).rows)

    def should_claim(self, now: float, **changes: Any) -> bool:
        return self.claimer.should_claim(
            SHARD,
            leader=changes.get('leader'),
            connected_vms=changes.get('connected_vms', NO_VMS),
            unchecked_vms=changes.get('unchecked_vms', NO_VMS),
            now=1000 + now,
        )

    def needs_refresh(self, now: float, *, isolated: bool = False) -> bool:
        return self.claimer.needs_refresh(
            SHARD, self.tokens[-1], isolated=isolated, now=1000 + now
        )

    def must_inquire(
        self, *, isolated: bool = False, last_received_at: float = 1000
    ) -> bool:
        return self.claimer.must_inquire(
            SHARD, isolated=isolated, last_received_at=last_received_at
        )

    async def claim(self, now: float = 0) -> None:
        await self.claimer.claim(SHARD, 1000 + now)


def run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    virtual_time.run(scenario)


class TestShouldClaim(testtools.TestCase):
    def test_largest_vm_of_the_zone_claims_first(self) -> None:
        """Guards against all VMs of a zone claiming simultaneously.

        All of them detect the loss of the leader at about the same time.
        """
        small = Rig(make_member('small'))
        small.register(make_member('large', cores=2))
        connected = frozenset((ids.VmId('large'),))
        self.assertFalse(small.should_claim(0, connected_vms=connected))
        self.assertFalse(small.should_claim(0.6, connected_vms=connected))
        self.assertTrue(small.should_claim(0.8, connected_vms=connected))

    def test_shard_with_a_leader_is_not_claimed(self) -> None:
        """Guards against a change of leader without a failure.

        The shard has been without a leader before: the delay must count from
        the last loss of its leader.
        """
        rig = Rig(make_member('a'))
        self.assertFalse(rig.should_claim(0))
        self.assertFalse(rig.should_claim(60, leader=ids.VmId('b')))
        self.assertFalse(rig.should_claim(60.01))

    def test_other_zone_waits_while_the_zone_has_vms(self) -> None:
        """Guards against a claim by another zone before the zone's own VMs.

        VMs of other zones detect the loss of the leader at the same time as
        the zone's own VMs.
        """
        rig = Rig(make_member('a', zone='other'))
        rig.register(make_member('b'))
        connected = frozenset((ids.VmId('b'),))
        self.assertFalse(rig.should_claim(0, connected_vms=connected))
        self.assertFalse(rig.should_claim(60, connected_vms=connected))
        self.assertTrue(rig.should_claim(61))

    def test_rewritten_claim_row_restarts_the_delay(self) -> None:
        """Guards against replacing a leader that is alive but not linked.

        Without a link, no heartbeat shows that the leader is alive, only the
        new revision of its claim row.
        """

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            rig = Rig(make_member('a', zone='other'), leader.store)
            self.assertFalse(rig.should_claim(0))
            await leader.claim(5)
            rig.refresh_registry()
            self.assertFalse(rig.should_claim(5))

        run(scenario)

    def test_started_process_looks_for_the_leader_first(self) -> None:
        """Guards against a takeover by each VM that is added or restarted.

        A new process finds the claim in the store before its link to the
        leader is open. On the large site, each added VM took over its zone's
        shard 0.2 s after its start, and small ones could not carry the load.
        """

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            unchecked = frozenset((ids.VmId('b'),))
            started = Rig(make_member('a'), leader.store)
            for tenth in range(15):
                self.assertFalse(
                    started.should_claim(tenth / 10, unchecked_vms=unchecked)
                )
            self.assertTrue(started.should_claim(1.5))

        run(scenario)

    def test_started_process_does_not_look_for_the_leader_forever(self) -> None:
        """Guards against a zone without a leader while dialing hangs."""

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            unchecked = frozenset((ids.VmId('b'),))
            started = Rig(make_member('a'), leader.store)
            self.assertFalse(started.should_claim(0, unchecked_vms=unchecked))
            self.assertTrue(started.should_claim(2.1, unchecked_vms=unchecked))

        run(scenario)

    def test_small_vm_waits_until_larger_ones_are_checked(self) -> None:
        """Guards against a small leader after all VMs have restarted."""
        small = Rig(make_member('small'))
        small.register(make_member('large', cores=2))
        unchecked = frozenset((ids.VmId('large'),))
        self.assertFalse(small.should_claim(0, unchecked_vms=unchecked))
        self.assertFalse(small.should_claim(0.7, unchecked_vms=unchecked))
        self.assertTrue(small.should_claim(0.7))

    def test_large_vm_is_preferred_to_a_small_leader(self) -> None:
        """Guards against a leader that cannot carry the load of its zone."""
        small = Rig(make_member('small'))
        small.register(
            make_member('medium', cores=1.5), make_member('other', 'y', cores=9)
        )
        self.assertIsNone(small.claimer.find_larger())
        small.register(make_member('large', cores=2))
        self.assertEqual('large', small.claimer.find_larger())

    def test_workers_must_be_reachable_for_the_whole_delay(self) -> None:
        """Guards against claims by the isolated side of a partition.

        When the partition ends, the workers are reachable before the links
        are open again, so that a single successful probe is not enough.
        """
        claimer = Rig(make_member('a')).claimer
        self.assertFalse(claimer.record_probe(SHARD, reached=True, now=0))
        self.assertFalse(claimer.record_probe(SHARD, reached=False, now=0.5))
        self.assertFalse(claimer.record_probe(SHARD, reached=True, now=1))
        self.assertTrue(claimer.record_probe(SHARD, reached=True, now=1.9))


class TestInquiry(testtools.TestCase):
    def test_leader_that_is_only_not_linked_is_asked(self) -> None:
        """Guards against claims by a VM whose own links are silent."""

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            rig = Rig(make_member('a'), leader.store)
            self.assertFalse(rig.should_claim(0, leader=ids.VmId('b')))
            self.assertTrue(rig.must_inquire(isolated=True))
            self.assertFalse(rig.must_inquire())
            foreign = Rig(make_member('c', zone='other'), leader.store)
            foreign.should_claim(0, leader=ids.VmId('b'))
            self.assertTrue(foreign.must_inquire())
            unlinked = Rig(make_member('d'), leader.store)
            self.assertTrue(unlinked.must_inquire())

        run(scenario)

    def test_leader_whose_process_has_ended_is_not_asked(self) -> None:
        """Guards against a delay after all VMs have restarted."""

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            self.assertFalse(rig.must_inquire(isolated=True))
            leader = Rig(make_member('b'), rig.store)
            await leader.claim()
            rig.register(
                dataclasses.replace(
                    make_member('b'), incarnation=ids.Incarnation('2')
                )
            )
            self.assertFalse(rig.must_inquire(isolated=True))

        run(scenario)

    def test_leader_is_asked_until_another_link_proves_to_work(self) -> None:
        """Guards against claims by a VM whose links are all silent.

        The link to the leader of its zone times out first, so that the others
        still seem to be open.
        """

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            rig = Rig(make_member('a'), leader.store)
            rig.should_claim(0, leader=ids.VmId('b'))
            rig.claimer.record_silence(ids.VmId('b'), 1000)
            self.assertTrue(rig.must_inquire(last_received_at=1000.1))
            self.assertFalse(rig.must_inquire(last_received_at=1000.3))
            rig.claimer.record_silence(ids.VmId('b'), None)
            self.assertFalse(rig.must_inquire(last_received_at=1000.1))

        run(scenario)

    def test_answer_of_the_leader_restarts_the_delay(self) -> None:
        """Guards against replacing a leader that answers an inquiry."""

        async def scenario() -> None:
            leader = Rig(make_member('b'))
            await leader.claim()
            rig = Rig(make_member('a'), leader.store)
            self.assertFalse(rig.should_claim(0))
            self.assertTrue(rig.should_claim(1))
            self.assertTrue(await rig.claimer.inquire(SHARD))
            rig.claimer.record_inquiry(SHARD, started_at=1001, now=1001)
            leader.refresh_registry()
            self.assertTrue(leader.claimer.is_asked(SHARD))
            self.assertTrue(await leader.claimer.answer(SHARD))
            rig.refresh_registry()
            self.assertFalse(leader.claimer.is_asked(SHARD))
            self.assertFalse(rig.should_claim(1.2))
            self.assertFalse(rig.claimer.is_unanswered(SHARD, 1002))

        run(scenario)

    def test_leader_that_does_not_answer_is_replaced(self) -> None:
        """Guards against a shard without a leader for good."""
        claimer = Rig(make_member('a')).claimer
        self.assertTrue(claimer.needs_inquiry(SHARD, 1000))
        claimer.record_inquiry(SHARD, started_at=1000, now=1000.01)
        self.assertFalse(claimer.needs_inquiry(SHARD, 1000.1))
        self.assertFalse(claimer.is_unanswered(SHARD, 1000.2))
        self.assertTrue(claimer.is_unanswered(SHARD, 1000.4))
        self.assertTrue(claimer.needs_inquiry(SHARD, 1002))

    def test_answer_takes_longer_through_a_slow_store(self) -> None:
        """Guards against replacing a leader whose answer is on its way."""
        claimer = Rig(make_member('a')).claimer
        claimer.record_inquiry(SHARD, started_at=1000, now=1000.5)
        self.assertFalse(claimer.is_unanswered(SHARD, 1002))
        self.assertTrue(claimer.is_unanswered(SHARD, 1002.6))

    def test_store_that_is_unavailable_does_not_delay_a_successor(self) -> None:
        """Guards against a zone without a leader during a store outage."""

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            rig.store.is_down = True
            self.assertFalse(await rig.claimer.inquire(SHARD))

        run(scenario)


class TestClaim(testtools.TestCase):
    def test_each_claim_has_a_higher_epoch(self) -> None:
        """Guards against fencing tokens that do not increase.

        Workers would then accept orders of a former leader.
        """

        async def scenario() -> None:
            first = Rig(make_member('a'))
            await first.claim()
            second = Rig(make_member('b'), first.store)
            await second.claim()
            self.assertTrue(first.tokens[0] < second.tokens[0])

        run(scenario)

    def test_claim_based_on_an_outdated_row_fails(self) -> None:
        """Guards against two leaders with the same epoch.

        Both VMs have read the same row when they write their claims.
        """

        async def scenario() -> None:
            first = Rig(make_member('a'))
            second = Rig(make_member('b'), first.store)
            await first.claim()
            await second.claim()
            self.assertEqual([], second.tokens)

        run(scenario)

    def test_successor_takes_over_while_the_store_is_unavailable(self) -> None:
        """Guards against an idle zone when its leader fails in a store outage.

        No VM can write a claim then, so that a successor must lead the shard
        with the rank that the previous claim assigns.
        """

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            rig.register(make_member('b'))
            await rig.claim()
            successor = Rig(make_member('b'), rig.store)
            successor.store.is_down = True
            await successor.claim()
            self.assertEqual(
                [fencing.FencingToken(epoch=1, rank=1)], successor.tokens
            )

        run(scenario)

    def test_process_not_named_in_the_claim_does_not_take_over(self) -> None:
        """Guards against two processes that use the same rank.

        Only a process that the claim names as successor has a rank.
        """

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            rig.register(make_member('b'))
            await rig.claim()
            other_process = Rig(make_member('c'), rig.store)
            other_process.store.is_down = True
            await other_process.claim()
            self.assertEqual([], other_process.tokens)

        run(scenario)


class TestRefresh(testtools.TestCase):
    def test_row_is_rewritten_when_the_successors_change(self) -> None:
        """Guards against a claim whose successors have all left.

        VMs join and leave after the claim was written.
        """

        async def scenario() -> None:
            rig = Rig(make_member('a'))
            await rig.claim()
            self.assertFalse(rig.needs_refresh(5))
            rig.register(make_member('b'))
            self.assertFalse(rig.needs_refresh(5))
            self.assertTrue(rig.needs_refresh(6.1))

        run(scenario)

    def test_isolated_leader_shows_that_it_is_alive(self) -> None:
        """Guards against a claim by another zone while the leader is alive.

        Without links, VMs of other zones see only the writes of its claim row.
        """

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
