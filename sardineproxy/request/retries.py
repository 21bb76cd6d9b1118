"""Retry budget, backoff and the rules for what is retried."""

import dataclasses
import random

from sardineproxy.request import work

#: HTTP statuses after which a retry at another endpoint may succeed, because
#: the endpoint may be the cause of the failure.
RETRIED_STATUSES = frozenset((500, 502, 503, 504))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Limits of retries."""

    #: Tokens added to the budget by a success; a retry costs one token.
    tokens_per_success: float = 0.1

    #: Capacity of the budget in tokens; it starts full.
    max_tokens: float = 10

    #: Maximum number of attempts for one request, including the first.
    max_attempts: int = 3

    #: Maximum delay before the first retry, in seconds; it doubles with every
    #: further retry.
    initial_backoff_s: float = 0.025

    #: Upper limit of all delays, in seconds.
    max_backoff_s: float = 1


class RetryBudget:
    """Token bucket that successes fill and retries drain.

    It limits retries to a fixed share of the load, so that they cannot
    multiply it when most endpoints fail.
    """

    def __init__(self, *, cfg: Config | None = None) -> None:
        """Create a full budget."""
        self.cfg = cfg or Config()
        self._tokens = self.cfg.max_tokens

    def record_success(self) -> None:
        """Add the tokens of one success."""
        self._tokens = min(
            self.cfg.max_tokens, self._tokens + self.cfg.tokens_per_success
        )

    def try_spend(self) -> bool:
        """Spend the token of one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff_s(self, *, attempts: int, rng: random.Random) -> float:
        """Return the delay after ``attempts`` attempts, with full jitter."""
        uncapped_s = self.cfg.initial_backoff_s * 2 ** (attempts - 1)
        return rng.uniform(0, min(uncapped_s, self.cfg.max_backoff_s))


def is_success(outcome: work.Outcome) -> bool:
    """Return whether an outcome is a response that refills the budget."""
    return (
        isinstance(outcome, work.Response)
        and outcome.status not in RETRIED_STATUSES
    )


def is_retriable(task: work.Task, outcome: work.Outcome) -> bool:
    """Return whether the task may be retried after this outcome.

    A refusal is not retried: the dispatcher has tried other endpoints already.
    """
    if not task.idempotent or task.kind is not work.TaskKind.SINGLE:
        return False
    return not isinstance(outcome, work.Refused) and not is_success(outcome)
