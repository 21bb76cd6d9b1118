"""Silence and heartbeats on links."""

import random
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.membership import links
from tests import virtual_time

BEAT = messages.Beat(version=1, shards=(), pending=())


class FakeLink:
    """A link on which a test decides what was heard and sent."""

    def __init__(self, now: float) -> None:
        self.peer = messages.Greeting(
            vm=ids.VmId('b'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('z'),
        )
        self.opened_at = now
        self.heard_at = now
        self.sent_at = now
        self.sent: list[Any] = []
        self.is_aborted = False

    def send(self, message: Any) -> bool:
        self.sent.append(message)
        return True

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted


class Rig:
    """Links of one VM, with one link open since 1000 s."""

    def __init__(self) -> None:
        self.heartbeat_timing = links.FOLLOWER_HEARTBEAT
        self.closed_links: list[Any] = []
        self.tested = links.Links(
            clock=virtual_time.LoopClock(),
            rng=random.Random(1),
            me=FakeLink(0).peer,
            events=self,
            heartbeat_timing=lambda _: self.heartbeat_timing,
        )
        self.link = FakeLink(1000)
        self.tested.open_links[self.link.peer.vm] = [self.link]  # type: ignore[list-item]
        self.tick(0)

    def closed(self, closed: Any) -> None:
        self.closed_links.append(closed)

    def opened(self, opened: Any) -> None:
        """Take no notice."""

    def received(self, source: Any, message: Any) -> None:
        """Take no notice."""

    def tick(self, at: float) -> bool:
        """Let time pass; tell whether the link is still open."""
        self.tested.tick(1000 + at, BEAT)
        return not self.link.is_aborted


class TestTick(testtools.TestCase):
    def test_silent_link_is_closed_and_told(self) -> None:
        """Guards against an owner that is believed after it was lost."""
        rig = Rig()
        self.assertTrue(rig.tick(1))
        self.assertFalse(rig.tick(1.2))
        self.assertEqual([rig.link], rig.closed_links)
        self.assertIsNone(rig.tested.get(ids.VmId('b')))

    def test_heard_link_stays(self) -> None:
        """Guards against links that are closed for no reason."""
        rig = Rig()
        for tenth in range(50):
            rig.link.heard_at = 1000 + tenth / 10
            self.assertTrue(rig.tick(tenth / 10))

    def test_beats_are_sent_where_nothing_else_is(self) -> None:
        """Guards against a peer that takes this VM for lost."""
        rig = Rig()
        rig.tick(0.2)
        self.assertEqual([], rig.link.sent)
        rig.tick(0.31)
        self.assertEqual([BEAT], rig.link.sent)

    def test_faster_rhythm_counts_from_its_beginning(self) -> None:
        """Guards against a link closed before the other end beats faster."""
        rig = Rig()
        self.assertTrue(rig.tick(0.1))
        rig.heartbeat_timing = links.HOME_LEADER_HEARTBEAT
        self.assertTrue(rig.tick(0.45))
        self.assertTrue(rig.tick(0.8))
        self.assertFalse(rig.tick(0.9))
