"""Logging: one JSON object per line, with a message prefix per subsystem."""

import asyncio
import collections
import json
import logging
import os
import sys
import time
from typing import Any, MutableMapping, TextIO

from pythonjsonlogger import core
from pythonjsonlogger import orjson as json_formatter


class _PrefixAdapter(logging.LoggerAdapter):
    """Adds the prefix of a subsystem to each message."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the prefixed message; keep the caller's ``extra`` fields."""
        assert self.extra is not None
        return f'{self.extra["prefix"]}: {msg}', kwargs


def get_logger(prefix: str) -> logging.LoggerAdapter:
    """Return the logger of a subsystem, such as ``peer``."""
    return _PrefixAdapter(
        logging.getLogger(f'sardineproxy.{prefix}'), {'prefix': prefix}
    )


class LineFormatter(json_formatter.OrjsonFormatter):
    """Formats a record as one line of JSON, also if its text is not valid."""

    def __init__(self) -> None:
        """Write the time, the level and the message before other fields."""
        super().__init__(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
        )
        self._second = 0
        self._second_text = ''

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return local time with milliseconds; formats each second once."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime(
                self.default_time_format, time.localtime(second)
            )
        return f'{self._second_text},{int(record.msecs):03}'

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Encode the fields; escape text that is not valid Unicode."""
        try:
            return super().jsonify_log_record(log_data)
        except (TypeError, ValueError):
            return json.dumps(log_data, default=str)


#: Buffer limit, in bytes, while the reader of the logs is slow.
MAX_PENDING_BYTES = 262_144

#: Rate limit and burst of lines below the level WARNING.
LINES_PER_S = 400
LINES_BURST = 800

#: Delay before pending lines are written again, in seconds.
FLUSH_RETRY_S = 0.05


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    Lines that exceed the limits are dropped; their number is logged before the
    next line that is accepted.
    """

    def __init__(self, *, fd: int, loop: asyncio.AbstractEventLoop) -> None:
        """Write to ``fd``, which is made non-blocking."""
        super().__init__()
        self._fd = fd
        self._loop = loop
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._is_scheduled = False
        self._dropped = 0
        self._tokens = float(LINES_BURST)
        self._refilled_at = time.monotonic()
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop and count it."""
        if not self._accepts(record):
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
        """Write pending lines as far as possible without blocking."""
        self._flush()
        super().close()

    def _accepts(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        self._tokens = min(
            LINES_BURST, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._pending_bytes > MAX_PENDING_BYTES:
            return False
        if record.levelno >= logging.WARNING:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _queue(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b'\n'
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _flush(self) -> None:
        self._is_scheduled = False
        pending = b''.join(self._pending)
        self._pending.clear()
        try:
            written = os.write(self._fd, pending) if pending else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The descriptor cannot be written, so the error cannot be logged.
            written = len(pending)
        remaining = pending[written:]
        self._pending_bytes = len(remaining)
        if remaining:
            self._pending.append(remaining)
            self._is_scheduled = True
            self._loop.call_later(FLUSH_RETRY_S, self._flush)


def _dropped_record(count: int) -> logging.LogRecord:
    return logging.makeLogRecord(
        {
            'name': 'sardineproxy.logs',
            'levelno': logging.WARNING,
            'levelname': 'WARNING',
            'msg': 'logs: Lines dropped: too many lines or a slow reader.',
            'count': count,
        }
    )


def configure(*, stream: TextIO | None = None) -> None:
    """Write all logs to ``stream``, by default standard error."""
    _install(logging.StreamHandler(stream or sys.stderr))


def configure_bounded(
    *, fd: int, loop: asyncio.AbstractEventLoop
) -> BoundedHandler:
    """Write all logs to a file descriptor without ever blocking."""
    handler = BoundedHandler(fd=fd, loop=loop)
    _install(handler)
    return handler


def _install(handler: logging.Handler) -> None:
    handler.setFormatter(LineFormatter())
    # No line names its caller, thread or process, which are slow to find.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # noqa: SLF001
    root = logging.getLogger('sardineproxy')
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    root.propagate = False
