"""Cache of the latest records of the log, for peers that lack them.

Its bounds are fields of `ConfigurationFollowerConfig`.
"""

from __future__ import annotations

from collections import deque

from stagewalk.common.identities import RecordId
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.wire.configuration_pb2 import ConfigurationMessage, ConfigurationRecord


class RelayCache:
    """Latest records at consecutive offsets, bounded in number and bytes."""

    def __init__(self, maximum_records: int, maximum_bytes: int) -> None:
        self._maximum_records = maximum_records
        self._maximum_bytes = maximum_bytes
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def add(self, record: LogRecord) -> None:
        """Add the next record, and drop the oldest ones that exceed the bounds."""
        self._records.append(record)
        self._bytes += len(record.payload)
        while len(self._records) > self._maximum_records or self._bytes > self._maximum_bytes:
            self._bytes -= len(self._records.popleft().payload)

    def clear(self) -> None:
        """Drop all records; the next one may have any offset."""
        self._records.clear()
        self._bytes = 0

    def write(self, message: ConfigurationMessage, offset: int, maximum_bytes: int) -> bool:
        """Write records from an offset on into a message; return False if that one is not kept."""
        if not self._records or self._records[0].offset > offset:
            return False
        size = 0
        for index in range(offset - self._records[0].offset, len(self._records)):
            record = self._records[index]
            size += len(record.payload)
            if size > maximum_bytes and message.records:
                break
            message.records.append(
                ConfigurationRecord(
                    offset=record.offset, record_id=record.record_id, payload=record.payload
                )
            )
        return True


def relayed_records(message: ConfigurationMessage) -> tuple[LogRecord, ...]:
    """Return the records in a peer's message."""
    return tuple(
        LogRecord(record.offset, RecordId(record.record_id), record.payload)
        for record in message.records
    )
