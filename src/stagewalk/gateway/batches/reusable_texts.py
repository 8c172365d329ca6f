"""The text generated for items, from which a later run of the same item resumes.

Items are resubmitted under the same id in a later batch if their group was incomplete, so the
longest text of each item is kept across batches. `ledger` applies the records and decides when to
forget a text.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from stagewalk.gateway.batches.records import BatchItem, ItemFinished, ItemProgress

EVENT_SEPARATOR = "\n"
"""Separates the events of a text."""


@dataclass(frozen=True, slots=True)
class ReusableText:
    """Text of an item, complete or partial.

    Attributes
    ----------
    spec
        The item as it was when the text was generated.
    versions
        Weight versions that generated it.
    whole
        Whether the text is complete; its score may still be missing.
    score
        The score of the complete text, empty if there is none.
    score_failures
        How often the scoring service reported a failure.
    """

    spec: BatchItem
    events: tuple[str, ...]
    versions: tuple[int, ...]
    whole: bool
    score: str = ""
    score_failures: int = 0


ReusableTextLookup = Callable[[BatchItem], ReusableText | None]
"""Finds text generated for an item before, None if there is none."""


@dataclass(frozen=True, slots=True)
class _ResultText:
    """The text of a recorded result, split into events only when it is reused.

    Results are most of a ledger's memory, so their text must not be stored a second time.
    """

    spec: BatchItem
    result: ItemFinished

    def to_reusable(self) -> ReusableText:
        """Return the text split into its events."""
        events = tuple(self.result.text.split(EVENT_SEPARATOR))
        return ReusableText(
            self.spec, events, self.result.versions, whole=True, score=self.result.score
        )


class ReusableTexts:
    """The most complete known text of each item."""

    def __init__(self) -> None:
        self._texts: dict[str, ReusableText | _ResultText] = {}

    def find(self, item: BatchItem) -> ReusableText | None:
        """Return text generated for the same item, in this batch or an earlier one.

        A score belongs to one call: an item resubmitted with another call is scored again.
        """
        known = self._known(item.item)
        if known is None or (known.spec.path, known.spec.body) != (item.path, item.body):
            return None
        if known.spec.score_call != item.score_call:
            return replace(known, score="", score_failures=0)
        return known

    def apply_result(self, spec: BatchItem, result: ItemFinished) -> None:
        """Store the text of a successful result."""
        self._texts[spec.item] = _ResultText(spec, result)

    def apply_progress(self, spec: BatchItem, progress: ItemProgress) -> None:
        """Store the text generated so far, unless more is already known."""
        known = self._known(spec.item)
        if known is None or _holds_more(progress, known):
            self._texts[spec.item] = ReusableText(
                spec,
                progress.events,
                progress.versions,
                whole=progress.whole,
                score_failures=progress.score_failures,
            )

    def forget(self, item: str) -> None:
        """Drop an item's text."""
        self._texts.pop(item, None)

    def _known(self, item: str) -> ReusableText | None:
        known = self._texts.get(item)
        return known.to_reusable() if isinstance(known, _ResultText) else known


def _holds_more(progress: ItemProgress, known: ReusableText) -> bool:
    """Whether progress holds more text than is known, or more score failures of the same text."""
    if known.whole:
        same_text = progress.whole and progress.events == known.events
        more_tries = progress.score_failures > known.score_failures
        return same_text and not known.score and more_tries
    return progress.whole or len(known.events) < len(progress.events)
