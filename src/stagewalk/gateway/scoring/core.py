"""State machine of pending score calls; decides which attempts start and stop. Pure.

The rules for retries, hedging and giving up are in `retry_rules`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from stagewalk.gateway.eligibility.core import Eligibility, RequestScope
from stagewalk.gateway.forwarding.hedging import hedge_delay
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.ports.workers import AttemptFault
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.scoring.messages import (
    ScoreAnswered,
    ScoreAttemptFailed,
    SendScore,
    StopScore,
    score_content,
)
from stagewalk.gateway.scoring.records import ScoreCall
from stagewalk.gateway.scoring.retry_rules import (
    AnswerMeaning,
    attempt_timeout_seconds,
    classify_answer,
    maximum_attempts_in_flight,
    retry_delay_seconds,
)
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker

_WORKER_NOT_AT_FAULT = (AttemptFault.NOT_RUN, AttemptFault.WITHHELD)


class ScoreOutcome(StrEnum):
    """Outcome of a sample's score call after an answer."""

    SCORED = "scored"
    FAILED = "failed"
    """It failed too often, so the sample gets no score."""
    PENDING = "pending"


@dataclass(frozen=True, slots=True)
class ScoreResult:
    """State of a sample's score call after an answer.

    Attributes
    ----------
    batch, item
        Identity of the sample.
    score
        The service's signature, empty unless the outcome is `SCORED`.
    failures
        Number of server errors so far.
    """

    batch: str
    item: str
    outcome: ScoreOutcome
    score: str
    failures: int


@dataclass(slots=True)
class _Attempt:
    worker: Worker
    started_at: float
    hedge_at: float
    """When another attempt may start while this one is in flight."""


@dataclass(slots=True)
class _PendingCall:
    """A call without a score yet. Times are of the steady clock."""

    batch: str
    item: str
    call: ScoreCall
    content: RequestContent
    batch_attempts: int
    failures: int
    tenant: str | None = None
    in_flight: dict[int, _Attempt] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    """Workers tried in this round; a new round starts once all were tried."""
    consecutive_failures: int = 0
    """Number of attempts that ended without a score."""
    retry_at: float = -math.inf

    def allowed_failures(self, route: Route) -> int:
        """Return the number of server errors after which the sample gets no score."""
        return max(self.batch_attempts, route.maximum_attempts)


RouteLookup = Callable[[str, str], Route | None]
"""Returns the current route of a host and a path."""

ServiceChooser = Callable[[Route], str]
"""Chooses one of the services of a route."""

MayStart = Callable[[str, float], bool]
"""Returns whether requests of a batch may be sent at a steady time."""


