"""Entry processes of a deployment over loopback."""

import asyncio
import contextlib
import dataclasses
import json
import random
import types
from typing import AsyncIterator, Callable

import testtools

from sardineproxy import clock, ids
from sardineproxy.connection import frames
from sardineproxy.process import (
    demand,
    directory,
    metrics,
    neighbors,
    peers,
    slots,
)
from sardineproxy.request import forwarding
from tests.connection import test_peer
from tests.process import test_views

HOST = '127.0.0.1'
TIMEOUT_S = 60
X = 'x'

#: Only tests of silence shorten it, as a busy machine may stall a process.
CFG = peers.Config(takeover_grace_s=0.2, tick_s=0.01)
NEVER_S = 10_000


REPLIED = forwarding.Replied(payload=b'reply to ask')


class ShiftedClock(clock.SystemClock):
    """System clock that a test can set forward."""

    shift: float = 0

    def now(self) -> float:
        return super().now() + self.shift


class Process:
    """One entry process, with its handler and what it gossips."""

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        cfg: peers.Config = CFG,
        incarnation: str = '1',
        cut: set[int] | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.cut = cut if cut is not None else set()
        self.clock = ShiftedClock()
        self.table = slots.SlotTable()
        self.directory = directory.VmDirectory()
        self.metrics = metrics.Metrics()
        self.handled: list[bytes] = []
        self.hold: asyncio.Event | None = None
        self.version = 0
        self.peers = peers.Peers(
            clock=self.clock,
            rng=random.Random(name),
            vm=name,
            incarnation=incarnation,
            zone=zone,
            size=1,
            directory=self.directory,
            slot_table=self.table,
            handler=self,
            gossip=types.SimpleNamespace(
                version_number=lambda: self.version,
                changes_since=lambda _: str(self.version).encode(),
                offer_changes=self.offer_changes,
                listing_revision=int,
            ),
            metrics=self.metrics,
            cfg=cfg,
            connect=self.connect,
        )

    async def connect(self, host: str, port: int):
        if port in self.cut:
            raise ConnectionRefusedError
        return await asyncio.open_connection(host, port)

    async def handle(self, payload: bytes) -> bytes:
        self.handled.append(payload)
        if self.hold:
            await self.hold.wait()
        return b'reply to ' + payload

    def offer_changes(self, payload: bytes) -> None:
        self.version = int(payload)

    def free_for_backlog(self) -> int:
        backlog = demand.CustomerDemand(
            customer=X, weight=1, waiting=200, running=0
        )
        self.peers.on_backlog(demand.Demand(customers=(backlog,)))
        now = self.clock.now()
        return len(self.table.free_endpoints(customer=X, now=now))

    def peer_names(self) -> list[str]:
        state = json.dumps(self.peers.state(now=self.clock.now()))
        return [each['vm'] for each in json.loads(state)['peers']]

    async def forward(self, to: str, incarnation: str, wait_s: float = 60):
        return await self.peers.forward(
            vm=to,
            incarnation=incarnation,
            payload=b'ask',
            deadline=self.clock.now() + wait_s,
        )


async def eventually(holds: Callable[[], object]) -> None:
    """Wait until it holds, for as long as the test may last."""
    while not holds():
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(*processes: Process) -> AsyncIterator[dict[str, int]]:
    """Start processes that list each other; yield their ports."""
    ports = {}
    try:
        async with asyncio.timeout(TIMEOUT_S):
            for process in processes:
                await process.peers.start(host=HOST, port=0)
                ports[process.name] = process.peers.port
            entries = tuple(
                (process.name, process.zone, ports[process.name])
                for process in processes
            )
            for listed in processes:
                listed.directory.offer(test_views.listing(1, entries))
            yield ports
    finally:
        await asyncio.gather(*(process.peers.close() for process in processes))


def owned(*processes: Process) -> list[str]:
    """Return all endpoints that the processes own, with repetitions."""
    return sorted(
        endpoint for process in processes for endpoint in process.table.owned
    )


