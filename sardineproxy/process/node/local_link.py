"""In-process link of a process to itself, for shards that it leads."""

import asyncio
from typing import Protocol

from sardineproxy.connection import link, messages


class Receiver(Protocol):
    """Handles messages."""

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Handle a message."""


class LocalLink(link.Link):
    """Delivers messages in the next iteration of the event loop."""

    def __init__(
        self, *, identity: messages.Greeting, receiver: Receiver
    ) -> None:
        """Create a link that delivers messages to ``receiver``."""
        self.peer = identity
        self.dialed = True
        self._receiver = receiver

    def send(self, message: messages.Message) -> bool:
        """Schedule the delivery of a message."""
        asyncio.get_running_loop().call_soon(
            self._receiver.received, self, message
        )
        return True

    def is_closing(self) -> bool:
        """Return False, as this link never closes."""
        return False
