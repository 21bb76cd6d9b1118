"""Percentiles, and counters read from the text exposition format."""

import math
import re
from typing import Mapping, Sequence

_SERIES = re.compile(r'sardineproxy_(\w+?)(?:\{(.*)\})? (\S+)')
_LABEL = re.compile(r'(\w+)="([^"]*)"')

#: Counts of messages by family and kind.
Counters = dict[tuple[str, str], float]

PEER_FRAMES = 'peer_frames_total'
ATTEMPTS = 'endpoint_attempts_total'
PLATFORM_CALLS = 'platform_calls_total'
FAMILIES = (PEER_FRAMES, ATTEMPTS, PLATFORM_CALLS)


def percentile(numbers: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile of at least one number."""
    rank = math.ceil(len(numbers) * percent / 100)
    return sorted(numbers)[max(rank, 1) - 1]


def parse_counters(text: str) -> Counters:
    """Return the message counters of one process, by their first label."""
    counters: Counters = {}
    for line in text.splitlines():
        series = _SERIES.fullmatch(line)
        if series is None or series[1] not in FAMILIES:
            continue
        labels = [found for _, found in _LABEL.findall(series[2] or '')]
        key = (series[1], '.'.join(labels))
        counters[key] = counters.get(key, 0) + float(series[3])
    return counters


def add(parts: Sequence[Counters]) -> Counters:
    """Return the sums over several processes."""
    total: Counters = {}
    for part in parts:
        for key, count in part.items():
            total[key] = total.get(key, 0) + count
    return total


def subtract(after: Counters, before: Counters) -> Counters:
    """Return what was counted in between."""
    return {key: count - before.get(key, 0) for key, count in after.items()}


def find_absent(counted: Counters) -> list[str]:
    """Return the families that no process reported."""
    reported = {family for family, _ in counted}
    return [f'sardineproxy_{name}' for name in FAMILIES if name not in reported]


def waste_by_kind(counted: Counters, useful: int) -> Mapping[str, float]:
    """Return wasted messages for each useful task, by kind.

    Every frame between entry processes and every call to the platform counts
    as wasted, and every attempt at an endpoint beyond one for each useful
    task. Callers' own requests, such as those for keys, do not count.
    """
    waste = {
        f'{family.removesuffix("_total")}.{kind}'.rstrip('.'): count / useful
        for (family, kind), count in sorted(counted.items())
        if family != ATTEMPTS
    }
    attempts = [
        count for (family, _), count in counted.items() if family == ATTEMPTS
    ]
    if attempts:
        waste['extra_endpoint_attempts'] = (
            math.fsum(attempts) - useful
        ) / useful
    return waste
