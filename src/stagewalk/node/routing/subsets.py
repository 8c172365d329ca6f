"""Subsetting of engines: rendezvous hashing, weighted by zone and region.

The subset bounds polling and memory independently of the pool's size. Adding or removing an engine
affects only the nodes that use it.
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
    """Return the weighted rendezvous hashing score of an engine for a node.

    `-weight / ln(uniform)` makes the probability that an engine is chosen proportional to its
    weight.
    """
    digest = xxhash.xxh64_intdigest(f"{node}\x00{engine}".encode())
    uniform = (digest + 0.5) / HASH_VALUE_COUNT
    return -weight / math.log(uniform)


def placement_weight(own: Placement, other: Placement, config: EngineTableConfig) -> float:
    """Return the weight of an engine by its distance from this node: zone, region or beyond."""
    if own.region != other.region:
        return 1.0
    if own.zone != other.zone:
        return config.local_region_weight
    return config.local_zone_weight


def choose_subset(
    node: NodeName, placement: Placement, engines: list[Machine], config: EngineTableConfig
) -> frozenset[str]:
    """Return the names of the engines this node routes to, at most `subset_size` per service."""
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
