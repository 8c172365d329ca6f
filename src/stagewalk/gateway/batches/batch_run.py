"""One batch being run, and the instructions that record the results of its items.

Holds the items that have no result in the log yet; `item_run` holds each item's state.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.messages import RecordItem


@dataclass(slots=True)
class BatchRun:
    """A batch and its items that have no result in the log yet.

    Attributes
    ----------
    waits_since
        Since when items wait and none is at a worker (steady clock); any earlier time if not so.
    wait_reported
        Whether the current wait was reported.
    """

    batch: Batch
    items: dict[str, ItemRun] = field(default_factory=dict)
    waits_since: float = math.inf
    wait_reported: bool = False

    @property
    def name(self) -> str:
        """Return the batch's name."""
        return self.batch.header.batch

    @property
    def unpublished(self) -> Iterable[ItemRun]:
        """Return the items with text or score attempts that the log doesn't hold yet."""
        return (item for item in self.items.values() if item.unpublished and not item.recording)

    def progress(self, item: ItemRun) -> RecordItem:
        """Record an item's progress so far."""
        return RecordItem(item.publish_progress(self.name))

    def fail(self, item: ItemRun) -> RecordItem:
        """Record that an item failed."""
        item.recording = True
        return RecordItem(item.failure(self.name))

    def finish(self, item: ItemRun, score: str = "") -> RecordItem:
        """Record an item's text, with its score if it asks for one, as its result."""
        item.recording = True
        return RecordItem(item.result(self.name, score))
