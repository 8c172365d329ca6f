"""State of one worker as seen by this node. Pure.

Holds the worker's entry, the load it reported, the latency and failures of its answers, and how
long each of these stays valid. Listed workers are in `workers.table`; the choice among them is in
`workers.selection`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import StrEnum

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.speed import (
    PACE_VALID_SECONDS,
    BaselineLatency,
    SustainedPace,
    plausible_pace,
    seconds_at_pace,
)

LATENCY_SMOOTHING = 0.15
"""Weight of the newest sample in the smoothed latency."""

LATENCY_OUTLIER = 3.0
"""Samples are capped at this multiple of the smoothed latency, so that one pause weighs little."""

LATENCY_VALID_SECONDS = 9.0
"""Age up to which a latency is used; after that the worker counts as one of the fastest."""

LOAD_VALID_SECONDS = 1.5
"""Age up to which a reported load is used; after that, only this node's own requests count."""

CONNECTION_REUSE_SECONDS = 8.0
"""How long after an answer its connection is expected to stay open. Workers close idle connections
after ten seconds, clients after 8.5 s."""

FAILURE_BACKOFF_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""How long a worker is avoided after one, two, three, and four or more consecutive failures."""


class ReportKind(StrEnum):
    """Kind of a worker's last load report; the values are labels of a metric."""

    NONE = "none"
    OLD = "old"
    """The report is too old to be used."""
    LOAD = "load"
    PACED = "load_and_pace"


@dataclass(frozen=True, slots=True)
class WorkerAnnouncement:
    """A worker's entry in the platform's worker list.

    Attributes
    ----------
    worker
        Identity of the worker's incarnation. All state of a worker is kept by incarnation.
    versions
        Weight version by model, empty for workers without models.
    spot
        Whether the platform may reclaim its machine at short notice.
    cold_seconds
        How much longer it stays cold, as of when the entry was written.
    name
        Name under which its entry is listed, and which requests to it state; empty if that is
        `worker`. A restarted worker may have the same name.
    born_milliseconds
        When it started, in Unix time; None if its entry doesn't state it.
    """

    worker: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    versions: dict[str, int] = field(default_factory=dict)
    spot: bool = False
    cold_seconds: float = 0.0
    name: str = ""
    born_milliseconds: int | None = None

    @property
    def listed_as(self) -> str:
        """Return the name that its entry is listed under."""
        return self.name or self.worker


def incarnation_id(name: str, born_milliseconds: int | None) -> str:
    """Return the identity of a worker's incarnation: its name and, if known, its start time."""
    return name if born_milliseconds is None else f"{name}@{born_milliseconds}"


