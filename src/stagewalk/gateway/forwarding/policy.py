"""Retry policy of a forwarded request: a pure state machine.

`ForwardedRequest` decides whether a request is retried, hedged, moved or given up. A request that
provably has not run may go to another worker; one that may have run is sent again only if its route
allows repeated runs. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from stagewalk.gateway.eligibility.retry_after import retry_after_seconds
from stagewalk.gateway.forwarding.hedging import hedge_delay
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerAnswer
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.workers.worker import Worker

HTTP_OK = 200
SERVER_ERROR = 500
SUCCESS_FROM = 200
SUCCESS_BELOW = 300

DEADLINE_RESERVE_SECONDS = 0.02
"""Subtracted from the deadline for the way of the answer to the caller; no attempt starts later.
Regions are 12 to 20 ms apart."""

MINIMUM_WORKER_SECONDS = 0.001
"""Minimum of the deadline sent to a worker, which keeps it positive."""


class Ending(StrEnum):
    """How a request ended without a worker's answer."""

    NOT_RUN = "not_run"
    """No worker has run it, and none will."""
    UNKNOWN = "unknown"
    """A worker may have run it."""
    DEADLINE_EXCEEDED = "out_of_time"
    """A worker may have run it, and its deadline has passed."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A request that ended without a worker's answer.

    Attributes
    ----------
    retry_after_seconds
        Suggested delay before the caller retries; None to suggest no retry.
    """

    ending: Ending
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class SelectionEvidence:
    """State of a worker when it was chosen.

    Attributes
    ----------
    occupancy
        Requests per slot.
    load_age
        Age in seconds of the last reported load, infinite if there is none.
    """

    occupancy: float
    load_age: float


def selection_evidence(worker: Worker, now: float) -> SelectionEvidence:
    """Return the state by which a worker is chosen now."""
    return SelectionEvidence(worker.occupancy(now), now - worker.load_at)


