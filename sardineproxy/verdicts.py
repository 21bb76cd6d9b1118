"""What is known about whether a request ran."""

import enum


class Verdict(enum.Enum):
    """What a caller may conclude about its request."""

    #: Nothing of the request was written to any endpoint's connection.
    NOT_RUN = 'not_run'

    #: The endpoint's whole answer is at hand.
    RAN = 'ran'

    #: The endpoint's whole answer is at hand and has an error status.
    RAN_AND_FAILED = 'ran_and_failed'

    #: A byte may have left and no whole answer came back.
    MAY_HAVE_RUN = 'may_have_run'
