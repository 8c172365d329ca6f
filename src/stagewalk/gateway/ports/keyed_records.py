"""Port of a handler of some of the keys in a shared compacted partition."""

from __future__ import annotations

from typing import Protocol

from stagewalk.gateway.ports.partitioned_log import KeyedRecord


class KeyedRecordHandler(Protocol):
    """Handles the records of the keys it owns."""

    def owns(self, record: KeyedRecord) -> bool:
        """Whether the handler owns a record's key."""

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record."""

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all records: keys that are not among `records` were dropped."""
