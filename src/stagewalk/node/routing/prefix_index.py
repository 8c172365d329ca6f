"""Prompt prefixes that an engine probably caches, estimated from what this node sent it.

A prompt is cut into blocks, and the hash of each block is chained to the one before, so that equal
hashes mean equal prefixes. The index is an estimate, since engines publish cache events late and
with gaps: a wrong entry costs time but not correctness. The blocks are kept in the engine's record.
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from stagewalk.node.routing.config import PrefixIndexConfig
from stagewalk.node.routing.engine_record import EngineRecord

PrefixBlockHashes = tuple[int, ...]


def hash_blocks(prompt: str, config: PrefixIndexConfig) -> PrefixBlockHashes:
    """Return the chained hashes of a prompt's whole blocks, up to the maximum number."""
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
    """Bounded LRU index of the prefix blocks sent to each engine.

    The blocks are kept in the engine's record, which is reset when the engine restarts.
    """

    def __init__(self, config: PrefixIndexConfig) -> None:
        self._config = config
        self._tokens_per_block = config.block_characters / config.characters_per_token

    def record_sent(self, record: EngineRecord, blocks: PrefixBlockHashes) -> None:
        """Record that a prompt was sent to an engine, which then caches its blocks."""
        cached = record.cached_blocks
        for block in reversed(blocks):
            cached[block] = None
            cached.move_to_end(block)
        while len(cached) > self._config.maximum_blocks_per_engine:
            cached.popitem(last=False)

    def matched_tokens(self, record: EngineRecord, blocks: PrefixBlockHashes) -> float:
        """Return the estimated number of prompt tokens that an engine has cached."""
        cached = record.cached_blocks
        if not blocks or blocks[0] not in cached:
            return 0.0
        return self._longest_cached_prefix(cached, blocks) * self._tokens_per_block

    @staticmethod
    def _longest_cached_prefix(cached: OrderedDict[int, None], blocks: PrefixBlockHashes) -> int:
        """Return how many leading blocks are cached, given that the first one is.

        A prompt's later blocks are evicted before its earlier ones, so a cached block implies
        that all before it are cached, and binary search finds the last one.
        """
        if blocks[-1] in cached:
            return len(blocks)
        low, high = 1, len(blocks) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle - 1] in cached:
                low = middle
            else:
                high = middle - 1
        return low
