"""What is believed of one worker, and how old that is. Pure.

Owns a worker's entry, what this node has seen of its answers, and how long each of these counts.
Choosing among workers is `workers.selection`; which of them are listed, `workers.table`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.workers import WorkerLoad

LATENCY_SMOOTHING = 0.15
"""Weight of the newest time in the smoothed latency."""

LATENCY_OUTLIER = 3.0
"""A time counts for at most this many smoothed ones: one pause says little of a worker's pace."""

LATENCY_VALID_SECONDS = 9.0
"""A worker that was not used for so long is tried again as if it were as fast as any."""

LOAD_VALID_SECONDS = 1.5
"""How long a load that came with an answer counts; after that, the node's own count alone."""

WARM_SECONDS = 8.0
"""How long after an answer its connection is expected to be kept: workers close those that idle for
ten seconds, and clients of them a little earlier (8.5 s)."""

SUSPECT_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""How long a worker is avoided after one, two, ... consecutive failures."""


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


def start_identity(name: str, born_milliseconds: int | None) -> str:
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
    sent_since_load
        Requests that this node sent to it since then.
    """

    announcement: WorkerAnnouncement
    last_seen_at: float
    in_flight: int = 0
    failures: int = 0
    suspect_until: float = -math.inf
    load: WorkerLoad | None = None
    load_at: float = -math.inf
    sent_since_load: int = 0
    latency: float | None = None
    """Smoothed time to a whole answer, of engines to the next event, in seconds."""
    latency_at: float = -math.inf
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
    def on_trial(self) -> bool:
        """Whether it failed last, and a request that may show it sound again is under way."""
        return self.failures > 0 and self.in_flight > 0

    def warm(self, now: float) -> bool:
        """Whether a repeatable request needs no new connection to it, as far as that is known."""
        return now < self.warm_until and self.in_flight < self.kept_connections

    def note_connection(self, kept: bool, now: float) -> None:
        """Record whether the connection of a whole answer is kept."""
        if now >= self.warm_until:
            self.kept_connections = 0
        if kept:
            self.kept_connections = max(self.kept_connections, self.in_flight + 1)
            self.warm_until = now + WARM_SECONDS

    def loading(self, model: str, now: float) -> bool:
        """Whether it is expected to refuse a model's requests while it loads weights."""
        return now < self.loading_until.get(model, -math.inf)

    def occupancy(self, now: float) -> float:
        """Return the requests it is believed to have, running and waiting, per slot."""
        slots = max(1, self.announcement.slots)
        if self.load is None or now - self.load_at > LOAD_VALID_SECONDS:
            return self.in_flight / slots
        reported = self.load.running + self.load.waiting + self.sent_since_load
        return max(reported, self.in_flight) / slots

    def note_sent(self) -> None:
        """Count a request sent to it."""
        self.in_flight += 1
        self.sent_since_load += 1

    def note_ended(self) -> None:
        """Count a request that ended there, however it did."""
        self.in_flight -= 1

    def note_load(self, load: WorkerLoad | None, now: float) -> None:
        """Record the load that came with an answer, if one did."""
        if load is not None:
            self.load = load
            self.load_at = now
            self.sent_since_load = 0

    def recent_latency(self, now: float) -> float | None:
        """Return its smoothed latency in seconds, None if there is none of late."""
        return self.latency if now - self.latency_at < LATENCY_VALID_SECONDS else None

    def note_success(self, seconds: float, now: float) -> None:
        """Record the seconds that an answer or event took; clear its failures."""
        if now - self.latency_at >= LATENCY_VALID_SECONDS:
            self.latency = None
        self.latency_at = now
        self.failures = 0
        self.suspect_until = -math.inf
        before = self.latency
        if before is None:
            self.latency = seconds
            return
        bounded = min(seconds, LATENCY_OUTLIER * before)
        self.latency = before + LATENCY_SMOOTHING * (bounded - before)

    def note_failure(self, now: float) -> None:
        """Record a failure: avoid it for a while, longer with each consecutive one."""
        pause = SUSPECT_SECONDS[min(self.failures, len(SUSPECT_SECONDS) - 1)]
        self.failures += 1
        self.suspect_until = now + pause
