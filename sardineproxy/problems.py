"""Typed refusals and failures that callers receive (RFC 9457)."""

import dataclasses

from sardineproxy import verdicts

CONTENT_TYPE = 'application/problem+json'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A refusal or failure that a program can branch on."""

    #: Stable name of the cause, such as ``rate_limited``.
    code: str

    #: What the caller may conclude about its request.
    verdict: verdicts.Verdict

    #: HTTP status code of the answer.
    status: int

    #: One sentence for a person.
    detail: str

    #: Seconds after which to try again, or None if trying again is no use.
    retry_after_s: float | None = None

    #: False if asking again with the same key may give a better verdict.
    final: bool = True


def refusal(
    *,
    code: str,
    status: int,
    detail: str,
    retry_after_s: float | None = None,
) -> Problem:
    """Return a problem that says for certain that nothing was run."""
    return Problem(
        code=code,
        verdict=verdicts.Verdict.NOT_RUN,
        status=status,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def outcome_unknown(
    *,
    code: str,
    status: int,
    detail: str,
    retry_after_s: float | None = None,
    final: bool = True,
) -> Problem:
    """Return a problem that leaves open whether the request ran."""
    return Problem(
        code=code,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        status=status,
        detail=detail,
        retry_after_s=retry_after_s,
        final=final,
    )
