"""What the outside gives to the operator's program."""

import dataclasses
import random
import sys
from typing import TextIO

from sardineproxy import clock


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Environment:
    """Streams and random numbers of one run."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    rng: random.Random

    def say(self, line: str) -> None:
        """Print one line of the command's result."""
        self.stdout.write(f'{line}\n')

    def complain(self, line: str) -> None:
        """Print one line about a failure.

        Parts of it may come from a server, so control characters are shown
        as question marks.
        """
        shown = ''.join(char if char.isprintable() else '?' for char in line)
        self.stderr.write(f'{shown}\n')


def of_process() -> Environment:
    """Return the environment of this process."""
    return Environment(
        stdin=sys.stdin,
        stdout=sys.stdout,
        stderr=sys.stderr,
        rng=clock.new_random(),
    )
