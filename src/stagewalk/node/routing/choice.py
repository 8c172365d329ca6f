"""Engine selection: the lowest expected completion time among a random sample of engines.

The sampling keeps nodes that hold the same stale reports from all choosing the same engine. The
engine with the longest cached prefix is always a candidate. A comparison with other policies is in
docs/RESULTS.md.
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
        Number of engines sampled at random; all are compared if there are no more than that.
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
        """Return the lowest-scoring of the sampled candidates, which must not be empty."""
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
    """Return the candidate with the longest cached prefix; ties go to the less loaded engine.

    None if no candidate caches any of the prompt.
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
