"""What a caller states about an item's tokens. Pure.

A `Dialect` reads it from an item's headers, so the stored records need no fields for it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.gateway.batches.records import BatchItem


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt. Requests can share a part, which an engine stores only once.

    Attributes
    ----------
    part
        Identifier of the part's text.
    """

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt, and the limit of the output generated from it.

    Attributes
    ----------
    parts
        In order; empty if the caller doesn't state any.
    maximum_output_tokens
        Limit of generated tokens; None if the caller states none.
    """

    parts: tuple[PromptPart, ...] = ()
    maximum_output_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Return the prompt's length in tokens."""
        return sum(part.tokens for part in self.parts)


PromptReader = Callable[[BatchItem], Prompt]

UNKNOWN_PROMPT = Prompt()


def unknown_prompt(_item: BatchItem) -> Prompt:
    """Return a prompt of which nothing is stated."""
    return UNKNOWN_PROMPT
