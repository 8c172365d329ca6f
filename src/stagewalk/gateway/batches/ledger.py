"""The fold of batch records: the same records give the same batches on every node.

Pure but for times, which are of the steady clock and only tell how long this node has known
something.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from enum import StrEnum

from stagewalk.gateway.batches.records import (
    BatchClaimed,
    BatchEnded,
    BatchHeader,
    BatchItem,
    BatchRecord,
    BatchReleased,
    BatchSubmitted,
    ItemFinished,
    ItemFinishedPart,
    ItemProgress,
)

FORGET_AFTER_SECONDS = 240.0
"""How long an ended batch is kept."""

ENDED_KNOWN_SECONDS = 600.0
"""How long it is known after that that a batch has ended: twice what the log keeps its records, so
that a submission which lies behind the end is never taken for a new batch."""

NOBODY = ""
EVENT_SEPARATOR = "\n"
"""Between the events of a text."""


class LedgerChange(StrEnum):
    """What a record changed."""

    OPENED = "opened"
    LISTED = "listed"
    ENDED = "ended"
    RUNNER = "runner"
    LOST = "lost"
    """Records of it were dropped from the log before they were read here."""


@dataclass(frozen=True, slots=True)
class ReusableText:
    """Text of an item, whole or so far, from whichever batch had the most of it.

    Items come back under the same id in a later batch if their group was not whole.

    Attributes
    ----------
    whole
        Whether it is the whole text; its score may still be missing.
    score
        The score of the whole text, empty if there is none.
    score_failures
        How often the service that scores said that it failed.
    """

    spec: BatchItem
    events: tuple[str, ...]
    versions: tuple[int, ...]
    whole: bool
    score: str = ""
    score_failures: int = 0


@dataclass(slots=True)
class Batch:
    """A batch as the records tell it.

    Attributes
    ----------
    results
        In the order of their records: a result's index is its position for ever.
    runner
        The process that runs it, `NOBODY` after a release.
    epoch
        Number of claims so far.
    seen_at
        When this node first saw it.
    first_offset
        Of the first record of the submission that is in force here.
    """

    header: BatchHeader
    items: dict[str, BatchItem]
    runner: str
    seen_at: float
    epoch: int = 0
    results: list[ItemFinished] = field(default_factory=list)
    listed: set[str] = field(default_factory=set)
    ended: bool = False
    ended_at: float = 0.0
    first_offset: int = 0
    whole_groups: int = 0
    """Groups whose items all have a result."""
    _missing: Counter[str] = field(default_factory=Counter)
    """By group, items without a result."""

    def __post_init__(self) -> None:
        self._missing.update(item.group for item in self.items.values())

    def list_result(self, result: ItemFinished) -> None:
        """Append an item's result."""
        self.listed.add(result.item)
        self.results.append(result)
        group = self.items[result.item].group
        self._missing[group] -= 1
        self.whole_groups += self._missing[group] == 0

    @property
    def satisfied(self) -> bool:
        """Whether its trainer has all that it waits for."""
        return not self.open or 0 < self.header.wanted_groups <= self.whole_groups

    @property
    def open(self) -> bool:
        """Whether anything of it is left to run."""
        return not self.ended and len(self.listed) < len(self.items)


ChangeListener = Callable[[Batch, LedgerChange], None]


@dataclass(slots=True)
class _Submission:
    """The parts of a submission read so far, by number."""

    first_offset: int
    parts: dict[int, BatchSubmitted] = field(default_factory=dict)


