"""Instruction that other cores give the log client, and the notifications it returns."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import RecordId
from stagewalk.node.core.platform import LogRecord


@dataclass(frozen=True, slots=True)
class AppendToStream:
    """Append a record to a stream of the log."""

    stream: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """The next records of a followed stream, in order, without gaps or repeats.

    `head` is the offset after the stream's last record when they were read. The first successful
    read is notified even if it returned no record, so that followers know that they are current.
    """

    stream: str
    records: tuple[LogRecord, ...]
    head: int


@dataclass(frozen=True, slots=True)
class AppendSettled:
    """A record is known to be in the log at an offset."""

    stream: str
    record_id: RecordId
    offset: int


@dataclass(frozen=True, slots=True)
class AppendAbandoned:
    """An append was abandoned; if `outcome_unknown`, its record may be in the log or get there."""

    stream: str
    record_id: RecordId
    outcome_unknown: bool
    detail: str
