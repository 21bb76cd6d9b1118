"""Problem details of refusals and failures, sent to callers (RFC 9457)."""

import dataclasses

from sardineproxy import verdicts

CONTENT_TYPE = 'application/problem+json'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A refusal or failure in machine-readable form."""

    #: Stable identifier of the cause, such as ``rate_limited``.
    code: str

    #: What the caller may conclude about its request.
    verdict: verdicts.Verdict

    #: HTTP status code of the response.
    status: int

    #: One sentence in plain English.
    detail: str

    #: Seconds after which to retry, or None if a retry cannot succeed.
    retry_after_s: float | None = None

    #: False if a retry with the same key may return a more definite verdict.
    final: bool = True


def refusal(
    *,
    code: str,
    status: int,
    detail: str,
    retry_after_s: float | None = None,
) -> Problem:
    """Return a problem of a request that certainly did not run."""
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
    """Return a problem of a request that may or may not have run."""
    return Problem(
        code=code,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        status=status,
        detail=detail,
        retry_after_s=retry_after_s,
        final=final,
    )