def share_all(*processes: Process) -> Callable[[], bool]:
    """Return the check that each endpoint has one owner among these."""

    def check() -> bool:
        names = owned(*processes)
        return len(names) == test_views.ENDPOINTS == len(set(names))

    return check


def _zone(names: str = 'abc', **settings) -> list[Process]:
    return [Process(name, 'z1', **settings) for name in names]


class ZoneTest(testtools.TestCase):
    """The processes of one zone share its endpoints."""

    @test_peer.asynchronous
    async def test_vanished_process_is_replaced(self) -> None:
        one, two, three = _zone()
        async with running(one, two, three):
            counts: list[int] = []
            one.peers.live_vms.subscribe(counts.append)
            await eventually(share_all(one, two, three))
            await eventually(lambda: counts[-1] == 3)
            await three.peers.close()
            await eventually(share_all(one, two))
            await eventually(lambda: counts[-1] == 2)

    @test_peer.asynchronous
    async def test_goodbye_needs_no_grace(self) -> None:
        one, two, three = _zone()
        async with running(one, two, three):
            await eventually(share_all(one, two, three))
            for process in (one, two):
                process.peers._views._grace_s = NEVER_S
            await three.peers.goodbye()
            self.assertEqual([], owned(three))
            await eventually(share_all(one, two))
            three.peers._streams.abort_all('streams may fail after Goodbye')
            await eventually(lambda: len(three.peer_names()) == 2)
            await three.peers.close()
            await eventually(share_all(one, two))

    @test_peer.asynchronous
    async def test_restart_under_the_same_address(self) -> None:
        old, other = _zone('ab')
        new = Process('a', 'z1', incarnation='2')
        async with running(old, other) as ports:
            await eventually(share_all(old, other))
            await old.peers.close()
            await new.peers.start(host=HOST, port=ports['a'])
            new.directory.offer(other.directory.newest)
            await eventually(share_all(new, other))
            self.assertEqual(forwarding.Gone(), await other.forward('a', '1'))
            self.assertEqual(REPLIED, await other.forward('a', '2'))
            await new.peers.close()

    @test_peer.asynchronous
    async def test_frozen_process_drops_what_it_owned(self) -> None:
        one, two = _zone('ab')
        async with running(one, two):
            await eventually(share_all(one, two))
            endpoint = ids.EndpointId(owned(one)[0])
            one.clock.shift = CFG.stream.peer_silent_s
            now = one.clock.now()
            self.assertIs(
                None, one.table.acquire(endpoint=endpoint, customer=X, now=now)
            )
            one.peers.tick(now)
            self.assertEqual([], owned(one))
            await eventually(share_all(one, two))

    @test_peer.asynchronous
    async def test_both_sides_of_a_partition_serve(self) -> None:
        cut: set[int] = set()
        one, two = _zone('ab', cut=cut)
        async with running(one, two) as ports:
            await eventually(share_all(one, two))
            cut.update(ports.values())
            one.peers._streams.abort_all('cut by the test')
            await eventually(share_all(one))
            await eventually(share_all(two))
            cut.clear()
            await eventually(share_all(one, two))

    @test_peer.asynchronous
    async def test_lends_idle_slots_across_zones(self) -> None:
        cfg = dataclasses.replace(
            CFG, stream=peers.streams.Config(heartbeat_s=0.1)
        )
        one, two = Process('a', 'z1', cfg=cfg), Process('b', 'z2', cfg=cfg)
        async with running(one, two):
            await eventually(share_all(one, two))
            await eventually(
                lambda: one.free_for_backlog() == test_views.ENDPOINTS
            )
            self.assertEqual(0, two.table.free_slots)
            counted = two.metrics.counters()
            self.assertIn('peer_frames_total{kind="SlotGrant"}', counted)


