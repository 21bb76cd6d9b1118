"""Tests of the peer protocol between entry processes over loopback."""

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
CUSTOMER = 'x'

#: The heartbeat interval and the peer timeout have their defaults, because a
#: process may stall on a busy machine. Only tests that need them shorten them.
CFG = peers.Config(takeover_grace_s=0.2, tick_s=0.01)
NEVER_S = 10_000
REPLIED = forwarding.Replied(payload=b'reply to request')


class ShiftedClock(clock.SystemClock):
    """System clock that a test can advance."""

    shift: float = 0

    def now(self) -> float:
        return super().now() + self.shift


class Process:
    """Peers of an entry process, with a fake request handler and gossip."""

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        cfg: peers.Config = CFG,
        incarnation: str = '1',
        refused_ports: set[int] | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.refused_ports = (
            refused_ports if refused_ports is not None else set()
        )
        self.clock = ShiftedClock()
        self.table = slots.SlotTable()
        self.directory = directory.VmDirectory()
        self.metrics = metrics.Metrics()
        self.handled: list[bytes] = []
        self.reply_allowed: asyncio.Event | None = None
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
        if port in self.refused_ports:
            raise ConnectionRefusedError
        return await asyncio.open_connection(host, port)

    async def handle(self, payload: bytes) -> bytes:
        self.handled.append(payload)
        if self.reply_allowed:
            await self.reply_allowed.wait()
        return b'reply to ' + payload

    def offer_changes(self, payload: bytes) -> None:
        self.version = int(payload)

    def free_endpoints_for_backlog(self) -> int:
        """Report a backlog; return how many endpoints have a free slot."""
        backlog = demand.CustomerDemand(
            customer=CUSTOMER, weight=1, waiting=200, running=0
        )
        self.peers.on_backlog(demand.Demand(customers=(backlog,)))
        now = self.clock.now()
        return len(self.table.free_endpoints(customer=CUSTOMER, now=now))

    def peer_names(self) -> list[str]:
        state = json.dumps(self.peers.state(now=self.clock.now()))
        return [peer['vm'] for peer in json.loads(state)['peers']]

    async def forward(self, to: str, incarnation: str, wait_s: float = 60):
        return await self.peers.forward(
            vm=to,
            incarnation=incarnation,
            payload=b'request',
            deadline=self.clock.now() + wait_s,
        )


