"""Which prompt prefixes an engine probably has in its cache, by this node's own history.

A prompt is cut into blocks; each block's hash is chained to the one before, so that equal
hashes mean equal prefixes. Engines publish cache events late and with gaps, so the index is a
guess that costs time when wrong, never correctness. Relies on the engine's record, which owns the
blocks; the bounds are fields of `PrefixIndexConfig`.
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from stagewalk.node.routing.config import PrefixIndexConfig
from stagewalk.node.routing.engine_record import EngineRecord

PrefixBlockHashes = tuple[int, ...]


def hash_blocks(prompt: str, config: PrefixIndexConfig) -> PrefixBlockHashes:
    """Return the chained hashes of a prompt's whole blocks, bounded in number."""
    size = config.block_characters
    octets = prompt[: size * config.maximum_blocks_per_prompt].encode()
    count = min(len(octets) // size, config.maximum_blocks_per_prompt)
    hashes = []
    chained = 0
    for start in range(0, count * size, size):
        chained = xxhash.xxh64_intdigest(octets[start : start + size], chained)
        hashes.append(chained)
    return tuple(hashes)


class PrefixIndex:
    """Bounded memory of the prefix blocks sent to each engine, least recently used first out.

    The blocks are kept in the engine's record, and go with it when the engine restarts.
    """

    def __init__(self, config: PrefixIndexConfig) -> None:
        self._config = config
        self._tokens_per_block = config.block_characters / config.characters_per_token

    def record_sent(self, record: EngineRecord, blocks: PrefixBlockHashes) -> None:
        """Record that an engine was sent a prompt and caches its blocks now."""
        held = record.cached_blocks
        for block in reversed(blocks):
            held[block] = None
            held.move_to_end(block)
        while len(held) > self._config.maximum_blocks_per_engine:
            held.popitem(last=False)

    def matched_tokens(self, record: EngineRecord, blocks: PrefixBlockHashes) -> float:
        """Return the estimated number of prompt tokens an engine need not take in again."""
        held = record.cached_blocks
        if not blocks or blocks[0] not in held:
            return 0.0
        return self._longest_held(held, blocks) * self._tokens_per_block

    @staticmethod
    def _longest_held(held: OrderedDict[int, None], blocks: PrefixBlockHashes) -> int:
        """Return how many leading blocks are held, the first of which is.

        A prompt's later blocks are always less recently used than its earlier ones and go
        first, so no held block lacks one before it, and halving finds the border.
        """
        if blocks[-1] in held:
            return len(blocks)
        least, above = 1, len(blocks) - 1
        while least < above:
            middle = (least + above + 1) // 2
            if blocks[middle - 1] in held:
                least = middle
            else:
                above = middle - 1
        return least