class StreamsTest(testtools.TestCase):
    """Streams fail and are opened again; what was asked is asked again."""

    @test_peer.asynchronous
    async def test_forwards_are_asked_again_on_a_new_stream(self) -> None:
        one, two = _zone('ab')
        async with running(one, two):
            two.hold = asyncio.Event()
            asked = asyncio.create_task(one.forward('b', '1'))
            await eventually(lambda: two.handled)
            one.peers._streams.abort_all('cut by the test')
            await eventually(lambda: len(two.handled) == 2)
            two.hold.set()
            self.assertEqual(REPLIED, await asked)

    @test_peer.asynchronous
    async def test_opens_a_stream_for_a_forward(self) -> None:
        cfg = dataclasses.replace(CFG, cross_zone_peers=0)
        one, two = Process('a', 'z1', cfg=cfg), Process('b', 'z2', cfg=cfg)
        async with running(one, two):
            self.assertEqual(REPLIED, await two.forward('a', '1'))
            self.assertEqual(forwarding.Gone(), await one.forward('b', '0'))

    @test_peer.asynchronous
    async def test_unreachable_until_the_deadline(self) -> None:
        one, two = _zone('ab')
        async with running(one, two) as ports:
            one.cut.update(ports.values())
            two.cut.update(ports.values())
            one.peers._streams.abort_all('cut by the test')
            for to in ('b', 'unlisted'):
                reply = await one.forward(to, '1', 0.2)
                self.assertEqual(forwarding.Unreachable(), reply)

    @test_peer.asynchronous
    async def test_garbled_stream_changes_nothing(self) -> None:
        """A View after garbage on the same stream must not be acted on."""
        one = Process('a', 'z1')
        hello = frames.Hello(
            vm='x', incarnation='1', zone='z9', version=0, revision=0
        )
        good = frames.encode(frames.Forward(number=1, payload=b'x')).unwrap()
        async with running(one) as ports:
            for bad in (b'\x00\x00\x00\x01\xc1', b'\xff\xff\xff\xff'):
                reader, writer = await asyncio.open_connection(HOST, ports['a'])
                writer.write(frames.encode(hello).unwrap() + bad + good)
                with contextlib.suppress(OSError):
                    await reader.read()
                writer.close()
            self.assertEqual([], one.handled)
            await eventually(lambda: not one.peer_names())
            self.assertEqual(test_views.ENDPOINTS, len(owned(one)))

    @test_peer.asynchronous
    async def test_silent_stream_is_closed_and_opened_again(self) -> None:
        """The far end says Hello and nothing more, on every stream."""
        cfg = dataclasses.replace(
            CFG, stream=peers.streams.Config(heartbeat_s=0.1, peer_silent_s=0.3)
        )
        one = Process('a', 'z1', cfg=cfg)
        received: list[str] = []

        async def accept(reader, writer) -> None:
            received.append('stream')
            hello = dataclasses.replace(one.peers._hello(), vm='b')
            writer.write(frames.encode(hello).unwrap())
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with running(one):
            entries = (('a', 'z1', 1), ('b', 'z1', port))
            one.directory.offer(test_views.listing(2, entries))
            await eventually(lambda: len(received) > 2)
            beats = one.metrics.counters()
            self.assertIn('peer_frames_total{kind="Heartbeat"}', beats)
        server.close()

    @test_peer.asynchronous
    async def test_newer_versions_spread(self) -> None:
        processes = [Process(f'v{each}', f'z{each % 3}') for each in range(6)]
        async with running(*processes):
            for each in processes:
                await eventually(each.peer_names)
            processes[4].version = 7
            await eventually(lambda: {p.version for p in processes} == {7})


class NeighborsTest(testtools.TestCase):
    """Streams stay few at the target size, one for each pair."""

    def test_one_end_opens_each_stream(self) -> None:
        entries = tuple(
            (f'vm-{each}', f'zone-{each % 13}', 1) for each in range(104)
        )
        listing = test_views.listing(1, entries)
        chosen = {
            vm: neighbors.choose(
                listing=listing, vm=vm, zone=zone, peers_per_zone=2
            ).chosen
            for vm, zone, _ in entries
        }
        for vm, others in chosen.items():
            self.assertEqual(7 + 12 * 2, len(others))
            for other, dials in others.items():
                dialed = chosen[other].get(vm, False)
                self.assertNotEqual(dials, dialed)
