"""Keeps the score calls that samples wait for; decides which attempts begin and stop. Pure.

Owns the calls without a score and their attempts under way. Relies on `retry_rules` for retries,
hedges and giving up, on `eligibility` for the workers a call may go to, and on `workers.selection`
for the choice.
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
    attempt_seconds,
    judge_answer,
    most_attempts,
    pause_seconds,
)
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker

_NO_FAULT_OF_THE_WORKER = (AttemptFault.NOT_RUN, AttemptFault.WITHHELD)


class ScoreOutcome(StrEnum):
    """What an answer means for its sample."""

    SCORED = "scored"
    FAILED = "failed"
    """It failed as often as its route allows: the sample has no score."""
    PENDING = "pending"


@dataclass(frozen=True, slots=True)
class ScoreResult:
    """What became of a sample's score call with an answer.

    Attributes
    ----------
    batch, item
        The sample.
    score
        What the service signed, empty unless the outcome is `SCORED`.
    failures
        Answers so far in which a worker said that it failed.
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
    late_after: float
    """When another one is begun beside it."""


@dataclass(slots=True)
class _PendingCall:
    """A call without its score. Times are of the steady clock."""

    batch: str
    item: str
    call: ScoreCall
    content: RequestContent
    batch_attempts: int
    failures: int
    tenant: str | None = None
    under_way: dict[int, _Attempt] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    """Workers of this round: none is asked again before all were."""
    failed_in_a_row: int = 0
    """Attempts in a row that ended without any answer that counts."""
    not_before: float = -math.inf

    def allowed_failures(self, route: Route) -> int:
        """Return how many answers that say it failed leave the sample without a score."""
        return max(self.batch_attempts, route.maximum_attempts)


RouteLookup = Callable[[str, str], Route | None]
"""Finds the route in force for a host and a path."""

ServiceChooser = Callable[[Route], str]
"""Chooses the service whose turn it is on a route."""

MayStart = Callable[[str, float], bool]
"""Whether something of a batch may be sent to a worker at a time of the steady clock."""


