"""The text of items made so far, which a later run of the same item goes on from.

Owns, by item, the text of the batch that had the most of it: items return under the same id in
a later batch if their group was not whole. Relies on `ledger` for records and for when to forget.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from stagewalk.gateway.batches.records import BatchItem, ItemFinished, ItemProgress

EVENT_SEPARATOR = "\n"
"""Between the events of a text."""


@dataclass(frozen=True, slots=True)
class ReusableText:
    """Text of an item, whole or so far.

    Attributes
    ----------
    spec
        The item as it was when the text was made.
    versions
        Weight versions that made it.
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


ReusableTextLookup = Callable[[BatchItem], ReusableText | None]
"""Finds what was made of an item before, None if nothing was."""


@dataclass(frozen=True, slots=True)
class _Listed:
    """The text of a listed result: cut into events only where an item goes on from it.

    Results are most of what a ledger holds, so their text must not be there a second time.
    """

    spec: BatchItem
    result: ItemFinished

    def cut(self) -> ReusableText:
        """Return the text as it is reused."""
        events = tuple(self.result.text.split(EVENT_SEPARATOR))
        return ReusableText(
            self.spec, events, self.result.versions, whole=True, score=self.result.score
        )


class ReusableTexts:
    """The most that is known of each item's text."""

    def __init__(self) -> None:
        self._texts: dict[str, ReusableText | _Listed] = {}

    def find(self, item: BatchItem) -> ReusableText | None:
        """Return what was made of the same item before, in this batch or an earlier one.

        A score belongs to one call: an item that returns with another one is scored anew.
        """
        known = self._known(item.item)
        if known is None or (known.spec.path, known.spec.body) != (item.path, item.body):
            return None
        if known.spec.score_call != item.score_call:
            return replace(known, score="", score_failures=0)
        return known

    def apply_result(self, spec: BatchItem, result: ItemFinished) -> None:
        """Set the text of a result that succeeded."""
        self._texts[spec.item] = _Listed(spec, result)

    def apply_progress(self, spec: BatchItem, progress: ItemProgress) -> None:
        """Set the text made so far, unless more is known already."""
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
        return known.cut() if isinstance(known, _Listed) else known


def _holds_more(progress: ItemProgress, known: ReusableText) -> bool:
    """Whether progress holds more than what is known: more text, or more tries at its score."""
    if known.whole:
        same_text = progress.whole and progress.events == known.events
        more_tries = progress.score_failures > known.score_failures
        return same_text and not known.score and more_tries
    return progress.whole or len(known.events) < len(progress.events)
