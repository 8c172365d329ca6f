"""An engine's prefix cache: hashed blocks of prompts, evicted least recently used first.

Owns the blocks held and the lossy record of their changes; its caller says how much room is left.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque

import xxhash

from stagewalk.simulation.engine_messages import CacheEvent, CacheEventKind

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_TOKENS = 64
PREFIX_BLOCK_CHARACTERS = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
EVENTS_KEPT = 4096


def prompt_token_count(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return max(1, -(-len(prompt) // CHARACTERS_PER_TOKEN))


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hash of each prefix of the prompt that is a whole number of blocks long."""
    digest = xxhash.xxh64()
    hashes = []
    for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[end - PREFIX_BLOCK_CHARACTERS : end].encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


class PrefixCache:
    """Cached blocks of one engine, and the lossy record of their changes."""

    def __init__(self, lag_seconds: float, loss_fraction: float, generator: random.Random) -> None:
        self._lag_seconds = lag_seconds
        self._loss_fraction = loss_fraction
        self._generator = generator
        self._blocks: OrderedDict[str, int] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._next_sequence = 0

    @property
    def token_count(self) -> int:
        """Return how many tokens the cached blocks hold."""
        return len(self._blocks) * PREFIX_BLOCK_TOKENS

    def match(self, hashes: tuple[str, ...]) -> int:
        """Return how many leading tokens of a prompt are cached, and mark them as used."""
        matched = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            matched += 1
        self._mark_used(hashes[:matched])
        return matched * PREFIX_BLOCK_TOKENS

    def store(self, hashes: tuple[str, ...], now: float) -> None:
        """Store a prompt's blocks; the caller shrinks the cache to its room afterwards."""
        for index, prefix_hash in enumerate(hashes):
            if prefix_hash not in self._blocks:
                token_count = (index + 1) * PREFIX_BLOCK_TOKENS
                self._blocks[prefix_hash] = token_count
                self._record(CacheEventKind.STORED, prefix_hash, token_count, now)
        self._mark_used(hashes)

    def shrink_to(self, token_limit: int, now: float) -> None:
        """Evict least recently used blocks until the rest fits."""
        while self._blocks and self.token_count > token_limit:
            prefix_hash, token_count = self._blocks.popitem(last=False)
            self._record(CacheEventKind.EVICTED, prefix_hash, token_count, now)

    def clear(self, now: float) -> None:
        """Evict everything: cached blocks are invalid for other weights."""
        self.shrink_to(0, now)

    def events(self, after: int, now: float) -> tuple[tuple[CacheEvent, ...], int]:
        """Return events from sequence `after` on old enough to show, and the next sequence."""
        shown = tuple(
            event
            for event in self._events
            if event.sequence >= after and event.at <= now - self._lag_seconds
        )
        return shown, (shown[-1].sequence + 1 if shown else after)

    def _mark_used(self, hashes: tuple[str, ...]) -> None:
        """Mark the blocks as most recently used, so that longer prefixes are evicted first."""
        for prefix_hash in reversed(hashes):
            self._blocks.move_to_end(prefix_hash)

    def _record(self, kind: CacheEventKind, prefix_hash: str, token_count: int, now: float) -> None:
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._generator.random() >= self._loss_fraction:
            self._events.append(CacheEvent(sequence, kind, prefix_hash, token_count, now))
