"""Staleness check: whether a sample is fresh enough for the trainer's version.

The tenant's bounds, in versions and in seconds, are compared with the oldest version among the
sample's spans, for the expected time of arrival at the trainer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from stagewalk.common.identities import ModelName, WeightVersion
from stagewalk.node.configuration.parameters import TenantParameters

MAXIMUM_REMEMBERED_VERSIONS = 256
"""Most versions of one model whose times are kept."""


@dataclass(slots=True)
class _ModelVersions:
    newest: WeightVersion
    last_newest_at: dict[WeightVersion, float] = field(default_factory=dict)


class VersionAges:
    """Upper bounds of the time since each version was superseded, by this node's clock.

    Store and nodes share no clock, so publish times can't be compared with `now`. Age is counted
    from when this node last read in the store that the version was the newest, since it can only
    have been superseded after that. Engines' reports and trainers' pulls don't count, since they
    may name a version long after a newer one was published.
    """

    def __init__(self) -> None:
        self._models: dict[ModelName, _ModelVersions] = {}

    def newest(self, model: ModelName) -> WeightVersion | None:
        """Return the newest version known to exist, if any."""
        versions = self._models.get(model)
        return None if versions is None else versions.newest

    def record_version(self, model: ModelName, version: WeightVersion) -> None:
        """Record that a version exists."""
        versions = self._models.setdefault(model, _ModelVersions(version))
        versions.newest = max(versions.newest, version)

    def record_newest(self, model: ModelName, version: WeightVersion, at: float) -> None:
        """Record that the store had no newer version than this at time `at`."""
        self.record_version(model, version)
        times = self._models[model].last_newest_at
        if version < self._models[model].newest:
            return
        times[version] = max(at, times.get(version, at))
        if len(times) > MAXIMUM_REMEMBERED_VERSIONS:
            del times[min(times)]

    def age_bound(self, model: ModelName, version: WeightVersion, at: float) -> float:
        """Return the most seconds that can have passed by `at` since a version was superseded.

        Infinite if no read of the store sets a bound.
        """
        versions = self._models.get(model)
        if versions is None:
            return float("inf")
        times = [time for known, time in versions.last_newest_at.items() if known <= version]
        return max(0.0, at - max(times)) if times else float("inf")

    def oldest_within(self, model: ModelName, bound: float, at: float) -> WeightVersion | None:
        """Return the oldest version whose age is certain to be within a bound at time `at`.

        If there is none, return the newest.
        """
        versions = self._models.get(model)
        if versions is None:
            return None
        fresh = [known for known, time in versions.last_newest_at.items() if at - time <= bound]
        return min(fresh, default=versions.newest)


class SampleFreshness(Enum):
    """Whether a sample may be delivered."""

    FRESH = "fresh"
    STALE = "stale"
    """Over a bound; since staleness only grows, it can never be delivered."""
    UNCERTAIN = "uncertain"
    """Of the newest known version, but the store has not been read recently: running it again
    would not help, and delivering it might exceed the bound."""


def judge_freshness(
    parameters: TenantParameters,
    versions: VersionAges,
    model: ModelName,
    oldest: WeightVersion,
    *,
    trainer_version: WeightVersion,
    at: float,
) -> SampleFreshness:
    """Return the freshness of a sample with a given oldest version, on arrival at time `at`."""
    if trainer_version - oldest > parameters.staleness_bound_versions:
        return SampleFreshness.STALE
    bound = parameters.staleness_bound_seconds
    if bound is None or versions.age_bound(model, oldest, at) <= bound:
        return SampleFreshness.FRESH
    newest = versions.newest(model)
    return (
        SampleFreshness.UNCERTAIN if newest is None or oldest >= newest else SampleFreshness.STALE
    )


def allowed_version_lag(parameters: TenantParameters) -> int:
    """Return how many versions behind its trainer a rollout may start.

    With an `idle_weight` of at least 0.5 this is the tenant's whole bound. Below that it shrinks
    in proportion, so that rollouts start fresher but wait for engines with newer weights. One
    version of lag lets a step run while its trainer trains on the previous one; it is only denied
    with an `idle_weight` of zero.
    """
    bound = parameters.staleness_bound_versions
    if parameters.idle_weight >= 0.5:
        return bound
    return math.ceil(bound * 2.0 * parameters.idle_weight)
