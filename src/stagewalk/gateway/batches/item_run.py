"""The state of one item between its start and its result, across attempts at several engines.

Owns the events held, the versions that made them, and what of it the log holds. Relies on the
scheduler to change it and on `records` for the stored forms.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from stagewalk.gateway.batches.prompt import UNKNOWN_PROMPT, Prompt
from stagewalk.gateway.batches.records import BatchItem, ItemFinished, ItemProgress
from stagewalk.gateway.batches.reusable_texts import EVENT_SEPARATOR
from stagewalk.gateway.quarantine.content import RequestContent

PACE_GAPS = 3
"""An engine's pace is the middle one of this many gaps between events: one pause is left out. Paces
that took in first events and pauses moved items 1,052 times on a quiet day."""

ITEM_METHOD = "POST"


def item_content(host: str, item: BatchItem) -> RequestContent:
    """Return what an engine's run of an item depends on: the same in any batch of the host."""
    return RequestContent(ITEM_METHOD, host, item.path, item.body)


@dataclass(slots=True)
class RunningAttempt:
    """An attempt under way. Times are of the steady clock."""

    attempt: int
    worker: str
    started_at: float
    last_event_at: float
    events_before: int
    """Events held already when it began."""
    begun: bool = False
    """Whether the engine has begun to answer."""
    version: int | None = None
    """Weight version that makes the next event."""
    gaps: deque[float] = field(default_factory=lambda: deque(maxlen=PACE_GAPS))

    def pace(self, gap: float) -> float | None:
        """Add the time since the last event; return the middle one of the last few.

        One pause (weights that load, a prompt that is read) says nothing of the pace.
        """
        self.gaps.append(gap)
        return sorted(self.gaps)[PACE_GAPS // 2] if len(self.gaps) == PACE_GAPS else None


@dataclass(slots=True)
class ItemRun:
    """What has been made of an item so far.

    Attributes
    ----------
    events
        Data of the events held, in order: event n is at index n - 1.
    versions
        Weight versions that made them, ascending.
    run_failures
        How often a worker ran it and said it failed.
    recording
        Whether its result is on its way to the log.
    published_events
        How many of its events the log holds.
    scoring_since
        When its text was whole and its score was first asked for; None before that.
    score_failures
        How often the service that scores said that it failed.
    published_score_failures
        What of that the log holds; None while the log does not hold the whole text.
    known_events
        Events made of it in an earlier batch, at least; 0 for an item that is new.
    withheld_since
        Since when no engine has had memory for it; None while it runs, or if one has.
    """

    spec: BatchItem
    content: RequestContent
    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    running: RunningAttempt | None = None
    not_before: float = -math.inf
    run_failures: int = 0
    recording: bool = False
    last_worker: str = ""
    published_events: int = 0
    moved_at: float = -math.inf
    scoring_since: float | None = None
    score_failures: int = 0
    published_score_failures: int | None = None
    known_events: int = 0
    prompt: Prompt = UNKNOWN_PROMPT
    withheld_since: float | None = None

    @classmethod
    def begin(cls, host: str, spec: BatchItem, prompt: Prompt = UNKNOWN_PROMPT) -> ItemRun:
        """Return an item of which nothing has been made, of a batch at a host."""
        return cls(spec, item_content(host, spec), prompt=prompt)

    @property
    def waiting(self) -> bool:
        """Whether it needs an attempt."""
        return self.running is None and not self.recording and not self.scoring

    @property
    def unbegun(self) -> bool:
        """Whether its engine has not begun to answer its attempt."""
        return self.running is not None and not self.running.begun

    @property
    def scoring(self) -> bool:
        """Whether its text is whole and its score is awaited."""
        return self.scoring_since is not None and not self.recording

    @property
    def unpublished(self) -> bool:
        """Whether the log lacks text or tries that a node which takes over would go on from."""
        if self.scoring:
            return self.published_score_failures != self.score_failures
        return len(self.events) > self.published_events

    def add_event(self, data: str) -> None:
        """Append the next event, made under the version its attempt is at."""
        assert self.running is not None
        self.events.append(data)
        version = self.running.version
        if version is not None and version not in self.versions:
            self.versions.append(version)
            self.versions.sort()

    def restart(self) -> None:
        """Drop the text made so far."""
        self.events = []
        self.versions = []

    def adopt(self, events: Sequence[str], versions: Sequence[int]) -> None:
        """Go on from text that was made before."""
        self.events = list(events)
        self.versions = sorted(versions)
        self.published_events = len(self.events)

    def publish_progress(self, batch: str) -> ItemProgress:
        """Return the record of what has been made so far; it counts as published."""
        self.published_events = len(self.events)
        if self.scoring:
            self.published_score_failures = self.score_failures
        return ItemProgress(
            batch,
            self.spec.item,
            tuple(self.events),
            tuple(self.versions),
            self.scoring,
            self.score_failures,
        )

    def result(self, batch: str, score: str = "") -> ItemFinished:
        """Return its succeeded result: text and score are one record."""
        text = EVENT_SEPARATOR.join(self.events)
        return ItemFinished(batch, self.spec.item, True, text, tuple(self.versions), score)

    def failure(self, batch: str) -> ItemFinished:
        """Return the result of an item that was given up."""
        return ItemFinished(batch, self.spec.item, False, "", ())
