"""Rendezvous hashing, and the division of whole numbers by weight."""

import hashlib
import math
from typing import Iterable, Mapping, TypeVar

Node = TypeVar('Node', bound=str)

_DIGEST_BYTES = 8
_SCALE = 2 ** (8 * _DIGEST_BYTES)


def score(key: str, node: str, weight: float = 1) -> float:
    """Return the node's score for ``key``; the highest score wins.

    With these scores each node wins a share of the keys that is proportional
    to its weight, and a change of one node moves only that node's keys.
    """
    digest = hashlib.blake2b(
        f'{key}\n{node}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()
    fraction = (int.from_bytes(digest, 'big') + 1) / (_SCALE + 1)
    return -weight / math.log(fraction)


def rank(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Return the nodes, best first."""
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
    """Divide ``total`` by weight so that the parts add up to it exactly.

    Largest remainders are rounded up first; rendezvous order breaks ties.
    Without any weight every part is 0.
    """
    whole = sum(weights.values())
    if not whole:
        return dict.fromkeys(weights, 0)
    parts = {node: total * weights[node] // whole for node in weights}
    left = total - sum(parts.values())
    order = sorted(
        (node for node in weights if weights[node]),
        key=lambda node: (
            -(total * weights[node] % whole),
            -score(key, node),
            node,
        ),
    )
    for node in order[:left]:
        parts[node] += 1
    return parts
