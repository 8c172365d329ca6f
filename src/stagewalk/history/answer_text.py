"""Self-describing answer text of the engine model and its stand-in.

The engines of simulation and tests generate text that encodes which answer it belongs to, which
tokens of that answer it covers, and which weights produced them. The product treats the text as
an opaque string, so a checker can verify the completeness, identity and versions of an answer
from the text alone, independently of the system under test.

A chunk is written as `<content key>[<start>:<end>]v<version>;` and an answer is the
concatenation of its chunks.

Defines the text format and the distribution of answer lengths.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import WeightVersion
from stagewalk.node.core.completions import VersionSpan, append_span

_CHUNK = re.compile(r"([0-9a-f]{16})\[(\d+):(\d+)\]v(\d+);")


@dataclass(frozen=True, slots=True)
class TextChunk:
    """One parsed chunk: tokens `start` (included) to `end` (excluded) of an answer."""

    content_key: str
    start: int
    end: int
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class LengthDistribution:
    """Log-normal output lengths with a heavy tail, in tokens.

    A fraction `tail_fraction` of answers is `tail_factor` times as long as drawn.
    """

    median_tokens: float
    sigma: float
    tail_fraction: float
    tail_factor: float


DEFAULT_LENGTHS = LengthDistribution(
    median_tokens=120.0, sigma=0.6, tail_fraction=0.02, tail_factor=8.0
)


def content_key(prompt: str, seed: int | None) -> str:
    """Return the key of the answer that a prompt and sampling seed determine."""
    return xxhash.xxh64_hexdigest(f"{seed}\x00{prompt}".encode())


def answer_length(
    prompt: str,
    seed: int | None,
    max_tokens: int,
    lengths: LengthDistribution = DEFAULT_LENGTHS,
) -> int:
    """Return the number of tokens of the whole answer; deterministic, at least one."""
    digest = xxhash.xxh64_intdigest(f"length\x00{seed}\x00{prompt}".encode())
    uniform_a = ((digest >> 40) + 1) / (1 << 24)
    uniform_b = ((digest >> 16) & 0xFFFFFF) / (1 << 24)
    uniform_c = (digest & 0xFFFF) / (1 << 16)
    normal = math.sqrt(-2.0 * math.log(uniform_a)) * math.cos(2.0 * math.pi * uniform_b)
    length = lengths.median_tokens * math.exp(lengths.sigma * normal)
    if uniform_c < lengths.tail_fraction:
        length *= lengths.tail_factor
    return max(1, min(max_tokens, round(length)))


def render_chunk(key: str, start: int, end: int, version: WeightVersion) -> str:
    """Return the text of tokens `start` to `end` of the answer `key`."""
    return f"{key}[{start}:{end}]v{version};"


def parse_answer(text: str) -> list[TextChunk] | None:
    """Return the chunks of an answer's text, or None if it is not made of whole chunks."""
    chunks = []
    position = 0
    for match in _CHUNK.finditer(text):
        if match.start() != position:
            return None
        position = match.end()
        key, start, end, version = match.groups()
        chunks.append(TextChunk(key, int(start), int(end), WeightVersion(int(version))))
    return chunks if position == len(text) else None


def wholeness_fault(text: str, prompt: str, seed: int | None, length: int) -> str | None:
    """Return what is wrong with an answer's text, or None if it is complete and correct."""
    chunks = parse_answer(text)
    if chunks is None:
        return "the text is not made of whole chunks"
    expected_key = content_key(prompt, seed)
    position = 0
    for chunk in chunks:
        if chunk.content_key != expected_key:
            return f"tokens {chunk.start}:{chunk.end} belong to another answer"
        if chunk.start != position:
            return f"expected token {position}, found {chunk.start}"
        position = chunk.end
    if position != length:
        return f"{position} of {length} tokens"
    return None


def spans_from_text(text: str) -> tuple[VersionSpan, ...]:
    """Return which versions produced an answer's tokens, in order."""
    spans: tuple[VersionSpan, ...] = ()
    for chunk in parse_answer(text) or ():
        spans = append_span(spans, chunk.version, chunk.end - chunk.start)
    return spans
