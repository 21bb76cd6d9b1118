"""Registry table: members (entry VMs) and their claims on shards."""

import dataclasses
import json
from typing import Any, Iterable

from sardineproxy import deployment, ids, logs
from sardineproxy.process import store

#: Table of this project in the platform's store.
TABLE = 'sardineproxy'

_MEMBER_PREFIX = f'{TABLE}/member/'
_SHARD_PREFIX = f'{TABLE}/cell/'

_LOG = logs.get_logger('registry')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """An entry VM and its current process."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    zone: ids.ZoneId

    #: Listener for links from other entry VMs.
    address: deployment.Address

    #: CPU share, in cores.
    cores: float


#: VM and incarnation, which together identify a process.
ProcessId = tuple[ids.VmId, ids.Incarnation]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Claim of a process to lead a shard.

    The names of the fields are part of the state dump.
    """

    #: The claimed shard.
    cell: ids.ShardId

    #: Increases with every change of the row, and so do the fencing tokens
    #: that are derived from it.
    epoch: int

    #: The process that leads the shard.
    owner: ProcessId

    #: Successors, in order: the processes that may take over the shard while
    #: the store is unavailable for writes. The position is the rank in the
    #: fencing token.
    heirs: tuple[ProcessId, ...]

    #: Revision of the row, 0 if the row does not exist yet.
    revision: int


class Registry:
    """Members and claims, decoded from the newest rows received."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._rows: dict[str, store.Row] = {}
        self.members: dict[ids.VmId, Member] = {}
        self.claims: dict[ids.ShardId, Claim] = {}

    def apply(self, rows: Iterable[store.Row]) -> bool:
        """Apply rows by revision; return whether any row was newer."""
        changed = False
        for row in rows:
            current = self._rows.get(row.key)
            if current is None or row.revision > current.revision:
                self._rows[row.key] = row
                self._decode(row)
                changed = True
        return changed

    def rows(self) -> tuple[store.Row, ...]:
        """Return all rows that are not deleted, for a response to a peer."""
        return tuple(row for row in self._rows.values() if row.body is not None)

    def _decode(self, row: store.Row) -> None:
        try:
            if row.key.startswith(_MEMBER_PREFIX):
                self._decode_member(row)
            elif row.key.startswith(_SHARD_PREFIX):
                self._decode_claim(row)
        except (ValueError, KeyError, TypeError) as exc:
            _LOG.error(
                'Malformed registry row ignored.',
                extra={'key': row.key, 'cause': str(exc)},
            )

    def _decode_member(self, row: store.Row) -> None:
        vm = ids.VmId(row.key.removeprefix(_MEMBER_PREFIX))
        if row.body is None:
            self.members.pop(vm, None)
            return
        document = json.loads(row.body)
        self.members[vm] = Member(
            vm=vm,
            incarnation=ids.Incarnation(str(document['incarnation'])),
            zone=ids.ZoneId(str(document['zone'])),
            address=deployment.Address(
                host=str(document['host']), port=int(document['port'])
            ),
            cores=float(document['cores']),
        )

    def _decode_claim(self, row: store.Row) -> None:
        shard = ids.ShardId(row.key.removeprefix(_SHARD_PREFIX))
        if row.body is None:
            self.claims.pop(shard, None)
            return
        document = json.loads(row.body)
        self.claims[shard] = Claim(
            cell=shard,
            epoch=int(document['epoch']),
            owner=_to_process_id(document['owner']),
            heirs=tuple(map(_to_process_id, document['heirs'])),
            revision=row.revision,
        )


def _to_process_id(pair: Any) -> ProcessId:
    vm, incarnation = pair
    return ids.VmId(str(vm)), ids.Incarnation(str(incarnation))


def member_write(member: Member) -> store.Write:
    """Return the write that registers a member."""
    document = {
        'incarnation': member.incarnation,
        'zone': member.zone,
        'host': member.address.host,
        'port': member.address.port,
        'cores': member.cores,
    }
    return store.Write(
        key=f'{_MEMBER_PREFIX}{member.vm}', body=json.dumps(document).encode()
    )


def shard_key(shard: ids.ShardId) -> str:
    """Return the key of a shard's claim row."""
    return f'{_SHARD_PREFIX}{shard}'


def claim_write(claim: Claim) -> store.Write:
    """Return the write that stores a claim."""
    document = {
        'epoch': claim.epoch,
        'owner': claim.owner,
        'heirs': claim.heirs,
    }
    return store.Write(
        key=shard_key(claim.cell), body=json.dumps(document).encode()
    )
