"""The active configuration version of a process."""

import hashlib
from typing import Callable

import reactivex
import result
from reactivex import subject

from sardineproxy import logs
from sardineproxy.version import routes

#: Length of a shortened digest, in characters.
DIGEST_CHARS = 16

Decode = Callable[[bytes], result.Result[routes.RoutingTable, str]]

_LOG = logs.get_logger('config')


class ActiveConfig:
    """Holds the newest version received; an older one never replaces it."""

    def __init__(self, *, decode: Decode) -> None:
        """Start without a version."""
        self._decode = decode
        self._table = subject.BehaviorSubject[routes.RoutingTable | None](None)
        self.body = b''

    @property
    def changes(self) -> reactivex.Observable[routes.RoutingTable | None]:
        """Return the stream of versions, which starts with the active one."""
        return self._table

    @property
    def table(self) -> routes.RoutingTable | None:
        """Return the active routes, None before the first version."""
        return self._table.value

    @property
    def number(self) -> int:
        """Return the number of the active version, 0 for none."""
        table = self.table
        return table.number if table else 0

    @property
    def digest(self) -> str:
        """Return a shortened digest of the active version, empty for none."""
        if not self.body:
            return ''
        return hashlib.sha256(self.body).hexdigest()[:DIGEST_CHARS]

    def offer(self, body: bytes, source: str) -> None:
        """Activate a version if it is newer and well formed."""
        if body == self.body:
            return
        decoded = self._decode(body)
        if isinstance(decoded, result.Err):
            _LOG.error(
                'Configuration version rejected.',
                extra={'source': source, 'cause': decoded.err_value},
            )
            return
        table = decoded.ok_value
        if table.number <= self.number:
            return
        _LOG.info(
            'Configuration version activated.',
            extra={
                'version': table.number,
                'before': self.number,
                'source': source,
                'routes': len(table),
            },
        )
        self.body = body
        self._table.on_next(table)
