"""What entry VMs tell each other of the store's contents.

VMs that cannot reach the store learn versions and claims from those that can.
"""

import zlib
from typing import Callable

import result

from sardineproxy import logs
from sardineproxy.connection import link, messages
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.version import asking, in_force

#: Largest version that is accepted from another VM, in bytes: ten times the
#: one that the users' largest test makes.
MAX_VERSION_BYTES = 8_388_608

_LOG = logs.get_logger('config')


class PeerSync:
    """Asks other VMs for versions and claims, and answers their questions."""

    def __init__(
        self,
        *,
        versions: in_force.InForce,
        directory: registry.Registry,
        on_directory: Callable[[], None],
    ) -> None:
        """Call ``on_directory`` whenever members or claims have changed."""
        self._versions = versions
        self._directory = directory
        self._on_directory = on_directory
        self._asking = asking.Asking()

    def version_reported(
        self, source: link.Link, number: int, *, store_answers: bool, now: float
    ) -> None:
        """Note a VM's version, and ask for it if that is due."""
        if self._asking.should_ask(
            number,
            own=self._versions.number,
            store_answers=store_answers,
            now=now,
        ):
            source.send(messages.VersionAsk())

    def apply_rows(self, rows: tuple[store.Row, ...]) -> None:
        """Use members and claims that are newer than those known."""
        if self._directory.apply(rows):
            self._on_directory()

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Act on a question or an answer."""
        match message:
            case messages.DirectoryAsk():
                source.send(pack_directory(self._directory))
            case messages.DirectoryGive():
                self.apply_rows(unpack_directory(message))
            case messages.VersionAsk():
                source.send(pack_version(self._versions))
            case messages.VersionGive():
                self._receive_version(source, message)

    def _receive_version(
        self, source: link.Link, given: messages.VersionGive
    ) -> None:
        unpacked = unpack_version(given)
        if isinstance(unpacked, result.Err):
            _LOG.error(
                'Version refused.',
                extra={'source': source.peer.vm, 'cause': unpacked.err_value},
            )
        else:
            self._versions.offer(unpacked.ok_value, source.peer.vm)


def pack_version(versions: in_force.InForce) -> messages.VersionGive:
    """Encode the version in force; routes are much alike and pack well."""
    return messages.VersionGive(
        number=versions.number, packed=zlib.compress(versions.body)
    )


def unpack_version(given: messages.VersionGive) -> result.Result[bytes, str]:
    """Return a version's body; the error is one sentence."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(given.packed, MAX_VERSION_BYTES)
    except zlib.error as exc:
        return result.Err(f'version {given.number} is damaged: {exc}')
    if not unpacker.eof:
        return result.Err(f'version {given.number} is cut short or too large')
    return result.Ok(body)


def pack_directory(directory: registry.Registry) -> messages.DirectoryGive:
    """Encode the members and claims."""
    return messages.DirectoryGive(
        rows=tuple(
            (row.key, row.revision, row.body or b'') for row in directory.rows()
        )
    )


def unpack_directory(given: messages.DirectoryGive) -> tuple[store.Row, ...]:
    """Return the members and claims that a peer sent."""
    return tuple(
        store.Row(key=key, revision=revision, body=body)
        for key, revision, body in given.rows
    )
