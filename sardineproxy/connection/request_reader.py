"""Reads the requests of one connection, with bounds on what it holds.

The parser reports a header, or a line of the framing, only once it is
complete, and buffers it until then. The reader therefore passes it pieces of
bounded size, and counts the bytes of which nothing has been reported.
"""

import httptools

from sardineproxy.connection import client_guard, http_messages

#: Largest request line and headers together, in bytes.
MAX_HEAD_BYTES = 16_384

#: Bytes of an empty line before a request, which some clients send after the
#: body of the request before.
EMPTY_LINE_BYTES = 2

#: Fewest bytes of a header line beside its name and value.
LINE_OVERHEAD_BYTES = 3

#: Memory of a header beside the bytes of its name and value: two strings and
#: their entry in the dictionary.
HEADER_MEMORY_BYTES = 150

#: Bytes of a body that is too large which are read and discarded before the
#: connection is closed; a client that is still sending sees no response.
MAX_DISCARDED_BYTES = 4_194_304

#: Largest piece that is passed to the parser at once.
PIECE_BYTES = MAX_HEAD_BYTES

_CONTINUE_EXPECTED = b'100-continue'


class RejectedError(Exception):
    """The request cannot be read."""

    def __init__(self, cause: client_guard.Cause) -> None:
        """Store the cause."""
        super().__init__(cause.value)
        self.cause = cause


class RequestReader:  # noqa: WPS230
    """Collects requests; the methods ``on_...`` are called by the parser."""

    def __init__(self, *, cfg: http_messages.ServerConfig) -> None:
        """Wait for the first request."""
        self._cfg = cfg
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._request: http_messages.Request | None = None
        self._url = b''
        self._head_bytes = 0
        self._body_bytes = 0
        self._body = bytearray()
        self._is_head_complete = False

        #: Bytes since the last part of a request that the parser reported.
        self._unreported_bytes = 0
        self._has_reported = False

        #: Complete requests that have not been taken yet.
        self.complete: list[http_messages.Request] = []

        #: True once the client waits for a permission to send its body.
        self.is_continue_expected = False

    @property
    def is_arriving(self) -> bool:
        """Return whether a part of the next request has arrived."""
        return self._request is not None or self._unreported_bytes > 0

    @property
    def has_begun(self) -> bool:
        """Return whether more than empty lines have arrived."""
        return self._request is not None

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request that is arriving, in bytes."""
        kept = 0 if self._request is None else self._request.held_bytes
        return self._unreported_bytes + kept + len(self._body)

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raises ``RejectedError``, and the errors of the parser.
        """
        view = memoryview(received)
        for start in range(0, len(view), PIECE_BYTES):
            piece = view[start : start + PIECE_BYTES]
            self._has_reported = False
            self._parse(piece)
            if self._has_reported:
                # The rest of the piece is not counted: at most one piece.
                self._unreported_bytes = 0
            else:
                self._unreported_bytes += len(piece)
            if self._unreported_bytes > MAX_HEAD_BYTES + EMPTY_LINE_BYTES:
                raise RejectedError(client_guard.Cause.HEAD)

    def close(self) -> None:
        """Release all memory; nothing more is parsed.

        The parser refers to this object. Without this call both would remain
        until the next collection of reference cycles, which are rare.
        """
        self._parser = None
        self._request = None
        self._body = bytearray()
        self._url = b''
        self._unreported_bytes = 0
        self.complete.clear()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._request = http_messages.Request()
        self._url = b''
        self._head_bytes = 0
        self._body_bytes = 0
        self._is_head_complete = False

    def on_url(self, part: bytes) -> None:
        """Collect the request target."""
        self._count_head(len(part))
        self._url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; a header after the body is only counted."""
        self._count_head(len(name) + len(value) + LINE_OVERHEAD_BYTES)
        req = self._request
        if req is None or self._is_head_complete:
            return
        key = name.decode('latin-1').lower()
        if key == 'expect' and value.lower() == _CONTINUE_EXPECTED:
            self.is_continue_expected = True
        kept = self._cfg.kept_headers
        if kept is None or key in kept:
            req.headers[key] = value.decode('latin-1')
            req.held_bytes += len(name) + len(value) + HEADER_MEMORY_BYTES

    def on_headers_complete(self) -> None:
        """Decode the target."""
        self._has_reported = True
        self._is_head_complete = True
        req = self._request
        if req is None or self._parser is None:
            return
        req.method = self._parser.get_method().decode('latin-1')
        req.path = http_messages.decode_path(self._url)
        req.held_bytes += len(self._url)
        self._url = b''
        req.keep_alive = self._parser.should_keep_alive()

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body, or discard it if there is too much."""
        self._has_reported = True
        self._body_bytes += len(chunk)
        if self._body_bytes <= self._cfg.max_body_bytes:
            self._body += chunk
        elif self._body:
            self._body = bytearray()
        if self._body_bytes > MAX_DISCARDED_BYTES:
            raise RejectedError(client_guard.Cause.BODY)

    def on_message_complete(self) -> None:
        """Add the request to the complete ones."""
        self._has_reported = True
        req = self._request
        self._request = None
        if req is None:
            return
        if self._body_bytes > self._cfg.max_body_bytes:
            req.body = None
        elif self._body:
            req.body = bytes(self._body)
            req.held_bytes += len(self._body)
            self._body = bytearray()
        self.complete.append(req)

    def _parse(self, piece: memoryview) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, RejectedError):
                raise exc.__context__
            raise

    def _count_head(self, size: int) -> None:
        """Raise an error, which ends the parsing, if the head is too large."""
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise RejectedError(client_guard.Cause.HEAD)