class BatchLedger:
    """All batches of the partitions followed."""

    def __init__(self, on_change: ChangeListener) -> None:
        self._on_change = on_change
        self._batches: dict[str, Batch] = {}
        self._submissions: dict[tuple[str, str], _Submission] = {}
        self._result_parts: dict[tuple[str, str, str], dict[int, str]] = {}
        self._texts: dict[str, ReusableText] = {}
        self._ended_at: dict[str, float] = {}
        """Batches whose end was read, those too whose submission was not, and when."""

    def get(self, batch: str) -> Batch | None:
        """Return a batch."""
        return self._batches.get(batch)

    @property
    def names(self) -> Collection[str]:
        """Return the names of all batches."""
        return self._batches.keys()

    def open_batches(self) -> list[Batch]:
        """Return the batches of which something is left to run."""
        return [batch for batch in self._batches.values() if batch.open]

    def reusable_text(self, item: BatchItem) -> ReusableText | None:
        """Return what was made of the same item before, in this batch or an earlier one.

        A score belongs to one call: an item that comes back with another one is scored anew.
        """
        kept = self._texts.get(item.item)
        if kept is None or (kept.spec.path, kept.spec.body) != (item.path, item.body):
            return None
        if kept.spec.score_call != item.score_call:
            return replace(kept, score="", score_failures=0)
        return kept

    def apply(self, record: BatchRecord, now: float, offset: int = 0) -> None:
        """Fold one record in, which lies at an offset of its partition."""
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
        """Drop batches that ended long ago; return those whose end is remembered no more."""
        for name, batch in list(self._batches.items()):
            if batch.ended and now - batch.ended_at > FORGET_AFTER_SECONDS:
                self._drop(name)
        forgotten = [n for n, at in self._ended_at.items() if now - at > ENDED_KNOWN_SECONDS]
        for name in forgotten:
            del self._ended_at[name]
        return forgotten

    def lose(self, batches: Collection[str]) -> None:
        """Drop batches of which records are missing: they may have ended, or have more results."""
        for name in batches:
            if name in self._batches:
                self._on_change(self._batches[name], LedgerChange.LOST)
                self._drop(name)
        self._submissions = {
            key: s for key, s in self._submissions.items() if key[0] not in batches
        }
        self._result_parts = {
            key: p for key, p in self._result_parts.items() if key[0] not in batches
        }

    def _drop(self, batch: str) -> None:
        for item in self._batches.pop(batch).items:
            self._texts.pop(item, None)

    def _submitted(self, record: BatchSubmitted, now: float, offset: int) -> None:
        name = record.header.batch
        if name in self._batches or name in self._ended_at:
            return
        key = (name, record.submission)
        submission = self._submissions.setdefault(key, _Submission(offset))
        parts = submission.parts
        parts[record.part] = record
        if len(parts) < record.parts:
            return
        del self._submissions[key]
        items = {item.item: item for number in sorted(parts) for item in parts[number].items}
        batch = Batch(
            record.header,
            items,
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
            events = tuple(record.text.split(EVENT_SEPARATOR))
            self._texts[record.item] = ReusableText(
                spec, events, record.versions, whole=True, score=record.score
            )
        self._on_change(batch, LedgerChange.LISTED)

    def _item_finished_part(self, record: ItemFinishedPart) -> None:
        """Keep a part until all of its result are there."""
        batch = self._batches.get(record.batch)
        if batch is None or record.item in batch.listed:
            return
        parts = self._result_parts.setdefault((record.batch, record.item, record.result), {})
        parts[record.part] = record.text
        if len(parts) < record.parts:
            return
        del self._result_parts[(record.batch, record.item, record.result)]
        text = "".join(parts[number] for number in sorted(parts))
        self._item_finished(
            ItemFinished(record.batch, record.item, True, text, record.versions, record.score)
        )

    def _item_progress(self, record: ItemProgress) -> None:
        batch = self._batches.get(record.batch)
        if batch is None or record.item in batch.listed or record.item not in batch.items:
            return
        known = self._texts.get(record.item)
        if known is None or _holds_more(record, known):
            self._texts[record.item] = ReusableText(
                batch.items[record.item],
                record.events,
                record.versions,
                whole=record.whole,
                score_failures=record.score_failures,
            )

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
            self._set_runner(batch, NOBODY)

    def _set_runner(self, batch: Batch, runner: str) -> None:
        batch.runner = runner
        self._on_change(batch, LedgerChange.RUNNER)


def _holds_more(record: ItemProgress, known: ReusableText) -> bool:
    """Whether progress holds more than what is kept: more text, or more tries at its score."""
    if known.whole:
        same_text = record.whole and record.events == known.events
        return same_text and not known.score and record.score_failures > known.score_failures
    return record.whole or len(known.events) < len(record.events)
