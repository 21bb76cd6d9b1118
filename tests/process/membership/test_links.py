"""Heartbeats and heartbeat timeouts on links."""

import asyncio
import random
import time
from typing import Any

import testtools

from sardineproxy import background, clock, deployment, ids
from sardineproxy.connection import link, messages
from sardineproxy.process.membership import links
from tests import virtual_time
from tests.soak import vm

HEARTBEAT = messages.Heartbeat(version=1, shards=(), pending=())


class FakeLink:
    """A link whose send and receive times are set by the test."""

    def __init__(self, now: float) -> None:
        self.peer = messages.Greeting(
            vm=ids.VmId('b'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('z'),
        )
        self.opened_at = now
        self.last_received_at = now
        self.last_heartbeat_at = now
        self.sent: list[Any] = []
        self.is_aborted = False

    def send(self, message: Any) -> bool:
        self.sent.append(message)
        return True

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted


class _Writer:
    """A connection that accepts everything."""

    transport: Any

    def __init__(self) -> None:
        self.transport = self

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, frame: bytes) -> None:
        """Discard the frame."""


class FailingEvents:
    """Fails for each message."""

    def __init__(self) -> None:
        self.received_count = 0

    def opened(self, opened: Any) -> None:
        """Ignore the event."""

    def closed(self, closed: Any) -> None:
        """Ignore the event."""

    def received(self, source: Any, message: Any) -> None:
        self.received_count += 1
        raise RuntimeError('unexpected')


def make_links(name: str, events: Any) -> links.Links:
    return links.Links(
        clock=clock.SystemClock(),
        rng=random.Random(1),
        identity=messages.Greeting(
            vm=ids.VmId(name),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('z'),
        ),
        events=events,
        heartbeat_timing=lambda *_: links.IDLE_HEARTBEAT,
    )


def make_heartbeat(_: Any) -> messages.Heartbeat:
    return HEARTBEAT


async def send_and_lose_link(dialing: links.Links) -> None:
    """Dial, send a message that the peer fails to handle, await the close."""
    async with asyncio.timeout(20):
        while not dialing.open_links:
            dialing.tick(time.monotonic(), make_heartbeat)
            await asyncio.sleep(0.01)
        dialing.broadcast(messages.RegistryRequest())
        while dialing.open_links:
            await asyncio.sleep(0.01)


class Rig:
    """Links of one VM, with one link open since time 1000 s."""

    def __init__(self) -> None:
        self.heartbeat_timing = links.HeartbeatTiming(
            interval_s=0.3, timeout_s=1.1
        )
        self.closed_links: list[Any] = []
        self.tested = links.Links(
            clock=virtual_time.LoopClock(),
            rng=random.Random(1),
            identity=FakeLink(0).peer,
            events=self,
            heartbeat_timing=lambda *_: self.heartbeat_timing,
        )
        self.link = FakeLink(1000)
        self.tested.open_links[self.link.peer.vm] = [self.link]  # type: ignore[list-item]
        self.tick(0)

    def closed(self, closed: Any) -> None:
        self.closed_links.append(closed)

    def opened(self, opened: Any) -> None:
        """Ignore the event."""

    def received(self, source: Any, message: Any) -> None:
        """Ignore the message."""

    def tick(self, at: float, *, is_late: bool = False) -> bool:
        """Tick at time ``at``; return whether the link is still open."""
        self.tested.tick(1000 + at, lambda _: HEARTBEAT, is_late=is_late)
        return not self.link.is_aborted


class TestErrors(testtools.TestCase):
    def test_error_while_handling_a_message_closes_only_its_link(self) -> None:
        """Guards against a message of one peer that ends the process."""

        async def main() -> None:
            contexts: list[dict[str, Any]] = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: contexts.append(context)
            )
            events = FailingEvents()
            accepting = make_links('a', events)
            dialing = make_links('b', FailingEvents())
            address = deployment.Address(
                host='127.0.0.1', port=vm.free_ports('127.0.0.1')[0]
            )
            await accepting.start(address)
            dialing.set_targets({address: 0})
            await send_and_lose_link(dialing)
            await send_and_lose_link(dialing)
            self.assertEqual(2, events.received_count)
            self.assertEqual(
                [False, False],
                [bool(context.get(background.FATAL)) for context in contexts],
            )
            await dialing.close()
            await accepting.close()

        asyncio.run(main())


