"""Which engines are brought to the versions of which model. Pure.

Each engine holds all models, but a load brings one of them to a version. Were all engines brought
to all versions, loads would grow with models times engines. So each model has a set of engines of
its own, as large as its part of the open items; the others serve it as long as what they hold
fits (docs/design/0130-shifted-work.md).

Owns the sizes of the sets and which engine belongs to which.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import xxhash

from stagewalk.gateway.workers.worker import Worker

DEMAND_SECONDS = 20.0
"""Demand is averaged over five steps of a trainer, which come every 4 s."""

MINIMUM_SHARE = 0.5
"""No model gets fewer engines than this part of an equal share."""

RESIZE_ENGINES = 1.5
"""A set that is off by less keeps its size: each engine that changes sets has to load."""


class ModelDemand:
    """Open items by model, smoothed over time."""

    def __init__(self) -> None:
        self._open: dict[str, float] = {}
        self._at = -math.inf

    def record(self, open_items: Mapping[str, int], now: float) -> None:
        """Record how many items of each model are unfinished."""
        kept = math.exp(-(now - self._at) / DEMAND_SECONDS) if self._open else 0.0
        self._at = now
        for model in self._open.keys() | open_items.keys():
            before = self._open.get(model, 0.0)
            self._open[model] = kept * before + (1.0 - kept) * open_items.get(model, 0)

    def shares(self, models: Sequence[str]) -> dict[str, float]:
        """Return each model's part of the open items; equal parts while nothing is known."""
        total = sum(self._open.get(model, 0.0) for model in models)
        alike = 1.0 / max(1, len(models))
        if total <= 0.0:
            return dict.fromkeys(models, alike)
        least = MINIMUM_SHARE * alike
        raw = {model: max(least, self._open.get(model, 0.0) / total) for model in models}
        whole = sum(raw.values())
        return {model: share / whole for model, share in raw.items()}


class SetSizes:
    """How many engines each set has; sizes follow the shares with some inertia."""

    def __init__(self) -> None:
        self._sizes: dict[str, int] = {}

    def update(self, engines: int, shares: Mapping[str, float]) -> dict[str, int]:
        """Return the sizes for so many engines."""
        quotas = {model: engines * share for model, share in shares.items()}
        same = self._sizes.keys() == quotas.keys() and sum(self._sizes.values()) == engines
        if same and all(abs(quotas[m] - size) < RESIZE_ENGINES for m, size in self._sizes.items()):
            return self._sizes
        sizes = {model: int(quota) for model, quota in quotas.items()}
        by_rest = sorted(quotas, key=lambda model: (sizes[model] - quotas[model], model))
        for model in by_rest[: engines - sum(sizes.values())]:
            sizes[model] += 1
        self._sizes = sizes
        return sizes


def engines_by_models(
    workers: Sequence[Worker], models: Sequence[str]
) -> dict[tuple[str, ...], list[Worker]]:
    """Return the workers that serve, by which of the models they hold."""
    groups: dict[tuple[str, ...], list[Worker]] = {}
    for worker in workers:
        held = tuple(model for model in models if model in worker.versions)
        if held and not worker.announcement.draining:
            groups.setdefault(held, []).append(worker)
    return groups


def assign_engines(
    engines: Sequence[Worker], named: Mapping[str, int], sizes: Mapping[str, int]
) -> dict[str, str]:
    """Return the model of each engine that is to be kept at that model's versions.

    An engine belongs to the model of which its version is the least behind, so the next holder
    finds the same sets, and engines that come or go move few.

    Parameters
    ----------
    named
        By model, the newest named version.
    sizes
        By model, how many engines its set has.
    """
    pairs = sorted(
        (version - engine.versions[model], _tie(engine, model), engine.announcement.worker, model)
        for engine in engines
        for model, version in named.items()
        if model in engine.versions
    )
    taken: Counter[str] = Counter()
    assigned: dict[str, str] = {}
    for _behind, _order, engine, model in pairs:
        if engine not in assigned and taken[model] < sizes[model]:
            assigned[engine] = model
            taken[model] += 1
    return assigned


def _tie(engine: Worker, model: str) -> int:
    return xxhash.xxh64_intdigest(f"{model}/{engine.announcement.worker}".encode())
