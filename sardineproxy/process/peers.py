"""Peer protocol between entry processes: membership, loans, forwards."""

import asyncio
import dataclasses
import random

import reactivex
from reactivex import abc, disposable, subject

from sardineproxy import clock, ids, logs
from sardineproxy.connection import frames, peer
from sardineproxy.process import (  # noqa: WPS235
    borrowing,
    demand,
    directory,
    config_exchange,
    forwards,
    loans,
    metrics,
    neighbors,
    ownership,
    peer_events,
    platform,
    slots,
    streams,
    views,
)
from sardineproxy.request import forwarding

Gossip = config_exchange.Gossip

_LOG = logs.get_logger('peer')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Timing and limits of the peer protocol; times are in seconds."""

    #: Delay before the slots of an unreachable VM are reassigned.
    takeover_grace_s: float = 3

    #: Interval of ``Peers.tick``.
    tick_s: float = 0.05

    #: Number of streams to maintain to every other zone.
    cross_zone_peers: int = 2
    stream: streams.Config = streams.Config()
    loan: borrowing.Config = borrowing.Config()


class Peers:
    """Streams to other entry processes, and the state shared over them."""

    def __init__(  # noqa: WPS211
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        zone: ids.ZoneId,
        size: int,
        directory: directory.VmDirectory,
        slot_table: slots.SlotTable,
        handler: forwarding.Handler,
        gossip: Gossip,
        metrics: metrics.Metrics,
        cfg: Config,
        connect: peer.Connect = asyncio.open_connection,
        listen: streams.Listen = streams.start_server,
    ) -> None:
        """Create an instance without streams; ``start`` opens the listener."""
        self._clock = clock
        self._cfg = cfg
        self._size = size
        self._own_hello = frames.Hello(
            vm=vm, incarnation=incarnation, zone=zone, version=0, revision=0
        )
        self._directory = directory
        self._table = slot_table
        self._exchange = config_exchange.ConfigExchange(gossip=gossip, rng=rng)
        self._forwards = forwards.PendingForwards()
        self._views = views.MembershipViews(
            vm=vm,
            incarnation=incarnation,
            zone=zone,
            grace_s=cfg.takeover_grace_s,
        )
        self._ownership = ownership.SlotOwnership(
            views=self._views, table=slot_table, drain_s=cfg.loan.max_task_s
        )
        self._loans = loans.Loans(cfg=cfg.loan, table=slot_table)
        self._events = peer_events.PeerEvents(
            clock=clock,
            zone=zone,
            views=self._views,
            ownership=self._ownership,
            loans=self._loans,
            forwards=self._forwards,
            exchange=self._exchange,
            handler=handler,
            send_all=self._send_all,
        )
        self._streams = streams.Streams(
            cfg=cfg.stream,
            ctx=peer.StreamContext(
                clock=clock,
                metrics=metrics,
                make_hello=self._make_hello,
                count_free_slots=lambda: slot_table.free_slots,
            ),
            rng=rng,
            vm=vm,
            connect=connect,
            listen=listen,
            events=self._events,
        )
        self._ticker: asyncio.Task[None] | None = None
        self._subscription: abc.DisposableBase = disposable.Disposable()
        self._last_tick_at: float | None = None
        self._live_vms = subject.BehaviorSubject(1)

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        return self._streams.port

    @property
    def live_vms(self) -> reactivex.Observable[int]:
        """Return an observable of the number of live entry VMs, at least 1."""
        return self._live_vms

    async def start(self, *, host: str, port: int) -> None:
        """Listen for peers and connect to those of the VM list."""
        await self._streams.start(host, port)
        self._subscription = self._directory.listing.subscribe(
            self._apply_listing
        )
        self._ticker = asyncio.create_task(self._run_ticks())

    async def leave(self) -> None:
        """Drop the ownership of all slots and send Goodbye to the peers.

        Waits until no task runs on the slots, here or at borrowers, but at
        most for ``max_task_s``.
        """
        self._ownership.leave()
        self._events.update_ownership()
        while not self._ownership.settled:
            await asyncio.sleep(self._cfg.tick_s)
            self._events.update_ownership()
        self._events.goodbye_sent = True
        self._send_all(self._loans.return_all_idle())
        open_streams = list(self._streams.by_vm.values())
        for stream in open_streams:
            stream.send(frames.Goodbye())
        await asyncio.gather(*(opened.flush() for opened in open_streams))

    async def close(self) -> None:
        """Close all streams."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._subscription.dispose()
        await self._events.close()
        await self._streams.close()

    async def forward(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        deadline: float,
    ) -> forwarding.Reply:
        """Send ``payload`` to an incarnation of a VM and return its reply.

        Payloads larger than ``frames.MAX_PAYLOAD_BYTES`` are not sent.
        """
        if len(payload) > frames.MAX_PAYLOAD_BYTES:
            return forwarding.Unreachable()
        stream = self._streams.by_vm.get(vm)
        if stream is None and vm not in self._streams.neighbors.listed:
            return forwarding.Unreachable()
        now = self._clock.now()
        self._streams.open_missing((vm,), now)
        return await self._forwards.send(
            vm=vm,
            incarnation=incarnation,
            payload=payload,
            wait_s=deadline - now,
            streams=self._streams.by_vm,
        )

    def on_backlog(self, demand: demand.Demand) -> None:
        """Borrow slots for waiting tasks.

        A report expires after ``borrowing.REPORT_VALID_S`` and has to be
        repeated while tasks wait.
        """
        now = self._clock.now()
        self._loans.report(demand, now)
        self._send_all(self._loans.request_slots(self._lenders, now))

    def tick(self, now: float) -> None:
        """Perform the periodic work; called every ``Config.tick_s``.

        After a stall of the event loop, slot ownership and loans are dropped,
        because peers may use the slots by then.
        """
        self._check_stall(now)
        version, revision = self._exchange.local_versions()
        self._streams.check_liveness(
            now, frames.Heartbeat(version=version, revision=revision)
        )
        self._streams.open_missing(self._forwards.pending_vms(), now)
        self._exchange.tick(list(self._streams.by_vm.values()), now)
        self._events.update_ownership()
        self._send_all(self._loans.tick(self._lenders, now))
        live = self._streams.neighbors.count_live(self._streams.by_vm) + 1
        if live != self._live_vms.value:
            self._live_vms.on_next(live)

    def state(self, *, now: float) -> dict[str, object]:
        """Return streams, membership view and loans for the state dump.

        ``size`` is the configured size; views use the sizes of the VM list.
        """
        return {
            'size': self._size,
            'peers': [
                {
                    'vm': vm,
                    'incarnation': stream.hello.incarnation,
                    'zone': stream.hello.zone,
                    'open_s': round(now - stream.opened_at, 3),
                    'silent_s': round(now - stream.last_received_at, 3),
                    'version': stream.version,
                    'revision': stream.revision,
                    'free': stream.free_slots,
                }
                for vm, stream in sorted(self._streams.by_vm.items())
            ],
            'view': self._views.state(now),
            'loans': self._loans.state(),
        }

    def _make_hello(self) -> frames.Hello:
        version, revision = self._exchange.local_versions()
        return dataclasses.replace(
            self._own_hello, version=version, revision=revision
        )

    def _apply_listing(self, listing: platform.VmList) -> None:
        self._views.set_listing(listing)
        self._streams.set_neighbors(
            neighbors.choose(
                listing=listing,
                vm=self._own_hello.vm,
                zone=self._own_hello.zone,
                peers_per_zone=self._cfg.cross_zone_peers,
            )
        )

    async def _run_ticks(self) -> None:
        while True:
            self.tick(self._clock.now())
            await asyncio.sleep(self._cfg.tick_s)

    def _lenders(self) -> list[borrowing.LenderPeer]:
        return [
            borrowing.LenderPeer(
                vm=vm,
                is_same_zone=stream.hello.zone == self._own_hello.zone,
                free_slots=stream.free_slots,
            )
            for vm, stream in self._streams.by_vm.items()
        ]

    def _send_all(self, outgoing: borrowing.OutgoingFrames) -> None:
        for vm, frame in outgoing:
            stream = self._streams.by_vm.get(vm)
            if stream is not None:
                stream.send(frame)

    def _check_stall(self, now: float) -> None:
        last = self._last_tick_at
        self._last_tick_at = now
        if last is not None and now - last >= self._cfg.stream.peer_silent_s:
            _LOG.warning(
                'Event loop stalled for %.1f s; dropping owned slots and '
                'closing all peer streams.',
                now - last,
            )
            self._ownership.drop_owned()
            self._streams.abort_all('event loop stalled')
        self._table.set_valid_until(now + self._cfg.stream.peer_silent_s)
