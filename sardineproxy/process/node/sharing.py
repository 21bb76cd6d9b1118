"""What entry VMs tell each other of the store's contents.

VMs that cannot reach the store learn versions and claims from those that can.
"""

import zlib

import result

from sardineproxy.connection import messages
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.version import in_force

#: Largest version that is accepted from another VM, in bytes: ten times the
#: one that the users' largest test makes.
MAX_VERSION_BYTES = 8_388_608


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
