"""Contracts, which define the limits and the share of each customer."""

from typing import Annotated, Any, Mapping

import pydantic

#: Largest number of contracts in a version.
MAX_CONTRACTS = 1024

#: Leading digits of a hash that error messages show.
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

    #: Share of capacity relative to other customers with pending tasks.
    weight: Annotated[
        float, pydantic.Field(gt=0, le=10_000, allow_inf_nan=False)
    ]

    #: Largest sustained submission rate, in tasks per second.
    submit_per_s: Annotated[
        float, pydantic.Field(gt=0, le=1_000_000, allow_inf_nan=False)
    ]

    #: Largest burst of submitted tasks.
    submit_burst: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

    #: Largest number of tasks at endpoints at the same time.
    hold: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

    #: Largest number of tasks that wait at one entry VM.
    queue: Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

    #: Largest job, in tasks.
    max_job_tasks: Annotated[int, pydantic.Field(ge=1, le=1700)] = 1700

    #: Deadline of a request that states none, in milliseconds.
    default_deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = (
        30_000
    )

    #: Longest deadline that a request may state, in milliseconds.
    max_deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = 120_000


def find_contradictory_limits(contract: Contract) -> tuple[str, ...]:
    """Return one error for each limit that contradicts another one."""
    max_job_tasks = contract.max_job_tasks
    errors = [
        f'{name}: found {limit}; expected at least max_job_tasks, '
        f'{max_job_tasks}, as a job of that size would be admitted only '
        'while the customer is idle.'
        for name, limit in (
            ('submit_burst', contract.submit_burst),
            ('queue', contract.queue),
        )
        if limit < max_job_tasks
    ]
    if contract.default_deadline_ms > contract.max_deadline_ms:
        errors.append(
            f'default_deadline_ms: found {contract.default_deadline_ms}; '
            f'expected at most max_deadline_ms, {contract.max_deadline_ms}.'
        )
    return tuple(errors)


def find_duplicates(by_source: Mapping[Any, Contract]) -> tuple[str, ...]:
    """Return one error for each customer or credential that occurs twice.

    The keys of ``by_source`` identify where a contract comes from, such as
    its file.
    """
    errors: list[str] = []
    sources_by_name: dict[str, Any] = {}
    locations_by_credential: dict[str, Any] = {}
    for source, contract in by_source.items():
        first_source = sources_by_name.setdefault(contract.customer, source)
        if first_source != source:
            errors.append(
                f'{source}: customer: found "{contract.customer}", which '
                f'{first_source} also uses; expected one contract per customer.'
            )
        for index, credential in enumerate(contract.credential_sha256):
            first_location = locations_by_credential.setdefault(
                credential, (source, index)
            )
            if first_location != (source, index):
                errors.append(
                    f'{source}: credential_sha256.{index}: found '
                    f'{credential[:HASH_PREFIX_DIGITS]}..., which '
                    f'{first_location[0]} also uses; expected unique '
                    'credentials.'
                )
    return tuple(errors)
