"""Retry budget and back-off."""

import dataclasses
import random

from sardineproxy.request import work

#: Statuses after which another endpoint may do better: the fault may be the
#: endpoint's.
RETRIED_STATUSES = frozenset((500, 502, 503, 504))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Bounds of retries."""

    #: Tokens that each success adds to the budget; a retry costs one.
    tokens_per_success: float = 0.1

    #: Most tokens that the budget holds; it starts full.
    max_tokens: float = 10

    #: Attempts for one request, with the first.
    max_attempts: int = 3

    #: Longest pause before the first retry, in seconds; doubled for each
    #: further one.
    first_pause_s: float = 0.025

    #: Bound of all pauses, in seconds.
    max_pause_s: float = 1


class RetryBudget:
    """Token bucket that successes fill and retries drain.

    It keeps retries a fixed part of the work, so that they cannot multiply
    the load when most endpoints fail.
    """

    def __init__(self, *, cfg: Config | None = None) -> None:
        """Start with a full bucket."""
        self.cfg = cfg or Config()
        self._tokens = self.cfg.max_tokens

    def record_success(self) -> None:
        """Add the tokens of one success."""
        self._tokens = min(
            self.cfg.max_tokens, self._tokens + self.cfg.tokens_per_success
        )

    def try_spend(self) -> bool:
        """Take the token of one retry; tell whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def pause_s(self, *, attempts: int, rng: random.Random) -> float:
        """Return the pause after ``attempts`` attempts, with full jitter."""
        longest_s = self.cfg.first_pause_s * 2 ** (attempts - 1)
        return rng.uniform(0, min(longest_s, self.cfg.max_pause_s))


def is_success(outcome: work.Outcome) -> bool:
    """Tell whether an outcome is a whole answer that earns budget."""
    return (
        isinstance(outcome, work.Response)
        and outcome.status not in RETRIED_STATUSES
    )


def is_retriable(task: work.Task, outcome: work.Outcome) -> bool:
    """Tell whether the task may start again after this outcome.

    A refusal is not: the dispatcher has already looked for other endpoints.
    """
    if not task.idempotent or task.kind is not work.TaskKind.SINGLE:
        return False
    return not isinstance(outcome, work.Refused) and not is_success(outcome)