@dataclass(slots=True)
class Worker:
    """A listed worker and what this node has observed of it. Times are of the steady clock.

    Attributes
    ----------
    failures
        Consecutive failures.
    load_at
        When the load was received.
    sent_since_load, ended_since_load
        Requests of this node that were sent to it, and that ended, since `load_at`.
    uses_reported_pace
        Whether the pace that it reports is used.
    """

    announcement: WorkerAnnouncement
    last_seen_at: float
    in_flight: int = 0
    failures: int = 0
    suspect_until: float = -math.inf
    load: WorkerLoad | None = None
    load_at: float = -math.inf
    sent_since_load: int = 0
    ended_since_load: int = 0
    uses_reported_pace: bool = True
    latency: float | None = None
    """Smoothed time to a complete answer, or for engines to the next event, in seconds."""
    latency_at: float = -math.inf
    speed: BaselineLatency = field(default_factory=BaselineLatency)
    """Baseline latency of the machine; updated only if the worker reports a pace."""
    sustained_pace: SustainedPace = field(default_factory=SustainedPace)
    versions: dict[str, int] = field(default_factory=dict)
    """Version by model: the latest from its entry, reports and answers."""
    warm_until: float = -math.inf
    kept_connections: int = 0
    """Estimated number of open connections: the most concurrent requests since all were closed."""
    cold_until: float = -math.inf
    """Until when it can handle only few requests a second."""
    loading_until: dict[str, float] = field(default_factory=dict)
    """By model, until when it is expected to refuse requests because it loads weights."""

    def suspect(self, now: float) -> bool:
        """Whether it failed so recently that others should be tried first."""
        return now < self.suspect_until

    @property
    def half_open(self) -> bool:
        """Whether its last request failed and another one is in flight as a probe."""
        return self.failures > 0 and self.in_flight > 0

    def warm(self, now: float) -> bool:
        """Whether an idle connection to it is expected to be open for a repeatable request."""
        return now < self.warm_until and self.in_flight < self.kept_connections

    def record_connection(self, kept: bool, now: float) -> None:
        """Record whether the connection of a completed answer is kept open."""
        if now >= self.warm_until:
            self.kept_connections = 0
        if kept:
            self.kept_connections = max(self.kept_connections, self.in_flight + 1)
            self.warm_until = now + CONNECTION_REUSE_SECONDS

    def loading(self, model: str, now: float) -> bool:
        """Whether it is expected to refuse a model's requests because it loads weights."""
        return now < self.loading_until.get(model, -math.inf)

    @property
    def reports_pace(self) -> bool:
        """Whether its last load report included a pace."""
        return self.load is not None and self.load.pace is not None

    def report_kind(self, now: float) -> ReportKind:
        """Return the kind of its last load report."""
        if self.load is None:
            return ReportKind.NONE
        if self.recent_load(now) is None:
            return ReportKind.OLD
        return ReportKind.PACED if self.reports_pace else ReportKind.LOAD

    def recent_load(self, now: float) -> WorkerLoad | None:
        """Return the last reported load, None if there is none or it is too old."""
        return self.load if now - self.load_at <= LOAD_VALID_SECONDS else None

    def recent_pace(self, now: float) -> float | None:
        """Return the last reported pace, None if there is none or it is too old."""
        if self.load is None or now - self.load_at > PACE_VALID_SECONDS:
            return None
        return self.load.pace

    def occupancy(self, now: float) -> float:
        """Return its estimated requests per slot, running and waiting."""
        slots = max(1, self.announcement.slots)
        load = self.load
        if load is None or now - self.load_at > LOAD_VALID_SECONDS:
            return self.in_flight / slots
        reported = load.running + load.waiting + self.sent_since_load
        if load.pace is not None:
            reported -= self.ended_since_load
        return max(reported, self.in_flight) / slots

    def record_sent(self) -> None:
        """Count a request sent to it."""
        self.in_flight += 1
        self.sent_since_load += 1

    def record_ended(self) -> None:
        """Count a request that ended, whatever the outcome."""
        self.in_flight -= 1
        self.ended_since_load += 1

    def record_load(self, load: WorkerLoad | None, now: float) -> None:
        """Record the load that came with an answer, if one did."""
        if load is None:
            return
        if load.pace is not None:
            pace = plausible_pace(load.pace) if self.uses_reported_pace else None
            if pace != load.pace:
                load = replace(load, pace=pace)
        self.load = load
        self.load_at = now
        self.sent_since_load = 0
        self.ended_since_load = 0
        if load.pace is not None:
            self.sustained_pace.observe(load.pace, now)

    def recent_latency(self, now: float) -> float | None:
        """Return the usual latency of its answers or events, None if there are no recent ones.

        Returns
        -------
        float or None
            In seconds. For a worker that reports a pace, this is the baseline at the sustained
            pace; only `expected_seconds` considers the current pace.
        """
        if now - self.latency_at >= LATENCY_VALID_SECONDS:
            return None
        if self.reports_pace and self.speed.seconds is not None:
            return self.speed.seconds * self.sustained_pace.pace(now)
        return self.latency

    def expected_latency(self, now: float) -> float | None:
        """Return the expected latency of an answer that starts now, in seconds; None if unknown."""
        usual = self.recent_latency(now)
        if usual is None or now - self.load_at > PACE_VALID_SECONDS:
            return usual
        return self.expected_seconds(usual, now)

    def expected_seconds(self, work: float, now: float) -> float:
        """Return the expected duration of work that starts now and usually takes `work` seconds."""
        pace = self.recent_pace(now)
        if pace is None:
            return work
        seconds_left = PACE_VALID_SECONDS - (now - self.load_at)
        return seconds_at_pace(work, pace / self.sustained_pace.pace(now), seconds_left)

    def record_success(self, seconds: float, now: float) -> None:
        """Record the latency of an answer or event, and clear the failures."""
        if now - self.latency_at >= LATENCY_VALID_SECONDS:
            self.latency = None
            self.speed.forget()
        self.latency_at = now
        self.failures = 0
        self.suspect_until = -math.inf
        if self.reports_pace:
            pace = self.recent_pace(now) or self.sustained_pace.pace(now)
            self.speed.observe(seconds / pace, now)
        before = self.latency
        if before is None:
            self.latency = seconds
            return
        bounded = min(seconds, LATENCY_OUTLIER * before)
        self.latency = before + LATENCY_SMOOTHING * (bounded - before)

    def record_failure(self, now: float) -> None:
        """Record a failure: the worker is avoided for a time that grows with each one."""
        pause = FAILURE_BACKOFF_SECONDS[min(self.failures, len(FAILURE_BACKOFF_SECONDS) - 1)]
        self.failures += 1
        self.suspect_until = now + pause
