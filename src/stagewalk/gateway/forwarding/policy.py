"""Decides the attempts of one forwarded request: a pure state machine.

Owns the rules by which a request is retried, hedged, moved and given up, all methods of
`ForwardedRequest`: what has provably not run may go to another worker; what may have run is sent
again only if its route lets it run more than once. Inputs are the route, the deadline, and how each
attempt ended; times are seconds of the steady clock.
Relies on `forwarding.hedging` for when a worker is late, on `eligibility.retry_after` for when the
caller may retry. Where an attempt goes is `workers.selection`.
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

SERVER_ERROR = 500
SUCCESS_FROM = 200
SUCCESS_BELOW = 300

DEADLINE_RESERVE_SECONDS = 0.02
"""Taken off the time that a worker gets, since its answer has to travel back; no attempt begins
later. Regions are 12 to 20 ms apart."""

MINIMUM_WORKER_SECONDS = 0.001
"""Least time that a worker is given: keeps the deadline that it is sent positive."""


class Ending(StrEnum):
    """How a request ended without a worker's answer."""

    NOT_RUN = "not_run"
    """No worker ran it, and none will."""
    UNKNOWN = "unknown"
    """A worker may have run it."""
    DEADLINE_EXCEEDED = "out_of_time"
    """A worker may have run it, and its time is over."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A request without a worker's answer.

    Attributes
    ----------
    retry_after_seconds
        After how many seconds its caller may usefully send it again; None: nothing is known that
        speaks for a retry.
    """

    ending: Ending
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a worker was chosen by.

    Attributes
    ----------
    occupancy
        Requests per slot.
    load_age
        Age in seconds of the load that the worker reported last, infinite if it reported none.
    """

    occupancy: float
    load_age: float


def evidence_of(worker: Worker, now: float) -> Evidence:
    """Return what a worker is chosen by now."""
    return Evidence(worker.occupancy(now), now - worker.load_at)


@dataclass(slots=True)
class ForwardedRequest:
    """Counts a request's attempts. Times are of the steady clock.

    Attributes
    ----------
    deadline_at
        When the caller, or the route, stops waiting.
    started_at
        When the request arrived.
    tried
        Workers it was sent to, or tried to be.
    evidence
        What each of them was chosen by, in the same order.
    attempts_used
        Attempts that count against the route's limit: a worker that said it did not run the
        request counts too, one that was never reached doesn't.
    """

    route: Route
    deadline_at: float
    started_at: float
    tried: list[str] = field(default_factory=list)
    evidence: list[Evidence] = field(default_factory=list)
    attempts_used: int = 0
    under_way: int = 0
    may_have_run: bool = False
    ran_from: float | None = None
    """Start of the first attempt that a worker answered, as far as is known."""
    may_have_run_from: float | None = None
    """Start of the first attempt whose worker did not say whether it ran it."""
    denied: Mapping[str, Denial] = field(default_factory=dict)
    """Why it was denied each worker that it was denied, by worker, as one was chosen last."""
    withheld: Denial | None = None
    """Why it must not be sent to any worker at all."""
    answered: bool = False
    """Whether a worker ran an attempt to a whole answer."""
    return_after_seconds: float | None = None
    """When its caller may return, if its service had no place for it."""
    suspected: bool = False
    """Whether workers ended under its content: it is sent to one worker at a time then."""

    def started(self, worker: str, evidence: Evidence) -> None:
        """Count an attempt that begins at a worker."""
        self.tried.append(worker)
        self.evidence.append(evidence)
        self.attempts_used += 1
        self.under_way += 1

    def failed(self, failure: AttemptFailure) -> None:
        """Record an attempt that ended without an answer."""
        self.under_way -= 1
        if failure.fault in (AttemptFault.NOT_SENT, AttemptFault.WITHHELD):
            self.attempts_used -= 1
        if not failure.fault.proves_not_run:
            self.may_have_run = True

    def record_run(self, began: float) -> None:
        """Record that a worker answered an attempt that began at a time."""
        self.ran_from = began if self.ran_from is None else min(self.ran_from, began)

    def record_unanswered(self, began: float) -> None:
        """Record that an attempt that began at a time may have run."""
        if self.may_have_run_from is None:
            self.may_have_run_from = began

    @property
    def began_running(self) -> float | None:
        """Return when a worker began to run it, as far as is known, None if none did."""
        return self.may_have_run_from if self.ran_from is None else self.ran_from

    def may_try_again(self, now: float) -> bool:
        """Whether another attempt is allowed now that none is under way."""
        in_time = now < self.deadline_at - DEADLINE_RESERVE_SECONDS
        repeatable = self.route.repeatable or not self.may_have_run
        return in_time and repeatable and self.attempts_used < self.route.maximum_attempts

    def may_move(self, now: float) -> bool:
        """Whether an attempt under way may be broken off to go on at another worker."""
        return self.route.resumable and self.route.repeatable and self.may_try_again(now)

    def may_hedge(self, now: float) -> bool:
        """Whether an attempt beside the one under way is allowed."""
        return (
            self.route.repeatable
            and not self.suspected
            and self.under_way == 1
            and self.may_try_again(now)
        )

    def hedge_after(self, usual_latency: float | None) -> float:
        """Return after how many seconds without an answer to try a second worker."""
        return hedge_delay(self.route, usual_latency)

    def accepts(self, answer: WorkerAnswer, now: float) -> bool:
        """Whether an answer is final; a worker's own failure may be worth another worker."""
        if answer.status < SERVER_ERROR:
            return True
        self.may_have_run = True
        return not self.may_try_again(now)

    def late(self, now: float) -> Denial | None:
        """Return why it must not be sent at a time: a machine that slept finds its time over."""
        return Denial.DEADLINE_EXCEEDED if now >= self.deadline_at else None

    def worker_seconds(self, now: float) -> float:
        """Return how long a worker may still work on it."""
        return max(MINIMUM_WORKER_SECONDS, self.deadline_at - now - DEADLINE_RESERVE_SECONDS)

    def ending(self, now: float) -> Ending:
        """Return how it ends if no worker answers any more."""
        if not self.may_have_run and self.under_way == 0:
            return Ending.NOT_RUN
        over = now >= self.deadline_at - DEADLINE_RESERVE_SECONDS
        return Ending.DEADLINE_EXCEEDED if over else Ending.UNKNOWN

    def unanswered(self, ending: Ending) -> Unanswered:
        """Return how it ended, and when its caller may send it again."""
        if ending is not Ending.NOT_RUN:
            return Unanswered(ending)
        if self.return_after_seconds is not None:
            return Unanswered(ending, self.return_after_seconds)
        if self.withheld is not None:
            denials = {self.withheld}
        else:
            denials = set() if self.tried else set(self.denied.values())
        return Unanswered(ending, retry_after_seconds(denials))


def is_success(status: int) -> bool:
    """Whether a status is of the 2xx kind."""
    return SUCCESS_FROM <= status < SUCCESS_BELOW
