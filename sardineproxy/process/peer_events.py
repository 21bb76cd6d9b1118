"""What a process does when a peer stream opens, closes or brings a frame."""

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

_log = logs.get_logger('peer')


class PeerEvents:
    """Passes frames to the parts that they concern and sends the replies."""

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
        """Use the parts of one process; ``send_all`` sends to peers."""
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

        #: True if the peers were told that this process ends.
        self.goodbye_sent = False

    def stream_opened(self, stream: peer.Stream) -> None:
        """Use a new stream."""
        if stream.hello.zone == self._zone:
            self._views.add_peer(stream.hello.vm, stream.hello.incarnation)
        self._forwards.resend(stream)
        if self.goodbye_sent:
            stream.send(frames.Goodbye())
        self._record_contact(stream)
        self.update_ownership()

    def stream_closed(self, stream: peer.Stream) -> None:
        """Forget a stream; outstanding forwards wait for the next one."""
        self._views.remove_peer(stream.hello.vm, self._clock.now())
        self._loans.handle_disconnect(stream.hello.vm, self._clock.now())
        self.update_ownership()

    def frame_received(self, stream: peer.Stream, frame: frames.Frame) -> None:
        """Act on a frame."""
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
                stream.send(self._exchange.answer(frame))
            case frames.ConfigChanges():
                self._exchange.apply(frame)
            case _:
                self._send_all(
                    self._loans.handle_frame(
                        stream.hello.vm, frame, self._clock.now()
                    )
                )

    def update_ownership(self) -> None:
        """Apply what changed in the zone's view."""
        self._send_all(self._ownership.update(self._clock.now()))

    async def close(self) -> None:
        """Stop answering forwards."""
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
        """Reply on the same stream; after its end the peer asks again."""
        reply = await self._handler.handle(forward.payload)
        sent = stream.send(
            frames.ForwardReply(number=forward.number, payload=reply)
        )
        if not sent:
            _log.info('reply to %s not sent', stream.hello.vm)
