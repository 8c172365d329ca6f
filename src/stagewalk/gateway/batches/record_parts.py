"""Joins records that were split because they are larger than the log's records.

Owns the parts read so far. Relies on `records` for the split: a submission and a result are each
told apart by an id of their own, and stand at the place of their last part.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from stagewalk.gateway.batches.records import (
    BatchItem,
    BatchSubmitted,
    ItemFinished,
    ItemFinishedPart,
)


@dataclass(frozen=True, slots=True)
class WholeSubmission:
    """A submission of which all parts were read.

    Attributes
    ----------
    first_offset
        Of its first part.
    """

    items: dict[str, BatchItem]
    first_offset: int


@dataclass(slots=True)
class _Submission:
    first_offset: int
    parts: dict[int, BatchSubmitted] = field(default_factory=dict)


class RecordParts:
    """Parts of submissions and results, until all of one are there."""

    def __init__(self) -> None:
        self._submissions: dict[tuple[str, str], _Submission] = {}
        self._results: dict[tuple[str, str, str], dict[int, str]] = {}

    def add_submission(self, record: BatchSubmitted, offset: int) -> WholeSubmission | None:
        """Add a part of a submission; return the submission if that was the last one missing."""
        key = (record.header.batch, record.submission)
        submission = self._submissions.setdefault(key, _Submission(offset))
        parts = submission.parts
        parts[record.part] = record
        if len(parts) < record.parts:
            return None
        del self._submissions[key]
        items = {item.item: item for number in sorted(parts) for item in parts[number].items}
        return WholeSubmission(items, submission.first_offset)

    def add_result(self, record: ItemFinishedPart) -> ItemFinished | None:
        """Add a part of a result; return the result if that was the last one missing."""
        key = (record.batch, record.item, record.result)
        parts = self._results.setdefault(key, {})
        parts[record.part] = record.text
        if len(parts) < record.parts:
            return None
        del self._results[key]
        text = "".join(parts[number] for number in sorted(parts))
        return ItemFinished(record.batch, record.item, True, text, record.versions, record.score)

    def drop(self, batches: Collection[str]) -> None:
        """Drop the parts of batches of which records are missing."""
        self._submissions = {k: s for k, s in self._submissions.items() if k[0] not in batches}
        self._results = {k: p for k, p in self._results.items() if k[0] not in batches}
