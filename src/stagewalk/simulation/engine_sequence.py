"""Sequences of an engine and the batch that decodes them in step.

All decoding sequences advance at one common rate, so the batch keeps a single `progress`:
the tokens each sequence would have made had it decoded from the start. A sequence's own
count is the difference to its entry, so time passes for the whole batch at the cost of one
addition, and the next completion is a minimum over the batch.

Owns sequences and their progress; relies on `history.answer_text` for the text of a chunk.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from stagewalk.common.identities import AttemptId, WeightVersion
from stagewalk.history.answer_text import render_chunk
from stagewalk.node.core.completions import TokenChunk
from stagewalk.simulation.engine_messages import ChunkProduced, EngineRequest

ROUNDING_TOKENS = 1e-6
"""Progress within this of a whole token counts as that token."""


@dataclass(slots=True, eq=False)
class Sequence:
    """One accepted attempt.

    Attributes
    ----------
    serial
        Order of arrival.
    total_tokens
        Length of the whole answer.
    held_tokens
        Tokens of the answer sent so far, or held by the client from the start.
    entry_progress
        The batch's progress at which its token 0 would have been made.
    prefill_tokens
        Tokens still to be read before it decodes.
    """

    request: EngineRequest
    serial: int
    content_key: str
    prompt_tokens: int
    prefix_hashes: tuple[str, ...]
    total_tokens: int
    held_tokens: int
    entry_progress: float = 0.0
    prefill_tokens: float = 0.0
    chunks_sent: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Return its place in the order of service, smaller first."""
        return (self.request.priority, self.serial)

    @property
    def kv_tokens(self) -> int:
        """Return what it holds of the KV cache once it decodes."""
        return self.prompt_tokens + self.held_tokens

    @property
    def finish_progress(self) -> float:
        """Return the batch's progress at which its last token is made."""
        return self.entry_progress + self.total_tokens

    def cut_chunk(self, made_tokens: int, version: WeightVersion) -> ChunkProduced | None:
        """Return the tokens up to `made_tokens` not sent yet, and count them as sent."""
        start, end = self.held_tokens, min(made_tokens, self.total_tokens)
        if end <= start:
            return None
        text = render_chunk(self.content_key, start, end, version)
        chunk = TokenChunk(self.chunks_sent, start, end - start, text, version)
        self.held_tokens = end
        self.chunks_sent += 1
        return ChunkProduced(self.request.attempt, chunk)


class DecodeBatch:
    """The decoding sequences, in order of entry, and their common progress."""

    def __init__(self) -> None:
        self.sequences: dict[AttemptId, Sequence] = {}
        self.progress = 0.0
        self._next_finish: float | None = None
        self._kv_base = 0.0

    def __len__(self) -> int:
        return len(self.sequences)

    def enter(self, sequence: Sequence) -> None:
        """Add a sequence, which decodes from its next token on."""
        if not self.sequences:
            self.progress = self._kv_base = 0.0
        sequence.entry_progress = self.progress - sequence.held_tokens
        self._kv_base += sequence.prompt_tokens - sequence.entry_progress
        self.sequences[sequence.request.attempt] = sequence
        self._next_finish = None

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence, finished or not."""
        del self.sequences[sequence.request.attempt]
        self._kv_base -= sequence.prompt_tokens - sequence.entry_progress
        self._next_finish = None

    def kv_tokens(self) -> int:
        """Return what the sequences hold of the KV cache, at the cost of one multiplication."""
        return math.floor(self._kv_base + len(self.sequences) * self.progress + ROUNDING_TOKENS)

    def tokens_to_finish(self) -> float:
        """Return how many more tokens the next sequence to finish needs."""
        if not self.sequences:
            return math.inf
        if self._next_finish is None:
            self._next_finish = min(each.finish_progress for each in self.sequences.values())
        return max(0.0, self._next_finish - self.progress)

    def made_tokens(self, sequence: Sequence) -> int:
        """Return how many tokens of its answer a sequence has made."""
        return math.floor(self.progress - sequence.entry_progress + ROUNDING_TOKENS)

    def finished(self) -> list[Sequence]:
        """Return the sequences that have made their last token."""
        if self.tokens_to_finish() > ROUNDING_TOKENS:
            return []
        limit = self.progress + ROUNDING_TOKENS
        return [each for each in self.sequences.values() if each.finish_progress <= limit]

    def cut_chunks(self, version: WeightVersion) -> list[ChunkProduced]:
        """Return the unsent tokens of all sequences."""
        chunks = []
        for sequence in self.sequences.values():
            chunk = sequence.cut_chunk(self.made_tokens(sequence), version)
            if chunk is not None:
                chunks.append(chunk)
        return chunks
