"""Registry table: members (entry VMs) and their claims on shards."""

import dataclasses
from typing import Any, Iterable

import result

from sardineproxy import deployment, fields, ids, json_text, logs
from sardineproxy.process import store
from sardineproxy.process.shards import fencing

#: Table of this project in the platform's store.
TABLE = 'sardineproxy'

#: Largest row, in bytes: the largest that the platform's store accepts.
MAX_ROW_BYTES = 65_536

_MEMBER_PREFIX = f'{TABLE}/member/'
_SHARD_PREFIX = f'{TABLE}/cell/'
_INQUIRY_PREFIX = f'{TABLE}/inquiry/'
_ANSWER_PREFIX = f'{TABLE}/answer/'

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
        self._by_size: dict[ids.ZoneId, tuple[Member, ...]] = {}
        self.members: dict[ids.VmId, Member] = {}
        self.claims: dict[ids.ShardId, Claim] = {}

        #: Revisions of the newest inquiry whether a shard has a leader, and of
        #: the newest answer of a leader.
        self.inquiries: dict[ids.ShardId, int] = {}
        self.answers: dict[ids.ShardId, int] = {}

    def apply(self, rows: Iterable[store.Row]) -> bool:
        """Apply rows by revision; return whether any row was newer."""
        changed = False
        for row in rows:
            current = self._rows.get(row.key)
            if current is None or row.revision > current.revision:
                self._rows[row.key] = row
                self._decode(row)
                changed = True
        if changed:
            self._by_size.clear()
        return changed

    def members_by_size(self, zone: ids.ZoneId) -> tuple[Member, ...]:
        """Return the VMs of a zone, those with most cores first."""
        members = self._by_size.get(zone)
        if members is None:
            members = tuple(
                sorted(
                    (
                        member
                        for member in self.members.values()
                        if member.zone == zone
                    ),
                    key=lambda member: (-member.cores, member.vm),
                )
            )
            self._by_size[zone] = members
        return members

    def rows(self) -> tuple[store.Row, ...]:
        """Return all rows that are not deleted, for a response to a peer."""
        return tuple(row for row in self._rows.values() if row.body is not None)

    def _decode(self, row: store.Row) -> None:
        try:
            if row.key.startswith(_MEMBER_PREFIX):
                self._decode_member(row)
            elif row.key.startswith(_SHARD_PREFIX):
                self._decode_claim(row)
            else:
                self._record_revision(row)
        except fields.FormatError as exc:
            _LOG.error(
                'Malformed registry row ignored.',
                extra={'key': row.key, 'cause': str(exc)},
            )

    def _record_revision(self, row: store.Row) -> None:
        """Record an inquiry or an answer, of which only the time matters."""
        for prefix, revisions in (
            (_INQUIRY_PREFIX, self.inquiries),
            (_ANSWER_PREFIX, self.answers),
        ):
            if row.key.startswith(prefix):
                shard = ids.ShardId(row.key.removeprefix(prefix))
                revisions[shard] = row.revision

    def _decode_member(self, row: store.Row) -> None:
        vm = ids.VmId(row.key.removeprefix(_MEMBER_PREFIX))
        if row.body is None:
            self.members.pop(vm, None)
            return
        document = _decode_object(row.body)
        host = fields.get_string(document, 'host')
        port = fields.get_integer(document, 'port')
        self.members[vm] = Member(
            vm=vm,
            incarnation=ids.Incarnation(
                fields.get_string(document, 'incarnation')
            ),
            zone=ids.ZoneId(fields.get_string(document, 'zone')),
            address=fields.make_address(host, port, f'{host}:{port}'),
            cores=fields.get_number(document, 'cores'),
        )

    def _decode_claim(self, row: store.Row) -> None:
        shard = ids.ShardId(row.key.removeprefix(_SHARD_PREFIX))
        if row.body is None:
            self.claims.pop(shard, None)
            return
        document = _decode_object(row.body)
        heirs = fields.get_list(
            document, 'heirs', max_items=fencing.MAX_SUCCESSORS
        )
        self.claims[shard] = Claim(
            cell=shard,
            epoch=fields.get_integer(
                document, 'epoch', maximum=fencing.MAX_EPOCH
            ),
            owner=_to_process_id(document.get('owner')),
            heirs=tuple(map(_to_process_id, heirs)),
            revision=row.revision,
        )


def _decode_object(body: bytes) -> json_text.Document:
    decoded = json_text.decode_object(body, max_bytes=MAX_ROW_BYTES)
    if isinstance(decoded, result.Err):
        raise fields.FormatError(decoded.err_value)
    return decoded.ok_value


def _to_process_id(pair: Any) -> ProcessId:
    is_pair = isinstance(pair, list) and len(pair) == 2
    if not is_pair or not all(isinstance(text, str) for text in pair):
        raise fields.FormatError(
            f'expected a VM and an incarnation, found {fields.describe(pair)}'
        )
    return ids.VmId(pair[0]), ids.Incarnation(pair[1])


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
        key=f'{_MEMBER_PREFIX}{member.vm}', body=json_text.encode(document)
    )


def shard_key(shard: ids.ShardId) -> str:
    """Return the key of a shard's claim row."""
    return f'{_SHARD_PREFIX}{shard}'


def inquiry_write(shard: ids.ShardId, member: Member) -> store.Write:
    """Return the write by which a member asks whether a shard has a leader."""
    return _signed_write(f'{_INQUIRY_PREFIX}{shard}', member)


def answer_write(shard: ids.ShardId, member: Member) -> store.Write:
    """Return the write by which the leader of a shard answers an inquiry."""
    return _signed_write(f'{_ANSWER_PREFIX}{shard}', member)


def _signed_write(key: str, member: Member) -> store.Write:
    document = {'by': (member.vm, member.incarnation)}
    return store.Write(key=key, body=json_text.encode(document))


def claim_write(claim: Claim) -> store.Write:
    """Return the write that stores a claim."""
    document = {
        'epoch': claim.epoch,
        'owner': claim.owner,
        'heirs': claim.heirs,
    }
    return store.Write(
        key=shard_key(claim.cell), body=json_text.encode(document)
    )
