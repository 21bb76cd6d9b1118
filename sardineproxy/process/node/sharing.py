"""What entry VMs tell each other of the store's contents.

VMs that cannot reach the store learn versions and claims from those that can.
"""

from sardineproxy.connection import messages
from sardineproxy.process import store
from sardineproxy.process.membership import registry
from sardineproxy.version import in_force


def to_message(
    versions: in_force.InForce, directory: registry.Registry, known: int
) -> messages.StateGive:
    """Encode the directory, and the version if ``known`` is an older one."""
    newer = versions.number > known
    return messages.StateGive(
        version=versions.number,
        configuration=versions.body if newer else None,
        directory=tuple(
            (row.key, row.revision, row.body or b'') for row in directory.rows()
        ),
    )


def to_rows(state: messages.StateGive) -> tuple[store.Row, ...]:
    """Return the rows of the directory that a peer sent."""
    return tuple(
        store.Row(key=key, revision=revision, body=body)
        for key, revision, body in state.directory
    )
