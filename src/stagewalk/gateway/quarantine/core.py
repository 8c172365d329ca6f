"""Crash records of all nodes, as known to one node, and the contents quarantined by them. Pure.

`quarantine.hold_rule` determines how many crashes quarantine a content, and for how long.
`nodes.crash_watch` supplies the records.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.hold_rule import (
    crashes_needed,
    hold_duration_seconds,
    retention_seconds,
    with_jitter,
)
from stagewalk.gateway.quarantine.records import CrashRecord

MAXIMUM_CRASH_RECORDS = 2048
"""Maximum number of crash records in memory, of 0.65 KB each."""

KEPT_CRASHES = MAXIMUM_CRASH_RECORDS * 7 // 8
"""Number of records kept by an eviction. It evicts many at once because it sorts all contents."""


@dataclass(slots=True)
class _Suspect:
    """Crashes of one content, by the incarnation of the worker that crashed."""

    crashes: dict[str, CrashRecord] = field(default_factory=dict)
    consecutive: int = 0
    newest_milliseconds: int = 0

    def refresh(self) -> None:
        self.consecutive = max((crash.consecutive for crash in self.crashes.values()), default=0)
        times = (crash.at_milliseconds for crash in self.crashes.values())
        self.newest_milliseconds = max(times, default=0)

    @property
    def newest_at_seconds(self) -> float:
        return self.newest_milliseconds / 1000.0

    @property
    def has_one_address(self) -> bool:
        return len({crash.address for crash in self.crashes.values()}) == 1


@dataclass(frozen=True, slots=True)
class QuarantinedContent:
    """A quarantined content, as shown to operators.

    Attributes
    ----------
    level
        Consecutive crashes.
    seconds_left
        Time until this node may send it again.
    """

    content: str
    level: int
    route: str
    workers: tuple[str, ...]
    seconds_left: float


class CrashHistory:
    """Crash records by content; decides which contents are quarantined.

    Parameters
    ----------
    node
        This node's name, which determines its jitter.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._suspects: dict[str, _Suspect] = {}
        self._count = 0

    @property
    def any(self) -> bool:
        """Whether there are any crash records. If not, no request needs a digest."""
        return bool(self._suspects)

    @property
    def count(self) -> int:
        """Return the number of crash records."""
        return self._count

    def __contains__(self, digest: object) -> bool:
        """Whether there are crash records of the content with a digest."""
        return digest in self._suspects

    def consecutive_crashes(self, content: RequestContent) -> int:
        """Return the number of known consecutive crashes of a content."""
        if not self._suspects:
            return 0
        suspect = self._suspects.get(content.digest)
        return 0 if suspect is None else suspect.consecutive

    def crashes(self, content: RequestContent) -> list[CrashRecord]:
        """Return the known crashes of a content."""
        suspect = self._suspects.get(content.digest)
        return [] if suspect is None else list(suspect.crashes.values())

    def held(self, content: RequestContent, unix_seconds: float, *, item: bool = False) -> bool:
        """Whether a content is quarantined, and must not be sent to any worker now.

        Parameters
        ----------
        item
            Whether the request is an item of a batch.
        """
        if not self._suspects:
            return False
        suspect = self._suspects.get(content.digest)
        if suspect is None or not _threshold_reached(suspect, item):
            return False
        return unix_seconds < self._held_until(content.digest, suspect, item)

    def quarantined_contents(self, unix_seconds: float) -> list[QuarantinedContent]:
        """Return the contents that are quarantined now."""
        return [
            QuarantinedContent(
                content,
                suspect.consecutive,
                next(iter(suspect.crashes.values())).route,
                tuple(sorted(suspect.crashes)),
                self._held_until(content, suspect, item=False) - unix_seconds,
            )
            for content, suspect in sorted(self._suspects.items())
            if _threshold_reached(suspect, item=False)
            and unix_seconds < self._held_until(content, suspect, item=False)
        ]

    def add(self, crash: CrashRecord) -> bool:
        """Add a crash; return whether it is the one that quarantines its content."""
        suspect = self._suspects.setdefault(crash.content, _Suspect())
        before = _threshold_reached(suspect, item=False)
        self._count += crash.worker not in suspect.crashes
        suspect.crashes[crash.worker] = crash
        suspect.refresh()
        self._evict()
        return _threshold_reached(suspect, item=False) and not before

    def drop(self, key: str) -> None:
        """Remove a crash by the key of its record."""
        content = key.split("/")[1] if key.count("/") == 2 else ""
        suspect = self._suspects.get(content)
        if suspect is None:
            return
        gone = [w for w, crash in suspect.crashes.items() if crash.key == key]
        for worker in gone:
            del suspect.crashes[worker]
            self._count -= 1
        suspect.refresh()
        if not suspect.crashes:
            del self._suspects[content]

    def clear(self, content: str) -> list[CrashRecord]:
        """Remove and return all crashes of a content."""
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
        """Remove and return expired crashes, so that their records can be deleted from the log.

        Expiry is jittered by node, so that usually one node deletes the records for all.
        """
        expired_contents = [
            content
            for content, suspect in self._suspects.items()
            if unix_seconds
            > suspect.newest_at_seconds
            + self._with_jitter(content, self._retention_seconds(suspect))
        ]
        return [crash for content in expired_contents for crash in self.clear(content)]

    def _held_until(self, content: str, suspect: _Suspect, item: bool) -> float:
        seconds = hold_duration_seconds(suspect.consecutive - _needed_crashes(suspect, item))
        return suspect.newest_at_seconds + self._with_jitter(content, seconds)

    def _with_jitter(self, content: str, seconds: float) -> float:
        return with_jitter(seconds, f"{self._node}/{content}")

    @staticmethod
    def _retention_seconds(suspect: _Suspect) -> float:
        return retention_seconds(suspect.consecutive - _needed_crashes(suspect, item=False))

    def _evict(self) -> None:
        """Evict contents if there are too many records: unquarantined first, then by age."""
        if self._count <= MAXIMUM_CRASH_RECORDS:
            return
        for content in sorted(self._suspects, key=self._eviction_priority):
            if self._count <= KEPT_CRASHES:
                return
            self.clear(content)

    def _eviction_priority(self, content: str) -> tuple[bool, int]:
        suspect = self._suspects[content]
        return _threshold_reached(suspect, item=False), suspect.newest_milliseconds


def _needed_crashes(suspect: _Suspect, item: bool) -> int:
    return crashes_needed(has_one_address=suspect.has_one_address, item=item)


def _threshold_reached(suspect: _Suspect, item: bool) -> bool:
    return suspect.consecutive >= _needed_crashes(suspect, item)
