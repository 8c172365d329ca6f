"""Puts an answer together from the chunks of one attempt, and rejects what breaks its framing.

An engine's or a network's fault shows in the frames: a chunk may come doubled, late, out of
order, overlapping, or not at all, and a broken engine may send without end. Only the chunk
that continues the answer exactly is appended; the final count says whether it is whole. Owns the
text of one attempt; relies on `MemoryConfig` for its bounds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from expression import Error, Ok, Result

from stagewalk.node.core.completions import (
    CompletionRequest,
    CompletionResult,
    TokenChunk,
    VersionSpan,
    append_span,
)
from stagewalk.node.requests.config import MemoryConfig


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """The part of an answer that is certain: a resumed attempt goes on after it."""

    text: str = ""
    token_count: int = 0
    spans: tuple[VersionSpan, ...] = ()


@dataclass(frozen=True, slots=True)
class FramingFault:
    """Why a chunk proves that its attempt can't give a whole answer."""

    detail: str


@dataclass(slots=True)
class AnswerAssembly:
    """The answer of one attempt so far.

    Attributes
    ----------
    request
        Bounds its length and the versions that may have produced it.
    mixed_versions
        Whether several versions may have produced one answer.
    bounds
        An answer longer than they allow counts as endless.
    reordered
        Chunks held, by offset, while one before them is missing.
    """

    request: CompletionRequest
    mixed_versions: bool
    bounds: MemoryConfig
    token_count: int
    spans: tuple[VersionSpan, ...]
    pieces: list[str]
    characters: int
    last_sequence: int = -1
    reordered: dict[int, TokenChunk] = field(default_factory=dict)

    @classmethod
    def after(
        cls,
        held: HeldAnswer,
        request: CompletionRequest,
        mixed_versions: bool,
        bounds: MemoryConfig,
    ) -> AnswerAssembly:
        """Return an assembly that goes on after what is held."""
        return cls(
            request=request,
            mixed_versions=mixed_versions,
            bounds=bounds,
            token_count=held.token_count,
            spans=held.spans,
            pieces=[held.text] if held.text else [],
            characters=len(held.text),
        )

    def add(self, chunk: TokenChunk) -> Result[list[TokenChunk], FramingFault]:
        """Add a chunk; return those that now continue the answer, in order.

        A repeated chunk is dropped. A fault means that the attempt must be given up.
        """
        if chunk.token_count <= 0 or chunk.offset < 0 or chunk.sequence < 0:
            return Error(FramingFault("a chunk has no tokens or a negative position"))
        if chunk.sequence <= self.last_sequence:
            return Ok([])
        end = chunk.offset + chunk.token_count
        if end <= self.token_count:
            return Ok([])
        if chunk.offset < self.token_count:
            return Error(FramingFault(f"a chunk overlaps the {self.token_count} tokens held"))
        if end > self.request.max_tokens:
            return Error(FramingFault(f"more than {self.request.max_tokens} tokens were sent"))
        if self.characters + len(chunk.text) > self.bounds.maximum_answer_characters:
            return Error(FramingFault("the answer is longer than any may be"))
        if chunk.offset > self.token_count:
            return self._hold_back(chunk)
        return self._append_from(chunk)

    def whole(self, token_count: int) -> bool:
        """Return whether the final count matches what is held, with nothing missing."""
        return token_count == self.token_count

    def held(self) -> HeldAnswer:
        """Return what is certain so far."""
        return HeldAnswer(self.text(), self.token_count, self.spans)

    def text(self) -> str:
        """Return the text so far."""
        if len(self.pieces) > 1:
            self.pieces = ["".join(self.pieces)]
        return self.pieces[0] if self.pieces else ""

    def result(self, finish_reason: str) -> CompletionResult:
        """Return the whole answer."""
        return CompletionResult(self.text(), self.token_count, self.spans, finish_reason)

    def _hold_back(self, chunk: TokenChunk) -> Result[list[TokenChunk], FramingFault]:
        if chunk.offset in self.reordered:
            return Ok([])
        if len(self.reordered) >= self.bounds.maximum_reordered_chunks:
            return Error(FramingFault(f"tokens from {self.token_count} on are missing"))
        self.reordered[chunk.offset] = chunk
        self.characters += len(chunk.text)
        return Ok([])

    def _append_from(self, first: TokenChunk) -> Result[list[TokenChunk], FramingFault]:
        self.characters += len(first.text)
        appended = []
        following: TokenChunk | None = first
        while following is not None:
            unsuitable = self._version_fault(following)
            if unsuitable is not None:
                return Error(unsuitable)
            self._append(following)
            appended.append(following)
            following = self.reordered.pop(self.token_count, None)
        if any(offset < self.token_count for offset in self.reordered):
            return Error(FramingFault("chunks held back overlap the tokens held"))
        return Ok(appended)

    def _version_fault(self, chunk: TokenChunk) -> FramingFault | None:
        """Return why a chunk's version may not continue the answer; None if it may.

        An engine may change its weights while it generates.
        """
        minimum = self.request.minimum_version
        maximum = self.request.maximum_version
        too_old = minimum is not None and chunk.version < minimum
        too_new = maximum is not None and chunk.version > maximum
        if too_old or too_new:
            return FramingFault(f"version {chunk.version} may not serve the request")
        mixed = bool(self.spans) and self.spans[-1].version != chunk.version
        if mixed and not self.mixed_versions:
            return FramingFault(f"version {chunk.version} may not go on with another's answer")
        return None

    def _append(self, chunk: TokenChunk) -> None:
        self.pieces.append(chunk.text)
        self.token_count += chunk.token_count
        self.spans = append_span(self.spans, chunk.version, chunk.token_count)
        self.last_sequence = max(self.last_sequence, chunk.sequence)
