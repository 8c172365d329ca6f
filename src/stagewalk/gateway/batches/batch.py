"""The state of a batch derived from its log records.

Only `ledger` changes it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from stagewalk.gateway.batches.records import BatchHeader, BatchItem, ItemFinished

NO_RUNNER = ""
"""The runner of a batch that any node may claim."""


@dataclass(slots=True)
class Batch:
    """The state of a batch derived from its log records.

    Attributes
    ----------
    results
        In the order of their records: a result's index is its permanent position.
    listed
        Names of the items with a result.
    runner
        The process that runs the batch, `NO_RUNNER` after a release.
    epoch
        Number of claims so far.
    seen_at, ended_at
        When this node first saw the batch and its end, by the monotonic clock.
    first_offset
        Log offset of the first record of the submission in force.
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
    """Number of groups whose items all have a result."""
    _missing: Counter[str] = field(default_factory=Counter)
    """Number of items without a result, by group."""

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
        """Whether the trainer has all the groups that it waits for."""
        return not self.open or 0 < self.header.wanted_groups <= self.whole_groups

    @property
    def open(self) -> bool:
        """Whether any item is left to run."""
        return not self.ended and len(self.listed) < len(self.items)
