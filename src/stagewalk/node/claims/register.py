"""The claims one replica holds of one partition, with their memory usage.

Owns the entries and their expiry. The partition checks the limits, which are fields of
`ClaimConfig`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from stagewalk.node.claims.types import Ballot

ENTRY_OVERHEAD_BYTES = 400
"""Estimated memory of an entry, excluding its key and value."""


@dataclass(slots=True)
class ClaimEntry:
    """A replica's state of one key.

    Attributes
    ----------
    promised
        No smaller ballot may be accepted.
    accepted, value
        The largest ballot accepted and its value; `None` before the first.
    decided
        The value is known to be decided; ballots are dropped.
    expires_at
        Node's clock, seconds: the entry is removed after this.
    """

    expires_at: float
    promised: Ballot | None = None
    accepted: Ballot | None = None
    value: bytes = b""
    decided: bool = False

    def mark_decided(self) -> None:
        """Mark the value as decided and drop the ballots."""
        self.decided = True
        self.promised = None
        self.accepted = None


@dataclass(slots=True)
class Usage:
    """Total entries and memory of all registers of a node."""

    entries: int = 0
    size_bytes: int = 0


@dataclass(slots=True)
class Register:
    """The entries of one partition."""

    usage: Usage
    entries: dict[str, ClaimEntry] = field(default_factory=dict)

    def add(self, key: str, entry: ClaimEntry) -> None:
        """Add a new key."""
        self.entries[key] = entry
        self.usage.entries += 1
        self.usage.size_bytes += _entry_size(key, entry)

    def remove(self, key: str) -> None:
        """Remove a key."""
        entry = self.entries.pop(key)
        self.usage.entries -= 1
        self.usage.size_bytes -= _entry_size(key, entry)

    def clear(self) -> None:
        """Remove all keys."""
        for key in list(self.entries):
            self.remove(key)

    def keep_decided(self) -> None:
        """Remove all keys except those known to be decided."""
        for key in [key for key, entry in self.entries.items() if not entry.decided]:
            self.remove(key)

    def decided_key_hashes(self, after_key: str) -> list[int]:
        """Return the sorted hashes of decided keys after a key."""
        return sorted(
            key_hash(key)
            for key, entry in self.entries.items()
            if entry.decided and key > after_key
        )

    def set_value(self, entry: ClaimEntry, value: bytes) -> None:
        """Replace the value of an entry in the register."""
        self.usage.size_bytes += len(value) - len(entry.value)
        entry.value = value

    def merge(self, key: str, other: ClaimEntry) -> None:
        """Merge another replica's entry: a decision wins, otherwise the larger ballots."""
        entry = self.entries.get(key)
        if entry is None:
            self.add(key, other)
            return
        entry.expires_at = max(entry.expires_at, other.expires_at)
        if entry.decided:
            return
        if other.decided:
            self.set_value(entry, other.value)
            entry.mark_decided()
            return
        entry.promised = _larger_ballot(entry.promised, other.promised)
        if _larger_ballot(entry.accepted, other.accepted) != entry.accepted:
            entry.accepted = other.accepted
            self.set_value(entry, other.value)

    def expire(self, now: float) -> None:
        """Remove all expired entries."""
        expired = [key for key, entry in self.entries.items() if entry.expires_at <= now]
        for key in expired:
            self.remove(key)


def key_hash(key: str) -> int:
    """Return the hash that represents a key in lists of held keys."""
    return xxhash.xxh64_intdigest(key.encode())


def _entry_size(key: str, entry: ClaimEntry) -> int:
    return ENTRY_OVERHEAD_BYTES + len(key) + len(entry.value)


def _larger_ballot(one: Ballot | None, other: Ballot | None) -> Ballot | None:
    if one is None or other is None:
        return one or other
    return max(one, other)
