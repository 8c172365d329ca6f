"""Prompts with shared prefixes and heavy-tailed lengths.

Owns the draw of a prompt's length and prefix; relies on the generator of its caller alone.
"""

from __future__ import annotations

import math
import random

MEDIAN_SUFFIX_CHARACTERS = 160
SUFFIX_SIGMA = 0.8
LONG_PROMPT_FRACTION = 0.02
LONG_PROMPT_FACTOR = 12
PREFIX_CHARACTERS = (256, 3072)
FILLER = "survey sheet boundary parcel vent setpoint humidity frost row folio "


class PromptSource:
    """Draws prompts of one load."""

    def __init__(self, name: str, families: int, generator: random.Random) -> None:
        self._generator = generator
        self._count = 0
        self._name = name
        self._prefixes = [
            _fill(f"{name} family {index}: ", generator.randint(*PREFIX_CHARACTERS))
            for index in range(families)
        ]

    def draw(self) -> str:
        """Return a new prompt; no two are equal."""
        self._count += 1
        normal = self._generator.gauss(0.0, 1.0)
        length = MEDIAN_SUFFIX_CHARACTERS * math.exp(SUFFIX_SIGMA * normal)
        if self._generator.random() < LONG_PROMPT_FRACTION:
            length *= LONG_PROMPT_FACTOR
        prefix = self._generator.choice(self._prefixes)
        return prefix + _fill(f"{self._name} prompt {self._count}: ", round(length))


def _fill(start: str, length: int) -> str:
    missing = max(0, length - len(start))
    return start + (FILLER * (missing // len(FILLER) + 1))[:missing]
