"""Series behind a report's plots: distributions, and rates over time."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence

import msgspec

from stagewalk.history.observations import (
    AnyObservation,
    RequestAnswered,
    RequestSent,
    SampleAccepted,
    StepCompleted,
)

INTERVAL_SECONDS = 10.0
QUANTILES = 50


class TenantSeries(msgspec.Struct, frozen=True, kw_only=True):
    """One tenant's series.

    Attributes
    ----------
    latency_quantiles, staleness_quantiles
        Seconds at evenly spaced quantiles from 0 to 1; empty without data.
    answers_per_interval, samples_per_interval
        Counts in each `INTERVAL_SECONDS` of the run.
    idle_seconds
        Of each completed step, in order.
    """

    latency_quantiles: list[float]
    staleness_quantiles: list[float]
    answers_per_interval: list[int]
    samples_per_interval: list[int]
    idle_seconds: list[float]


def collect_series(
    history: Sequence[AnyObservation], duration_seconds: float
) -> dict[str, TenantSeries]:
    """Return each tenant's series."""
    buckets = math.ceil(duration_seconds / INTERVAL_SECONDS)
    sent: dict[tuple[str, str], float] = {}
    latencies: defaultdict[str, list[float]] = defaultdict(list)
    ages: defaultdict[str, list[float]] = defaultdict(list)
    idle: defaultdict[str, list[float]] = defaultdict(list)
    answers: defaultdict[str, list[int]] = defaultdict(lambda: [0] * buckets)
    samples: defaultdict[str, list[int]] = defaultdict(lambda: [0] * buckets)
    for item in history:
        match item:
            case RequestSent():
                sent.setdefault((item.tenant, item.request_id), item.at)
            case RequestAnswered():
                began = sent.get((item.tenant, item.request_id), item.at)
                latencies[item.tenant].append(item.at - began)
                answers[item.tenant][_bucket(item.at, buckets)] += 1
            case SampleAccepted():
                ages[item.tenant].append(item.age_seconds)
                samples[item.tenant][_bucket(item.at, buckets)] += 1
            case StepCompleted():
                idle[item.tenant].append(item.idle_seconds)
            case _:
                pass
    names = sorted({*latencies, *ages, *idle})
    return {
        name: TenantSeries(
            latency_quantiles=_quantiles(latencies[name]),
            staleness_quantiles=_quantiles(ages[name]),
            answers_per_interval=answers[name],
            samples_per_interval=samples[name],
            idle_seconds=idle[name],
        )
        for name in names
    }


def _bucket(at: float, buckets: int) -> int:
    return min(buckets - 1, int(at / INTERVAL_SECONDS))


def _quantiles(numbers: list[float]) -> list[float]:
    if not numbers:
        return []
    ordered = sorted(numbers)
    last = len(ordered) - 1
    return [round(ordered[round(last * step / QUANTILES)], 4) for step in range(QUANTILES + 1)]
