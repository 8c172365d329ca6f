"""Estimates how many events an item still has to generate. Pure.

Callers state expected lengths in tokens, which are right in the median but often far off. The ratio
of events to expected tokens is learned from completed items.
"""

from __future__ import annotations

from stagewalk.gateway.batches.item_run import ItemRun

DECAY_ITEMS = 200
"""Time constant, in items, of the ratio's exponential decay."""

LONG_TAIL_SHARE = 0.5
"""Lower bound of an item's remaining events, as a share of those it has generated: lengths have a
long tail, so an item longer than expected is likely to go on."""


class LengthEstimate:
    """Learns the ratio of generated events to expected tokens."""

    def __init__(self) -> None:
        self._events = 0.0
        self._guessed = 0.0

    def learn(self, item: ItemRun) -> None:
        """Update the ratio with a completed item."""
        if item.spec.expected_length <= 0:
            return
        keep = 1.0 - 1.0 / DECAY_ITEMS
        self._events = self._events * keep + len(item.events)
        self._guessed = self._guessed * keep + item.spec.expected_length

    def events(self, item: ItemRun) -> float:
        """Return an item's expected number of events, at least those of an earlier run."""
        ratio = self._events / self._guessed if self._guessed > 0.0 else 1.0
        return max(float(item.known_events), item.spec.expected_length * ratio)

    def expected_left(self, item: ItemRun, tokens_per_event: float) -> float:
        """Return the expected number of remaining events, also before the ratio is learned.

        Parameters
        ----------
        tokens_per_event
            Tokens in one event of the item's engines, used until the ratio is learned.
        """
        if self._guessed > 0.0 or item.known_events:
            return self.events_left(item)
        tail = LONG_TAIL_SHARE * len(item.events)
        return max(tail, item.spec.expected_length / tokens_per_event - len(item.events))

    def events_left(self, item: ItemRun) -> float:
        """Return the expected number of remaining events; only the tail before any is learned."""
        tail = LONG_TAIL_SHARE * len(item.events)
        if self._guessed <= 0.0 and not item.known_events:
            return tail
        return max(tail, self.events(item) - len(item.events))
