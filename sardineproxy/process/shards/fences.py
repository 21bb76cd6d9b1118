"""Fences of orders: numbers that rise with each change of an owner's right.

A worker does nothing for an order with a lower fence than the highest one
that it has seen. A fence joins the epoch of the claim, the rank of the owner
among the claim's heirs (0 for the owner itself), and a count of the owner.
"""

import dataclasses

_RANK_BITS = 4
_COUNT_BITS = 18

#: Most heirs of a claim.
MAX_HEIRS = 2**_RANK_BITS - 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Right:
    """An owner's right to order the workers of a cell."""

    epoch: int
    rank: int

    def fence(self, count: int) -> int:
        """Return the fence for the owner's count, which only rises."""
        high = (self.epoch << _RANK_BITS) | self.rank
        return (high << _COUNT_BITS) | count
