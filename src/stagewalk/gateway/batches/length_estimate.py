"""Estimates how many events an item still has to come. Pure.

Callers guess lengths in tokens, right in the median but often far off; how many tokens an event
carries is learnt from items that are done. Owns that ratio; relies on `item_run` for events and
guesses.
"""

from __future__ import annotations

from stagewalk.gateway.batches.item_run import ItemRun

DECAY_ITEMS = 200
"""How many items the ratio remembers: older ones fade."""

LONG_TAIL_SHARE = 0.5
"""An item that has outrun its guess is expected to go on for this part of what it has made:
the longer one has run, the longer it is likely to go on."""


class LengthEstimate:
    """Learns the ratio of events made to tokens guessed."""

    def __init__(self) -> None:
        self._events = 0.0
        self._guessed = 0.0

    def learn(self, item: ItemRun) -> None:
        """Update the ratio with an item that is done."""
        if item.spec.expected_length <= 0:
            return
        keep = 1.0 - 1.0 / DECAY_ITEMS
        self._events = self._events * keep + len(item.events)
        self._guessed = self._guessed * keep + item.spec.expected_length

    def events(self, item: ItemRun) -> float:
        """Return the number of events expected of an item: guessed, or known of an earlier run."""
        ratio = self._events / self._guessed if self._guessed > 0.0 else 1.0
        return max(float(item.known_events), item.spec.expected_length * ratio)

    def expected_left(self, item: ItemRun, tokens_per_event: float) -> float:
        """Return the number of events expected to come; by the guess alone before any was learnt.

        Parameters
        ----------
        tokens_per_event
            Tokens that an event of the item's engines carries.
        """
        if self._guessed > 0.0 or item.known_events:
            return self.events_left(item)
        tail = LONG_TAIL_SHARE * len(item.events)
        return max(tail, item.spec.expected_length / tokens_per_event - len(item.events))

    def events_left(self, item: ItemRun) -> float:
        """Return the number of events expected to come."""
        tail = LONG_TAIL_SHARE * len(item.events)
        if self._guessed <= 0.0 and not item.known_events:
            return tail
        return max(tail, self.events(item) - len(item.events))
