"""The staleness gate: is a sample fresh enough for the version that a pull names?"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from stagewalk.configuration.parameters import TenantParameters
from stagewalk.core.identities import ModelName, WeightVersion

MAXIMUM_REMEMBERED_VERSIONS = 256
"""Versions of one model whose times are kept."""


@dataclass(slots=True)
class _ModelVersions:
    newest: WeightVersion
    last_newest_at: dict[WeightVersion, float] = field(default_factory=dict)


class VersionClock:
    """Upper bounds of the time since each version was superseded, by this node's clock.

    Store and nodes share no clock, so a publish time can't be compared with `now`. What a node
    does know is when it last heard that a version was still the newest: it can only have been
    superseded after that. Counting age from there never makes a sample younger than it is.
    """

    def __init__(self) -> None:
        self._models: dict[ModelName, _ModelVersions] = {}

    def newest(self, model: ModelName) -> WeightVersion | None:
        """Return the newest version known, if any."""
        versions = self._models.get(model)
        return None if versions is None else versions.newest

    def known(self, model: ModelName, newest: WeightVersion, now: float) -> None:
        """Take note that a version was the newest at `now`, unless a newer one is known."""
        versions = self._models.get(model)
        if versions is None:
            self._models[model] = _ModelVersions(newest, {newest: now})
            return
        if newest < versions.newest:
            return
        versions.newest = newest
        versions.last_newest_at[newest] = now
        if len(versions.last_newest_at) > MAXIMUM_REMEMBERED_VERSIONS:
            del versions.last_newest_at[min(versions.last_newest_at)]

    def age_bound(self, model: ModelName, version: WeightVersion, now: float) -> float:
        """Return the most seconds that can have passed since a version was superseded.

        Infinite if the version was never heard of as the newest, or as older than it.
        """
        versions = self._models.get(model)
        if versions is None:
            return float("inf")
        times = [at for known, at in versions.last_newest_at.items() if known <= version]
        return now - max(times) if times else float("inf")


def lag_in_versions(oldest: WeightVersion, trainer_version: WeightVersion) -> int:
    """Return how many versions a sample lags behind its trainer; 0 if it is as new or newer."""
    return max(0, trainer_version - oldest)


def version_slack(parameters: TenantParameters) -> int:
    """Return how many versions behind the trainer a rollout may start.

    A tenant that weighs idle time takes its whole bound. One that weighs staleness more starts
    fresher rollouts than it must, and waits for engines that hold the newer weights.
    """
    bound = parameters.staleness_bound_versions
    if parameters.idle_weight >= 0.5:
        return bound
    return round(bound * 2.0 * parameters.idle_weight)


class Freshness(Enum):
    """Whether a sample may be handed over."""

    FRESH = "fresh"
    STALE = "stale"
    """Over the bound, for ever: staleness only grows."""
    UNCERTAIN = "uncertain"
    """The newest known version, of which nothing was heard for long: running it again would not
    help, and handing it over might break the bound."""


def judge_freshness(
    parameters: TenantParameters,
    versions: VersionClock,
    model: ModelName,
    oldest: WeightVersion,
    *,
    trainer_version: WeightVersion,
    at: float,
) -> Freshness:
    """Judge a sample by the oldest version among its spans, for a hand-over at time `at`."""
    if lag_in_versions(oldest, trainer_version) > parameters.staleness_bound_versions:
        return Freshness.STALE
    bound = parameters.staleness_bound_seconds
    if bound is None or versions.age_bound(model, oldest, at) <= bound:
        return Freshness.FRESH
    newest = versions.newest(model)
    return Freshness.UNCERTAIN if newest is None or oldest >= newest else Freshness.STALE
