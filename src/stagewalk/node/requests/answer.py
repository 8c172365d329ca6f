"""Assembles an answer from the chunks of one attempt and detects framing faults.

Chunks may be duplicated, delayed, reordered, overlapping or lost, and a faulty engine may send
without end. Only a chunk that starts at the current end is appended; the token count of the final
frame shows whether the answer is complete. `MemoryConfig` holds the limits.
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
class PartialAnswer:
    """The contiguous part of an answer received so far, from which an attempt can resume."""

    text: str = ""
    token_count: int = 0
    spans: tuple[VersionSpan, ...] = ()


@dataclass(frozen=True, slots=True)
class FramingFault:
    """A chunk fault after which the attempt can't produce a complete answer."""

    detail: str


@dataclass(slots=True)
class AnswerAssembly:
    """The answer of one attempt so far.

    Attributes
    ----------
    request
        Limits the answer's length and the weight versions allowed in it.
    mixed_versions
        Whether one answer may contain tokens of several weight versions.
    bounds
        Limits on the answer's length and on buffered chunks.
    reordered
        Buffered chunks by offset, waiting for an earlier missing chunk.
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
    def continuing(
        cls,
        held: PartialAnswer,
        request: CompletionRequest,
        mixed_versions: bool,
        bounds: MemoryConfig,
    ) -> AnswerAssembly:
        """Return an assembly that continues a partial answer."""
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
        """Add a chunk; return the chunks that this appends to the answer, in order.

        A duplicate chunk is dropped. After a fault the attempt must be cancelled.
        """
        if chunk.token_count <= 0 or chunk.offset < 0 or chunk.sequence < 0:
            return Error(FramingFault("a chunk has no tokens or a negative position"))
        if chunk.sequence <= self.last_sequence:
            return Ok([])
        end = chunk.offset + chunk.token_count
        if end <= self.token_count:
            return Ok([])
        if chunk.offset < self.token_count:
            return Error(FramingFault(f"a chunk overlaps the {self.token_count} tokens received"))
        if end > self.request.max_tokens:
            return Error(FramingFault(f"more than {self.request.max_tokens} tokens were sent"))
        if self.characters + len(chunk.text) > self.bounds.maximum_answer_characters:
            return Error(FramingFault("the answer exceeds the maximum length"))
        if chunk.offset > self.token_count:
            return self._buffer_chunk(chunk)
        return self._append_from(chunk)

    def is_complete(self, token_count: int) -> bool:
        """Return whether the final token count equals the number of tokens received."""
        return token_count == self.token_count

    def held(self) -> PartialAnswer:
        """Return the partial answer received so far."""
        return PartialAnswer(self.text(), self.token_count, self.spans)

    def text(self) -> str:
        """Return the text so far."""
        if len(self.pieces) > 1:
            self.pieces = ["".join(self.pieces)]
        return self.pieces[0] if self.pieces else ""

    def result(self, finish_reason: str) -> CompletionResult:
        """Return the complete answer."""
        return CompletionResult(self.text(), self.token_count, self.spans, finish_reason)

    def _buffer_chunk(self, chunk: TokenChunk) -> Result[list[TokenChunk], FramingFault]:
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
            version_fault = self._version_fault(following)
            if version_fault is not None:
                return Error(version_fault)
            self._append(following)
            appended.append(following)
            following = self.reordered.pop(self.token_count, None)
        if any(offset < self.token_count for offset in self.reordered):
            return Error(FramingFault("buffered chunks overlap the tokens received"))
        return Ok(appended)

    def _version_fault(self, chunk: TokenChunk) -> FramingFault | None:
        """Return why a chunk's version may not be appended to the answer; None if it may.

        An engine may swap its weights during generation.
        """
        minimum = self.request.minimum_version
        maximum = self.request.maximum_version
        too_old = minimum is not None and chunk.version < minimum
        too_new = maximum is not None and chunk.version > maximum
        if too_old or too_new:
            return FramingFault(f"version {chunk.version} may not serve the request")
        mixed = bool(self.spans) and self.spans[-1].version != chunk.version
        if mixed and not self.mixed_versions:
            return FramingFault(
                f"version {chunk.version} may not continue an answer of another version"
            )
        return None

    def _append(self, chunk: TokenChunk) -> None:
        self.pieces.append(chunk.text)
        self.token_count += chunk.token_count
        self.spans = append_span(self.spans, chunk.version, chunk.token_count)
        self.last_sequence = max(self.last_sequence, chunk.sequence)
