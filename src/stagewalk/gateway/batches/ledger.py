"""Replays batch records: the same records give the same batches on every node. Pure.

Holds the batches of the partitions this node follows, and remembers for a time which have ended.
`record_parts` joins split records, `reusable_texts` holds generated text. Times are of this node's
monotonic clock and only affect how long things are remembered.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import StrEnum

from stagewalk.gateway.batches.batch import NO_RUNNER, Batch
from stagewalk.gateway.batches.record_parts import RecordParts
from stagewalk.gateway.batches.records import (
    BatchClaimed,
    BatchEnded,
    BatchItem,
    BatchRecord,
    BatchReleased,
    BatchSubmitted,
    ItemFinished,
    ItemFinishedPart,
    ItemProgress,
)
from stagewalk.gateway.batches.reusable_texts import ReusableText, ReusableTexts

FORGET_AFTER_SECONDS = 240.0
"""How long an ended batch is retained."""

ENDED_BATCH_ID_RETENTION_SECONDS = 600.0
"""How long the names of ended batches are retained: twice the log's retention of records, so that a
submission recorded after the end is never taken for a new batch."""


class LedgerChange(StrEnum):
    """The kind of change that a record made to a batch."""

    OPENED = "opened"
    RESULT_ADDED = "listed"
    ENDED = "ended"
    RUNNER_CHANGED = "runner"
    LOST = "lost"
    """Records of the batch were dropped from the log before this node read them."""


ChangeListener = Callable[[Batch, LedgerChange], None]


class BatchLedger:
    """All batches of the partitions that this node follows."""

    def __init__(self, on_change: ChangeListener) -> None:
        self._on_change = on_change
        self._batches: dict[str, Batch] = {}
        self._parts = RecordParts()
        self._texts = ReusableTexts()
        self._ended_at: dict[str, float] = {}
        """When the end of each batch was read, also of batches without a known submission."""

    def get(self, batch: str) -> Batch | None:
        """Return a batch."""
        return self._batches.get(batch)

    @property
    def names(self) -> Collection[str]:
        """Return the names of all batches."""
        return self._batches.keys()

    def open_batches(self) -> list[Batch]:
        """Return the batches with items left to run."""
        return [batch for batch in self._batches.values() if batch.open]

    def reusable_text(self, item: BatchItem) -> ReusableText | None:
        """Return text generated for the same item, in this batch or an earlier one."""
        return self._texts.find(item)

    def apply(self, record: BatchRecord, now: float, offset: int = 0) -> None:
        """Apply the record at an offset of its partition."""
        match record:
            case BatchSubmitted():
                self._submitted(record, now, offset)
            case ItemFinished():
                self._item_finished(record)
            case ItemFinishedPart():
                self._item_finished_part(record)
            case ItemProgress():
                self._item_progress(record)
            case BatchEnded():
                self._ended(record, now)
            case BatchClaimed():
                self._claimed(record)
            case BatchReleased():
                self._released(record)

    def forget(self, now: float) -> list[str]:
        """Drop batches that ended long ago; return the names whose end is no longer remembered."""
        for name, batch in list(self._batches.items()):
            if batch.ended and now - batch.ended_at > FORGET_AFTER_SECONDS:
                self._drop(name)
        forgotten = [
            n for n, at in self._ended_at.items() if now - at > ENDED_BATCH_ID_RETENTION_SECONDS
        ]
        for name in forgotten:
            del self._ended_at[name]
        return forgotten

    def lose(self, batches: Collection[str]) -> None:
        """Drop batches with missing records: they may have ended, or have more results."""
        for name in batches:
            if name in self._batches:
                self._on_change(self._batches[name], LedgerChange.LOST)
                self._drop(name)
        self._parts.drop(batches)

    def _drop(self, batch: str) -> None:
        for item in self._batches.pop(batch).items:
            self._texts.forget(item)

    def _submitted(self, record: BatchSubmitted, now: float, offset: int) -> None:
        name = record.header.batch
        if name in self._batches or name in self._ended_at:
            return
        submission = self._parts.add_submission(record, offset)
        if submission is None:
            return
        batch = Batch(
            record.header,
            submission.items,
            record.runner,
            now,
            first_offset=submission.first_offset,
        )
        self._batches[name] = batch
        self._on_change(batch, LedgerChange.OPENED)

    def _item_finished(self, record: ItemFinished) -> None:
        batch = self._batches.get(record.batch)
        if batch is None or record.item not in batch.items or record.item in batch.listed:
            return
        if record.succeeded and any(v < batch.header.minimum_version for v in record.versions):
            return
        spec = batch.items[record.item]
        if record.succeeded and spec.score_call is not None and not record.score:
            return
        batch.list_result(record)
        if record.succeeded:
            self._texts.apply_result(spec, record)
        self._on_change(batch, LedgerChange.RESULT_ADDED)

    def _item_finished_part(self, record: ItemFinishedPart) -> None:
        """Add a part of a result; apply the result once all its parts are there."""
        batch = self._batches.get(record.batch)
        if batch is None or record.item in batch.listed:
            return
        result = self._parts.add_result(record)
        if result is not None:
            self._item_finished(result)

    def _item_progress(self, record: ItemProgress) -> None:
        batch = self._batches.get(record.batch)
        if batch is None or record.item in batch.listed or record.item not in batch.items:
            return
        self._texts.apply_progress(batch.items[record.item], record)

    def _ended(self, record: BatchEnded, now: float) -> None:
        self._ended_at.setdefault(record.batch, now)
        batch = self._batches.get(record.batch)
        if batch is None or batch.ended:
            return
        batch.ended = True
        batch.ended_at = now
        self._on_change(batch, LedgerChange.ENDED)

    def _claimed(self, record: BatchClaimed) -> None:
        batch = self._batches.get(record.batch)
        if batch is None or record.epoch != batch.epoch + 1:
            return
        batch.epoch = record.epoch
        self._set_runner(batch, record.runner)

    def _released(self, record: BatchReleased) -> None:
        batch = self._batches.get(record.batch)
        if batch is not None and batch.runner == record.runner:
            self._set_runner(batch, NO_RUNNER)

    def _set_runner(self, batch: Batch, runner: str) -> None:
        batch.runner = runner
        self._on_change(batch, LedgerChange.RUNNER_CHANGED)
