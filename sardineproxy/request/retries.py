"""Retry budget and back-off."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Bounds of retries."""

    #: Tokens that each success adds to the budget; a retry costs one.
    tokens_per_success: float = 0.1

    #: Most tokens that the budget holds; it starts full.
    max_tokens: float = 10


class RetryBudget:
    """Token bucket that successes fill and retries drain."""

    def __init__(self, *, cfg: Config | None = None) -> None:
        """Start with a full bucket."""
        self._cfg = cfg or Config()
        self._tokens = self._cfg.max_tokens

    def record_success(self) -> None:
        """Add the tokens of one success."""
        self._tokens = min(
            self._cfg.max_tokens,
            self._tokens + self._cfg.tokens_per_success,
        )

    def try_spend(self) -> bool:
        """Take the token of one retry; tell whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
