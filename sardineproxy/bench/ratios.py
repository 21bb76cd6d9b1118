"""Response times over the ideal, for all and for each customer."""

import dataclasses
import statistics
from typing import Sequence

from sardineproxy.bench import driver, ideal, measures, report, workload

NAMES = (
    'response_ratio_p50',
    'response_ratio_p99',
    'response_ratio_worst',
    'job_response_ratio_mean',
    'job_response_ratio_p50',
    'job_response_ratio_p99',
    'job_response_ratio_worst',
)


def add_ratios(
    out: report.Report,
    samples: Sequence[driver.Sample],
    ideals: dict[str, float],
    *,
    prefix: str = '',
) -> None:
    """Print the ratios of answered submissions and count the others.

    ``ideals`` has the ideal response, with the round trip, by the label of
    each submission's first task. Unanswered submissions count with the time
    after which the driver gave up, so their ratio is at least that.
    """
    counted = [sample for sample in samples if sample.counts]
    for customer in ('', *sorted({_customer(one) for one in counted})):
        chosen = [one for one in counted if customer in {'', _customer(one)}]
        suffix = f'.{customer}' if customer else ''
        _add(out, chosen, ideals, prefix, suffix)
    unanswered = sum(one.reply.fault == driver.UNANSWERED for one in samples)
    out.add(f'{prefix}submissions', len(samples))
    out.add(f'{prefix}unanswered', unanswered)
    out.add(f'{prefix}refused_or_wrong', len(samples) - len(counted))


def compute_ideals(
    samples: Sequence[driver.Sample],
    slots: list[float],
    round_trip_s: float,
) -> dict[str, float]:
    """Return ideal responses by the label of the first task.

    The ideal dispatcher receives the work when the driver sent it.
    """
    submissions = workload.merge(
        [
            dataclasses.replace(
                sample.submission,
                arrival=sample.submission.arrival + sample.late_s,
            )
            for sample in samples
        ]
    )
    responses = ideal.respond(submissions, slots)
    return {
        submission.label: response + round_trip_s
        for submission, response in zip(submissions, responses)
    }


def _add(
    out: report.Report,
    samples: Sequence[driver.Sample],
    ideals: dict[str, float],
    prefix: str,
    suffix: str,
) -> None:
    for is_job in (False, True):
        ratios = [
            one.response_s / ideals[one.submission.label]
            for one in samples
            if one.submission.is_job is is_job
        ]
        start = 'job_response_ratio' if is_job else 'response_ratio'
        wanted = [name for name in NAMES if name.startswith(start)]
        for name in wanted:
            if ratios:
                out.add(f'{prefix}{name}{suffix}', _measure(name, ratios))


def _customer(sample: driver.Sample) -> str:
    return sample.submission.customer


def _measure(name: str, ratios: Sequence[float]) -> float:
    match name.rsplit('_', 1)[-1]:
        case 'mean':
            return statistics.fmean(ratios)
        case 'worst':
            return max(ratios)
        case percentile:
            return measures.percentile(ratios, float(percentile[1:]))
