"""Contracts: what each customer may submit and hold, and its share."""

from typing import Annotated

import pydantic

Hash = Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]
CustomerName = Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]


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
