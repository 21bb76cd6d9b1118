"""Exit statuses of the programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a program."""

    SUCCESS = 0

    #: The operation failed.
    ERROR = 1

    #: The command line is invalid.
    USAGE = 2

    #: Settings or contracts are invalid; nothing was started or changed.
    INVALID_INPUT = 3

    #: Another operator made a change first.
    CONFLICT = 4

    #: The platform or a process could not be reached.
    UNAVAILABLE = 5

    #: The outcome of a write is unknown; run the command again.
    UNKNOWN = 6
