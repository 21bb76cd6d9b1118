"""Fencing of orders to workers.

A worker refuses an order whose fence is lower than the highest one that it
has seen. A fence combines the epoch of the claim, the rank of the leader
among the claim's successors (0 for the claim's own leader), and a counter
that the leader maintains per worker.
"""

import dataclasses

_RANK_BITS = 4
_COUNT_BITS = 18

#: Largest count that an inquiry tries. The leader must be able to raise its own
#: count beyond it.
MAX_INQUIRY_COUNT = 2 ** (_COUNT_BITS - 3)

#: Largest epoch. Its fences have at most 62 bits, so that every worker can
#: read them as a signed integer of 64 bits.
MAX_EPOCH = 2**40

#: Largest number of successors of a claim.
MAX_SUCCESSORS = 2**_RANK_BITS - 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class FencingToken:
    """A leader's authority over the workers of a shard.

    Tokens are ordered; a higher one supersedes a lower one.
    """

    epoch: int
    rank: int

    def fence(self, count: int) -> int:
        """Return the fence for a count, which must only increase."""
        high_bits = (self.epoch << _RANK_BITS) | self.rank
        return (high_bits << _COUNT_BITS) | count
