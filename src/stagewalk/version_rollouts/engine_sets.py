"""Which engines are brought to the versions of which model. Pure.

Each engine holds all models, but a load brings one of them to a version. Were all engines brought
to all versions, loads would grow with models times engines. So each model has a set of engines of
its own; the others serve it as long as what they hold fits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

import xxhash

from stagewalk.workers.worker import Worker


def assign_engines(engines: Sequence[Worker], named: Mapping[str, int]) -> dict[str, str]:
    """Return the model of each engine that is to be kept at that model's versions.

    Sets are of equal size, give or take one. An engine belongs to the model of which its version is
    the least behind, so who decides next finds the same sets, and engines that come or go move few.

    Parameters
    ----------
    named
        By model, the newest named version.
    """
    serving = [
        engine
        for engine in engines
        if not engine.announcement.draining and any(model in engine.versions for model in named)
    ]
    most = -(-len(serving) // max(1, len(named)))
    pairs = sorted(
        (version - engine.versions[model], _tie(engine, model), engine.announcement.worker, model)
        for engine in serving
        for model, version in named.items()
        if model in engine.versions
    )
    sizes: Counter[str] = Counter()
    assigned: dict[str, str] = {}
    for _behind, _order, engine, model in pairs:
        if engine not in assigned and sizes[model] < most:
            assigned[engine] = model
            sizes[model] += 1
    return assigned


def _tie(engine: Worker, model: str) -> int:
    return xxhash.xxh64_intdigest(f"{model}/{engine.announcement.worker}".encode())
