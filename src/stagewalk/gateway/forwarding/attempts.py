"""One attempt of a forwarded request: choice of the worker, what is sent, records of how it ended.

Owns what `Forwarder` and `StreamForwarder` do alike at each attempt. They own what differs: how a
request is sent, and which answer reaches the caller.
Relies on `ForwardedRequest` for what is allowed, on `Eligibility` for where a request may go, on
`choose_worker` for which of these it goes to, on `AdmissionGate` for when its first attempt may
begin, and on `CrashReports` for what crashed workers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.admission.decisions import Rejection
from stagewalk.gateway.admission.fair_queue import AdmissionRequest
from stagewalk.gateway.eligibility.core import Eligibility, RequestScope
from stagewalk.gateway.forwarding.admission_gate import AdmissionGate, AttemptOutcome, HeldPlace
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import ForwardedRequest, evidence_of
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, OutboundRequest
from stagewalk.gateway.quarantine.crash_reports import CrashReports, SentRequest
from stagewalk.gateway.routes.route import RouteKind
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker

BegunListener = Callable[[str | None, float], None]
"""Called when a worker began to run a request: its tenant, and the time of the steady clock."""


def ignore_begun(_tenant: str | None, _began: float) -> None:
    """Do nothing."""


GOOD_OUTCOMES = frozenset({"answered_200", "stream_200"})

_MINIMUM_LOGGED_WAIT_SECONDS = 0.001
"""Shorter waits for a place are not told of."""


@dataclass(slots=True)
class Forwarding:
    """A request on its way to a service, with the state of its attempts."""

    request: InboundRequest
    state: ForwardedRequest
    service: str
    place: HeldPlace | None = field(init=False, default=None)
    """Its place at the service; None before it has one, and where none is needed."""
    admitted: bool = field(init=False, default=False)
    waited_seconds: float = field(init=False, default=0.0)
    """How long it waited for its place."""

    def queued(self) -> AdmissionRequest:
        """Return it as it asks for a place."""
        request, state = self.request, self.state
        route = state.route
        return AdmissionRequest(
            request.request_id,
            route.name,
            request.tenant or "",
            route.priority if request.priority is None else request.priority,
            state.started_at,
            state.deadline_at,
            route.target_seconds,
            streamed=route.kind is RouteKind.STREAM,
        )


@dataclass(frozen=True, slots=True)
class Attempt:
    """One send of a request to one worker; its permit is asked for as it is to go.

    Attributes
    ----------
    known_crashes
        Consecutive crashes that were known of its content as it began.
    started_at
        Steady time.
    """

    request: InboundRequest
    state: ForwardedRequest
    worker: Worker
    known_crashes: int
    started_at: float
    outbound: OutboundRequest

    @property
    def scope(self) -> RequestScope:
        """Return what decides where it may run."""
        return self.request.scope(self.state.route)


class Attempts:
    """Chooses workers for attempts, prepares attempts, and records how they ended.

    Parameters
    ----------
    prefer_warm
        Whether workers to which a connection is kept are preferred for requests that may use one.
    """

    def __init__(
        self,
        eligibility: Eligibility,
        crashes: CrashReports,
        gate: AdmissionGate,
        *,
        prefer_warm: bool,
    ) -> None:
        self._eligibility = eligibility
        self._crashes = crashes
        self._gate = gate
        self._prefer_warm = prefer_warm

    async def next_worker(self, forwarding: Forwarding) -> Worker | None:
        """Return the worker of the next attempt, None if there is to be no other attempt."""
        state = forwarding.state
        state.withheld = await self._crashes.denial(forwarding.request.content)
        if state.withheld is not None or not await self._admit(forwarding):
            return None
        worker = self.choose(forwarding)
        return worker if state.may_try_again(steady_seconds()) else None

    def choose(self, forwarding: Forwarding) -> Worker | None:
        """Return the best worker that the request may be sent to and was not sent to yet."""
        state, now = forwarding.state, steady_seconds()
        scope = forwarding.request.scope(state.route)
        found = self._eligibility.candidates(forwarding.service, scope, now)
        self._eligibility.request_leases(found, now)
        state.denied = found.denied
        # Only repeatable requests may go over a kept connection.
        repeatable = state.route.kind is RouteKind.REPEATABLE
        return choose_worker(
            found.workers,
            now,
            self._eligibility.proximity,
            state.tried,
            prefer_warm=repeatable and self._prefer_warm,
            rng=self._eligibility.rng,
        )

    def release(self, forwarding: Forwarding) -> None:
        """Give back the place of a request that ended, however it did."""
        if forwarding.place is not None:
            state = forwarding.state
            forwarding.place.release(ran=state.answered or state.may_have_run)
            forwarding.place = None

    def record_refused(self, forwarding: Forwarding) -> None:
        """Set when the caller may return of a request that full workers refused."""
        state = forwarding.state
        if state.tried and state.return_after_seconds is None:
            after = self._gate.retry_after(forwarding.service, forwarding.queued())
            state.return_after_seconds = after

    async def _admit(self, forwarding: Forwarding) -> bool:
        """Wait for the request's place at its service; return whether it may be sent."""
        if forwarding.admitted:
            return True
        began = steady_seconds()
        entered = await self._gate.enter(forwarding.service, forwarding.queued())
        forwarding.waited_seconds = steady_seconds() - began
        if isinstance(entered, Rejection):
            forwarding.state.return_after_seconds = entered.retry_after_seconds
            return False
        forwarding.place = entered
        forwarding.admitted = True
        return True

    @staticmethod
    def start(state: ForwardedRequest, worker: Worker) -> None:
        """Count an attempt at a worker."""
        now = steady_seconds()
        state.started(worker.announcement.worker, evidence_of(worker, now))
        worker.record_sent()

    def prepare(
        self, forwarding: Forwarding, worker: Worker, resume_after: int | None = None
    ) -> Attempt:
        """Return a started attempt as it is to be sent.

        Parameters
        ----------
        resume_after
            As in `OutboundRequest`.
        """
        request, state, now = forwarding.request, forwarding.state, steady_seconds()
        outbound = OutboundRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline_seconds=state.worker_seconds(now),
            repeatable=state.route.repeatable,
            resume_after=resume_after,
            tenant=request.tenant,
            priority=request.priority,
        )
        known_crashes = self._crashes.known_crashes(request.content)
        return Attempt(request, state, worker, known_crashes, now, outbound)

    async def record_unanswered(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Record a sent attempt that got no answer, and find out whether its worker ended."""
        request = attempt.request
        sent = SentRequest(
            request.request_id,
            request.content,
            attempt.worker,
            attempt.state.route.name,
            attempt.known_crashes,
            attempt.started_at,
        )
        await self._crashes.connection_lost(sent, failure)
        record_failure(attempt, failure)
        refused = failure.fault is AttemptFault.NOT_RUN
        self._record_outcome(attempt, AttemptOutcome(failure.load, refused))

    def record_answered(self, attempt: Attempt) -> None:
        """Record an attempt that its worker ran to a whole answer."""
        self._crashes.answered(attempt.request.content)
        attempt.state.under_way -= 1
        attempt.state.answered = True
        worker = attempt.worker
        load = worker.load if worker.load_at >= attempt.started_at else None
        whole = attempt.state.route.kind is not RouteKind.STREAM
        seconds = steady_seconds() - attempt.started_at if whole else None
        self._record_outcome(attempt, AttemptOutcome(load, seconds=seconds))

    def _record_outcome(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._gate.record_outcome(attempt.worker.announcement.service, outcome)


def record_denied(attempt: Attempt, denial: Denial) -> None:
    """Record an attempt that was denied its permit: nothing of it was sent."""
    attempt.worker.record_ended()
    record_failure(attempt, AttemptFailure(AttemptFault.WITHHELD, denial.value))


def record_failure(attempt: Attempt, failure: AttemptFailure) -> None:
    """Count a failed attempt, and log it; avoid its worker for a while.

    A worker that refused the request, was not even tried, or answered more than this node may hold
    is not avoided.
    """
    request, state, worker = attempt.request, attempt.state, attempt.worker
    now = steady_seconds()
    state.failed(failure)
    worker.record_load(failure.load, now)
    blameless = failure.local_limit or failure.fault in (
        AttemptFault.NOT_RUN,
        AttemptFault.WITHHELD,
    )
    if not blameless:
        worker.record_failure(now)
    log_event(
        "attempt_failed",
        "warning",
        request=request.request_id,
        worker=worker.announcement.worker,
        fault=failure.fault,
        detail=failure.detail,
        occupancy=worker.occupancy(now),
        attempts=state.attempts_used,
        **_loss_fields(request, failure),
    )


def log_request_end(forwarding: Forwarding, configuration: int, outcome: str) -> None:
    """Log how a forwarded request ended, which workers it went to and what chose them.

    Parameters
    ----------
    configuration
        Version of the configuration in force.
    """
    request, state = forwarding.request, forwarding.state
    good = outcome in GOOD_OUTCOMES
    waited = forwarding.waited_seconds
    waits = {"waited_seconds": waited} if waited >= _MINIMUM_LOGGED_WAIT_SECONDS else {}
    content = {} if good or not state.may_have_run else {"content": request.content.digest}
    log_event(
        "request_ended",
        "info" if good else "warning",
        request=request.request_id,
        route=state.route.name,
        configuration=configuration,
        outcome=outcome,
        workers=",".join(state.tried),
        occupancies=",".join(format(e.occupancy, ".2f") for e in state.evidence),
        load_ages=",".join(format(e.load_age, ".2f") for e in state.evidence),
        attempts=state.attempts_used,
        denied=_count_denials(state),
        seconds=steady_seconds() - state.started_at,
        **waits,
        **content,
    )


def _loss_fields(request: InboundRequest, failure: AttemptFailure) -> dict[str, str]:
    """Return the fields that show whether one content loses its workers again and again."""
    if failure.contact_loss is None:
        return {}
    return {"contact_loss": failure.contact_loss.value, "content": request.content.digest}


def _count_denials(state: ForwardedRequest) -> str:
    """Return the number of workers that the request was denied, by reason."""
    counts = Counter(denial.value for denial in state.denied.values())
    return ",".join(f"{reason}:{count}" for reason, count in sorted(counts.items()))
