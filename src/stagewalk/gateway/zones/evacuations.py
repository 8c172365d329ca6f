"""Zones under evacuation, as requested by operators. Pure.

Each evacuation is a record with its own key, published like the configuration; it ends when the key
is removed. All nodes apply the same records.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

ZoneListener = Callable[[str, float], None]
"""Called with a zone, and the steady time at which its record was applied."""


class Evacuations:
    """The zones under evacuation that this node knows of; notifies listeners of changes."""

    def __init__(self) -> None:
        self._zones: frozenset[str] = frozenset()
        self._begin_listeners: list[ZoneListener] = []
        self._end_listeners: list[ZoneListener] = []

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones under evacuation."""
        return self._zones

    def listen(self, on_begin: ZoneListener, on_end: ZoneListener) -> None:
        """Add listeners that are called for each evacuation that begins or ends."""
        self._begin_listeners.append(on_begin)
        self._end_listeners.append(on_end)

    def apply(self, zone: str, in_force: bool, now: float) -> None:
        """Apply the record of one zone."""
        self.replace(self._zones | {zone} if in_force else self._zones - {zone}, now)

    def replace(self, zones: Collection[str], now: float) -> None:
        """Replace the complete set of zones under evacuation."""
        before, self._zones = self._zones, frozenset(zones)
        for zone in sorted(self._zones - before):
            for begin in self._begin_listeners:
                begin(zone, now)
        for zone in sorted(before - self._zones):
            for end in self._end_listeners:
                end(zone, now)
