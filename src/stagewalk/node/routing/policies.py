"""Routing policies behind one protocol: the product's own and the baselines it is held against."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from stagewalk.node.routing.config import RouterConfig
from stagewalk.node.routing.engine_record import EngineRecord
from stagewalk.node.routing.prefix_index import PrefixBlocks, PrefixIndex
from stagewalk.node.routing.scoring import CompletionTimeModel, RequestShape


class RoutingPolicy(Protocol):
    """Chooses one of several eligible engines."""

    def select(
        self,
        shape: RequestShape,
        candidates: Sequence[EngineRecord],
        now: float,
    ) -> EngineRecord:
        """Return one of the candidates, of which there is at least one."""


def load_of(record: EngineRecord) -> int:
    """Return the sequences at an engine, corrected for this node's own attempts."""
    if record.report is None:
        return 0
    return max(0, record.report.running + record.report.waiting + record.added_sequences)


class ProductPolicy:
    """Least expected completion time among a few random engines and the best cached one.

    Few random choices keep nodes with the same lagging reports from all taking the same
    engine; the engine with the longest cached prefix is always looked at.
    """

    def __init__(
        self,
        config: RouterConfig,
        model: CompletionTimeModel,
        prefix_index: PrefixIndex,
        generator: random.Random,
    ) -> None:
        self._config = config
        self._model = model
        self._prefix_index = prefix_index
        self._generator = generator

    def select(
        self,
        shape: RequestShape,
        candidates: Sequence[EngineRecord],
        now: float,
    ) -> EngineRecord:
        """Return the candidate with the least score among those drawn."""
        drawn = self._draw(shape.blocks, candidates)
        return min(drawn, key=lambda record: self._model.score(shape, record, now))

    def _draw(
        self, blocks: PrefixBlocks, candidates: Sequence[EngineRecord]
    ) -> Sequence[EngineRecord]:
        if len(candidates) <= self._config.choices:
            return candidates
        drawn = self._generator.sample(candidates, self._config.choices)
        if blocks:
            cached = longest_match(self._prefix_index, blocks, candidates)
            if cached is not None and all(cached is not record for record in drawn):
                drawn.append(cached)
        return drawn


class RoundRobinPolicy:
    """Each engine in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def select(
        self,
        shape: RequestShape,
        candidates: Sequence[EngineRecord],
        now: float,
    ) -> EngineRecord:
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastLoadedPolicy:
    """The engine with the fewest sequences, as far as this node knows."""

    def select(
        self,
        shape: RequestShape,
        candidates: Sequence[EngineRecord],
        now: float,
    ) -> EngineRecord:
        """Return the least loaded candidate, by name among equals."""
        return least_loaded(candidates)


class PowerOfTwoPolicy:
    """The less loaded of two random engines."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def select(
        self,
        shape: RequestShape,
        candidates: Sequence[EngineRecord],
        now: float,
    ) -> EngineRecord:
        """Return the less loaded of two drawn candidates."""
        drawn = self._generator.sample(candidates, min(2, len(candidates)))
        return least_loaded(drawn)


class PrefixAffinityPolicy:
    """The engine with the longest cached prefix; the less loaded among equals."""

    def __init__(self, prefix_index: PrefixIndex) -> None:
        self._prefix_index = prefix_index

    def select(
        self,
        shape: RequestShape,
        candidates: Sequence[EngineRecord],
        now: float,
    ) -> EngineRecord:
        """Return the candidate that has most of the prompt in its cache."""
        cached = longest_match(self._prefix_index, shape.blocks, candidates)
        return least_loaded(candidates) if cached is None else cached


def longest_match(
    prefix_index: PrefixIndex, blocks: PrefixBlocks, candidates: Sequence[EngineRecord]
) -> EngineRecord | None:
    """Return the candidate with the longest cached prefix, the less loaded among equals.

    None if no candidate has any of it.
    """
    best: EngineRecord | None = None
    best_tokens = 0.0
    for record in candidates:
        tokens = prefix_index.matched_tokens(record, blocks)
        if tokens == 0.0 or tokens < best_tokens:
            continue
        if best is None or tokens > best_tokens or load_of(record) < load_of(best):
            best = record
            best_tokens = tokens
    return best


def least_loaded(candidates: Sequence[EngineRecord]) -> EngineRecord:
    """Return the candidate with the fewest sequences, the first among equals."""
    return min(candidates, key=load_of)


POLICIES = ("product", "round_robin", "least_loaded", "power_of_two", "prefix_affinity")


def make_policy(
    config: RouterConfig,
    model: CompletionTimeModel,
    prefix_index: PrefixIndex,
    generator: random.Random,
) -> RoutingPolicy:
    """Return the policy a configuration names; raise `ValueError` for an unknown one."""
    match config.policy:
        case "product":
            return ProductPolicy(config, model, prefix_index, generator)
        case "round_robin":
            return RoundRobinPolicy()
        case "least_loaded":
            return LeastLoadedPolicy()
        case "power_of_two":
            return PowerOfTwoPolicy(generator)
        case "prefix_affinity":
            return PrefixAffinityPolicy(prefix_index)
    raise ValueError(f"unknown routing policy {config.policy!r}, known: {', '.join(POLICIES)}")
