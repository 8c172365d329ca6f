"""What is believed of one worker, and how old that is. Pure.

Owns a worker's entry, what this node has seen of its answers, and how long each of these counts.
Choosing among workers is `workers.selection`; which of them are listed, `workers.table`. Relies on
`workers.speed` for what is told of machines whose workers report a pace.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import StrEnum

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.speed import (
    PACE_VALID_SECONDS,
    LastingPace,
    OwnSpeed,
    plausible_pace,
    seconds_at_pace,
)

LATENCY_SMOOTHING = 0.15
"""Weight of the newest time in the smoothed latency."""

LATENCY_OUTLIER = 3.0
"""A time counts for at most this many smoothed ones: one pause says little of a worker's pace."""

LATENCY_VALID_SECONDS = 9.0
"""A worker that was not used for so long is tried again as if it were as fast as any."""

LOAD_VALID_SECONDS = 1.5
"""How long a load that came with an answer counts; after that, the node's own count alone."""

CONNECTION_REUSE_SECONDS = 8.0
"""How long after an answer its connection is expected to be kept: workers close those that idle for
ten seconds, and clients of them a little earlier (8.5 s)."""

FAILURE_BACKOFF_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""How long a worker is avoided after one, two, ... consecutive failures."""


class ReportKind(StrEnum):
    """What a worker said of its load last; the values are labels of a metric."""

    NONE = "none"
    OLD = "old"
    """A report that counts no more."""
    LOAD = "load"
    PACED = "load_and_pace"


@dataclass(frozen=True, slots=True)
class WorkerAnnouncement:
    """What the platform's list says of a worker.

    Attributes
    ----------
    worker
        Identity of this start of the worker: all that is kept of a worker is kept by start.
    versions
        Weight version by model, empty for workers without models.
    spot
        Whether the platform may take it away at short notice.
    cold_seconds
        How much longer it stays cold, as of when this was written.
    name
        What its entry is listed under, and what it answers to; empty if that is `worker`. It may
        be the same after a start.
    born_milliseconds
        When it started, in Unix time; None if it doesn't say.
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
        """Return what its entry is listed under."""
        return self.name or self.worker


def incarnation_id(name: str, born_milliseconds: int | None) -> str:
    """Return the identity of a worker's start: of its name alone where it doesn't say when."""
    return name if born_milliseconds is None else f"{name}@{born_milliseconds}"


@dataclass(slots=True)
class Worker:
    """A listed worker with what this node has seen of it. Times are of the steady clock.

    Attributes
    ----------
    failures
        Consecutive failures.
    load_at
        When the load was received.
    sent_since_load, ended_since_load
        Requests that this node sent to it since then, and that ended there.
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
    """Smoothed time to a whole answer, of engines to the next event, in seconds."""
    latency_at: float = -math.inf
    speed: OwnSpeed = field(default_factory=OwnSpeed)
    """The machine's own, of a worker that reports a pace."""
    lasting_pace: LastingPace = field(default_factory=LastingPace)
    versions: dict[str, int] = field(default_factory=dict)
    """Version by model: the newest evidence of the list, reports and answers."""
    warm_until: float = -math.inf
    kept_connections: int = 0
    """Most requests at a time that it had while its connections were kept."""
    cold_until: float = -math.inf
    """Until when it is known to withstand few requests a second."""
    loading_until: dict[str, float] = field(default_factory=dict)
    """By model, until when it is expected to refuse requests while it loads weights."""

    def suspect(self, now: float) -> bool:
        """Whether it failed so lately that others should be tried first."""
        return now < self.suspect_until

    @property
    def half_open(self) -> bool:
        """Whether it failed last, and a request that may show it sound again is under way."""
        return self.failures > 0 and self.in_flight > 0

    def warm(self, now: float) -> bool:
        """Whether a repeatable request needs no new connection to it, as far as that is known."""
        return now < self.warm_until and self.in_flight < self.kept_connections

    def record_connection(self, kept: bool, now: float) -> None:
        """Record whether the connection of a whole answer is kept."""
        if now >= self.warm_until:
            self.kept_connections = 0
        if kept:
            self.kept_connections = max(self.kept_connections, self.in_flight + 1)
            self.warm_until = now + CONNECTION_REUSE_SECONDS

    def loading(self, model: str, now: float) -> bool:
        """Whether it is expected to refuse a model's requests while it loads weights."""
        return now < self.loading_until.get(model, -math.inf)

    @property
    def reports_pace(self) -> bool:
        """Whether its last report said how long work takes there at the moment."""
        return self.load is not None and self.load.pace is not None

    def report_kind(self, now: float) -> ReportKind:
        """Return what kind of report is known of it."""
        if self.load is None:
            return ReportKind.NONE
        if self.recent_load(now) is None:
            return ReportKind.OLD
        return ReportKind.PACED if self.reports_pace else ReportKind.LOAD

    def recent_load(self, now: float) -> WorkerLoad | None:
        """Return the load that it reported of late, None if it reported none or that is old."""
        return self.load if now - self.load_at <= LOAD_VALID_SECONDS else None

    def recent_pace(self, now: float) -> float | None:
        """Return the pace of the moment, None if it reported none or that is old."""
        if self.load is None or now - self.load_at > PACE_VALID_SECONDS:
            return None
        return self.load.pace

    def occupancy(self, now: float) -> float:
        """Return the requests it is believed to have, running and waiting, per slot."""
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
        """Count a request that ended there, however it did."""
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
            self.lasting_pace.observe(load.pace, now)

    def recent_latency(self, now: float) -> float | None:
        """Return the time that its answers or events usually take, None if none is known of late.

        Returns
        -------
        float or None
            In seconds; of a worker that reports its pace the machine's own, at the pace that lasts:
            the pace of the moment is in `expected_seconds`.
        """
        if now - self.latency_at >= LATENCY_VALID_SECONDS:
            return None
        if self.reports_pace and self.speed.seconds is not None:
            return self.speed.seconds * self.lasting_pace.pace(now)
        return self.latency

    def expected_latency(self, now: float) -> float | None:
        """Return how long an answer begun now is expected to take, in seconds; None if unknown."""
        usual = self.recent_latency(now)
        if usual is None or now - self.load_at > PACE_VALID_SECONDS:
            return usual
        return self.expected_seconds(usual, now)

    def expected_seconds(self, work: float, now: float) -> float:
        """Return how long work takes that begins now and usually takes `work` seconds there."""
        pace = self.recent_pace(now)
        if pace is None:
            return work
        seconds_left = PACE_VALID_SECONDS - (now - self.load_at)
        return seconds_at_pace(work, pace / self.lasting_pace.pace(now), seconds_left)

    def record_success(self, seconds: float, now: float) -> None:
        """Record the seconds that an answer or event took; clear its failures."""
        if now - self.latency_at >= LATENCY_VALID_SECONDS:
            self.latency = None
            self.speed.forget()
        self.latency_at = now
        self.failures = 0
        self.suspect_until = -math.inf
        if self.reports_pace:
            pace = self.recent_pace(now) or self.lasting_pace.pace(now)
            self.speed.observe(seconds / pace, now)
        before = self.latency
        if before is None:
            self.latency = seconds
            return
        bounded = min(seconds, LATENCY_OUTLIER * before)
        self.latency = before + LATENCY_SMOOTHING * (bounded - before)

    def record_failure(self, now: float) -> None:
        """Record a failure: avoid it for a while, longer with each consecutive one."""
        pause = FAILURE_BACKOFF_SECONDS[min(self.failures, len(FAILURE_BACKOFF_SECONDS) - 1)]
        self.failures += 1
        self.suspect_until = now + pause
