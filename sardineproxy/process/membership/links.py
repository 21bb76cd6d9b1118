"""Opens, accepts and closes the links to other entry VMs."""

import asyncio
import dataclasses
import random
from typing import Awaitable, Callable, Collection, Mapping, Protocol

import result

from sardineproxy import background, clock, deployment, ids, logs
from sardineproxy.connection import link, messages

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Listen = Callable[[Accept, str, int], Awaitable[asyncio.Server]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatTiming:
    """Signs of life on a link, in seconds."""

    #: Time without sending after which a beat is sent.
    interval_s: float

    #: Silence after which the link is closed: three lost beats.
    timeout_s: float


#: Between a VM and the owner of its zone's cell. A client sends a job again
#: no sooner than 1.3 s after a failure, and what ran for a silent VM must
#: have ended by then.
HOME_LEADER_HEARTBEAT = HeartbeatTiming(interval_s=0.1, timeout_s=0.4)

#: Between a VM and the owners of other cells. Each beat lost costs tasks that
#: were sent to another zone, and the time in which a zone that has lost all
#: its VMs does no work.
LEADER_HEARTBEAT = HeartbeatTiming(interval_s=0.2, timeout_s=0.7)

#: Between VMs that own nothing.
FOLLOWER_HEARTBEAT = HeartbeatTiming(interval_s=0.3, timeout_s=1.1)

#: Longest wait for a connection, in seconds.
CONNECT_TIMEOUT_S = 0.3

#: Shortest and longest wait before a link is opened again, in seconds.
BACK_OFF_MIN_S = 0.05
BACK_OFF_MAX_S = 0.4

#: Age at which a link that is not needed is closed, in seconds. The other
#: end may have learned of a new owner a moment earlier.
UNUSED_LINK_AGE_S = 5.0

_LOG = logs.get_logger('link')


class LinkEvents(Protocol):
    """Hears of links."""

    def opened(self, opened: link.Link) -> None:
        """Use a new link."""

    def closed(self, closed: link.Link) -> None:
        """Forget a link."""

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Act on a message."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Target:
    """An address to keep a link to."""

    retry_at: float = 0
    failures: int = 0
    is_dialing: bool = False
    vm: ids.VmId | None = None


class Links:  # noqa: WPS214
    """All open links of a process."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        me: messages.Greeting,
        events: LinkEvents,
        heartbeat_timing: Callable[[messages.Greeting], HeartbeatTiming],
        connect: link.Connect = asyncio.open_connection,
        listen: Listen = asyncio.start_server,
    ) -> None:
        """Start without links."""
        self._clock = clock
        self._rng = rng
        self._me = me
        self._events = events
        self._heartbeat_timing = heartbeat_timing
        self._connect = connect
        self._listen = listen
        self._server: asyncio.Server | None = None
        self._targets: dict[deployment.Address, _Target] = {}
        self._tasks = background.Tasks()
        self._needed: Collection[ids.VmId] | None = None

        #: Rhythm of each open link, and since when.
        self._timings: dict[link.Link, tuple[HeartbeatTiming, float]] = {}
        self.open_links: dict[ids.VmId, list[link.Link]] = {}

    async def start(self, address: deployment.Address) -> None:
        """Open the listener."""
        self._server = await self._listen(
            self._accept, address.host, address.port
        )

    async def close(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        await self._tasks.close()

    def set_targets(
        self, dial_delays_s: Mapping[deployment.Address, float]
    ) -> None:
        """Keep links to these addresses from now on.

        A new address is called after its wait, so that of two VMs one calls.
        """
        now = self._clock.now()
        self._targets = {
            address: self._targets.get(address, _Target(retry_at=now + delay_s))
            for address, delay_s in dial_delays_s.items()
        }

    def get(self, vm: ids.VmId) -> link.Link | None:
        """Return an open link to a VM."""
        for candidate in self.open_links.get(vm, ()):
            if not candidate.is_closing():
                return candidate
        return None

    def tick(self, now: float, beat: messages.Beat) -> None:
        """Close silent links, send beats, open missing links."""
        for candidate in self._all_links():
            heartbeat_timing = self._heartbeat_timing(candidate.peer)
            silent_since = max(
                candidate.heard_at,
                self._timing_since(candidate, heartbeat_timing, now),
            )
            if now - silent_since >= heartbeat_timing.timeout_s:
                _LOG.warning(
                    'Link silent, closed.',
                    extra={
                        'vm': candidate.peer.vm,
                        'silent_s': round(now - candidate.heard_at, 3),
                    },
                )
                candidate.abort()
                self._remove(candidate)
            elif self._is_unneeded(candidate, now):
                candidate.abort()
                self._remove(candidate)
            elif now - candidate.sent_at >= heartbeat_timing.interval_s:
                candidate.send(beat)
        for address, target in self._targets.items():
            if self._is_missing(target) and now >= target.retry_at:
                target.is_dialing = True
                self._tasks.spawn(self._dial(address, target))

    def broadcast(self, message: messages.Message) -> None:
        """Send a message on one link to each VM."""
        for vm in list(self.open_links):
            open_link = self.get(vm)
            if open_link is not None:
                open_link.send(message)

    def abort_all(self) -> None:
        """Close all links at once."""
        for candidate in self._all_links():
            candidate.abort()
            self._remove(candidate)

    def set_needed(self, vms: Collection[ids.VmId]) -> None:
        """Close links to other VMs after a while."""
        self._needed = vms

    def set_peer_vm(self, address: deployment.Address, vm: ids.VmId) -> None:
        """Note which VM listens at an address."""
        target = self._targets.get(address)
        if target is not None:
            target.vm = vm

    def _all_links(self) -> list[link.Link]:
        return [each for of_vm in self.open_links.values() for each in of_vm]

    def _timing_since(
        self, of: link.Link, heartbeat_timing: HeartbeatTiming, now: float
    ) -> float:
        """Return since when a link has its present rhythm.

        The other end learns of a new owner a little later, and sends beats
        more slowly until then.
        """
        known = self._timings.get(of)
        if known is None or known[0] is not heartbeat_timing:
            known = (heartbeat_timing, now)
            self._timings[of] = known
        return known[1]

    def _is_unneeded(self, candidate: link.Link, now: float) -> bool:
        return (
            self._needed is not None
            and candidate.peer.vm not in self._needed
            and now - candidate.opened_at >= UNUSED_LINK_AGE_S
        )

    def _is_missing(self, target: _Target) -> bool:
        if target.is_dialing:
            return False
        return target.vm is None or self.get(target.vm) is None

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.spawn(
            self._run(
                link.Link(
                    clock=self._clock,
                    reader=reader,
                    writer=writer,
                    dialed=False,
                )
            )
        )

    async def _dial(self, address: deployment.Address, target: _Target) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await self._connect(address.host, address.port)
        except (OSError, TimeoutError) as exc:
            if not target.failures:
                _LOG.info(
                    'No link.',
                    extra={'address': str(address), 'cause': repr(exc)},
                )
            self._back_off(target)
            return
        dialed = link.Link(
            clock=self._clock, reader=reader, writer=writer, dialed=True
        )
        await self._run(dialed, target)
        self._back_off(target)

    def _back_off(self, target: _Target) -> None:
        longest = min(
            BACK_OFF_MIN_S * 2 ** min(target.failures, 8), BACK_OFF_MAX_S
        )
        target.retry_at = self._clock.now() + longest * self._rng.uniform(
            0.5, 1
        )
        target.failures += 1
        target.is_dialing = False

    async def _run(
        self, opened: link.Link, target: _Target | None = None
    ) -> None:
        """Run a link to its end."""
        try:
            greeting = await opened.handshake(self._me)
            if isinstance(greeting, result.Err):
                _LOG.info('Link refused.', extra={'cause': greeting.err_value})
                return
            if target is not None:
                target.vm = greeting.ok_value.vm
                target.failures = 0
            if greeting.ok_value.vm == self._me.vm:
                return
            self._add(opened)
            await self._read(opened)
        finally:
            opened.abort()
            self._remove(opened)

    def _add(self, opened: link.Link) -> None:
        peer = opened.peer
        for old in list(self.open_links.get(peer.vm, ())):
            if old.peer.incarnation != peer.incarnation:
                old.abort()
                self._remove(old)
        self.open_links.setdefault(peer.vm, []).append(opened)
        _LOG.info('Link open.', extra={'vm': peer.vm, 'dialed': opened.dialed})
        self._events.opened(opened)

    async def _read(self, opened: link.Link) -> None:
        while True:
            received = await opened.receive()
            if opened not in self.open_links.get(opened.peer.vm, ()):
                return
            if isinstance(received, result.Err):
                if not link.is_regular_end(received.err_value):
                    _LOG.info(
                        'Link broken.',
                        extra={
                            'vm': opened.peer.vm,
                            'cause': received.err_value,
                        },
                    )
                return
            self._events.received(opened, received.ok_value)

    def _remove(self, closed: link.Link) -> None:
        peer = getattr(closed, 'peer', None)
        if peer is None or closed not in self.open_links.get(peer.vm, ()):
            return
        self.open_links[peer.vm].remove(closed)
        self._timings.pop(closed, None)
        if not self.open_links[peer.vm]:
            self.open_links.pop(peer.vm)
        _LOG.info('Link closed.', extra={'vm': peer.vm})
        self._events.closed(closed)