async def eventually(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; limited by the timeout of ``running``."""
    while not condition():
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(*processes: Process) -> AsyncIterator[dict[str, int]]:
    """Start processes with the same VM list; yield their ports by name."""
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


def owned_endpoints(*processes: Process) -> list[str]:
    """Return all endpoints that the processes own, with duplicates."""
    return sorted(
        endpoint for process in processes for endpoint in process.table.owned
    )


def each_owned_once(*processes: Process) -> Callable[[], bool]:
    """Return a check that every endpoint has one owner among ``processes``."""

    def check() -> bool:
        names = owned_endpoints(*processes)
        return len(names) == test_views.ENDPOINTS == len(set(names))

    return check


def make_processes(names: str = 'abc', **settings) -> list[Process]:
    return [Process(name, 'z1', **settings) for name in names]


class ZoneTest(testtools.TestCase):
    """Guards against endpoints of a zone without an owner, or with two."""

    @test_peer.asynchronous
    async def test_slots_of_an_unreachable_process_are_taken_over(self) -> None:
        """Guards against idle endpoints after a process has failed.

        Its streams are closed without Goodbye.
        """
        one, two, three = make_processes()
        async with running(one, two, three):
            counts: list[int] = []
            one.peers.live_vms.subscribe(counts.append)
            await eventually(each_owned_once(one, two, three))
            await eventually(lambda: counts[-1] == 3)
            await three.peers.close()
            await eventually(each_owned_once(one, two))
            await eventually(lambda: counts[-1] == 2)

    @test_peer.asynchronous
    async def test_goodbye_hands_over_slots_without_a_grace_period(
        self,
    ) -> None:
        """Guards against idle endpoints after an orderly shutdown.

        The grace period of the other processes never ends in this test.
        """
        one, two, three = make_processes()
        async with running(one, two, three):
            await eventually(each_owned_once(one, two, three))
            for process in (one, two):
                process.peers._views._grace_s = NEVER_S
            await three.peers.leave()
            self.assertEqual([], owned_endpoints(three))
            await eventually(each_owned_once(one, two))
            three.peers._streams.abort_all('streams may fail after Goodbye')
            await eventually(lambda: len(three.peer_names()) == 2)
            await three.peers.close()
            await eventually(each_owned_once(one, two))

    @test_peer.asynchronous
    async def test_restart_under_the_same_address(self) -> None:
        """Guards against forwards that reach another incarnation of a VM.

        A process is restarted with the same name, host and port.
        """
        old, other = make_processes('ab')
        new = Process('a', 'z1', incarnation='2')
        async with running(old, other) as ports:
            await eventually(each_owned_once(old, other))
            await old.peers.close()
            await new.peers.start(host=HOST, port=ports['a'])
            new.directory.offer(other.directory.newest)
            await eventually(each_owned_once(new, other))
            self.assertEqual(forwarding.Gone(), await other.forward('a', '1'))
            self.assertEqual(REPLIED, await other.forward('a', '2'))
            await new.peers.close()

    @test_peer.asynchronous
    async def test_stalled_process_drops_its_slots(self) -> None:
        """Guards against tasks on slots that were reassigned during a stall.

        The clock of a process jumps by the peer timeout.
        """
        one, two = make_processes('ab')
        async with running(one, two):
            await eventually(each_owned_once(one, two))
            endpoint = ids.EndpointId(owned_endpoints(one)[0])
            one.clock.shift = CFG.stream.peer_silent_s
            now = one.clock.now()
            self.assertIs(
                None,
                one.table.acquire(
                    endpoint=endpoint, customer=CUSTOMER, now=now
                ),
            )
            one.peers.tick(now)
            self.assertEqual([], owned_endpoints(one))
            await eventually(each_owned_once(one, two))

    @test_peer.asynchronous
    async def test_both_sides_of_a_partition_serve(self) -> None:
        """Guards against endpoints without an owner during a partition.

        All streams are closed and new connections are refused.
        """
        refused_ports: set[int] = set()
        one, two = make_processes('ab', refused_ports=refused_ports)
        async with running(one, two) as ports:
            await eventually(each_owned_once(one, two))
            refused_ports.update(ports.values())
            one.peers._streams.abort_all('reset by the test')
            await eventually(each_owned_once(one))
            await eventually(each_owned_once(two))
            refused_ports.clear()
            await eventually(each_owned_once(one, two))

    @test_peer.asynchronous
    async def test_lends_idle_slots_across_zones(self) -> None:
        """Guards against idle slots while tasks wait in another zone."""
        cfg = dataclasses.replace(
            CFG, stream=peers.streams.Config(heartbeat_s=0.1)
        )
        one, two = Process('a', 'z1', cfg=cfg), Process('b', 'z2', cfg=cfg)
        async with running(one, two):
            await eventually(each_owned_once(one, two))
            await eventually(
                lambda: one.free_endpoints_for_backlog() == test_views.ENDPOINTS
            )
            self.assertEqual(0, two.table.free_slots)
            counters = two.metrics.counters()
            self.assertIn('peer_frames_total{kind="SlotGrant"}', counters)


class StreamsTest(testtools.TestCase):
    """Guards against lost forwards and streams that stay closed."""

    @test_peer.asynchronous
    async def test_pending_forwards_are_resent_on_a_new_stream(self) -> None:
        """Guards against forwards that are lost with their stream.

        The stream is closed after the request and before the reply.
        """
        one, two = make_processes('ab')
        async with running(one, two):
            two.reply_allowed = asyncio.Event()
            pending_reply = asyncio.create_task(one.forward('b', '1'))
            await eventually(lambda: two.handled)
            one.peers._streams.abort_all('reset by the test')
            await eventually(lambda: len(two.handled) == 2)
            two.reply_allowed.set()
            self.assertEqual(REPLIED, await pending_reply)

    @test_peer.asynchronous
    async def test_opens_a_stream_for_a_forward(self) -> None:
        """Guards against forwards that fail for VMs without a stream.

        Processes of different zones have none, because ``cross_zone_peers``
        is 0.
        """
        cfg = dataclasses.replace(CFG, cross_zone_peers=0)
        one, two = Process('a', 'z1', cfg=cfg), Process('b', 'z2', cfg=cfg)
        async with running(one, two):
            self.assertEqual(REPLIED, await two.forward('a', '1'))
            self.assertEqual(forwarding.Gone(), await one.forward('b', '0'))

    @test_peer.asynchronous
    async def test_unreachable_until_the_deadline(self) -> None:
        """Guards against forwards that wait indefinitely.

        One VM refuses all connections, and another is not in the VM list.
        """
        one, two = make_processes('ab')
        async with running(one, two) as ports:
            one.refused_ports.update(ports.values())
            two.refused_ports.update(ports.values())
            one.peers._streams.abort_all('reset by the test')
            for to in ('b', 'unlisted'):
                reply = await one.forward(to, '1', 0.2)
                self.assertEqual(forwarding.Unreachable(), reply)

    @test_peer.asynchronous
    async def test_garbled_stream_changes_nothing(self) -> None:
        """Guards against handling a valid frame after a malformed one.

        A client sends Hello, malformed bytes and a valid request.
        """
        one = Process('a', 'z1')
        hello = frames.Hello(
            vm='x', incarnation='1', zone='z9', version=0, revision=0
        )
        valid_frame = frames.encode(
            frames.Forward(number=1, payload=b'x')
        ).unwrap()
        async with running(one) as ports:
            for malformed in (b'\x00\x00\x00\x01\xc1', b'\xff\xff\xff\xff'):
                reader, writer = await asyncio.open_connection(HOST, ports['a'])
                writer.write(
                    frames.encode(hello).unwrap() + malformed + valid_frame
                )
                with contextlib.suppress(OSError):
                    await reader.read()
                writer.close()
            self.assertEqual([], one.handled)
            await eventually(lambda: not one.peer_names())
            self.assertEqual(test_views.ENDPOINTS, len(owned_endpoints(one)))

    @test_peer.asynchronous
    async def test_unresponsive_stream_is_closed_and_reopened(self) -> None:
        """Guards against a stream to an unresponsive peer that stays open.

        The peer sends Hello on each stream, and no other frame.
        """
        cfg = dataclasses.replace(
            CFG, stream=peers.streams.Config(heartbeat_s=0.1, peer_silent_s=0.3)
        )
        one = Process('a', 'z1', cfg=cfg)
        accepted: list[str] = []

        async def accept(reader, writer) -> None:
            accepted.append('stream')
            hello = dataclasses.replace(one.peers._make_hello(), vm='b')
            writer.write(frames.encode(hello).unwrap())
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with running(one):
            entries = (('a', 'z1', 1), ('b', 'z1', port))
            one.directory.offer(test_views.listing(2, entries))
            await eventually(lambda: len(accepted) > 2)
            counters = one.metrics.counters()
            self.assertIn('peer_frames_total{kind="Heartbeat"}', counters)
        server.close()

    @test_peer.asynchronous
    async def test_newer_versions_spread(self) -> None:
        """Guards against processes that keep an outdated configuration.

        One process of six in three zones has a newer version.
        """
        processes = [
            Process(f'v{index}', f'z{index % 3}') for index in range(6)
        ]
        async with running(*processes):
            for process in processes:
                await eventually(process.peer_names)
            processes[4].version = 7
            await eventually(lambda: {p.version for p in processes} == {7})


class NeighborsTest(testtools.TestCase):
    """Guards against too many streams, or two between the same VMs."""

    def test_one_end_opens_each_stream(self) -> None:
        """Guards against a stream that both ends open, or neither.

        Each end decides on its own. The target size is 104 entry VMs in 13
        zones.
        """
        entries = tuple(
            (f'vm-{index}', f'zone-{index % 13}', 1) for index in range(104)
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
                other_dials = chosen[other].get(vm, False)
                self.assertNotEqual(dials, other_dials)
