"""The rule for which engine gets an attempt: least expected time among a few drawn at random.

Inputs: the engines that may serve the request and are not set aside, the request's shape and the
time. Few random choices keep nodes with the same lagging reports from all taking the same engine;
the engine with the longest cached prefix is always compared too. What other choices earn is in
docs/RESULTS.md. Relies on `scoring` for the expected seconds and on the prefix index for what
engines cache.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from stagewalk.node.routing.engine_record import EngineRecord
from stagewalk.node.routing.prefix_index import PrefixBlockHashes, PrefixIndex
from stagewalk.node.routing.scoring import CompletionTimeModel, RequestShape


class EngineChooser:
    """Chooses one of several eligible engines.

    Parameters
    ----------
    choices
        Engines drawn at random; all are compared if there are no more.
    """

    def __init__(
        self,
        choices: int,
        model: CompletionTimeModel,
        prefix_index: PrefixIndex,
        generator: random.Random,
    ) -> None:
        self._choices = choices
        self._model = model
        self._prefix_index = prefix_index
        self._generator = generator

    def choose(
        self, shape: RequestShape, candidates: Sequence[EngineRecord], now: float
    ) -> EngineRecord:
        """Return the candidate with the least score among those drawn; there is at least one."""
        drawn = self._draw(shape.blocks, candidates)
        return min(drawn, key=lambda record: self._model.score(shape, record, now))

    def _draw(
        self, blocks: PrefixBlockHashes, candidates: Sequence[EngineRecord]
    ) -> Sequence[EngineRecord]:
        if len(candidates) <= self._choices:
            return candidates
        drawn = self._generator.sample(candidates, self._choices)
        if blocks:
            cached = longest_match(self._prefix_index, blocks, candidates)
            if cached is not None and all(cached is not record for record in drawn):
                drawn.append(cached)
        return drawn


def longest_match(
    prefix_index: PrefixIndex, blocks: PrefixBlockHashes, candidates: Sequence[EngineRecord]
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
        if best is None or tokens > best_tokens or record.load < best.load:
            best = record
            best_tokens = tokens
    return best
