"""What entry processes tell each other, and what each does about it."""

import asyncio
import contextlib
import dataclasses
import random

import reactivex
from reactivex import subject

from sardineproxy import clock, ids, logs
from sardineproxy.connection import frames, peer
from sardineproxy.process import (
    borrowing,
    demand,
    directory,
    exchange,
    forwards,
    lending,
    metrics,
    neighbors,
    ownership,
    platform,
    slots,
    streams,
    views,
)
from sardineproxy.request import forwarding

Gossip = exchange.Gossip

_log = logs.get_logger('peer')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Times and bounds between entry processes, in seconds."""

    heartbeat_s: float = 4
    peer_silent_s: float = 10

    #: Wait before the slots of a VM that vanished are taken over.
    takeover_grace_s: float = 3

    #: Wait of the VM that should be called before it calls itself.
    dial_wait_s: float = 0.5

    #: Time without use after which a stream that nobody chose is closed.
    unused_s: float = 60

    #: Interval of housekeeping.
    tick_s: float = 0.05

    #: Streams to keep to each other zone.
    cross_zone_peers: int = 2
    loans: borrowing.Config = borrowing.Config()


class Peers:
    """Streams to other entry processes, and what they agree on."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        zone: ids.ZoneId,
        size: int,
        directory: directory.Directory,
        slot_table: slots.SlotTable,
        handler: forwarding.Handler,
        gossip: Gossip,
        metrics: metrics.Metrics,
        cfg: Config,
        connect: peer.Connect = asyncio.open_connection,
        listen: streams.Listen = asyncio.start_server,
    ) -> None:
        """Start without streams; ``start`` opens the listener."""
        self._clock = clock
        self._cfg = cfg
        self._me = frames.Hello(
            vm=vm, incarnation=incarnation, zone=zone, version=0, revision=0
        )
        self._directory = directory
        self._table = slot_table
        self._handler = handler
        self._exchange = exchange.Exchange(gossip=gossip, rng=rng)
        self._forwards = forwards.Forwards()
        self._views = views.Views(
            vm=vm,
            incarnation=incarnation,
            zone=zone,
            grace_s=cfg.takeover_grace_s,
        )
        self._ownership = ownership.Ownership(
            views=self._views, table=slot_table, drain_s=cfg.loans.max_task_s
        )
        self._loans = lending.Loans(cfg=cfg.loans, table=slot_table)
        self._streams = streams.Streams(
            cfg=cfg,
            ctx=peer.Context(
                clock=clock,
                metrics=metrics,
                hello=self._hello,
                free=lambda: self._loans.free(clock.now()),
            ),
            rng=rng,
            vm=vm,
            connect=connect,
            listen=listen,
            events=self,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticked_at: float | None = None
        self._live_vms = subject.BehaviorSubject(1)

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        return self._streams.port

    @property
    def live_vms(self) -> reactivex.Observable[int]:
        """Return the stream of the number of live entry VMs, at least 1."""
        return self._live_vms

    async def start(self, *, host: str, port: int) -> None:
        """Listen for peers and connect to those of the listing."""
        await self._streams.start(host, port)
        self._directory.listing.subscribe(self._use_listing)
        self._spawn(self._keep_ticking())

    async def goodbye(self) -> None:
        """Give up all slots and tell the peers; call when no task runs."""
        self._ownership.leave()
        for vm, returned in self._loans.give_all_back().items():
            self._streams.send(vm, returned)
        for stream in list(self._streams.current.values()):
            stream.send(frames.Goodbye())
            await stream.flush()

    async def close(self) -> None:
        """Close all streams."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._streams.close()

    async def forward(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        deadline: float,
    ) -> forwarding.Reply:
        """Send ``payload`` to that incarnation and return what it replied."""
        stream = self._streams.current.get(vm)
        if stream is None and vm not in self._streams.neighbors.listed:
            return forwarding.Unreachable()
        now = self._clock.now()
        self._streams.open_missing((vm,), now)
        return await self._forwards.ask(
            vm=vm,
            incarnation=incarnation,
            payload=payload,
            wait_s=deadline - now,
            stream=stream,
        )

    def on_backlog(self, demand: demand.Demand) -> None:
        """Borrow slots for waiting work.

        A report counts for a second; report again while work waits, and once
        when none waits any more.
        """
        now = self._clock.now()
        self._loans.report(demand, now)
        self._send_all(self._loans.ask(self._lenders(), now))

    def tick(self, now: float) -> None:
        """Do what is due; a long gap voids ownership and loans."""
        last = self._ticked_at
        self._ticked_at = now
        if last is not None and now - last >= self._cfg.peer_silent_s:
            _log.warning('event loop stood still for %.1f s', now - last)
            self._ownership.drop()
            self._streams.abort_all('process stood still')
        self._table.set_valid_until(now + self._cfg.peer_silent_s)
        version, revision = self._exchange.mine()
        self._streams.watch(
            now, frames.Heartbeat(version=version, revision=revision)
        )
        self._streams.open_missing(self._forwards.vms(), now)
        self._exchange.tick(list(self._streams.current.values()), now)
        self._review(now)
        self._send_all(self._loans.tick(self._lenders(), now))
        self._count_live()

    def state(self, *, now: float) -> dict[str, object]:
        """Return streams, view and loans for the state dump."""
        return {
            'peers': [
                {
                    'vm': vm,
                    'incarnation': stream.hello.incarnation,
                    'zone': stream.hello.zone,
                    'open_s': round(now - stream.since, 3),
                    'silent_s': round(now - stream.heard_at, 3),
                    'version': stream.version,
                    'revision': stream.revision,
                    'free': stream.free,
                }
                for vm, stream in sorted(self._streams.current.items())
            ],
            'view': self._views.state(now),
            'loans': self._loans.state(),
        }

    def opened(self, stream: peer.Stream) -> None:
        """Use a new stream."""
        hello = stream.hello
        if hello.zone == self._me.zone:
            self._views.joined(hello.vm, hello.incarnation)
        self._forwards.opened(stream)
        self._forwards.heard(stream)
        self._review(self._clock.now())

    def closed(self, stream: peer.Stream) -> None:
        """Forget a stream; outstanding forwards wait for the next one."""
        now = self._clock.now()
        self._views.lost(stream.hello.vm, now)
        self._loans.lost(stream.hello.vm)
        self._review(now)

    def received(self, stream: peer.Stream, frame: frames.Frame) -> None:
        """Act on a frame."""
        vm = stream.hello.vm
        now = self._clock.now()
        self._forwards.heard(stream)
        match frame:
            case frames.View():
                self._views.heard(vm, frame)
                self._review(now)
            case frames.Goodbye():
                self._views.said_goodbye(vm)
                self._review(now)
            case frames.Forward():
                self._spawn(self._answer(stream, frame))
            case frames.ForwardReply():
                self._forwards.replied(stream, frame)
            case frames.ConfigFetch():
                stream.send(self._exchange.answer(frame))
            case frames.ConfigChanges():
                self._exchange.take(frame)
            case _:
                self._send_all(self._loans.received(vm, frame, now))

    def _hello(self) -> frames.Hello:
        version, revision = self._exchange.mine()
        return dataclasses.replace(self._me, version=version, revision=revision)

    def _use_listing(self, listing: platform.VmList) -> None:
        self._views.set_listing(listing)
        self._streams.neighbors = neighbors.choose(
            listing=listing,
            vm=self._me.vm,
            zone=self._me.zone,
            each_zone=self._cfg.cross_zone_peers,
        )

    async def _keep_ticking(self) -> None:
        while True:
            self.tick(self._clock.now())
            await asyncio.sleep(self._cfg.tick_s)

    def _review(self, now: float) -> None:
        self._send_all(self._ownership.review(now))

    def _send_all(self, outgoing: borrowing.Outgoing) -> None:
        for vm, frame in outgoing:
            self._streams.send(vm, frame)

    def _lenders(self) -> list[borrowing.Lender]:
        return [
            borrowing.Lender(
                vm=vm,
                near=stream.hello.zone == self._me.zone,
                free=stream.free,
            )
            for vm, stream in self._streams.current.items()
        ]

    async def _answer(
        self, stream: peer.Stream, forward: frames.Forward
    ) -> None:
        reply = await self._handler.handle(forward.payload)
        stream.send(frames.ForwardReply(number=forward.number, payload=reply))

    def _spawn(self, work: 'asyncio._CoroutineLike[None]') -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _count_live(self) -> None:
        count = self._streams.neighbors.count_live(self._streams.current) + 1
        if count != self._live_vms.value:
            self._live_vms.on_next(count)
