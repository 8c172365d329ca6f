"""Computes user-visible metrics from observations: idle time, staleness, latency, deliveries.

Defines the metrics; observations are the only input.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from stagewalk.common.errors import ExecutionStatus
from stagewalk.history.answer_text import spans_from_text
from stagewalk.history.observations import (
    AnyObservation,
    RequestAnswered,
    RequestRefused,
    RequestSent,
    SampleAccepted,
    StepCompleted,
)


class Quantiles(msgspec.Struct, frozen=True):
    """Quantiles of a sample of numbers; all zero if it is empty."""

    p50: float
    p99: float
    max: float


class TenantSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One tenant's metrics over a run.

    Attributes
    ----------
    trainer_idle_fraction
        Time its trainers waited for samples over the time of all completed steps.
    staleness_versions
        Trainer's version minus the oldest version in a sample's text.
    staleness_seconds
        Time since a sample's oldest version was superseded.
    latency_seconds
        From a request's first send to its complete answer.
    """

    trainer_idle_fraction: float
    steps_completed: int
    staleness_versions: Quantiles
    staleness_seconds: Quantiles
    samples_delivered: int
    latency_seconds: Quantiles
    requests: int
    answered: int
    refused_not_run: int
    outcome_unknown: int


class _Collector:
    """Accumulates the observations of one tenant."""

    def __init__(self) -> None:
        self.idle_seconds = 0.0
        self.training_seconds = 0.0
        self.steps_completed = 0
        self.staleness_versions: list[float] = []
        self.staleness_seconds: list[float] = []
        self.first_sent: dict[str, float] = {}
        self.latencies: dict[str, float] = {}
        self.refused_not_run = 0
        self.outcome_unknown = 0

    def add(self, observation: AnyObservation) -> None:
        """Add one observation of this tenant."""
        match observation:
            case RequestSent():
                self.first_sent.setdefault(observation.request_id, observation.at)
            case RequestAnswered():
                sent = self.first_sent.get(observation.request_id, observation.at)
                self.latencies.setdefault(observation.request_id, observation.at - sent)
            case RequestRefused() if observation.ran == ExecutionStatus.NO:
                self.refused_not_run += 1
            case RequestRefused():
                self.outcome_unknown += 1
            case StepCompleted():
                self.idle_seconds += observation.idle_seconds
                self.training_seconds += observation.training_seconds
                self.steps_completed += 1
            case SampleAccepted():
                self._add_sample(observation)
            case _:
                pass

    def _add_sample(self, sample: SampleAccepted) -> None:
        oldest = min((span.version for span in spans_from_text(sample.text)), default=0)
        self.staleness_versions.append(float(max(0, sample.trainer_version - oldest)))
        self.staleness_seconds.append(sample.age_seconds)

    def summary(self) -> TenantSummary:
        """Return the metrics over all added observations."""
        total_seconds = self.idle_seconds + self.training_seconds
        return TenantSummary(
            trainer_idle_fraction=self.idle_seconds / total_seconds if total_seconds else 0.0,
            steps_completed=self.steps_completed,
            staleness_versions=quantiles(self.staleness_versions),
            staleness_seconds=quantiles(self.staleness_seconds),
            samples_delivered=len(self.staleness_versions),
            latency_seconds=quantiles(list(self.latencies.values())),
            requests=len(self.first_sent),
            answered=len(self.latencies),
            refused_not_run=self.refused_not_run,
            outcome_unknown=self.outcome_unknown,
        )


def quantiles(numbers: Sequence[float]) -> Quantiles:
    """Return nearest-rank quantiles."""
    if not numbers:
        return Quantiles(0.0, 0.0, 0.0)
    ordered = sorted(numbers)
    return Quantiles(_rank(ordered, 0.5), _rank(ordered, 0.99), ordered[-1])


def summarize(observations: Iterable[AnyObservation]) -> dict[str, TenantSummary]:
    """Return each tenant's metrics; `observations` are in order of time."""
    collectors: defaultdict[str, _Collector] = defaultdict(_Collector)
    for observation in observations:
        tenant = getattr(observation, "tenant", None)
        if isinstance(tenant, str):
            collectors[tenant].add(observation)
    return {tenant: collectors[tenant].summary() for tenant in sorted(collectors)}


def _rank(ordered: Sequence[float], fraction: float) -> float:
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
