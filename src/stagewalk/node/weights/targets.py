"""Target versions of a pool's engines, from the tenants' version pins and capacity shares.

Tenants whose pins lead to different versions divide the pool's engines by share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stagewalk.common.identities import EngineName, ModelName, WeightVersion
from stagewalk.node.configuration.parameters import Tenant


@dataclass(frozen=True, slots=True)
class VersionTarget:
    """Target version of part of a pool, for tenants whose pins lead to the same version.

    Attributes
    ----------
    version
        The newest published version that the pins allow.
    minimum, maximum
        The pins, inclusive; None means unbounded.
    share
        Sum of the tenants' capacity shares.
    """

    version: WeightVersion
    minimum: WeightVersion | None
    maximum: WeightVersion | None
    share: float

    def allows(self, version: WeightVersion) -> bool:
        """Return whether a version is within the pins."""
        above = self.minimum is None or version >= self.minimum
        return above and (self.maximum is None or version <= self.maximum)


def pool_targets(
    model: ModelName, tenants: Iterable[Tenant], published: Iterable[WeightVersion]
) -> tuple[VersionTarget, ...]:
    """Return the target versions of a pool, oldest first.

    Tenants whose pins lead to the same version share a target with the intersection of their pins.
    """
    versions = sorted(published)
    targets: dict[WeightVersion, VersionTarget] = {}
    for tenant in sorted(tenants, key=lambda tenant: tenant.name):
        parameters = tenant.parameters
        if model not in parameters.models:
            continue
        pins = VersionTarget(
            WeightVersion(0),
            parameters.minimum_version,
            parameters.maximum_version,
            parameters.capacity_share,
        )
        allowed = [version for version in versions if pins.allows(version)]
        if allowed:
            newest = allowed[-1]
            targets[newest] = _merge(targets.get(newest), pins, newest)
    return tuple(targets[version] for version in sorted(targets))


def pool_idle_weight(model: ModelName, tenants: Iterable[Tenant]) -> float:
    """Return the average idle weight of a pool's tenants, weighted by their shares."""
    using = [tenant.parameters for tenant in tenants if model in tenant.parameters.models]
    total = sum(parameters.capacity_share for parameters in using)
    if total == 0.0:
        return 0.5
    return sum(item.idle_weight * item.capacity_share for item in using) / total


def assign_targets(
    targets: tuple[VersionTarget, ...],
    holdings: dict[EngineName, frozenset[WeightVersion]],
) -> dict[EngineName, VersionTarget]:
    """Divide a pool's engines among its targets by share.

    Parameters
    ----------
    holdings
        Versions that each engine runs or has staged. Engines that already hold a target are
        assigned to it first, so that assignments are stable across evaluations.
    """
    if not targets:
        return {}
    if len(targets) == 1:
        return dict.fromkeys(sorted(holdings), targets[0])
    quotas = _quotas(targets, len(holdings))
    assigned: dict[EngineName, VersionTarget] = {}
    for target in targets:
        holders = [name for name in sorted(holdings) if target.version in holdings[name]]
        for name in holders:
            if name not in assigned and quotas[target.version] > 0:
                assigned[name] = target
                quotas[target.version] -= 1
    for name in sorted(holdings):
        if name not in assigned:
            target = max(targets, key=lambda item: (quotas[item.version], item.version))
            assigned[name] = target
            quotas[target.version] -= 1
    return assigned


def _merge(
    known: VersionTarget | None, pins: VersionTarget, version: WeightVersion
) -> VersionTarget:
    if known is None:
        return VersionTarget(version, pins.minimum, pins.maximum, pins.share)
    minima = [pin for pin in (known.minimum, pins.minimum) if pin is not None]
    maxima = [pin for pin in (known.maximum, pins.maximum) if pin is not None]
    return VersionTarget(
        version,
        max(minima) if minima else None,
        min(maxima) if maxima else None,
        known.share + pins.share,
    )


def _quotas(targets: tuple[VersionTarget, ...], engines: int) -> dict[WeightVersion, int]:
    """Return the number of engines per target: largest remainder, at least one if possible."""
    total = sum(target.share for target in targets)
    exact = {target.version: engines * target.share / total for target in targets}
    quotas = {version: int(count) for version, count in exact.items()}
    by_remainder = sorted(exact, key=lambda version: (quotas[version] - exact[version], -version))
    for version in by_remainder[: engines - sum(quotas.values())]:
        quotas[version] += 1
    for version in sorted(quotas, reverse=True):
        largest = max(quotas, key=lambda item: (quotas[item], item))
        if quotas[version] == 0 and quotas[largest] > 1:
            quotas[version] += 1
            quotas[largest] -= 1
    return quotas
