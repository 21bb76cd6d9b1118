"""Logs: one JSON object a line, with a fixed prefix for each part."""

import logging
import sys
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


def configure(*, stream: TextIO | None = None) -> None:
    """Send all logs to ``stream``, by default standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
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