class ScoreCalls:
    """The score calls of samples whose text is whole.

    Parameters
    ----------
    eligibility
        Decides which workers a call may be sent to.
    route_of, service_of
        Which route a call takes, and which of its services.
    numbers
        Numbers of attempts, shared with the attempts at items.
    policy
        Which mechanisms of decision are in use.
    may_start
        Whether calls for a batch may be sent now.
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
        """Return the number of samples that wait for their score."""
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
        """Begin to call for a sample's score; its text must be whole.

        Parameters
        ----------
        batch_attempts
            Failures that the batch's own route allows; the call's route may allow more.
        failures
            Answers that said so before, on nodes that ran the item until now.
        tenant
            Whose batch it is.
        """
        pending = _PendingCall(
            batch, item, call, score_content(call), batch_attempts, failures, tenant
        )
        self._calls.setdefault((batch, item), pending)

    def drop(self, batch: str, item: str, reason: str) -> list[StopScore]:
        """Stop calling for a sample's score."""
        pending = self._calls.pop((batch, item), None)
        return [] if pending is None else self._stop_attempts(pending, reason)

    def due(self, now: float) -> list[SendScore]:
        """Return the attempts to begin now."""
        sends = [self._next_attempt(pending, now) for pending in self._calls.values()]
        return [send for send in sends if send is not None]

    def answered(
        self, event: ScoreAnswered, now: float
    ) -> tuple[ScoreResult | None, list[StopScore]]:
        """Handle an answer; return what it means, and the attempts it makes needless."""
        pending = self._attempts.pop(event.attempt, None)
        if pending is None:
            return None, []
        attempt = pending.under_way.pop(event.attempt)
        attempt.worker.record_ended()
        attempt.worker.record_load(event.answer.load, now)
        signature = event.answer.signature
        meaning = judge_answer(event.answer.status, signed=bool(signature))
        if meaning is AnswerMeaning.NO_SCORE:
            attempt.worker.record_failure(now)
            self._pause(pending, now)
            return self._result(pending, ScoreOutcome.PENDING), []
        attempt.worker.record_success(now - attempt.started_at, now)
        if meaning is AnswerMeaning.SCORED:
            return self._settle(pending, ScoreOutcome.SCORED, signature, "scored")
        pending.failures += 1
        route = self._route_of(pending.call.host, pending.call.path)
        if route is not None and pending.failures >= pending.allowed_failures(route):
            return self._settle(pending, ScoreOutcome.FAILED, "", "failed too often")
        self._pause(pending, now)
        return self._result(pending, ScoreOutcome.PENDING), []

    def broken(self, event: ScoreAttemptFailed, now: float) -> None:
        """Handle the end of an attempt that brought no whole answer."""
        pending = self._attempts.pop(event.attempt, None)
        if pending is None:
            return
        attempt = pending.under_way.pop(event.attempt)
        attempt.worker.record_ended()
        attempt.worker.record_load(event.failure.load, now)
        if event.failure.fault not in _NO_FAULT_OF_THE_WORKER:
            attempt.worker.record_failure(now)
        self._pause(pending, now)

    def _settle(
        self, pending: _PendingCall, outcome: ScoreOutcome, score: str, reason: str
    ) -> tuple[ScoreResult, list[StopScore]]:
        del self._calls[(pending.batch, pending.item)]
        return self._result(pending, outcome, score), self._stop_attempts(pending, reason)

    @staticmethod
    def _result(pending: _PendingCall, outcome: ScoreOutcome, score: str = "") -> ScoreResult:
        return ScoreResult(pending.batch, pending.item, outcome, score, pending.failures)

    @staticmethod
    def _pause(pending: _PendingCall, now: float) -> None:
        """Wait a little before the next attempt if no other is under way, longer each time."""
        pending.failed_in_a_row += 1
        pending.not_before = now + pause_seconds(pending.failed_in_a_row)

    def _stop_attempts(self, pending: _PendingCall, reason: str) -> list[StopScore]:
        for number, attempt in pending.under_way.items():
            del self._attempts[number]
            attempt.worker.record_ended()
        return [StopScore(number, reason) for number in pending.under_way]

    def _next_attempt(self, pending: _PendingCall, now: float) -> SendScore | None:
        route = self._route_of(pending.call.host, pending.call.path)
        if route is None or not self._may_begin(pending, route, now):
            return None
        worker = self._choose(pending, route, now)
        if worker is None:
            return None
        number = next(self._numbers)
        late_after = now + hedge_delay(route, worker.recent_latency(now))
        pending.under_way[number] = _Attempt(worker, now, late_after)
        pending.tried.append(worker.announcement.worker)
        self._attempts[number] = pending
        worker.record_sent()
        return SendScore(
            number,
            pending.batch,
            pending.item,
            pending.call,
            worker.announcement.worker,
            attempt_seconds(route),
            pending.tenant,
        )

    def _may_begin(self, pending: _PendingCall, route: Route, now: float) -> bool:
        """Whether an attempt may begin: the first one, or one beside others that are late."""
        if not self._may_start(pending.batch, now):
            return False
        under_way = pending.under_way.values()
        allowed = pending.allowed_failures(route)
        if len(under_way) >= most_attempts(allowed, pending.failures, hedges=self._hedges):
            return False
        if not under_way:
            return now >= pending.not_before
        return all(now >= attempt.late_after for attempt in under_way)

    def _choose(self, pending: _PendingCall, route: Route, now: float) -> Worker | None:
        """Return the worker for the next attempt, of those not tried in this round."""
        scope = RequestScope(route, pending.content, pending.tenant)
        found = self._eligibility.candidates(self._service_of(route), scope, now)
        self._eligibility.request_leases(found, now)
        proximity, rng = self._eligibility.proximity, self._eligibility.rng
        chosen = choose_worker(found.workers, now, proximity, pending.tried, rng=rng)
        if chosen is None and not pending.under_way:
            pending.tried.clear()
            chosen = choose_worker(found.workers, now, proximity, rng=rng)
        return chosen
