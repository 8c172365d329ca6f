"""Splits records that exceed the log's record size, and joins their parts again. Pure.

The parts of a submission or a result share an id. Joined, it takes effect at the log position of
its last part.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from stagewalk.gateway.batches.records import (
    BatchHeader,
    BatchItem,
    BatchSubmitted,
    ItemFinished,
    ItemFinishedPart,
    encode_record,
    encoded_size,
)

RECORD_HEADROOM_BYTES = 4_096
"""Space reserved in a record for everything but its items or text."""


@dataclass(frozen=True, slots=True)
class WholeSubmission:
    """A submission of which all parts were read.

    Attributes
    ----------
    first_offset
        Log offset of the first of its parts that was read.
    """

    items: dict[str, BatchItem]
    first_offset: int


@dataclass(slots=True)
class _Submission:
    first_offset: int
    parts: dict[int, BatchSubmitted] = field(default_factory=dict)


class RecordParts:
    """Buffers parts of submissions and results until one is complete."""

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
        """Drop the parts of batches with missing records."""
        self._submissions = {k: s for k, s in self._submissions.items() if k[0] not in batches}
        self._results = {k: p for k, p in self._results.items() if k[0] not in batches}


def split_result(record: ItemFinished, result: str, record_bytes: int) -> list[bytes]:
    """Return a result's records, none larger than `record_bytes`."""
    whole = encode_record(record)
    if len(whole) <= record_bytes:
        return [whole]
    # A UTF-8 character takes at most four bytes.
    length = (record_bytes - RECORD_HEADROOM_BYTES) // 4
    texts = [record.text[start : start + length] for start in range(0, len(record.text), length)]
    return [
        encode_record(
            ItemFinishedPart(
                record.batch,
                record.item,
                result,
                number,
                len(texts),
                text,
                record.versions,
                record.score,
            )
        )
        for number, text in enumerate(texts)
    ]


def split_submission(
    header: BatchHeader,
    items: Sequence[BatchItem],
    submission: str,
    runner: str,
    record_bytes: int,
) -> list[bytes]:
    """Return a submission's records, none larger than `record_bytes`."""
    parts: list[list[BatchItem]] = [[]]
    size = 0
    for item in items:
        item_size = encoded_size(item)
        if parts[-1] and size + item_size > record_bytes - RECORD_HEADROOM_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_size
    return [
        encode_record(BatchSubmitted(header, submission, number, len(parts), runner, tuple(part)))
        for number, part in enumerate(parts)
    ]
