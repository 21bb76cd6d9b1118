"""Requests that are forwarded to the VM that issued their key."""

import asyncio
import dataclasses
from typing import Mapping

from sardineproxy import ids
from sardineproxy.connection import frames, peer
from sardineproxy.request import forwarding

#: Timeout for opening a stream to a VM that has none, in seconds. It limits
#: the response time for a key of a failed VM, regardless of the deadline.
STREAM_WAIT_S = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _PendingForward:
    """One outstanding forward."""

    number: int
    vm: ids.VmId
    incarnation: ids.Incarnation
    payload: bytes
    fut: asyncio.Future[forwarding.Reply]


class PendingForwards:
    """Forwards without a reply, which are resent on each new stream."""

    def __init__(self) -> None:
        """Create an instance without pending forwards."""
        self._pending_forwards: dict[int, _PendingForward] = {}

        #: Forwards to an incarnation that differs from that of the VM's
        #: stream.
        self._unconfirmed: dict[ids.VmId, list[_PendingForward]] = {}
        self._last_number = 0

    def pending_vms(self) -> set[ids.VmId]:
        """Return the VMs with pending forwards."""
        return {forward.vm for forward in self._pending_forwards.values()}

    async def send(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        wait_s: float,
        streams: Mapping[ids.VmId, peer.Stream],
    ) -> forwarding.Reply:
        """Send a forward and wait at most ``wait_s`` seconds for the reply.

        Returns earlier if ``streams`` contains no stream to the VM for
        ``STREAM_WAIT_S`` seconds.
        """
        self._last_number += 1
        forward = _PendingForward(
            number=self._last_number,
            vm=vm,
            incarnation=incarnation,
            payload=payload,
            fut=asyncio.get_running_loop().create_future(),
        )
        self._pending_forwards[forward.number] = forward
        stream = streams.get(vm)
        if stream is not None:
            self._send(stream, forward)
        try:
            async with asyncio.timeout(max(0, wait_s)):
                return await _wait_for_reply(forward, streams)
        except TimeoutError:
            return forwarding.Unreachable()
        finally:
            self._pending_forwards.pop(forward.number)

    def resend(self, stream: peer.Stream) -> None:
        """Send all pending forwards to the VM on its new stream."""
        self._unconfirmed.pop(stream.hello.vm, None)
        for forward in list(self._pending_forwards.values()):
            if forward.vm == stream.hello.vm:
                self._send(stream, forward)

    def confirm_incarnation(self, stream: peer.Stream) -> None:
        """Resolve forwards to an incarnation that the stream's has replaced.

        A frame received after the request was sent proves that its sender is
        the VM's current incarnation.
        """
        for forward in self._unconfirmed.pop(stream.hello.vm, ()):
            _resolve(forward, forwarding.Gone())

    def handle_reply(
        self, stream: peer.Stream, reply: frames.ForwardReply
    ) -> None:
        """Resolve the forward that a reply belongs to."""
        forward = self._pending_forwards.get(reply.number)
        sender = (stream.hello.vm, stream.hello.incarnation)
        if forward and (forward.vm, forward.incarnation) == sender:
            _resolve(forward, forwarding.Replied(payload=reply.payload))

    def _send(self, stream: peer.Stream, forward: _PendingForward) -> None:
        """Send the forward, or probe a stream of another incarnation.

        The probe is a ConfigFetch, whose response confirms the incarnation.
        """
        if stream.hello.incarnation == forward.incarnation:
            stream.send(
                frames.Forward(number=forward.number, payload=forward.payload)
            )
            return
        self._unconfirmed.setdefault(forward.vm, []).append(forward)
        stream.send(
            frames.ConfigFetch(version=stream.version, revision=stream.revision)
        )


async def _wait_for_reply(
    forward: _PendingForward, streams: Mapping[ids.VmId, peer.Stream]
) -> forwarding.Reply:
    """Return the reply; raise TimeoutError if no stream opens in time."""
    had_stream = forward.vm in streams
    while True:
        done, _ = await asyncio.wait((forward.fut,), timeout=STREAM_WAIT_S)
        if done:
            return forward.fut.result()
        has_stream = forward.vm in streams
        if not (had_stream or has_stream):
            raise TimeoutError
        had_stream = has_stream


def _resolve(forward: _PendingForward, reply: forwarding.Reply) -> None:
    if not forward.fut.done():
        forward.fut.set_result(reply)
