"""The rule for which engines a node routes over: rendezvous hashing, weighted by zone and region.

Pure. Bounds what a node polls and holds whatever the size of the pool; a change of one engine
moves only the nodes that had or will have it. The weights and the size are fields of
`EngineTableConfig`.
"""

from __future__ import annotations

import heapq
import math

import xxhash

from stagewalk.common.identities import NodeName, Placement
from stagewalk.node.core.platform import Machine
from stagewalk.node.routing.config import EngineTableConfig

HASH_VALUE_COUNT = float(1 << 64)
"""Number of values of the 64-bit hash."""


def rendezvous_score(node: NodeName, engine: str, weight: float) -> float:
    """Return the score of an engine for a node: weighted rendezvous hashing.

    `-weight / ln(uniform)` makes an engine's chance to be chosen proportional to its weight,
    and a change of one engine moves only the nodes that had or will have it.
    """
    digest = xxhash.xxh64_intdigest(f"{node}\x00{engine}".encode())
    uniform = (digest + 0.5) / HASH_VALUE_COUNT
    return -weight / math.log(uniform)


def placement_weight(own: Placement, other: Placement, config: EngineTableConfig) -> float:
    """Return the weight of an engine's place as seen from this node's."""
    if own.region != other.region:
        return 1.0
    if own.zone != other.zone:
        return config.local_region_weight
    return config.local_zone_weight


def choose_subset(
    node: NodeName, placement: Placement, engines: list[Machine], config: EngineTableConfig
) -> frozenset[str]:
    """Return the names of the engines this node routes over, per service at most the size."""
    by_service: dict[str, list[tuple[float, str]]] = {}
    for engine in engines:
        weight = placement_weight(placement, engine.placement, config)
        score = rendezvous_score(node, engine.name, weight)
        by_service.setdefault(engine.service, []).append((score, engine.name))
    if not by_service:
        return frozenset()
    sustainable = config.sustainable_engines(len(engines))
    size = min(config.subset_size, max(1, sustainable // len(by_service)))
    chosen: set[str] = set()
    for scored in by_service.values():
        chosen.update(name for _, name in heapq.nlargest(size, scored))
    return frozenset(chosen)
