"""Versions of the whole set of contracts, and the changes between them."""

import dataclasses
import hashlib
import json
from typing import Any, Iterable, Mapping

import pydantic
import result

from sardineproxy import ids
from sardineproxy.version import contracts

#: Canonical text of each contract. Digests are taken over these texts, so that
#: a process can follow versions whose contracts it cannot parse.
Documents = Mapping[ids.CustomerId, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """All contracts of one configuration version."""

    number: ids.VersionNumber

    #: SHA-256 over the canonical form of all contracts, hexadecimal.
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

    #: Random name of the run of ``apply`` that made the version.
    apply_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """What leads from the version before to the version of ``head``."""

    head: Head
    documents: Documents
    removed: tuple[ids.CustomerId, ...]


def canonical_json(document: Mapping[str, Any]) -> str:
    """Return the one text of a JSON object that digests are taken over."""
    return json.dumps(
        document, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    )


def encode_contract(contract: contracts.Contract) -> str:
    """Return the canonical text of a contract, with defaults filled in."""
    fields = contract.model_dump(mode='json')
    fields['credential_sha256'] = sorted(fields['credential_sha256'])
    return canonical_json(fields)


def encode_contracts(
    members: Iterable[contracts.Contract],
) -> dict[ids.CustomerId, str]:
    """Return the canonical texts of contracts by customer."""
    return {
        ids.CustomerId(contract.customer): encode_contract(contract)
        for contract in members
    }


def compute_digest(documents: Documents) -> str:
    """Return the SHA-256 over all texts in the order of customers."""
    digest = hashlib.sha256()
    for customer in sorted(documents):
        digest.update(f'{customer} {documents[customer]}\n'.encode())
    return digest.hexdigest()


#: What the first change is applied to.
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
    """Return the next version, or why the change does not lead to it."""
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
            f'change {head.number} leads to digest {digest}, '
            f'but states {head.digest}'
        )
    return result.Ok(
        Snapshot(number=head.number, digest=digest, documents=documents)
    )


def parse(snapshot: Snapshot) -> result.Result[Version, str]:
    """Return the version with parsed contracts, or the first fault found."""
    parsed: dict[ids.CustomerId, contracts.Contract] = {}
    for customer, document in snapshot.documents.items():
        try:
            contract = contracts.Contract.model_validate_json(document)
        except pydantic.ValidationError as exc:
            return result.Err(_first_fault(customer, exc))
        if contract.customer != customer:
            return result.Err(
                f'contract of {customer} names customer {contract.customer}'
            )
        parsed[customer] = contract
    clashes = contracts.find_duplicates(parsed)
    if clashes:
        return result.Err(clashes[0])
    return result.Ok(
        Version(
            number=snapshot.number, digest=snapshot.digest, contracts=parsed
        )
    )


def _first_fault(customer: str, exc: pydantic.ValidationError) -> str:
    error = exc.errors(include_input=False)[0]
    place = '.'.join(str(part) for part in error['loc'])
    return f'contract of {customer}: {place}: {error["msg"]}'
