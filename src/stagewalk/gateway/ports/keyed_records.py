"""Port of a handler of some keys of a compacted partition that it shares with others."""

from __future__ import annotations

from typing import Protocol

from stagewalk.gateway.ports.partitioned_log import KeyedRecord


class KeyedRecordHandler(Protocol):
    """Handles the records of the keys that are its own."""

    def owns(self, record: KeyedRecord) -> bool:
        """Whether a record's key is its own."""

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record."""

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all of them: keys that are not among them are gone."""