@dataclass(slots=True)
class ForwardedRequest:
    """State of a request's attempts. Times are of the steady clock.

    Attributes
    ----------
    deadline_at
        When the caller, or the route, stops waiting.
    started_at
        When the request arrived.
    tried
        Workers for which an attempt was started.
    evidence
        State of each of them when it was chosen, in the same order.
    attempts_used
        Attempts that count against the route's limit. Refused attempts count, attempts of which
        nothing was sent don't.
    """

    route: Route
    deadline_at: float
    started_at: float
    tried: list[str] = field(default_factory=list)
    evidence: list[SelectionEvidence] = field(default_factory=list)
    attempts_used: int = 0
    refused_attempts: int = 0
    """Attempts refused by workers since the request was last queued."""
    excluded: list[str] = field(default_factory=list)
    """Workers that are not chosen again: those tried since the request was last queued."""
    in_flight: int = 0
    may_have_run: bool = False
    answered_from: float | None = None
    """Start of the earliest attempt that a worker answered."""
    unanswered_from: float | None = None
    """Start of the first attempt that may have run but was not answered."""
    denied: Mapping[str, Denial] = field(default_factory=dict)
    """Denials by worker, as of the last choice of a worker."""
    content_denial: Denial | None = None
    """Why its content must not be sent to any worker, None if it may be."""
    answered: bool = False
    """Whether any attempt got a complete answer."""
    admission_retry_seconds: float | None = None
    """Retry delay for the caller if the service had no capacity, in seconds."""
    crash_suspected: bool = False
    """Whether workers crashed while running its content. If so, it is not hedged."""

    def started(self, worker: str, evidence: SelectionEvidence) -> None:
        """Record the start of an attempt at a worker."""
        self.tried.append(worker)
        self.excluded.append(worker)
        self.evidence.append(evidence)
        self.attempts_used += 1
        self.in_flight += 1

    def failed(self, failure: AttemptFailure) -> None:
        """Record the end of an attempt without an answer."""
        self.in_flight -= 1
        if failure.fault in (AttemptFault.NOT_SENT, AttemptFault.WITHHELD):
            self.attempts_used -= 1
        if failure.fault is AttemptFault.NOT_RUN:
            self.refused_attempts += 1
        if not failure.fault.proves_not_run:
            self.may_have_run = True

    @property
    def only_refused(self) -> bool:
        """Whether workers refused it and none has run it."""
        return self.refused_attempts > 0 and not self.may_have_run and self.in_flight == 0

    def requeued(self) -> None:
        """Record that it was queued again after refusals, which then count no longer."""
        self.attempts_used -= self.refused_attempts
        self.refused_attempts = 0
        self.excluded.clear()

    def record_run(self, began: float) -> None:
        """Record that a worker answered an attempt that started at `began`."""
        self.answered_from = began if self.answered_from is None else min(self.answered_from, began)

    def record_unanswered(self, began: float) -> None:
        """Record that an attempt that started at `began` may have run."""
        if self.unanswered_from is None:
            self.unanswered_from = began

    @property
    def run_started_at(self) -> float | None:
        """Return when a worker first ran it, None if none is known to have run it.

        An attempt that was answered is preferred to one that only may have run.
        """
        return self.unanswered_from if self.answered_from is None else self.answered_from

    def may_retry(self, now: float) -> bool:
        """Whether the deadline, the route and the attempt limit allow another attempt."""
        in_time = now < self.deadline_at - DEADLINE_RESERVE_SECONDS
        repeatable = self.route.repeatable or not self.may_have_run
        return in_time and repeatable and self.attempts_used < self.route.maximum_attempts

    def may_move(self, now: float) -> bool:
        """Whether the current attempt may be cancelled and resumed at another worker."""
        return self.route.resumable and self.route.repeatable and self.may_retry(now)

    def may_hedge(self, now: float) -> bool:
        """Whether a second attempt is allowed while one is in flight."""
        return (
            self.route.repeatable
            and not self.crash_suspected
            and self.in_flight == 1
            and self.may_retry(now)
        )

    def hedge_after(self, usual_latency: float | None) -> float:
        """Return after how many seconds without an answer the request is hedged."""
        return hedge_delay(self.route, usual_latency)

    def accepts(self, answer: WorkerAnswer, now: float) -> bool:
        """Whether an answer is final; after a server error another attempt may be allowed."""
        return self._accepts_status(answer.status, now)

    def accepts_end(self, status: int, now: float, *, begun: bool) -> bool:
        """Whether a worker's complete response to a streamed request is final.

        A caller that has received the head of a stream can only be sent the rest of its events.
        A response with another status ends that worker's attempt; it must not end the stream.

        Parameters
        ----------
        begun
            Whether the head of the stream was passed on to the caller.
        """
        if not begun:
            return self._accepts_status(status, now)
        self.may_have_run = True
        return status == HTTP_OK

    def _accepts_status(self, status: int, now: float) -> bool:
        if status < SERVER_ERROR:
            return True
        self.may_have_run = True
        return not self.may_retry(now)

    def deadline_denial(self, now: float) -> Denial | None:
        """Return the denial of a request whose deadline has passed, None before that.

        Checked just before sending, since the machine may have been suspended in between.
        """
        return Denial.DEADLINE_EXCEEDED if now >= self.deadline_at else None

    def worker_deadline_seconds(self, now: float) -> float:
        """Return how long a worker may work on it, in seconds."""
        return max(MINIMUM_WORKER_SECONDS, self.deadline_at - now - DEADLINE_RESERVE_SECONDS)

    def ending(self, now: float) -> Ending:
        """Return how it ends if there is no further answer."""
        if not self.may_have_run and self.in_flight == 0:
            return Ending.NOT_RUN
        over = now >= self.deadline_at - DEADLINE_RESERVE_SECONDS
        return Ending.DEADLINE_EXCEEDED if over else Ending.UNKNOWN

    def unanswered(self, ending: Ending) -> Unanswered:
        """Return how it ended, and the suggested retry delay."""
        if ending is not Ending.NOT_RUN:
            return Unanswered(ending)
        if self.admission_retry_seconds is not None:
            return Unanswered(ending, self.admission_retry_seconds)
        if self.content_denial is not None:
            denials = {self.content_denial}
        else:
            denials = set() if self.tried else set(self.denied.values())
        return Unanswered(ending, retry_after_seconds(denials))


def is_success(status: int) -> bool:
    """Whether a status is 2xx."""
    return SUCCESS_FROM <= status < SUCCESS_BELOW
