"""Work that waits for slots, as the lenders of slots need to know it."""

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
    """All waiting work of one entry VM."""

    customers: tuple[CustomerDemand, ...]
