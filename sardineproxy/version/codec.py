"""JSON encoding of versions and changes for rows, objects and peers."""

import dataclasses
import json
import re
from typing import Annotated, Any, Mapping, Sequence, TypeGuard

import pydantic
import result

from sardineproxy import ids, json_text
from sardineproxy.version import contracts, versions

#: Largest row body of a change, in bytes.
MAX_CHANGE_BYTES = 1_048_576

#: Largest snapshot object or payload from a peer, in bytes. Half a peer
#: frame, so that the frame around it always fits.
MAX_PAYLOAD_BYTES = 4_194_304

MAX_HEAD_BYTES = 1024
MAX_CHANGES_IN_PAYLOAD = 256

_NAME = re.compile(contracts.NAME_PATTERN)

Hash = Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]
Number = Annotated[int, pydantic.Field(ge=1, le=999_999_999_999)]
Documents = Annotated[
    list[dict[str, Any]], pydantic.Field(max_length=contracts.MAX_CONTRACTS)
]
CustomerNames = Annotated[
    list[contracts.CustomerName],
    pydantic.Field(max_length=contracts.MAX_CONTRACTS),
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Payload:
    """A snapshot or changes that an entry process sends to a peer."""

    snapshot: versions.Snapshot | None
    changes: tuple[versions.Change, ...]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True, frozen=True)


class _Head(_Model):
    number: Number
    digest: Hash
    operator: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    apply_id: Annotated[str, pydantic.Field(pattern='^[0-9a-f]{1,64}$')]


class _Change(_Head):
    documents: Annotated[Documents, pydantic.Field(alias='set')]
    removed: CustomerNames


class _Snapshot(_Model):
    number: Number
    digest: Hash
    contracts: Documents


class _Payload(_Model):
    snapshot: _Snapshot | None
    changes: Annotated[
        list[_Change], pydantic.Field(max_length=MAX_CHANGES_IN_PAYLOAD)
    ]


def encode_head(head: versions.Head) -> bytes:
    """Return the row body of the head."""
    return versions.canonical_json(dataclasses.asdict(head)).encode()


def decode_head(body: bytes) -> result.Result[versions.Head, str]:
    """Parse the row body of the head."""
    parsed = _parse(body, MAX_HEAD_BYTES, _Head)
    return parsed.map(_to_head)


def encode_change(change: versions.Change) -> bytes:
    """Return the row body of a change."""
    return versions.canonical_json(_change_fields(change)).encode()


def decode_change(body: bytes) -> result.Result[versions.Change, str]:
    """Parse the row body of a change."""
    return _parse(body, MAX_CHANGE_BYTES, _Change).and_then(_to_change)


def encode_snapshot(snapshot: versions.Snapshot) -> bytes:
    """Return the snapshot object of a version."""
    return versions.canonical_json(_snapshot_fields(snapshot)).encode()


def decode_snapshot(body: bytes) -> result.Result[versions.Snapshot, str]:
    """Parse a snapshot object and check its digest."""
    return _parse(body, MAX_PAYLOAD_BYTES, _Snapshot).and_then(_to_snapshot)


def encode_payload(payload: Payload) -> bytes:
    """Return the encoded payload for a peer."""
    snapshot = payload.snapshot
    fields = {
        'snapshot': None if snapshot is None else _snapshot_fields(snapshot),
        'changes': [_change_fields(change) for change in payload.changes],
    }
    return versions.canonical_json(fields).encode()


def decode_payload(body: bytes) -> result.Result[Payload, str]:
    """Parse a payload from a peer and check the snapshot's digest."""
    return _parse(body, MAX_PAYLOAD_BYTES, _Payload).and_then(_to_payload)


def _parse(
    body: bytes, max_bytes: int, model: type[pydantic.BaseModel]
) -> result.Result[Any, str]:
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return result.Err('not valid UTF-8')
    parsed = json_text.parse_object(text, max_bytes=max_bytes, comments=False)
    if isinstance(parsed, result.Err):
        return parsed
    try:
        return result.Ok(model.model_validate(parsed.ok_value))
    except pydantic.ValidationError as exc:
        error = exc.errors(include_input=False, include_url=False)[0]
        location = '.'.join(str(part) for part in error['loc'])
        return result.Err(f'{location}: {error["msg"]}')


def _change_fields(change: versions.Change) -> dict[str, Any]:
    return {
        **dataclasses.asdict(change.head),
        'set': _parse_documents(change.documents),
        'removed': list(change.removed),
    }


def _snapshot_fields(snapshot: versions.Snapshot) -> dict[str, Any]:
    return {
        'number': snapshot.number,
        'digest': snapshot.digest,
        'contracts': _parse_documents(snapshot.documents),
    }


def _parse_documents(documents: versions.Documents) -> list[Mapping[str, Any]]:
    return [json.loads(documents[customer]) for customer in sorted(documents)]


def _is_name(value: Any) -> TypeGuard[str]:
    return isinstance(value, str) and bool(_NAME.fullmatch(value))


def _to_documents(
    parsed_documents: Sequence[Mapping[str, Any]],
) -> result.Result[dict[ids.CustomerId, str], str]:
    documents: dict[ids.CustomerId, str] = {}
    for document in parsed_documents:
        customer = document.get('customer')
        if not _is_name(customer) or customer in documents:
            return result.Err(f'invalid or duplicate customer {customer!r}')
        documents[ids.CustomerId(customer)] = versions.canonical_json(document)
    return result.Ok(documents)


def _to_head(model: _Head) -> versions.Head:
    return versions.Head(
        number=ids.VersionNumber(model.number),
        digest=model.digest,
        operator=model.operator,
        apply_id=model.apply_id,
    )


def _to_change(model: _Change) -> result.Result[versions.Change, str]:
    return _to_documents(model.documents).map(
        lambda documents: versions.Change(
            head=_to_head(model),
            documents=documents,
            removed=tuple(ids.CustomerId(name) for name in model.removed),
        )
    )


def _to_snapshot(model: _Snapshot) -> result.Result[versions.Snapshot, str]:
    documents = _to_documents(model.contracts)
    if isinstance(documents, result.Err):
        return documents
    digest = versions.compute_digest(documents.ok_value)
    if digest != model.digest:
        return result.Err(
            f'snapshot {model.number} has digest {digest}, '
            f'but declares {model.digest}'
        )
    return result.Ok(
        versions.Snapshot(
            number=ids.VersionNumber(model.number),
            digest=digest,
            documents=documents.ok_value,
        )
    )


def _to_payload(model: _Payload) -> result.Result[Payload, str]:
    snapshot = None
    if model.snapshot is not None:
        decoded = _to_snapshot(model.snapshot)
        if isinstance(decoded, result.Err):
            return decoded
        snapshot = decoded.ok_value
    changes: list[versions.Change] = []
    for change_model in model.changes:
        change = _to_change(change_model)
        if isinstance(change, result.Err):
            return change
        changes.append(change.ok_value)
    return result.Ok(Payload(snapshot=snapshot, changes=tuple(changes)))
