"""Which engines load the new versions of which model. Pure.

Each engine holds all models, but a load updates one of them, so updating all models on all engines
takes a load per model and engine. Instead, each model has its own set of engines, sized by its
share of the open items; other engines serve it while their version is recent enough
(docs/design/0130-shifted-work.md).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import xxhash

from stagewalk.gateway.workers.worker import Worker

DEMAND_SECONDS = 20.0
"""Time constant of the smoothed demand: five steps of a trainer, one every 4 s."""

MINIMUM_SHARE = 0.5
"""Each model gets at least this fraction of an equal share of the engines."""

RESIZE_ENGINES = 1.5
"""Sets within this many engines of their quota keep their sizes, to avoid loads."""


class ModelDemand:
    """Open items by model, smoothed over time."""

    def __init__(self) -> None:
        self._open: dict[str, float] = {}
        self._at = -math.inf

    def record(self, open_items: Mapping[str, int], now: float) -> None:
        """Record how many items of each model are unfinished."""
        decay = math.exp(-(now - self._at) / DEMAND_SECONDS) if self._open else 0.0
        self._at = now
        for model in self._open.keys() | open_items.keys():
            before = self._open.get(model, 0.0)
            self._open[model] = decay * before + (1.0 - decay) * open_items.get(model, 0)

    def shares(self, models: Sequence[str]) -> dict[str, float]:
        """Return each model's share of the open items; equal shares while there are none."""
        total = sum(self._open.get(model, 0.0) for model in models)
        equal_share = 1.0 / max(1, len(models))
        if total <= 0.0:
            return dict.fromkeys(models, equal_share)
        minimum_share = MINIMUM_SHARE * equal_share
        raw = {model: max(minimum_share, self._open.get(model, 0.0) / total) for model in models}
        total_share = sum(raw.values())
        return {model: share / total_share for model, share in raw.items()}


class SetSizes:
    """How many engines each set has; sizes follow the shares with hysteresis."""

    def __init__(self) -> None:
        self._sizes: dict[str, int] = {}

    def update(self, engines: int, shares: Mapping[str, float]) -> dict[str, int]:
        """Return the size of each model's set for a number of engines."""
        quotas = {model: engines * share for model, share in shares.items()}
        unchanged = self._sizes.keys() == quotas.keys() and sum(self._sizes.values()) == engines
        if unchanged and all(
            abs(quotas[m] - size) < RESIZE_ENGINES for m, size in self._sizes.items()
        ):
            return self._sizes
        sizes = {model: int(quota) for model, quota in quotas.items()}
        by_remainder = sorted(quotas, key=lambda model: (sizes[model] - quotas[model], model))
        for model in by_remainder[: engines - sum(sizes.values())]:
            sizes[model] += 1
        self._sizes = sizes
        return sizes


def engines_by_models(
    workers: Sequence[Worker], models: Sequence[str]
) -> dict[tuple[str, ...], list[Worker]]:
    """Group the workers that are not draining by the models that they hold."""
    groups: dict[tuple[str, ...], list[Worker]] = {}
    for worker in workers:
        held = tuple(model for model in models if model in worker.versions)
        if held and not worker.announcement.draining:
            groups.setdefault(held, []).append(worker)
    return groups


def assign_engines(
    engines: Sequence[Worker], named: Mapping[str, int], sizes: Mapping[str, int]
) -> dict[str, str]:
    """Return, by engine, the model whose set it belongs to.

    An engine is assigned to the model whose version it is least behind. So the next lease holder
    computes the same sets, and few engines move when engines are added or removed.

    Parameters
    ----------
    named
        By model, the newest named version.
    sizes
        By model, how many engines its set has.
    """
    pairs = sorted(
        (
            version - engine.versions[model],
            _tie_break(engine, model),
            engine.announcement.worker,
            model,
        )
        for engine in engines
        for model, version in named.items()
        if model in engine.versions
    )
    set_counts: Counter[str] = Counter()
    assigned: dict[str, str] = {}
    for _behind, _order, engine, model in pairs:
        if engine not in assigned and set_counts[model] < sizes[model]:
            assigned[engine] = model
            set_counts[model] += 1
    return assigned


def _tie_break(engine: Worker, model: str) -> int:
    return xxhash.xxh64_intdigest(f"{model}/{engine.announcement.worker}".encode())
