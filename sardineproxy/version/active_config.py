"""The configuration version that is in force at this process."""

import hashlib
from typing import Callable

import reactivex
import result
from reactivex import subject

from sardineproxy import logs
from sardineproxy.version import routes

#: Characters of a digest that are shown.
DIGEST_CHARS = 16

Decode = Callable[[bytes], result.Result[routes.RoutingTable, str]]

_LOG = logs.get_logger('config')


class ActiveConfig:
    """Keeps the newest version; an older one never replaces it."""

    def __init__(self, *, decode: Decode) -> None:
        """Start without a version."""
        self._decode = decode
        self._table = subject.BehaviorSubject[routes.RoutingTable | None](None)
        self.body = b''

    @property
    def changes(self) -> reactivex.Observable[routes.RoutingTable | None]:
        """Return the stream of versions, the present one first."""
        return self._table

    @property
    def table(self) -> routes.RoutingTable | None:
        """Return the routes in force, None before the first version."""
        return self._table.value

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        table = self.table
        return table.number if table else 0

    @property
    def digest(self) -> str:
        """Return a digest of the version in force, empty for none."""
        if not self.body:
            return ''
        return hashlib.sha256(self.body).hexdigest()[:DIGEST_CHARS]

    def offer(self, body: bytes, source: str) -> None:
        """Put a version in force if it is newer and well formed."""
        if body == self.body:
            return
        decoded = self._decode(body)
        if isinstance(decoded, result.Err):
            _LOG.error(
                'Version refused.',
                extra={'source': source, 'cause': decoded.err_value},
            )
            return
        table = decoded.ok_value
        if table.number <= self.number:
            return
        _LOG.info(
            'Version in force.',
            extra={
                'version': table.number,
                'before': self.number,
                'source': source,
                'routes': len(table),
            },
        )
        self.body = body
        self._table.on_next(table)
