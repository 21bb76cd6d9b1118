"""Forwards that wait for a reply from the VM that minted the key."""

import asyncio
import dataclasses
from typing import Mapping

from sardineproxy import ids
from sardineproxy.connection import frames, peer
from sardineproxy.request import forwarding

#: Longest wait for a stream to a VM that has none, in seconds. A caller that
#: asks for a dead VM's key gets a verdict after this, not at its deadline.
STREAM_WAIT_S = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _Question:
    """One outstanding forward."""

    number: int
    vm: ids.VmId
    incarnation: ids.Incarnation
    payload: bytes
    fut: asyncio.Future[forwarding.Reply]


class PendingForwards:
    """Asks again on each new stream until there is a reply."""

    def __init__(self) -> None:
        """Start without questions."""
        self._questions: dict[int, _Question] = {}

        #: Questions to an incarnation other than that of the VM's stream.
        self._suspects: dict[ids.VmId, list[_Question]] = {}
        self._last_number = 0

    def vms(self) -> set[ids.VmId]:
        """Return the VMs that have not replied yet."""
        return {question.vm for question in self._questions.values()}

    async def ask(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        payload: bytes,
        wait_s: float,
        streams: Mapping[ids.VmId, peer.Stream],
    ) -> forwarding.Reply:
        """Wait at most ``wait_s`` seconds for the reply.

        Gives up sooner when ``streams`` has held no stream to the VM for
        ``STREAM_WAIT_S``.
        """
        self._last_number += 1
        question = _Question(
            number=self._last_number,
            vm=vm,
            incarnation=incarnation,
            payload=payload,
            fut=asyncio.get_running_loop().create_future(),
        )
        self._questions[question.number] = question
        stream = streams.get(vm)
        if stream is not None:
            self._send(stream, question)
        try:
            async with asyncio.timeout(max(0, wait_s)):
                return await _wait(question, streams)
        except TimeoutError:
            return forwarding.Unreachable()
        finally:
            self._questions.pop(question.number)

    def opened(self, stream: peer.Stream) -> None:
        """Ask what is outstanding for the VM on its new stream."""
        self._suspects.pop(stream.hello.vm, None)
        for question in list(self._questions.values()):
            if question.vm == stream.hello.vm:
                self._send(stream, question)

    def heard(self, stream: peer.Stream) -> None:
        """Settle questions to an incarnation that this one has replaced.

        A frame that arrives after the question was put proves that its
        sender is the VM's present incarnation.
        """
        for question in self._suspects.pop(stream.hello.vm, ()):
            _settle(question, forwarding.Gone())

    def replied(self, stream: peer.Stream, reply: frames.ForwardReply) -> None:
        """Settle the question that was answered."""
        question = self._questions.get(reply.number)
        sender = (stream.hello.vm, stream.hello.incarnation)
        if question and (question.vm, question.incarnation) == sender:
            _settle(question, forwarding.Replied(payload=reply.payload))

    def _send(self, stream: peer.Stream, question: _Question) -> None:
        """Put the question, or make another incarnation show that it lives."""
        if stream.hello.incarnation == question.incarnation:
            stream.send(
                frames.Forward(number=question.number, payload=question.payload)
            )
            return
        self._suspects.setdefault(question.vm, []).append(question)
        stream.send(
            frames.ConfigFetch(version=stream.version, revision=stream.revision)
        )


async def _wait(
    question: _Question, streams: Mapping[ids.VmId, peer.Stream]
) -> forwarding.Reply:
    """Return the reply; raise TimeoutError if no stream is opened."""
    had_stream = question.vm in streams
    while True:
        done, _ = await asyncio.wait((question.fut,), timeout=STREAM_WAIT_S)
        if done:
            return question.fut.result()
        has_stream = question.vm in streams
        if not (had_stream or has_stream):
            raise TimeoutError
        had_stream = has_stream


def _settle(question: _Question, reply: forwarding.Reply) -> None:
    if not question.fut.done():
        question.fut.set_result(reply)
