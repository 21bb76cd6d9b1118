"""Finds where a caller's request ends, to count what it holds.

The aiohttp parser decides whether a request is valid.
"""

import re

HEAD_END = b'\r\n\r\n'

_BODY_HEADER = re.compile(
    rb'\r\n(content-length|transfer-encoding):[ \t]*([^\r]*)', re.IGNORECASE
)

#: Digits of the largest length that is read; longer ones are out of range.
_MAX_LENGTH_DIGITS = 18

#: Memory of a piece of a chunked body in the parser, for each of the two line
#: ends that enclose it.
FRAMING_MEMORY_BYTES = 25


class Progress:
    """How much of a request has been received."""

    def __init__(self) -> None:
        """Wait for the first byte."""
        self.has_whole_head = False
        self.head_bytes = 0
        self.body_bytes = 0

        #: Length of the body, None if it ends with its last chunk.
        self.body_length: int | None = None

        #: Head that is not whole yet.
        self._head = b''

        #: Memory of the pieces of a chunked body beside their bytes.
        self._framing_bytes = 0

    @property
    def is_whole(self) -> bool:
        """Return whether the request has ended, False if not known."""
        return self.has_whole_head and self.body_bytes == self.body_length

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request in bytes."""
        return self.head_bytes + self.body_bytes + self._framing_bytes

    def add(self, received: bytes) -> int:
        """Count received bytes; return how many belong to the request.

        Further bytes of a chunked body are counted as its own.
        """
        if self.has_whole_head:
            self.body_bytes += len(received)
            self._framing_bytes += FRAMING_MEMORY_BYTES * received.count(b'\n')
        else:
            self._add_to_head(received)
        if self.body_length is None or self.body_bytes <= self.body_length:
            return len(received)
        excess_bytes = self.body_bytes - self.body_length
        self.body_bytes = self.body_length
        return len(received) - excess_bytes

    def _add_to_head(self, received: bytes) -> None:
        self._head += received
        empty_bytes = len(self._head) - len(self._head.lstrip(b'\r\n'))
        end = self._head.find(HEAD_END, empty_bytes)
        if end < 0:
            self.head_bytes += len(received)
            return
        self.has_whole_head = True
        self.body_length = _find_body_length(self._head[:end])
        self.body_bytes = len(self._head) - end - len(HEAD_END)
        self.head_bytes += len(received) - self.body_bytes
        self._head = b''


def _find_body_length(head: bytes) -> int | None:
    """Return the length of a body in bytes, None if the head does not tell."""
    fields = _BODY_HEADER.findall(head)
    if not fields:
        return 0
    name, text = fields[0]
    digits = text.strip()
    if len(fields) > 1 or name.lower() != b'content-length':
        return None
    if not digits.isdigit() or len(digits) > _MAX_LENGTH_DIGITS:
        return None
    return int(digits)
