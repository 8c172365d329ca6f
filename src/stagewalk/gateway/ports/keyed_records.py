"""Port of whoever takes some of the keys of a compacted partition that others are kept in too."""

from __future__ import annotations

from typing import Protocol

from stagewalk.gateway.ports.partitioned_log import KeyedRecord


class KeyedRecords(Protocol):
    """Takes the records of the keys that are its own."""

    def owns(self, record: KeyedRecord) -> bool:
        """Whether a record's key is its own."""

    def apply(self, record: KeyedRecord) -> None:
        """Take one record."""

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take all of them: keys that are not among them are gone."""
