"""Percentiles, and counters from the Prometheus text exposition format."""

import math
import re
from typing import Mapping, Sequence

_SERIES_PATTERN = re.compile(r'sardineproxy_(\w+?)(?:\{(.*)\})? (\S+)')
_LABEL_PATTERN = re.compile(r'(\w+)="([^"]*)"')

#: Message counts by metric family and label values.
Counters = dict[tuple[str, str], float]

PEER_FRAMES = 'peer_frames_total'
ATTEMPTS = 'endpoint_attempts_total'
PLATFORM_CALLS = 'platform_calls_total'
MESSAGE_FAMILIES = (PEER_FRAMES, ATTEMPTS, PLATFORM_CALLS)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile of a non-empty sequence."""
    rank = math.ceil(len(values) * percent / 100)
    return sorted(values)[max(rank, 1) - 1]


def parse_counters(text: str) -> Counters:
    """Return the message counters of one process."""
    counters: Counters = {}
    for line in text.splitlines():
        match = _SERIES_PATTERN.fullmatch(line)
        if match is None or match[1] not in MESSAGE_FAMILIES:
            continue
        label_values = [
            label_value
            for _, label_value in _LABEL_PATTERN.findall(match[2] or '')
        ]
        key = (match[1], '.'.join(label_values))
        counters[key] = counters.get(key, 0) + float(match[3])
    return counters


def sum_counters(counters_by_process: Sequence[Counters]) -> Counters:
    """Return the counters summed over several processes."""
    total: Counters = {}
    for counters in counters_by_process:
        for key, count in counters.items():
            total[key] = total.get(key, 0) + count
    return total


def subtract_counters(after: Counters, before: Counters) -> Counters:
    """Return the increase of each counter."""
    return {key: count - before.get(key, 0) for key, count in after.items()}


def find_missing_families(counters: Counters) -> list[str]:
    """Return the metric families that no process reported."""
    reported = {family for family, _ in counters}
    return [
        f'sardineproxy_{name}'
        for name in MESSAGE_FAMILIES
        if name not in reported
    ]


def waste_by_kind(
    counters: Counters, correct_tasks: int
) -> Mapping[str, float]:
    """Return the wasted messages per correct task, by kind.

    Every frame between entry processes and every call to the platform counts
    as wasted, and so does every endpoint attempt beyond one per correct task.
    Requests of callers, such as those for keys, do not count.
    """
    wasted_per_task = {
        f'{family.removesuffix("_total")}.{kind}'.rstrip('.'): count
        / correct_tasks
        for (family, kind), count in sorted(counters.items())
        if family != ATTEMPTS
    }
    attempt_counts = [
        count for (family, _), count in counters.items() if family == ATTEMPTS
    ]
    if attempt_counts:
        wasted_per_task['extra_endpoint_attempts'] = (
            math.fsum(attempt_counts) - correct_tasks
        ) / correct_tasks
    return wasted_per_task
