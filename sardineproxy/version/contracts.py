"""Contracts: what each customer may submit and hold, and its share."""

from typing import Annotated, Any, Mapping

import pydantic

#: Most contracts of one version.
MAX_CONTRACTS = 1024

#: Digits by which messages tell hashes apart.
HASH_PREFIX_DIGITS = 8

NAME_PATTERN = '^[a-z0-9][a-z0-9-]{0,62}$'

Hash = Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]
CustomerName = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class Contract(pydantic.BaseModel):
    """One customer's contract."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)

    customer: CustomerName

    #: SHA-256 hashes of the credentials; two or more while one is replaced.
    credential_sha256: Annotated[
        list[Hash], pydantic.Field(min_length=1, max_length=4)
    ]

    #: Share against the other customers that have work.
    weight: Annotated[
        float, pydantic.Field(gt=0, le=10_000, allow_inf_nan=False)
    ]

    #: Tasks a second that the customer may submit.
    submit_per_s: Annotated[
        float, pydantic.Field(gt=0, le=1_000_000, allow_inf_nan=False)
    ]

    #: Tasks that may be submitted at once after a pause.
    submit_burst: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

    #: Tasks that may be at endpoints at once.
    hold: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

    #: Tasks that may wait at one entry VM.
    queue: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

    #: Largest job, in tasks.
    max_job_tasks: Annotated[int, pydantic.Field(ge=1, le=1700)] = 1700

    #: Deadline of a request that gives none, in milliseconds.
    default_deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = (
        30_000
    )

    #: Longest deadline that a request may ask for, in milliseconds.
    max_deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = 120_000


def find_unsatisfiable_limits(contract: Contract) -> tuple[str, ...]:
    """Return one sentence for each limit that can never be met."""
    largest_job = contract.max_job_tasks
    sentences = [
        f'{name}: found {found}; accepted is at least max_job_tasks, '
        f'{largest_job}, or no job of that size is ever admitted.'
        for name, found in (
            ('submit_burst', contract.submit_burst),
            ('queue', contract.queue),
        )
        if found < largest_job
    ]
    if contract.default_deadline_ms > contract.max_deadline_ms:
        sentences.append(
            f'default_deadline_ms: found {contract.default_deadline_ms}; '
            f'accepted is at most max_deadline_ms, {contract.max_deadline_ms}.'
        )
    return tuple(sentences)


def find_duplicates(by_source: Mapping[Any, Contract]) -> tuple[str, ...]:
    """Return one sentence for each name or credential that is used twice.

    The keys of ``by_source`` say where a contract comes from, such as its
    file.
    """
    sentences: list[str] = []
    names: dict[str, Any] = {}
    owners: dict[str, Any] = {}
    for origin, contract in by_source.items():
        other = names.setdefault(contract.customer, origin)
        if other != origin:
            sentences.append(
                f'{origin}: customer: found "{contract.customer}", which '
                f'{other} has too; accepted is one contract for a customer.'
            )
        for place, credential in enumerate(contract.credential_sha256):
            owner = owners.setdefault(credential, (origin, place))
            if owner != (origin, place):
                sentences.append(
                    f'{origin}: credential_sha256.{place}: found '
                    f'{credential[:HASH_PREFIX_DIGITS]}..., which '
                    f'{owner[0]} has too; accepted is each credential once.'
                )
    return tuple(sentences)
