"""Which gateways are in touch: promises with a bound in time are made for these only."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from datetime import UTC, datetime

SETTLED_SECONDS = 3.0
"""How long gateway and store must have been without trouble to count as in touch."""

STORE = "store"
SOAK = "soak"
"""The process that runs the store and the workers: while it stalls, the store doesn't answer."""


class TouchRecord:
    """Troubles of gateways, of the store and of the soak, as whoever injects them notes them."""

    def __init__(self) -> None:
        self._under_way: dict[str, set[str]] = defaultdict(set)
        self._last: dict[str, float] = defaultdict(lambda: -math.inf)
        self.history: list[str] = []
        """A line for each trouble, with wall clock in UTC as in the gateways' logs."""

    def note(self, name: str, trouble: str) -> None:
        """Note what takes no time: a start, a kill, a signal to stop."""
        self._last[name] = time.monotonic()
        at = datetime.fromtimestamp(time.time(), UTC).strftime("%H:%M:%S.%f")
        self.history.append(f"{at} {name} {trouble}")

    def set(self, name: str, trouble: str, under_way: bool) -> None:
        """Note that a trouble begins, or is over."""
        self.note(name, f"{trouble} {'begins' if under_way else 'is over'}")
        if under_way:
            self._under_way[name].add(trouble)
        else:
            self._under_way[name].discard(trouble)

    def in_touch(self, gateway: str) -> bool:
        """Whether gateway, store and soak have had no trouble for long enough by now."""
        now = time.monotonic()
        return all(self.settled(name, now) for name in (gateway, STORE, SOAK))

    def settled(self, name: str, moment: float) -> bool:
        """Whether it had no trouble for long enough by a moment of the steady clock."""
        return not self._under_way[name] and moment - self._last[name] >= SETTLED_SECONDS
