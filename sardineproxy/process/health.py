"""Learned speed, failures and ejection of endpoints."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Bounds of ejection and learning."""

    #: Largest part of a zone's endpoints that may be ejected at once.
    max_ejected_fraction: float = 0.5


class Health:
    """Health estimates of all endpoints."""

    def __init__(
        self, *, rng: random.Random, cfg: Config | None = None
    ) -> None:
        """Start without observations."""
        self._rng = rng
        self._cfg = cfg or Config()
