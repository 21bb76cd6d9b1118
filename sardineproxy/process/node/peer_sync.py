"""Exchange of the store's contents between entry VMs.

VMs that cannot reach the store obtain versions and registry rows from peers.
"""

import zlib
from typing import Callable

import result

from sardineproxy import logs
from sardineproxy.connection import link, messages
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.version import fetch_policy, active_config

#: Maximum decompressed size of a configuration version from a peer, in bytes:
#: ten times the largest version in tests.
MAX_VERSION_BYTES = 8_388_608

_LOG = logs.get_logger('config')


class PeerSync:
    """Requests versions from peers, and exchanges registry rows with them."""

    def __init__(
        self,
        *,
        versions: active_config.ActiveConfig,
        registry: registry.Registry,
        on_registry_change: Callable[[], None],
    ) -> None:
        """Create an instance.

        ``on_registry_change`` is called when members or claims have changed.
        """
        self._versions = versions
        self._registry = registry
        self._on_registry_change = on_registry_change
        self._fetch_policy = fetch_policy.FetchPolicy()

    def version_reported(
        self,
        source: link.Link,
        number: int,
        *,
        store_available: bool,
        now: float,
    ) -> None:
        """Handle the version number in a peer's heartbeat.

        Requests that version from the peer if this process needs it.
        """
        if self._fetch_policy.should_fetch(
            number,
            active_number=self._versions.number,
            store_available=store_available,
            now=now,
        ):
            source.send(messages.VersionRequest())

    def apply_rows(self, rows: tuple[store.Row, ...]) -> None:
        """Apply members and claims that are newer than the current ones."""
        if self._registry.apply(rows):
            self._on_registry_change()

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Handle a request or a response."""
        match message:
            case messages.RegistryRequest():
                source.send(pack_registry(self._registry))
            case messages.RegistryResponse():
                self.apply_rows(unpack_registry(message))
            case messages.VersionRequest():
                source.send(pack_version(self._versions))
            case messages.VersionResponse():
                self._receive_version(source, message)

    def _receive_version(
        self, source: link.Link, message: messages.VersionResponse
    ) -> None:
        unpacked = unpack_version(message)
        if isinstance(unpacked, result.Err):
            _LOG.error(
                'Malformed version from a peer rejected.',
                extra={'source': source.peer.vm, 'cause': unpacked.err_value},
            )
        else:
            self._versions.offer(unpacked.ok_value, source.peer.vm)


def pack_version(
    versions: active_config.ActiveConfig,
) -> messages.VersionResponse:
    """Compress the active version; similar routes compress well."""
    return messages.VersionResponse(
        number=versions.number, compressed_body=zlib.compress(versions.body)
    )


def unpack_version(
    message: messages.VersionResponse,
) -> result.Result[bytes, str]:
    """Return the decompressed body of a version, or an error sentence."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(
            message.compressed_body, MAX_VERSION_BYTES
        )
    except zlib.error as exc:
        return result.Err(f'version {message.number} is corrupt: {exc}')
    if not decompressor.eof:
        return result.Err(
            f'version {message.number} is truncated or exceeds '
            f'{MAX_VERSION_BYTES} bytes'
        )
    return result.Ok(body)


def pack_registry(registry: registry.Registry) -> messages.RegistryResponse:
    """Encode the rows of members and claims."""
    return messages.RegistryResponse(
        rows=tuple(
            (row.key, row.revision, row.body or b'') for row in registry.rows()
        )
    )


def unpack_registry(
    message: messages.RegistryResponse,
) -> tuple[store.Row, ...]:
    """Decode the rows of members and claims that a peer sent."""
    return tuple(
        store.Row(key=key, revision=revision, body=body)
        for key, revision, body in message.rows
    )
