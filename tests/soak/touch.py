"""Which gateways are in touch: promises with a bound in time are made for these only."""

from __future__ import annotations

import math
import time
from collections import defaultdict

SETTLED_SECONDS = 3.0
"""How long gateway and store must have been without trouble to count as in touch."""

STORE = "store"


class TouchRecord:
    """Troubles of gateways and of the store, as whoever injects them notes them."""

    def __init__(self) -> None:
        self._under_way: dict[str, set[str]] = defaultdict(set)
        self._last: dict[str, float] = defaultdict(lambda: -math.inf)

    def note(self, name: str) -> None:
        """Note what takes no time: a start, a kill, a signal to stop."""
        self._last[name] = time.monotonic()

    def set(self, name: str, trouble: str, under_way: bool) -> None:
        """Note that a trouble begins, or is over."""
        self.note(name)
        if under_way:
            self._under_way[name].add(trouble)
        else:
            self._under_way[name].discard(trouble)

    def in_touch(self, gateway: str) -> bool:
        """Whether gateway and store have had no trouble for long enough by now."""
        return self._settled(gateway) and self._settled(STORE)

    def _settled(self, name: str) -> bool:
        quiet = time.monotonic() - self._last[name]
        return not self._under_way[name] and quiet >= SETTLED_SECONDS
