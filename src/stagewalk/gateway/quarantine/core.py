"""Which requests crash the workers that run them, as far as one node knows. Pure.

Owns the crash records of each content, of this node and of others, and which contents are held back
now. Relies on `quarantine.hold_rule` for how many crashes it takes and for how long a content is
held back; `nodes.crash_watch` supplies the records.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.hold_rule import (
    crashes_needed,
    hold_seconds,
    jittered,
    remembered_seconds,
)
from stagewalk.gateway.quarantine.records import CrashRecord

MAXIMUM_CRASH_RECORDS = 2048
"""Crash records remembered: of 0.65 KB each."""

KEPT_CRASHES = MAXIMUM_CRASH_RECORDS * 7 // 8
"""How many of them stay once there are more: making room for one would sort all for each."""


@dataclass(slots=True)
class _Suspect:
    """Crashes of one content, by the start of the worker that ended."""

    crashes: dict[str, CrashRecord] = field(default_factory=dict)
    consecutive: int = 0
    newest_milliseconds: int = 0

    def renew(self) -> None:
        self.consecutive = max((crash.consecutive for crash in self.crashes.values()), default=0)
        times = (crash.at_milliseconds for crash in self.crashes.values())
        self.newest_milliseconds = max(times, default=0)

    @property
    def newest_seconds(self) -> float:
        return self.newest_milliseconds / 1000.0

    @property
    def one_address(self) -> bool:
        return len({crash.address for crash in self.crashes.values()}) == 1


@dataclass(frozen=True, slots=True)
class QuarantinedContent:
    """A request that is held back, for operators.

    Attributes
    ----------
    level
        Consecutive crashes.
    seconds_left
        Until this node runs it once more.
    """

    content: str
    level: int
    route: str
    workers: tuple[str, ...]
    seconds_left: float


class CrashHistory:
    """The contents that workers ended under, and whether each is held back.

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
        """Return the number of crash records remembered."""
        return self._count

    def __contains__(self, digest: object) -> bool:
        """Whether any crash is remembered of the content of a digest."""
        return digest in self._suspects

    def consecutive_crashes(self, content: RequestContent) -> int:
        """Return the number of consecutive crashes known of a content."""
        if not self._suspects:
            return 0
        suspect = self._suspects.get(content.digest)
        return 0 if suspect is None else suspect.consecutive

    def crashes(self, content: RequestContent) -> list[CrashRecord]:
        """Return the crashes known of a content."""
        suspect = self._suspects.get(content.digest)
        return [] if suspect is None else list(suspect.crashes.values())

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

    def quarantined_contents(self, unix_seconds: float) -> list[QuarantinedContent]:
        """Return what is held back now."""
        return [
            QuarantinedContent(
                content,
                suspect.consecutive,
                next(iter(suspect.crashes.values())).route,
                tuple(sorted(suspect.crashes)),
                self._held_until(content, suspect, item=False) - unix_seconds,
            )
            for content, suspect in sorted(self._suspects.items())
            if _reached(suspect, item=False)
            and unix_seconds < self._held_until(content, suspect, item=False)
        ]

    def add(self, crash: CrashRecord) -> bool:
        """Record a crash; return whether its content is held back from now on because of it."""
        suspect = self._suspects.setdefault(crash.content, _Suspect())
        before = _reached(suspect, item=False)
        self._count += crash.worker not in suspect.crashes
        suspect.crashes[crash.worker] = crash
        suspect.renew()
        self._forget_oldest()
        return _reached(suspect, item=False) and not before

    def drop(self, key: str) -> None:
        """Forget a crash, by the key of its record."""
        content = key.split("/")[1] if key.count("/") == 2 else ""
        suspect = self._suspects.get(content)
        if suspect is None:
            return
        gone = [w for w, crash in suspect.crashes.items() if crash.key == key]
        for worker in gone:
            del suspect.crashes[worker]
            self._count -= 1
        suspect.renew()
        if not suspect.crashes:
            del self._suspects[content]

    def clear(self, content: str) -> list[CrashRecord]:
        """Forget all crashes of a content; return them."""
        suspect = self._suspects.pop(content, None)
        if suspect is None:
            return []
        self._count -= len(suspect.crashes)
        return list(suspect.crashes.values())

    def replace(self, crashes: Iterable[CrashRecord]) -> None:
        """Replace all crashes."""
        self._suspects.clear()
        self._count = 0
        for crash in crashes:
            self.add(crash)

    def expired(self, unix_seconds: float) -> list[CrashRecord]:
        """Forget what no longer matters; return it, for its records to be dropped.

        Nodes forget at different times: the first one drops the records, which spares the others
        the same call.
        """
        faded = [
            content
            for content, suspect in self._suspects.items()
            if unix_seconds
            > suspect.newest_seconds + self._jittered(content, self._remembered_seconds(suspect))
        ]
        return [crash for content in faded for crash in self.clear(content)]

    def _held_until(self, content: str, suspect: _Suspect, item: bool) -> float:
        seconds = hold_seconds(suspect.consecutive - _needed_crashes(suspect, item))
        return suspect.newest_seconds + self._jittered(content, seconds)

    def _jittered(self, content: str, seconds: float) -> float:
        return jittered(seconds, f"{self._node}/{content}")

    @staticmethod
    def _remembered_seconds(suspect: _Suspect) -> float:
        return remembered_seconds(suspect.consecutive - _needed_crashes(suspect, item=False))

    def _forget_oldest(self) -> None:
        """Make room: contents that are not held back go first, the oldest of them before others."""
        if self._count <= MAXIMUM_CRASH_RECORDS:
            return
        for content in sorted(self._suspects, key=self._worth_keeping):
            if self._count <= KEPT_CRASHES:
                return
            self.clear(content)

    def _worth_keeping(self, content: str) -> tuple[bool, int]:
        suspect = self._suspects[content]
        return _reached(suspect, item=False), suspect.newest_milliseconds


def _needed_crashes(suspect: _Suspect, item: bool) -> int:
    return crashes_needed(one_address=suspect.one_address, item=item)


def _reached(suspect: _Suspect, item: bool) -> bool:
    return suspect.consecutive >= _needed_crashes(suspect, item)
