"""Logs: one JSON object a line, with a fixed prefix for each part."""

import asyncio
import collections
import logging
import os
import sys
import time
from typing import Any, MutableMapping, TextIO

from pythonjsonlogger import json as json_formatter


class _PrefixAdapter(logging.LoggerAdapter):
    """Puts a part's prefix before each message."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the prefixed message; ``extra`` fields stay as given."""
        assert self.extra is not None
        return f'{self.extra["prefix"]}: {msg}', kwargs


def get_logger(prefix: str) -> logging.LoggerAdapter:
    """Return the logger of one part, such as ``peer``."""
    return _PrefixAdapter(
        logging.getLogger(f'sardineproxy.{prefix}'), {'prefix': prefix}
    )


#: Most bytes of lines that wait for a slow reader of the logs.
MAX_PENDING_BYTES = 262_144

#: Most lines below the level WARNING in a second, and in one burst.
LINES_PER_S = 400
LINES_BURST = 800

#: Pause before pending lines are offered again, in seconds.
FLUSH_RETRY_S = 0.05


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it.

    Lines over the bounds are dropped; their number is logged as soon as
    lines are taken again.
    """

    def __init__(self, *, fd: int, loop: asyncio.AbstractEventLoop) -> None:
        """Use a descriptor, which becomes non-blocking."""
        super().__init__()
        self._fd = fd
        self._loop = loop
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._is_scheduled = False
        self._dropped = 0
        self._lines = float(LINES_BURST)
        self._counted_at = time.monotonic()
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if not self._has_room(record):
            self._dropped += 1
            return
        if self._dropped:
            self._queue(_dropped_record(self._dropped))
            self._dropped = 0
        self._queue(record)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._flush)

    def close(self) -> None:
        """Write what is pending as far as the reader takes it."""
        self._flush()
        super().close()

    def _has_room(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        self._lines = min(
            LINES_BURST, self._lines + (now - self._counted_at) * LINES_PER_S
        )
        self._counted_at = now
        if self._pending_bytes > MAX_PENDING_BYTES:
            return False
        if record.levelno >= logging.WARNING:
            return True
        if self._lines < 1:
            return False
        self._lines -= 1
        return True

    def _queue(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b'\n'
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _flush(self) -> None:
        self._is_scheduled = False
        text = b''.join(self._pending)
        self._pending.clear()
        try:
            written = os.write(self._fd, text) if text else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the logs any more; there is nowhere to say so.
            written = len(text)
        rest = text[written:]
        self._pending_bytes = len(rest)
        if rest:
            self._pending.append(rest)
            self._is_scheduled = True
            self._loop.call_later(FLUSH_RETRY_S, self._flush)


def _dropped_record(count: int) -> logging.LogRecord:
    return logging.makeLogRecord(
        {
            'name': 'sardineproxy.logs',
            'levelno': logging.WARNING,
            'levelname': 'WARNING',
            'msg': 'logs: Lines dropped.',
            'count': count,
        }
    )


def configure(*, stream: TextIO | None = None) -> None:
    """Send all logs to ``stream``, by default standard error."""
    _install(logging.StreamHandler(stream or sys.stderr))


def configure_bounded(
    *, fd: int, loop: asyncio.AbstractEventLoop
) -> BoundedHandler:
    """Send all logs to a descriptor without waiting for its reader."""
    handler = BoundedHandler(fd=fd, loop=loop)
    _install(handler)
    return handler


def _install(handler: logging.Handler) -> None:
    handler.setFormatter(
        json_formatter.JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
        )
    )
    root = logging.getLogger('sardineproxy')
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    root.propagate = False
