"""Weighted rendezvous hashing, and division of integers by weight."""

import hashlib
import math
from typing import Iterable, Mapping, TypeVar

Node = TypeVar('Node', bound=str)

_DIGEST_BYTES = 8
_SCALE = 2 ** (8 * _DIGEST_BYTES)


def score(key: str, node: str, weight: float = 1) -> float:
    """Return the node's score for ``key``; the highest score wins.

    Every node wins a share of the keys that is proportional to its weight. A
    key moves only to or from a node that is added, removed or reweighted.
    """
    digest = hashlib.blake2b(
        f'{key}\n{node}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()
    fraction = (int.from_bytes(digest, 'big') + 1) / (_SCALE + 1)
    return -weight / math.log(fraction)


def rank(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Return the nodes by descending score."""
    return sorted(
        nodes, key=lambda node: (score(key, node), node), reverse=True
    )


def winner(key: str, weights: Mapping[Node, float]) -> Node | None:
    """Return the node that wins ``key``, or None if there are no nodes."""
    return max(
        weights,
        key=lambda node: (score(key, node, weights[node]), node),
        default=None,
    )


def divide(
    total: int, weights: Mapping[Node, int], key: str
) -> dict[Node, int]:
    """Divide ``total`` by weight so that the shares add up to it exactly.

    Uses the largest remainder method; rendezvous order breaks ties. If all
    weights are 0, all shares are 0.
    """
    weight_sum = sum(weights.values())
    if not weight_sum:
        return dict.fromkeys(weights, 0)
    shares = {node: total * weights[node] // weight_sum for node in weights}
    remainder = total - sum(shares.values())
    order = sorted(
        (node for node in weights if weights[node]),
        key=lambda node: (
            -(total * weights[node] % weight_sum),
            -score(key, node),
            node,
        ),
    )
    for node in order[:remainder]:
        shares[node] += 1
    return shares
