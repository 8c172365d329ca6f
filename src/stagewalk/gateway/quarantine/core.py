"""Which requests crash the workers that run them, as far as one node knows. Pure.

A worker runs several requests as its process ends, and all of them lose it; a rack that loses power
ends many workers at once. So what counts is not how many ends a content was seen at, but how many
in a row: each level was sent when the level below was known, and nothing of that content ran whole
in between. A request that crashes whoever runs it climbs with each run; one that was only there
falls to nothing with its first answer.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.records import HIGHEST_LEVEL, CrashStrike

HELD_LEVEL = 3
"""Ends in a row after which a request is held back: the bound that users set on it."""

HELD_LEVEL_OF_ITEMS = 5
"""The same for an item of a batch, whose whole group is lost with it: within the three further runs
that users forgive."""

HELD_LEVEL_AT_ONE_ADDRESS = 5
"""The same where all ends were at one address: there may be something wrong with that worker, but a
service may also have only one."""

SUSPECT_SECONDS = 600.0
"""How long ends below the level count: a caller that comes back every few seconds, or minutes, is
found out; a request that lost a worker twice a day is not."""

FIRST_HOLD_SECONDS = 15.0
LATER_HOLD_SECONDS = 6 * 3600.0
LATER_HOLD_FACTOR = 4.0
"""A request that is held back is run once more soon, in case it was only unlucky: a
popular one is served again then (60 s in place of 15 s refused 2.9 times as many requests in
seeded losses of all workers). If that run crashes its worker too, the next comes after six hours,
then after a day."""

MOST_LATER_HOLDS = 4
"""After so many the length grows no more: 64 days."""

HOLD_SPREAD = 0.5
"""Nodes end a hold at different times within so much of its length, so that not all of them try at
once: the first one tells the others."""

MOST_STRIKES = 2048
"""Ends remembered, of 0.65 KB each as measured: 1.3 MB of the 64 MB that a node may use."""

KEPT_STRIKES = MOST_STRIKES * 7 // 8
"""How many stay once there are more: making room for one at a time would sort all for each."""


@dataclass(slots=True)
class _Suspect:
    """Ends of one content, by the start of the worker that ended."""

    strikes: dict[str, CrashStrike] = field(default_factory=dict)
    level: int = 0
    newest_milliseconds: int = 0

    def renew(self) -> None:
        self.level = max((strike.level for strike in self.strikes.values()), default=0)
        times = (strike.at_milliseconds for strike in self.strikes.values())
        self.newest_milliseconds = max(times, default=0)

    @property
    def newest_seconds(self) -> float:
        return self.newest_milliseconds / 1000.0

    @property
    def one_address(self) -> bool:
        return len({strike.address for strike in self.strikes.values()}) == 1


@dataclass(frozen=True, slots=True)
class HeldContent:
    """A request that is held back, for operators.

    Attributes
    ----------
    level
        Worker ends in a row.
    seconds_left
        Until this node runs it once more.
    """

    content: str
    level: int
    route: str
    workers: tuple[str, ...]
    seconds_left: float


class CrashSuspects:
    """The contents that workers ended under, and what follows for each.

    Parameters
    ----------
    node
        This node: nodes end a hold at different times.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._suspects: dict[str, _Suspect] = {}
        self._count = 0

    @property
    def any(self) -> bool:
        """Whether anything is known of any content: without that no request needs a digest."""
        return bool(self._suspects)

    @property
    def count(self) -> int:
        """Return the number of ends remembered."""
        return self._count

    def __contains__(self, digest: object) -> bool:
        """Whether any end is remembered of the content of a digest."""
        return digest in self._suspects

    def level(self, content: RequestContent) -> int:
        """Return how many worker ends in a row are known of a content."""
        if not self._suspects:
            return 0
        suspect = self._suspects.get(content.digest)
        return 0 if suspect is None else suspect.level

    def strikes(self, content: RequestContent) -> list[CrashStrike]:
        """Return the worker ends known of a content."""
        suspect = self._suspects.get(content.digest)
        return [] if suspect is None else list(suspect.strikes.values())

    def held(self, content: RequestContent, unix_seconds: float, *, item: bool = False) -> bool:
        """Whether a request must not be sent to any worker now.

        Parameters
        ----------
        item
            Whether it is an item of a batch.
        """
        if not self._suspects:
            return False
        suspect = self._suspects.get(content.digest)
        if suspect is None or not _reached(suspect, item):
            return False
        return unix_seconds < self._held_until(content.digest, suspect, item)

    def held_contents(self, unix_seconds: float) -> list[HeldContent]:
        """Return what is held back now."""
        return [
            HeldContent(
                content,
                suspect.level,
                next(iter(suspect.strikes.values())).route,
                tuple(sorted(suspect.strikes)),
                self._held_until(content, suspect, item=False) - unix_seconds,
            )
            for content, suspect in sorted(self._suspects.items())
            if _reached(suspect, item=False)
            and unix_seconds < self._held_until(content, suspect, item=False)
        ]

    def add(self, strike: CrashStrike) -> bool:
        """Take a strike; return whether it is what brought its content to be held back."""
        suspect = self._suspects.setdefault(strike.content, _Suspect())
        before = _reached(suspect, item=False)
        self._count += strike.worker not in suspect.strikes
        suspect.strikes[strike.worker] = strike
        suspect.renew()
        self._forget_oldest()
        return _reached(suspect, item=False) and not before

    def drop(self, key: str) -> None:
        """Take that a strike counts no more, by the key of its record."""
        content = key.split("/")[1] if key.count("/") == 2 else ""
        suspect = self._suspects.get(content)
        if suspect is None:
            return
        gone = [w for w, strike in suspect.strikes.items() if strike.key == key]
        for worker in gone:
            del suspect.strikes[worker]
            self._count -= 1
        suspect.renew()
        if not suspect.strikes:
            del self._suspects[content]

    def clear(self, content: str) -> list[CrashStrike]:
        """Forget all ends of a content; return them."""
        suspect = self._suspects.pop(content, None)
        if suspect is None:
            return []
        self._count -= len(suspect.strikes)
        return list(suspect.strikes.values())

    def replace(self, strikes: Iterable[CrashStrike]) -> None:
        """Take the whole list of strikes."""
        self._suspects.clear()
        self._count = 0
        for strike in strikes:
            self.add(strike)

    def expired(self, unix_seconds: float) -> list[CrashStrike]:
        """Forget what no longer matters; return it, for its records to be dropped.

        Nodes forget at different times: the first one drops the records, which spares the others
        the same call.
        """
        faded = [
            content
            for content, suspect in self._suspects.items()
            if unix_seconds
            > suspect.newest_seconds + self._spread(content, _remembered_seconds(suspect))
        ]
        return [strike for content in faded for strike in self.clear(content)]

    def _held_until(self, content: str, suspect: _Suspect, item: bool) -> float:
        seconds = hold_seconds(suspect.level - _needed_level(suspect, item))
        return suspect.newest_seconds + self._spread(content, seconds)

    def _spread(self, content: str, seconds: float) -> float:
        """Return a time that differs from node to node, up to half as long again."""
        share = zlib.crc32(f"{self._node}/{content}".encode()) / 2**32
        return seconds * (1.0 + HOLD_SPREAD * share)

    def _forget_oldest(self) -> None:
        """Make room: contents that are not held back go first, the oldest of them before others."""
        if self._count <= MOST_STRIKES:
            return
        for content in sorted(self._suspects, key=self._worth_keeping):
            if self._count <= KEPT_STRIKES:
                return
            self.clear(content)

    def _worth_keeping(self, content: str) -> tuple[bool, int]:
        suspect = self._suspects[content]
        return _reached(suspect, item=False), suspect.newest_milliseconds


def next_level(known: int) -> int:
    """Return the level of an end whose request was sent when some level was known."""
    return min(known + 1, HIGHEST_LEVEL)


def hold_seconds(further: int) -> float:
    """Return how long a request is held back after so many ends beyond those that it took."""
    if further <= 0:
        return FIRST_HOLD_SECONDS
    return LATER_HOLD_SECONDS * LATER_HOLD_FACTOR ** min(further - 1, MOST_LATER_HOLDS)


def _needed_level(suspect: _Suspect, item: bool) -> int:
    """Return how many ends in a row it takes for a content to be held back."""
    level = HELD_LEVEL_OF_ITEMS if item else HELD_LEVEL
    return max(level, HELD_LEVEL_AT_ONE_ADDRESS) if suspect.one_address else level


def _reached(suspect: _Suspect, item: bool) -> bool:
    return suspect.level >= _needed_level(suspect, item)


def _remembered_seconds(suspect: _Suspect) -> float:
    """Return how long a content's ends matter: twice as long as it may be held back for them."""
    further = suspect.level - _needed_level(suspect, item=False)
    return max(SUSPECT_SECONDS, 2.0 * (1.0 + HOLD_SPREAD) * hold_seconds(further))
