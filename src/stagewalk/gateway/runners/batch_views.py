"""Tracks how old the view of each batch run here is, and whether its items may start or be sent.

Owns the partial views of batches begun ahead of this node's own view, and since when a batch is
suspended. Relies on `batches.view_lease` for the bounds, and on the batch store for the own view.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.view_lease import maximum_view_age, maximum_view_age_at_send
from stagewalk.gateway.ports.denials import Denial

FOLLOW_INTERVAL_SECONDS = 0.25
"""How often a partial view is brought up to date."""


@dataclass(frozen=True, slots=True)
class _Ahead:
    partial: PartialLedger
    epoch: int


class BatchViews:
    """The views that show whether batches run here are still open.

    Parameters
    ----------
    batch_end_seconds
        Returns how long after a batch's end was acknowledged its items may still reach workers.
    """

    def __init__(self, store: BatchStore, batch_end_seconds: Callable[[], float]) -> None:
        self._store = store
        self._batch_end_seconds = batch_end_seconds
        self._ahead: dict[str, _Ahead] = {}
        self._suspended_at: dict[str, float] = {}

    def begin_ahead(self, batch: str, partial: PartialLedger, epoch: int) -> None:
        """Add a batch that is run from a partial view, before this node's own view shows it."""
        self._ahead[batch] = _Ahead(partial, epoch)

    def drop(self, batch: str) -> None:
        """Forget a batch that is no longer run here."""
        self._ahead.pop(batch, None)
        self._suspended_at.pop(batch, None)

    def ahead_epoch(self, batch: str) -> int | None:
        """Return the epoch of a batch that was begun ahead of this node's view; None for others."""
        ahead = self._ahead.get(batch)
        return None if ahead is None else ahead.epoch

    def ahead_batch(self, batch: str) -> Batch | None:
        """Return a batch as its partial view shows it; None for others."""
        ahead = self._ahead.get(batch)
        return None if ahead is None else ahead.partial.ledger.get(batch)

    def read_from(self, batch: str) -> int:
        """Return the first offset of the view from which a batch was opened."""
        ahead = self._ahead.get(batch)
        return 0 if ahead is None else ahead.partial.first_offset

    def age(self, batch: str, now: float) -> float:
        """Return the age of the newest complete view that would show a batch's end, in seconds."""
        own = math.inf
        if self._store.ledger.get(batch) is not None:
            own = self._store.view_age(batch, now)
        ahead = self._ahead.get(batch)
        return own if ahead is None else min(own, now - ahead.partial.confirmed_at)

    def may_start(self, batch: str, now: float) -> bool:
        """Whether items of a batch may be sent to workers now."""
        return self.age(batch, now) <= maximum_view_age(self._batch_end_seconds())

    def may_send(self, batch: str, now: float) -> bool:
        """Whether an item that was started may reach a worker now."""
        return self.age(batch, now) <= maximum_view_age_at_send(self._batch_end_seconds())

    def denial(self, batch: str, now: float) -> Denial | None:
        """Return why an item that was started must not reach a worker now."""
        return None if self.may_send(batch, now) else Denial.VIEW_TOO_OLD

    async def follow(self, batch: str, on_lost: Callable[[str], None]) -> None:
        """Keep the partial view of a batch current, until this node's own view takes over.

        Parameters
        ----------
        on_lost
            Called with the batch if neither view will ever show it again: the partial one missed
            records that the log dropped, and the own one doesn't know the batch.
        """
        ahead = self._ahead.get(batch)
        while ahead is not None and self._ahead.get(batch) is ahead:
            now = steady_seconds()
            known = self._store.ledger.get(batch) is not None
            own = known and self._store.is_current(batch, now)
            if not own and now - ahead.partial.confirmed_at >= FOLLOW_INTERVAL_SECONDS:
                await ahead.partial.read()
            if ahead.partial.records_lost and not known:
                on_lost(batch)
                return
            await anyio.sleep(FOLLOW_INTERVAL_SECONDS)

    def log_changes(self, batches: Iterable[str], now: float) -> None:
        """Log batches whose items may no longer start, or may start again."""
        for batch in batches:
            suspended_at = self._suspended_at.get(batch)
            may_start = self.may_start(batch, now)
            if suspended_at is None and not may_start:
                self._suspended_at[batch] = now
                log_event("batch_suspended", "warning", batch=batch, view_age=self.age(batch, now))
            elif suspended_at is not None and may_start:
                del self._suspended_at[batch]
                log_event("batch_resumed", batch=batch, seconds=now - suspended_at)
