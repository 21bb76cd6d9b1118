"""Exit statuses of all programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Status with which a program ends."""

    SUCCESS = 0

    #: The program ran and its task failed.
    ERROR = 1

    #: The command line is wrong.
    USAGE = 2

    #: Settings or contracts are wrong; nothing was started or changed.
    INVALID_INPUT = 3

    #: Another operator's change came first.
    CONFLICT = 4

    #: The platform or a process could not be reached.
    UNAVAILABLE = 5

    #: The outcome of a write is unknown; run the command again.
    UNKNOWN = 6
