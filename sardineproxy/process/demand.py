"""Demand for slots at one entry VM, as used for slot loans."""

import dataclasses

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CustomerDemand:
    """One customer's waiting and running tasks at one entry VM."""

    customer: ids.CustomerId
    weight: float
    waiting: int
    running: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Waiting and running tasks of all customers at one entry VM."""

    customers: tuple[CustomerDemand, ...]
