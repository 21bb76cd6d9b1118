"""Standard streams and random numbers of the operator's program."""

import dataclasses
import random
import sys
from typing import TextIO

from sardineproxy import clock


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Environment:
    """Streams and random numbers of one command."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    rng: random.Random

    def print_result(self, line: str) -> None:
        """Print one line of the command's output."""
        self.stdout.write(f'{line}\n')

    def print_error(self, line: str) -> None:
        """Print one line that describes a failure.

        Control characters are replaced by question marks because parts of the
        line may come from a server.
        """
        printable = ''.join(
            char if char.isprintable() else '?' for char in line
        )
        self.stderr.write(f'{printable}\n')


def from_process() -> Environment:
    """Return the streams of this process and a randomly seeded generator."""
    return Environment(
        stdin=sys.stdin,
        stdout=sys.stdout,
        stderr=sys.stderr,
        rng=clock.new_random(),
    )
