"""What a caller states of an item's tokens. Pure.

Owns these types; a `Dialect` reads them off an item's headers, so that the stored records stay as
they are.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.gateway.batches.records import BatchItem


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt. Requests share parts: an engine holds one `part` only once.

    Attributes
    ----------
    part
        The same for the same text.
    """

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt, and how much may be made of it.

    Attributes
    ----------
    parts
        In order; empty if the caller doesn't state any.
    maximum_output_tokens
        Most tokens that come out; None if the caller doesn't say.
    """

    parts: tuple[PromptPart, ...] = ()
    maximum_output_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Return the prompt's length."""
        return sum(part.tokens for part in self.parts)


PromptReader = Callable[[BatchItem], Prompt]

UNKNOWN_PROMPT = Prompt()


def unknown_prompt(_item: BatchItem) -> Prompt:
    """Return that nothing is stated of an item's prompt."""
    return UNKNOWN_PROMPT
