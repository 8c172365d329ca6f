"""One batch being run: what is left of its items."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.ledger import Batch
from stagewalk.gateway.batches.messages import RecordItem


@dataclass(slots=True)
class BatchRun:
    """A batch and its items that have no result in the log yet."""

    batch: Batch
    items: dict[str, ItemRun] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return the batch's name."""
        return self.batch.header.batch

    @property
    def unpublished(self) -> Iterable[ItemRun]:
        """Return the items of which the log lacks something one could go on from."""
        return (item for item in self.items.values() if item.unpublished and not item.recording)

    def progress(self, item: ItemRun) -> RecordItem:
        """Have the log told what was made of an item."""
        return RecordItem(item.publish_progress(self.name))

    def fail(self, item: ItemRun) -> RecordItem:
        """Give an item up."""
        item.recording = True
        return RecordItem(item.failure(self.name))

    def finish(self, item: ItemRun, score: str = "") -> RecordItem:
        """Record an item's text, and its score if it asks for one, as its result."""
        item.recording = True
        return RecordItem(item.result(self.name, score))
