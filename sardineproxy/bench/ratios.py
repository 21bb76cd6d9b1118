"""Ratios of response time to ideal response time, total and by customer."""

import dataclasses
import statistics
from typing import Sequence

from sardineproxy.bench import driver, ideal, measures, report, workload

RATIO_NAMES = (
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
    """Print the ratios of counted samples and the number of the others.

    ``ideals`` has the ideal response times, with the round trip, by the label
    of the first task of each submission. The response time of an unanswered
    submission is the time for which the driver waited, so its ratio is a lower
    bound.
    """
    counted_samples = [sample for sample in samples if sample.is_counted]
    for customer in (
        '',
        *sorted({_customer_of(sample) for sample in counted_samples}),
    ):
        customer_samples = [
            sample
            for sample in counted_samples
            if customer in {'', _customer_of(sample)}
        ]
        suffix = f'.{customer}' if customer else ''
        _add_ratios_by_kind(out, customer_samples, ideals, prefix, suffix)
    unanswered = sum(
        sample.outcome.error == driver.UNANSWERED for sample in samples
    )
    out.add(f'{prefix}submissions', len(samples))
    out.add(f'{prefix}unanswered', unanswered)
    out.add(f'{prefix}refused_or_wrong', len(samples) - len(counted_samples))


def compute_ideals(
    samples: Sequence[driver.Sample],
    slot_speeds: list[float],
    round_trip_s: float,
) -> dict[str, float]:
    """Return the ideal response times, with the round trip.

    They are keyed by the label of the first task of each submission. The
    ideal dispatcher receives each submission when the driver sent it.
    """
    submissions = workload.merge(
        [
            dataclasses.replace(
                sample.submission,
                arrival_s=sample.submission.arrival_s + sample.lateness_s,
            )
            for sample in samples
        ]
    )
    ideal_responses_s = ideal.compute_responses(submissions, slot_speeds)
    return {
        submission.label: response_s + round_trip_s
        for submission, response_s in zip(submissions, ideal_responses_s)
    }


def _add_ratios_by_kind(
    out: report.Report,
    samples: Sequence[driver.Sample],
    ideals: dict[str, float],
    prefix: str,
    suffix: str,
) -> None:
    for is_job in (False, True):
        ratios = [
            sample.response_s / ideals[sample.submission.label]
            for sample in samples
            if sample.submission.is_job is is_job
        ]
        name_prefix = 'job_response_ratio' if is_job else 'response_ratio'
        names = [name for name in RATIO_NAMES if name.startswith(name_prefix)]
        for name in names:
            if ratios:
                out.add(f'{prefix}{name}{suffix}', _aggregate(name, ratios))


def _customer_of(sample: driver.Sample) -> str:
    return sample.submission.customer


def _aggregate(name: str, ratios: Sequence[float]) -> float:
    match name.rsplit('_', 1)[-1]:
        case 'mean':
            return statistics.fmean(ratios)
        case 'worst':
            return max(ratios)
        case percentile:
            return measures.percentile(ratios, float(percentile[1:]))
