"""Verdicts: whether a request ran, as far as is known."""

import enum


class Verdict(enum.Enum):
    """What a caller may conclude about its request."""

    #: No byte of the request was written to a connection to an endpoint.
    NOT_RUN = 'not_run'

    #: The endpoint's complete response was received.
    RAN = 'ran'

    #: The endpoint's complete response was received and has an error status.
    RAN_AND_FAILED = 'ran_and_failed'

    #: Bytes of the request may have been sent, and no complete response was
    #: received.
    MAY_HAVE_RUN = 'may_have_run'
