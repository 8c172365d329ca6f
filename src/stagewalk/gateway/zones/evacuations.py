"""The zones that operators evacuate. Pure.

Owns the zones being evacuated as far as this node knows, and calls listeners as one begins or ends.
An evacuation is a record under a key of its own beside the configuration, and ends as the key is
dropped: every node applies the same records, and learns of both as fast as of a configuration.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

ZoneListener = Callable[[str, float], None]
"""Called with a zone, and the steady time at which its record was applied."""


class Evacuations:
    """Zones being evacuated, as far as this node knows."""

    def __init__(self) -> None:
        self._zones: frozenset[str] = frozenset()
        self._on_begin: list[ZoneListener] = []
        self._on_end: list[ZoneListener] = []

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones being evacuated."""
        return self._zones

    def listen(self, on_begin: ZoneListener, on_end: ZoneListener) -> None:
        """Add listeners, called for each evacuation that begins or ends."""
        self._on_begin.append(on_begin)
        self._on_end.append(on_end)

    def apply(self, zone: str, in_force: bool, now: float) -> None:
        """Apply the record of one zone."""
        self.replace(self._zones | {zone} if in_force else self._zones - {zone}, now)

    def replace(self, zones: Collection[str], now: float) -> None:
        """Apply the whole list: a zone that is not in it is not evacuated any more."""
        before, self._zones = self._zones, frozenset(zones)
        for zone in sorted(self._zones - before):
            for begin in self._on_begin:
                begin(zone, now)
        for zone in sorted(before - self._zones):
            for end in self._on_end:
                end(zone, now)
