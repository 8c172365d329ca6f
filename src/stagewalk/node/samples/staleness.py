"""The staleness gate: is a sample fresh enough for the version that a pull names?

Owns what this node knows of each model's newest version. Inputs: the tenant's bounds in versions
and in seconds, the oldest version among a sample's spans, the trainer's version and the time of
arrival.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from stagewalk.common.identities import ModelName, WeightVersion
from stagewalk.node.configuration.parameters import TenantParameters

MAXIMUM_REMEMBERED_VERSIONS = 256
"""Versions of one model whose times are kept."""


@dataclass(slots=True)
class _ModelVersions:
    newest: WeightVersion
    last_newest_at: dict[WeightVersion, float] = field(default_factory=dict)


class VersionClock:
    """Upper bounds of the time since each version was superseded, by this node's clock.

    Store and nodes share no clock, so a publish time can't be compared with `now`. What a node
    does know is when it last read in the store that a version was the newest: it can only have
    been superseded after that. Counting age from there never makes a sample younger than it is.
    Engines' reports and trainers' pulls are no such evidence: both may name a version long after
    another trainer published the next.
    """

    def __init__(self) -> None:
        self._models: dict[ModelName, _ModelVersions] = {}

    def newest(self, model: ModelName) -> WeightVersion | None:
        """Return the newest version known to exist, if any."""
        versions = self._models.get(model)
        return None if versions is None else versions.newest

    def seen(self, model: ModelName, version: WeightVersion) -> None:
        """Record that a version exists."""
        versions = self._models.setdefault(model, _ModelVersions(version))
        versions.newest = max(versions.newest, version)

    def read_as_newest(self, model: ModelName, version: WeightVersion, at: float) -> None:
        """Record that at time `at` the store held no version newer than this."""
        self.seen(model, version)
        times = self._models[model].last_newest_at
        if version < self._models[model].newest:
            return
        times[version] = max(at, times.get(version, at))
        if len(times) > MAXIMUM_REMEMBERED_VERSIONS:
            del times[min(times)]

    def age_bound(self, model: ModelName, version: WeightVersion, at: float) -> float:
        """Return the most seconds that can have passed by `at` since a version was superseded.

        Infinite if no read of the store bounds it.
        """
        versions = self._models.get(model)
        if versions is None:
            return float("inf")
        times = [time for known, time in versions.last_newest_at.items() if known <= version]
        return max(0.0, at - max(times)) if times else float("inf")

    def oldest_within(self, model: ModelName, bound: float, at: float) -> WeightVersion | None:
        """Return the oldest version whose age is certain to be within a bound at time `at`.

        If there is none, the newest: nothing fresher can be run.
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
    """Over the bound, for ever: staleness only grows."""
    UNCERTAIN = "uncertain"
    """Of the newest version known, but the store has not been read for long: running it again
    would not help, and delivering it might break the bound."""


def judge_freshness(
    parameters: TenantParameters,
    versions: VersionClock,
    model: ModelName,
    oldest: WeightVersion,
    *,
    trainer_version: WeightVersion,
    at: float,
) -> SampleFreshness:
    """Judge a sample by the oldest version among its spans, for an arrival at time `at`."""
    if trainer_version - oldest > parameters.staleness_bound_versions:
        return SampleFreshness.STALE
    bound = parameters.staleness_bound_seconds
    if bound is None or versions.age_bound(model, oldest, at) <= bound:
        return SampleFreshness.FRESH
    newest = versions.newest(model)
    return (
        SampleFreshness.UNCERTAIN if newest is None or oldest >= newest else SampleFreshness.STALE
    )


def version_slack(parameters: TenantParameters) -> int:
    """Return how many versions behind its trainer a rollout may start.

    A tenant that weighs idle time takes its whole bound. One that weighs staleness more starts
    fresher rollouts than it must, and waits for engines that hold the newer weights. One version
    of slack is what lets a step run while its trainer trains on the one before; only a tenant
    that gives idle time no weight at all does without.
    """
    bound = parameters.staleness_bound_versions
    if parameters.idle_weight >= 0.5:
        return bound
    return math.ceil(bound * 2.0 * parameters.idle_weight)
