"""Versions of the set of all contracts, and the changes between them."""

import dataclasses
import hashlib
import json
from typing import Any, Iterable, Mapping

import pydantic
import result

from sardineproxy import ids
from sardineproxy.version import contracts

#: Canonical JSON text of each contract. Digests are computed from these texts,
#: so that a process can follow versions whose contracts it cannot parse.
Documents = Mapping[ids.CustomerId, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """All contracts of one configuration version."""

    number: ids.VersionNumber

    #: SHA-256 of the canonical texts of all contracts, hexadecimal.
    digest: str
    contracts: Mapping[ids.CustomerId, contracts.Contract]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """All contracts of one version as canonical texts."""

    number: ids.VersionNumber
    digest: str
    documents: Documents


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The newest version's identity and origin."""

    number: ids.VersionNumber
    digest: str
    operator: str

    #: Random identifier of the ``apply`` command that created the version.
    apply_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Difference between the previous version and that of ``head``."""

    head: Head
    documents: Documents
    removed: tuple[ids.CustomerId, ...]


def canonical_json(document: Mapping[str, Any]) -> str:
    """Return the canonical JSON text that digests are computed from."""
    return json.dumps(
        document, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    )


def encode_contract(contract: contracts.Contract) -> str:
    """Return the canonical text of a contract, with defaults filled in."""
    fields = contract.model_dump(mode='json')
    fields['credential_sha256'] = sorted(fields['credential_sha256'])
    return canonical_json(fields)


def encode_contracts(
    parsed_contracts: Iterable[contracts.Contract],
) -> dict[ids.CustomerId, str]:
    """Return the canonical texts of contracts by customer."""
    return {
        ids.CustomerId(contract.customer): encode_contract(contract)
        for contract in parsed_contracts
    }


def compute_digest(documents: Documents) -> str:
    """Return the SHA-256 of all texts, sorted by customer."""
    digest = hashlib.sha256()
    for customer in sorted(documents):
        digest.update(f'{customer} {documents[customer]}\n'.encode())
    return digest.hexdigest()


#: Version 0, to which the first change is applied.
EMPTY = Snapshot(
    number=ids.VersionNumber(0), digest=compute_digest({}), documents={}
)


def diff_documents(
    old: Documents, new: Documents
) -> tuple[dict[ids.CustomerId, str], tuple[ids.CustomerId, ...]]:
    """Return the contracts to set and the customers to remove."""
    changed = {
        customer: document
        for customer, document in new.items()
        if old.get(customer) != document
    }
    return changed, tuple(sorted(set(old) - set(new)))


def apply(snapshot: Snapshot, change: Change) -> result.Result[Snapshot, str]:
    """Return the next version; Err if the change does not result in it."""
    head = change.head
    if head.number != snapshot.number + 1:
        return result.Err(
            f'change {head.number} does not follow version {snapshot.number}'
        )
    documents = {**snapshot.documents, **change.documents}
    for customer in change.removed:
        documents.pop(customer, None)
    digest = compute_digest(documents)
    if digest != head.digest:
        return result.Err(
            f'change {head.number} results in digest {digest}, '
            f'but declares {head.digest}'
        )
    return result.Ok(
        Snapshot(number=head.number, digest=digest, documents=documents)
    )


def parse(snapshot: Snapshot) -> result.Result[Version, str]:
    """Return the version with parsed contracts, or the first error."""
    parsed: dict[ids.CustomerId, contracts.Contract] = {}
    for customer, document in snapshot.documents.items():
        try:
            contract = contracts.Contract.model_validate_json(document)
        except pydantic.ValidationError as exc:
            return result.Err(_first_error(customer, exc))
        if contract.customer != customer:
            return result.Err(
                f'contract of {customer} names customer {contract.customer}'
            )
        parsed[customer] = contract
    duplicates = contracts.find_duplicates(parsed)
    if duplicates:
        return result.Err(duplicates[0])
    return result.Ok(
        Version(
            number=snapshot.number, digest=snapshot.digest, contracts=parsed
        )
    )


def _first_error(customer: str, exc: pydantic.ValidationError) -> str:
    error = exc.errors(include_input=False)[0]
    location = '.'.join(str(part) for part in error['loc'])
    return f'contract of {customer}: {location}: {error["msg"]}'
