"""Handlers of the events of peer streams: open, close, and frames."""

import asyncio
from typing import Callable

from sardineproxy import clock, ids, logs
from sardineproxy.connection import frames, peer
from sardineproxy.process import (
    borrowing,
    config_exchange,
    forwards,
    loans,
    ownership,
    views,
)
from sardineproxy.request import forwarding

_LOG = logs.get_logger('peer')


class PeerEvents:
    """Dispatches frames to their components and sends the replies."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        zone: ids.ZoneId,
        views: views.MembershipViews,
        ownership: ownership.SlotOwnership,
        loans: loans.Loans,
        forwards: forwards.PendingForwards,
        exchange: config_exchange.ConfigExchange,
        handler: forwarding.Handler,
        send_all: Callable[[borrowing.OutgoingFrames], None],
    ) -> None:
        """Create the handlers; ``send_all`` sends frames to peers."""
        self._clock = clock
        self._zone = zone
        self._views = views
        self._ownership = ownership
        self._loans = loans
        self._forwards = forwards
        self._exchange = exchange
        self._handler = handler
        self._send_all = send_all
        self._tasks: set[asyncio.Task[None]] = set()

        #: True once Goodbye was sent to the peers.
        self.goodbye_sent = False

    def stream_opened(self, stream: peer.Stream) -> None:
        """Register a peer and resend the pending forwards to it."""
        if stream.hello.zone == self._zone:
            self._views.add_peer(stream.hello.vm, stream.hello.incarnation)
        self._forwards.resend(stream)
        if self.goodbye_sent:
            stream.send(frames.Goodbye())
        self._record_contact(stream)
        self.update_ownership()

    def stream_closed(self, stream: peer.Stream) -> None:
        """Remove a peer; forwards to it stay pending until its next stream."""
        self._views.remove_peer(stream.hello.vm, self._clock.now())
        self._loans.handle_disconnect(stream.hello.vm, self._clock.now())
        self.update_ownership()

    def frame_received(self, stream: peer.Stream, frame: frames.Frame) -> None:
        """Handle a frame."""
        self._record_contact(stream)
        match frame:
            case frames.View() | frames.Goodbye():
                self._views.handle_frame(stream.hello.vm, frame)
                self.update_ownership()
            case frames.Forward():
                self._start_reply(stream, frame)
            case frames.ForwardReply():
                self._forwards.handle_reply(stream, frame)
            case frames.ConfigFetch():
                stream.send(self._exchange.handle_fetch(frame))
            case frames.ConfigChanges():
                self._exchange.handle_changes(frame)
            case _:
                self._send_all(
                    self._loans.handle_frame(
                        stream.hello.vm, frame, self._clock.now()
                    )
                )

    def update_ownership(self) -> None:
        """Update slot ownership from the membership view of the zone."""
        self._send_all(self._ownership.update(self._clock.now()))

    async def close(self) -> None:
        """Cancel all replies to forwards."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _record_contact(self, stream: peer.Stream) -> None:
        self._forwards.confirm_incarnation(stream)
        self._loans.renew_lease(stream.hello.vm, self._clock.now())

    def _start_reply(
        self, stream: peer.Stream, forward: frames.Forward
    ) -> None:
        task = asyncio.create_task(self._reply(stream, forward))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply(
        self, stream: peer.Stream, forward: frames.Forward
    ) -> None:
        """Reply on the same stream; if it is closed, the peer resends."""
        reply = await self._handler.handle(forward.payload)
        sent = stream.send(
            frames.ForwardReply(number=forward.number, payload=reply)
        )
        if not sent:
            _LOG.info(
                'Reply to a forward from peer %s dropped: stream is closed.',
                stream.hello.vm,
            )
