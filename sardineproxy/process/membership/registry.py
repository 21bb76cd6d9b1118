"""The table in which entry VMs register themselves and claim cells."""

import dataclasses
import json
from typing import Any, Iterable

from sardineproxy import deployment, ids, logs
from sardineproxy.process import store

#: Table of this system in the platform's store.
TABLE = 'sardineproxy'

_MEMBER = f'{TABLE}/member/'
_SHARD = f'{TABLE}/cell/'

_LOG = logs.get_logger('registry')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """An entry VM and its present process."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    zone: ids.ZoneId

    #: Listener for links from other entry VMs.
    address: deployment.Address

    #: Processor share, in cores.
    cores: float


#: An entry VM and one of its processes.
ProcessId = tuple[ids.VmId, ids.Incarnation]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Who owns a cell."""

    cell: ids.ShardId

    #: Rises with each change of the row, so that a fence made from it does.
    epoch: int
    owner: ProcessId

    #: Who may take the cell over while the store cannot be written, in
    #: order. The position is part of the fence.
    heirs: tuple[ProcessId, ...]

    #: Revision of the row, 0 if there is none yet.
    revision: int


class Registry:
    """Members and claims as of the newest rows that this process knows."""

    def __init__(self) -> None:
        """Start without members and claims."""
        self._rows: dict[str, store.Row] = {}
        self.members: dict[ids.VmId, Member] = {}
        self.claims: dict[ids.ShardId, Claim] = {}

    def apply(self, rows: Iterable[store.Row]) -> bool:
        """Take rows that are newer; tell whether one was."""
        changed = False
        for row in rows:
            known = self._rows.get(row.key)
            if known is None or row.revision > known.revision:
                self._rows[row.key] = row
                self._decode(row)
                changed = True
        return changed

    def rows(self) -> tuple[store.Row, ...]:
        """Return all rows, to tell them to a peer."""
        return tuple(row for row in self._rows.values() if row.body is not None)

    def _decode(self, row: store.Row) -> None:
        try:
            if row.key.startswith(_MEMBER):
                self._decode_member(row)
            elif row.key.startswith(_SHARD):
                self._decode_claim(row)
        except (ValueError, KeyError, TypeError) as exc:
            _LOG.error(
                'Row not understood.', extra={'key': row.key, 'cause': str(exc)}
            )

    def _decode_member(self, row: store.Row) -> None:
        vm = ids.VmId(row.key.removeprefix(_MEMBER))
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
        shard = ids.ShardId(row.key.removeprefix(_SHARD))
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
        key=f'{_MEMBER}{member.vm}', body=json.dumps(document).encode()
    )


def shard_key(shard: ids.ShardId) -> str:
    """Return the key of a cell's row."""
    return f'{_SHARD}{shard}'


def claim_write(claim: Claim) -> store.Write:
    """Return the write of a claim."""
    document = {
        'epoch': claim.epoch,
        'owner': claim.owner,
        'heirs': claim.heirs,
    }
    return store.Write(
        key=shard_key(claim.cell), body=json.dumps(document).encode()
    )
