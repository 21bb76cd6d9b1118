"""Collects the body of a caller's request, and releases it at a close.

The error of a lost connection refers to the frames that it has passed, and
through them to the connection. What a closed connection holds is therefore
released only with its reference cycle, unless it is released here.
"""

from aiohttp import streams

from sardineproxy import logs

_LOG = logs.get_logger('caller')


class BodyReader:
    """Reads the bodies of one connection, one after the other."""

    def __init__(self, *, max_bytes: int) -> None:
        """Hold nothing."""
        self._max_bytes = max_bytes
        self._body = bytearray()
        self._is_closed = False

    async def read(self, content: streams.StreamReader) -> bytes | None:
        """Return the whole body, None if it is too large.

        Also None if the connection was closed meanwhile. Raises the errors of
        ``content``.
        """
        try:
            while part := await content.readany():
                self._body += part
                if len(self._body) > self._max_bytes:
                    return None
            return None if self._is_closed else bytes(self._body)
        finally:
            self._body.clear()

    def close(self) -> None:
        """Release what has been read."""
        self._is_closed = True
        self._body.clear()


def discard(content: streams.StreamReader) -> None:
    """Release the bytes of a body that nobody has read."""
    if content.exception() is not None:
        return
    try:
        content.read_nowait()
    except RuntimeError:
        _LOG.debug('Nothing to release: the handler waits for the body.')