class TestTick(testtools.TestCase):
    def test_delayed_process_reads_before_it_closes_a_link(self) -> None:
        """Guards against taking a delay of this process for a silent peer.

        A small VM under load finds both that the time is over and that
        heartbeats have arrived, which it reads next. Closing the link would
        give up the jobs on it and make the load worse.
        """
        rig = Rig()
        self.assertTrue(rig.tick(1.2, is_late=True))
        rig.link.last_received_at = 1001.2
        self.assertTrue(rig.tick(1.3))
        self.assertTrue(rig.tick(2.5, is_late=True))
        self.assertFalse(rig.tick(2.6))

    def test_vm_is_unchecked_until_it_is_linked_or_unreachable(self) -> None:
        """Guards against treating a VM as failed before it was dialed."""

        async def main() -> None:
            rig = Rig()
            address = deployment.Address(host='127.0.0.1', port=1)
            rig.tested.set_targets({address: 0})
            rig.tested.set_peer_vm(address, ids.VmId('c'))
            self.assertEqual({'c'}, rig.tested.unchecked_vms())
            rig.tick(1)
            await asyncio.sleep(1)
            self.assertEqual(frozenset(), rig.tested.unchecked_vms())

        virtual_time.run(main)

    def test_link_without_heartbeats_is_closed_and_reported(self) -> None:
        """Guards against a VM that still counts as leader after it failed."""
        rig = Rig()
        self.assertTrue(rig.tick(1))
        self.assertFalse(rig.tick(1.2))
        self.assertEqual([rig.link], rig.closed_links)
        self.assertIsNone(rig.tested.get(ids.VmId('b')))

    def test_link_with_traffic_stays_open(self) -> None:
        """Guards against closing links that still receive messages."""
        rig = Rig()
        for tenth in range(50):
            rig.link.last_received_at = 1000 + tenth / 10
            self.assertTrue(rig.tick(tenth / 10))

    def test_heartbeats_are_sent_on_idle_links(self) -> None:
        """Guards against a peer that closes an idle link by timeout."""
        rig = Rig()
        rig.tick(0.2)
        self.assertEqual([], rig.link.sent)
        rig.tick(0.31)
        self.assertEqual([HEARTBEAT], rig.link.sent)

    def test_heartbeats_are_sent_on_links_with_other_traffic(self) -> None:
        """Guards against outdated counts of waiting jobs at a VM that is
        queried often: only heartbeats carry them."""
        rig = Rig()
        counted = 0
        for number in range(1, 13):
            # Slightly more than a third of the interval.
            at = number * 0.101
            now = 1000 + at
            rig.link.last_received_at = now
            rig.link.send(messages.TakeOver(shard=ids.ShardId('z')))
            rig.tick(at)
            if rig.link.sent.count(HEARTBEAT) > counted:
                counted += 1
                rig.link.last_heartbeat_at = now
        self.assertEqual(4, counted)

    def test_real_link_separates_heartbeats_from_other_messages(self) -> None:
        """Guards against traffic that postpones the next heartbeat."""

        async def scenario() -> None:
            loop_clock = virtual_time.LoopClock()
            tested = link.Link(
                clock=loop_clock,
                reader=asyncio.StreamReader(),
                writer=_Writer(),  # type: ignore[arg-type]
                dialed=True,
            )
            opened_at = loop_clock.now()
            await asyncio.sleep(1)
            tested.send(messages.TakeOver(shard=ids.ShardId('z')))
            self.assertEqual(opened_at, tested.last_heartbeat_at)
            self.assertEqual(opened_at + 1, tested.last_used_at)
            await asyncio.sleep(1)
            tested.send(HEARTBEAT)
            self.assertEqual(opened_at + 2, tested.last_heartbeat_at)
            self.assertEqual(opened_at + 1, tested.last_used_at)

        virtual_time.run(scenario)

    def test_change_of_timing_does_not_extend_the_former_timeout(self) -> None:
        """Guards against a failed VM whose runs outlast its client's retry.

        Its silence was counted anew when another VM became its leader.
        """
        rig = Rig()
        self.assertTrue(rig.tick(0.9))
        rig.heartbeat_timing = links.HOME_LEADER_HEARTBEAT
        self.assertTrue(rig.tick(1))
        self.assertFalse(rig.tick(1.15))

    def test_longer_timeout_counts_from_the_last_message(self) -> None:
        """Guards against a failed VM that stays linked after a change."""
        rig = Rig()
        rig.heartbeat_timing = links.HOME_LEADER_HEARTBEAT
        self.assertTrue(rig.tick(0.1))
        rig.heartbeat_timing = links.LEADER_HEARTBEAT
        self.assertTrue(rig.tick(0.4))
        self.assertTrue(rig.tick(0.6))
        self.assertFalse(rig.tick(0.75))

    def test_shorter_timeout_counts_from_the_change_of_timing(self) -> None:
        """Guards against a timeout before the peer shortens its interval.

        The peer learns of a new leader later and sends heartbeats at the
        longer interval until then.
        """
        rig = Rig()
        self.assertTrue(rig.tick(0.1))
        rig.heartbeat_timing = links.HOME_LEADER_HEARTBEAT
        self.assertTrue(rig.tick(0.45))
        self.assertTrue(rig.tick(0.8))
        self.assertFalse(rig.tick(0.9))
