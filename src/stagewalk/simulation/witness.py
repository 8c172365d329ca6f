"""Collects the observations of a run in order of time.

Owns the history of a run and its digest; all models of the world write to it.
"""

from __future__ import annotations

import xxhash

from stagewalk.history.observations import AnyObservation, encode_line


class Witness:
    """The history of a run."""

    def __init__(self) -> None:
        self.history: list[AnyObservation] = []

    def observe(self, observation: AnyObservation) -> None:
        """Add an observation; time never decreases between two of them."""
        self.history.append(observation)

    def digest(self) -> str:
        """Return the hash of the encoded history: equal runs have equal digests."""
        hasher = xxhash.xxh3_128()
        for observation in self.history:
            hasher.update(encode_line(observation))
        return hasher.hexdigest()
