"""Readiness line that a server program prints when its ports are open."""

import json
import sys
from typing import Mapping, TextIO


def announce(ports: Mapping[str, int], stream: TextIO = sys.stdout) -> None:
    """Print ``{"ready": {"callers": 4711, ...}}`` with the ports in use."""
    line = json.dumps({'ready': dict(ports)})
    stream.write(f'{line}\n')
    stream.flush()
