"""The link from this process to itself, for cells that it owns."""

import asyncio
from typing import Protocol

from sardineproxy.connection import link, messages


class Receiver(Protocol):
    """Acts on messages."""

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Act on a message."""


class LocalLink(link.Link):
    """Hands messages over on the next turn of the event loop."""

    def __init__(self, *, me: messages.Greeting, receiver: Receiver) -> None:
        """Link a process to itself."""
        self.peer = me
        self.dialed = True
        self._receiver = receiver

    def send(self, message: messages.Message) -> bool:
        """Queue a message."""
        asyncio.get_running_loop().call_soon(
            self._receiver.received, self, message
        )
        return True

    def is_closing(self) -> bool:
        """Tell that this link never closes."""
        return False
