"""Opens, accepts and closes links to other entry VMs."""

import asyncio
import dataclasses
import functools
import math
import random
from typing import Awaitable, Callable, Collection, Mapping, Protocol

import result

from sardineproxy import background, clock, deployment, ids, logs
from sardineproxy.connection import codec, link, messages

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Listen = Callable[[Accept, str, int], Awaitable[asyncio.Server]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatTiming:
    """Heartbeat interval and timeout of a link, in seconds."""

    #: Time between two heartbeats. Only they carry the counts of waiting jobs
    #: and the free capacity, also on links with other traffic.
    interval_s: float

    #: Time without receiving after which the link is closed: three missed
    #: heartbeats.
    timeout_s: float


#: Between a VM and the leader of its home shard. A client retries a job no
#: sooner than 1.3 s after a failure, and the runs that an unresponsive VM has
#: submitted must have ended by then.
HOME_LEADER_HEARTBEAT = HeartbeatTiming(interval_s=0.1, timeout_s=0.4)

#: Between two leaders, and between a VM and the leader of another shard that
#: has tasks of it, which must also have ended before the client's retry. A
#: longer timeout loses more of the tasks that were sent to another zone, and
#: prolongs the idle time of a zone that has lost all its VMs.
LEADER_HEARTBEAT = HeartbeatTiming(interval_s=0.2, timeout_s=0.7)

#: On all other links. They are most of the links of a large deployment.
IDLE_HEARTBEAT = HeartbeatTiming(interval_s=0.5, timeout_s=1.7)

#: A link is in use while tasks that were submitted over it have not ended, and
#: for this time after its last message other than a heartbeat, in seconds. Both
#: ends see the same messages.
USED_S = 2.0

#: Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.3

#: Minimum and maximum delay before a link is reopened, in seconds.
BACK_OFF_MIN_S = 0.05
BACK_OFF_MAX_S = 0.4

#: Age at which an unneeded link is closed, in seconds. The peer may need it
#: already, if it has learned of a new leader earlier than this VM.
UNNEEDED_LINK_AGE_S = 5.0

_LOG = logs.get_logger('link')


class LinkEvents(Protocol):
    """Callbacks for events on links."""

    def opened(self, opened: link.Link) -> None:
        """Handle a link that was opened."""

    def closed(self, closed: link.Link) -> None:
        """Handle a link that was closed."""

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Handle a message."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Target:
    """State of the connection attempts to a peer address."""

    retry_at: float = 0
    failures: int = 0
    is_dialing: bool = False

    #: True once the peer was linked or could not be dialed.
    is_checked: bool = False
    vm: ids.VmId | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _TimingEntry:
    """Heartbeat timing of an open link, and what it was before."""

    timing: HeartbeatTiming

    #: Local time since which the timing holds, in seconds.
    since: float

    #: Timeout before that, in seconds.
    former_timeout_s: float

    def times_out_at(self, last_received_at: float) -> float:
        """Return when the link times out, in seconds of the local clock.

        The peer may learn of a new leader later than this VM, and sends
        heartbeats at a longer interval until then. A shorter timeout therefore
        counts from the change, but does not extend the former timeout.
        """
        timeout_s = self.timing.timeout_s
        if last_received_at >= self.since:
            return last_received_at + timeout_s
        return min(
            self.since + timeout_s,
            last_received_at + max(timeout_s, self.former_timeout_s),
        )


class Links:  # noqa: WPS214
    """All peer links of a process."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        identity: messages.Greeting,
        events: LinkEvents,
        heartbeat_timing: Callable[[link.Link, float], HeartbeatTiming],
        connect: link.Connect = asyncio.open_connection,
        listen: Listen = asyncio.start_server,
    ) -> None:
        """Create an instance without links; ``start`` opens the listener."""
        self._clock = clock
        self._rng = rng
        self._identity = identity
        self._events = events
        self._heartbeat_timing = heartbeat_timing
        self._connect = connect
        self._listen = listen
        self._server: asyncio.Server | None = None

        #: Number of accepted connections without a greeting.
        self._unidentified = 0
        self._targets: dict[deployment.Address, _Target] = {}
        self._tasks = background.Tasks()
        self._needed_vms: Collection[ids.VmId] | None = None

        #: Heartbeat timing of each open link.
        self._timings: dict[link.Link, _TimingEntry] = {}
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
        """Set the peer addresses to maintain links to.

        A new address is dialed after its delay in seconds. Different delays
        at two VMs ensure that usually only one of them dials.
        """
        now = self._clock.now()
        self._targets = {
            address: self._targets.get(address, _Target(retry_at=now + delay_s))
            for address, delay_s in dial_delays_s.items()
        }

    def get(self, vm: ids.VmId) -> link.Link | None:
        """Return an open link to a VM, None if there is none."""
        for open_link in self.open_links.get(vm, ()):
            if not open_link.is_closing():
                return open_link
        return None

    def tick(
        self,
        now: float,
        make_heartbeat: Callable[[link.Link], messages.Heartbeat],
        *,
        is_late: bool = False,
    ) -> None:
        """Close timed-out and unneeded links, send heartbeats, dial peers.

        ``is_late`` means that this process was delayed, so that heartbeats may
        have arrived which it has not read yet. No link times out then.
        """
        for open_link in self._all_links():
            entry = self._update_timing(open_link, now)
            times_out_at = entry.times_out_at(open_link.last_received_at)
            if now >= times_out_at and not is_late:
                self._close_timed_out(open_link, now)
            elif self._is_unneeded(open_link, now):
                open_link.abort()
                self._remove(open_link)
            elif now - open_link.last_heartbeat_at >= entry.timing.interval_s:
                open_link.send(make_heartbeat(open_link))
        self._dial_missing(now)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every connected VM, on one link each."""
        for vm in list(self.open_links):
            open_link = self.get(vm)
            if open_link is not None:
                open_link.send(message)

    def abort_all(self) -> None:
        """Abort all links without waiting for pending data."""
        for open_link in self._all_links():
            open_link.abort()
            self._remove(open_link)

    def set_needed_vms(self, vms: Collection[ids.VmId]) -> None:
        """Set the VMs that need a link.

        Links to other VMs are closed at the age ``UNNEEDED_LINK_AGE_S``.
        """
        self._needed_vms = vms

    def set_peer_vm(self, address: deployment.Address, vm: ids.VmId) -> None:
        """Record which VM listens at an address."""
        target = self._targets.get(address)
        if target is not None:
            target.vm = vm

    def last_received_at(self) -> float:
        """Return the local time of the last message on an open link.

        Minus infinity without a link.
        """
        return max(
            (open_link.last_received_at for open_link in self._all_links()),
            default=-math.inf,
        )

    def unchecked_vms(self) -> frozenset[ids.VmId]:
        """Return the VMs that have not been linked or dialed in vain yet."""
        return frozenset(
            target.vm
            for target in self._targets.values()
            if not target.is_checked
            and target.vm is not None
            and self.get(target.vm) is None
        )

    def _close_timed_out(self, open_link: link.Link, now: float) -> None:
        _LOG.warning(
            'Link closed: heartbeat timeout.',
            extra={
                'vm': open_link.peer.vm,
                'silent_s': round(now - open_link.last_received_at, 3),
            },
        )
        open_link.timed_out = True
        open_link.abort()
        self._remove(open_link)

    def _all_links(self) -> list[link.Link]:
        return [
            open_link
            for vm_links in self.open_links.values()
            for open_link in vm_links
        ]

    def _update_timing(self, open_link: link.Link, now: float) -> _TimingEntry:
        """Return the heartbeat timing of a link that holds from now on."""
        timing = self._heartbeat_timing(open_link, now)
        entry = self._timings.get(open_link)
        if entry is None or entry.timing is not timing:
            former = timing if entry is None else entry.timing
            entry = _TimingEntry(
                timing=timing, since=now, former_timeout_s=former.timeout_s
            )
            self._timings[open_link] = entry
        return entry

    def _is_unneeded(self, open_link: link.Link, now: float) -> bool:
        return (
            self._needed_vms is not None
            and open_link.peer.vm not in self._needed_vms
            and now - open_link.opened_at >= UNNEEDED_LINK_AGE_S
        )

    def _dial_missing(self, now: float) -> None:
        for address, target in self._targets.items():
            if self._is_missing(target) and now >= target.retry_at:
                target.is_dialing = True
                self._tasks.spawn(
                    self._dial(address, target),
                    unit=f'link to {target.vm or address}',
                    on_failure=functools.partial(self._back_off, target),
                )

    def _is_missing(self, target: _Target) -> bool:
        if target.is_dialing:
            return False
        return target.vm is None or self.get(target.vm) is None

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._unidentified >= codec.MAX_UNIDENTIFIED:
            writer.transport.abort()
            return
        self._unidentified += 1
        self._tasks.spawn(
            self._run(
                link.Link(
                    clock=self._clock,
                    reader=reader,
                    writer=writer,
                    dialed=False,
                )
            ),
            unit='accepted link',
        )

    async def _dial(self, address: deployment.Address, target: _Target) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await self._connect(address.host, address.port)
        except (OSError, TimeoutError) as exc:
            if not target.failures:
                _LOG.info(
                    'Connecting to a peer failed; retrying.',
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
        target.is_checked = True
        max_delay_s = min(
            BACK_OFF_MIN_S * 2 ** min(target.failures, 8), BACK_OFF_MAX_S
        )
        target.retry_at = self._clock.now() + max_delay_s * self._rng.uniform(
            0.5, 1
        )
        target.failures += 1
        target.is_dialing = False

    async def _run(
        self, opened: link.Link, target: _Target | None = None
    ) -> None:
        """Perform the handshake, then read from the link until it closes."""
        try:
            greeting = await self._identify(opened)
            if isinstance(greeting, result.Err):
                _LOG.info(
                    'Link handshake failed.',
                    extra={'cause': greeting.err_value},
                )
                return
            if target is not None:
                target.vm = greeting.ok_value.vm
                target.failures = 0
            if greeting.ok_value.vm == self._identity.vm:
                return
            self._add(opened)
            await self._read(opened)
        finally:
            opened.abort()
            self._remove(opened)

    async def _identify(
        self, opened: link.Link
    ) -> result.Result[messages.Greeting, str]:
        try:
            return await opened.handshake(self._identity)
        finally:
            if not opened.dialed:
                self._unidentified -= 1

    def _add(self, opened: link.Link) -> None:
        peer = opened.peer
        for existing in list(self.open_links.get(peer.vm, ())):
            if existing.peer.incarnation != peer.incarnation:
                existing.abort()
                self._remove(existing)
        self.open_links.setdefault(peer.vm, []).append(opened)
        _LOG.info(
            'Link opened.', extra={'vm': peer.vm, 'dialed': opened.dialed}
        )
        self._events.opened(opened)

    async def _read(self, opened: link.Link) -> None:
        while True:
            received = await opened.receive()
            if opened not in self.open_links.get(opened.peer.vm, ()):
                return
            if isinstance(received, result.Err):
                if not link.is_clean_close(received.err_value):
                    _LOG.info(
                        'Link closed: receiving failed.',
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