class ScoreCalls:
    """Pending score calls of samples whose text is complete.

    Parameters
    ----------
    eligibility
        Decides which workers a call may be sent to.
    route_of, service_of
        Choose the route of a call, and the service of a route.
    numbers
        Attempt numbers, shared with the attempts at batch items.
    policy
        Determines whether calls are hedged.
    may_start
        Whether calls of a batch may be sent now.
    """

    def __init__(
        self,
        eligibility: Eligibility,
        route_of: RouteLookup,
        service_of: ServiceChooser,
        *,
        numbers: Iterator[int],
        policy: Policy = DEFAULT_POLICY,
        may_start: MayStart = lambda _batch, _now: True,
    ) -> None:
        self._eligibility = eligibility
        self._route_of = route_of
        self._service_of = service_of
        self._numbers = numbers
        self._may_start = may_start
        self._hedges = policy.score_hedges
        self._calls: dict[tuple[str, str], _PendingCall] = {}
        self._attempts: dict[int, _PendingCall] = {}

    @property
    def pending(self) -> int:
        """Return the number of samples waiting for a score."""
        return len(self._calls)

    def begin(
        self,
        batch: str,
        item: str,
        call: ScoreCall,
        batch_attempts: int,
        failures: int = 0,
        *,
        tenant: str | None = None,
    ) -> None:
        """Add the score call of a sample, whose text must be complete.

        Parameters
        ----------
        batch_attempts
            Failures that the batch's route allows; the call's route may allow more.
        failures
            Server errors so far, on nodes that ran the item before.
        tenant
            Tenant of the batch.
        """
        pending = _PendingCall(
            batch, item, call, score_content(call), batch_attempts, failures, tenant
        )
        self._calls.setdefault((batch, item), pending)

    def drop(self, batch: str, item: str, reason: str) -> list[StopScore]:
        """Remove a sample's score call; return the attempts to stop."""
        pending = self._calls.pop((batch, item), None)
        return [] if pending is None else self._stop_attempts(pending, reason)

    def due(self, now: float) -> list[SendScore]:
        """Start the attempts that are due, and return them."""
        sends = [self._next_attempt(pending, now) for pending in self._calls.values()]
        return [send for send in sends if send is not None]

    def answered(
        self, event: ScoreAnswered, now: float
    ) -> tuple[ScoreResult | None, list[StopScore]]:
        """Handle an answer; return the state of the call, and the attempts to stop."""
        pending = self._attempts.pop(event.attempt, None)
        if pending is None:
            return None, []
        attempt = pending.in_flight.pop(event.attempt)
        attempt.worker.record_ended()
        attempt.worker.record_load(event.answer.load, now)
        signature = event.answer.signature
        meaning = classify_answer(event.answer.status, signed=bool(signature))
        if meaning is AnswerMeaning.NO_SCORE:
            attempt.worker.record_failure(now)
            self._delay_retry(pending, now)
            return self._result(pending, ScoreOutcome.PENDING), []
        attempt.worker.record_success(now - attempt.started_at, now)
        if meaning is AnswerMeaning.SCORED:
            return self._finish(pending, ScoreOutcome.SCORED, signature, "scored")
        pending.failures += 1
        route = self._route_of(pending.call.host, pending.call.path)
        if route is not None and pending.failures >= pending.allowed_failures(route):
            return self._finish(pending, ScoreOutcome.FAILED, "", "failed too often")
        self._delay_retry(pending, now)
        return self._result(pending, ScoreOutcome.PENDING), []

    def broken(self, event: ScoreAttemptFailed, now: float) -> None:
        """Handle the end of an attempt without a complete answer."""
        pending = self._attempts.pop(event.attempt, None)
        if pending is None:
            return
        attempt = pending.in_flight.pop(event.attempt)
        attempt.worker.record_ended()
        attempt.worker.record_load(event.failure.load, now)
        if event.failure.fault not in _WORKER_NOT_AT_FAULT:
            attempt.worker.record_failure(now)
        self._delay_retry(pending, now)

    def raised(self, attempt: int) -> tuple[ScoreResult | None, list[StopScore]]:
        """Give up a call whose attempt ended with an exception of this process."""
        pending = self._attempts.pop(attempt, None)
        if pending is None:
            return None, []
        pending.in_flight.pop(attempt).worker.record_ended()
        return self._finish(pending, ScoreOutcome.FAILED, "", "an attempt raised an exception")

    def _finish(
        self, pending: _PendingCall, outcome: ScoreOutcome, score: str, reason: str
    ) -> tuple[ScoreResult, list[StopScore]]:
        del self._calls[(pending.batch, pending.item)]
        return self._result(pending, outcome, score), self._stop_attempts(pending, reason)

    @staticmethod
    def _result(pending: _PendingCall, outcome: ScoreOutcome, score: str = "") -> ScoreResult:
        return ScoreResult(pending.batch, pending.item, outcome, score, pending.failures)

    @staticmethod
    def _delay_retry(pending: _PendingCall, now: float) -> None:
        """Delay the next attempt with exponential backoff; ignored while another is in flight."""
        pending.consecutive_failures += 1
        pending.retry_at = now + retry_delay_seconds(pending.consecutive_failures)

    def _stop_attempts(self, pending: _PendingCall, reason: str) -> list[StopScore]:
        for number, attempt in pending.in_flight.items():
            del self._attempts[number]
            attempt.worker.record_ended()
        return [StopScore(number, reason) for number in pending.in_flight]

    def _next_attempt(self, pending: _PendingCall, now: float) -> SendScore | None:
        route = self._route_of(pending.call.host, pending.call.path)
        if route is None or not self._may_start_attempt(pending, route, now):
            return None
        worker = self._choose(pending, route, now)
        if worker is None:
            return None
        number = next(self._numbers)
        hedge_at = now + hedge_delay(route, worker.recent_latency(now))
        pending.in_flight[number] = _Attempt(worker, now, hedge_at)
        pending.tried.append(worker.announcement.worker)
        self._attempts[number] = pending
        worker.record_sent()
        return SendScore(
            number,
            pending.batch,
            pending.item,
            pending.call,
            worker.announcement.worker,
            attempt_timeout_seconds(route),
            pending.tenant,
        )

    def _may_start_attempt(self, pending: _PendingCall, route: Route, now: float) -> bool:
        """Whether an attempt may start: the first, a retry, or a hedge if all others are slow."""
        if not self._may_start(pending.batch, now):
            return False
        in_flight = pending.in_flight.values()
        allowed = pending.allowed_failures(route)
        if len(in_flight) >= maximum_attempts_in_flight(
            allowed, pending.failures, hedges=self._hedges
        ):
            return False
        if not in_flight:
            return now >= pending.retry_at
        return all(now >= attempt.hedge_at for attempt in in_flight)

    def _choose(self, pending: _PendingCall, route: Route, now: float) -> Worker | None:
        """Return a worker that was not tried in this round; start a new round if all were."""
        scope = RequestScope(route, pending.content, pending.tenant)
        found = self._eligibility.candidates(self._service_of(route), scope, now)
        self._eligibility.request_leases(found, now)
        proximity, rng = self._eligibility.proximity, self._eligibility.rng
        chosen = choose_worker(found.workers, now, proximity, pending.tried, rng=rng)
        if chosen is None and not pending.in_flight:
            pending.tried.clear()
            chosen = choose_worker(found.workers, now, proximity, rng=rng)
        return chosen
