"""Single attempts of a forwarded request: choice of the worker, outbound request, outcome.

This is the common part of `Forwarder` and `StreamForwarder`, which differ in how they send a
request and pass on the answer. `ForwardedRequest` decides whether an attempt is allowed,
`Eligibility` which workers are eligible, and `AdmissionGate` when the first attempt may start.
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
from stagewalk.gateway.forwarding.admission_gate import AdmissionGate, AdmittedPlace, AttemptOutcome
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import ForwardedRequest, selection_evidence
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, OutboundRequest
from stagewalk.gateway.quarantine.crash_reports import CrashReports, SentRequest
from stagewalk.gateway.routes.route import RouteKind
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker

RunStartListener = Callable[[str | None, float], None]
"""Called when a worker has started to run a request, with its tenant and the steady time."""


def ignore_run_start(_tenant: str | None, _began: float) -> None:
    """Ignore the start of a run."""


SUCCESSFUL_OUTCOMES = frozenset({"answered_200", "stream_200"})

_MINIMUM_LOGGED_WAIT_SECONDS = 0.001
"""Shorter waits for admission are not logged."""


@dataclass(slots=True)
class Forwarding:
    """A request being forwarded to a service, with the state of its attempts."""

    request: InboundRequest
    state: ForwardedRequest
    service: str
    place: AdmittedPlace | None = field(init=False, default=None)
    """None before it is admitted, and at services without admission control."""
    admitted: bool = field(init=False, default=False)
    waited_seconds: float = field(init=False, default=0.0)
    """How long it waited for admission."""

    def admission_request(self) -> AdmissionRequest:
        """Return the request in the form that admission control takes."""
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
    """One attempt of a request at one worker.

    Attributes
    ----------
    known_crashes
        Consecutive crashes known for its content when the attempt started.
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
        """Return what determines its eligible workers."""
        return self.request.scope(self.state.route)


class Attempts:
    """Chooses workers for attempts, prepares attempts, and records their outcomes.

    Parameters
    ----------
    prefer_warm
        Whether repeatable requests prefer workers with an open connection.
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
        """Return the worker for the next attempt, None if there must be no further attempt.

        Waits again with a request that was admitted, but refused by all workers it was sent to.
        """
        state = forwarding.state
        while True:
            state.content_denial = await self._crashes.denial(forwarding.request.content)
            if state.content_denial is not None or not await self._admit(forwarding):
                return None
            worker = self.choose(forwarding)
            if worker is not None and state.may_retry(steady_seconds()):
                return worker
            if not await self._readmit(forwarding):
                return None

    def choose(self, forwarding: Forwarding) -> Worker | None:
        """Return the best eligible worker that has not been tried yet, None if there is none."""
        state, now = forwarding.state, steady_seconds()
        scope = forwarding.request.scope(state.route)
        found = self._eligibility.candidates(forwarding.service, scope, now)
        self._eligibility.request_leases(found, now)
        state.denied = found.denied
        # Only repeatable requests may reuse a connection, since it can break while they are sent.
        repeatable = state.route.kind is RouteKind.REPEATABLE
        return choose_worker(
            found.workers,
            now,
            self._eligibility.proximity,
            state.excluded,
            prefer_warm=repeatable and self._prefer_warm,
            rng=self._eligibility.rng,
        )

    def release(self, forwarding: Forwarding) -> None:
        """Release the place of a request that ended, whatever the outcome."""
        if forwarding.place is not None:
            state = forwarding.state
            forwarding.place.release(ran=state.answered or state.may_have_run)
            forwarding.place = None

    def set_retry_delay(self, forwarding: Forwarding) -> None:
        """Set the caller's retry delay for a request that full workers refused."""
        state = forwarding.state
        if state.tried and state.admission_retry_seconds is None:
            after = self._gate.retry_after(forwarding.service, forwarding.admission_request())
            state.admission_retry_seconds = after

    async def _admit(self, forwarding: Forwarding) -> bool:
        """Wait for admission on the first call; return whether the request was admitted."""
        if forwarding.admitted:
            return True
        began = steady_seconds()
        entered = await self._gate.enter(forwarding.service, forwarding.admission_request())
        forwarding.waited_seconds = steady_seconds() - began
        if isinstance(entered, Rejection):
            forwarding.state.admission_retry_seconds = entered.retry_after_seconds
            return False
        forwarding.place = entered
        forwarding.admitted = True
        return True

    async def _readmit(self, forwarding: Forwarding) -> bool:
        """Wait for admission again after refusals; return whether the request may be sent again."""
        state, place = forwarding.state, forwarding.place
        if place is None or not state.only_refused:
            return False
        began = steady_seconds()
        forwarding.place = None
        entered = await self._gate.reenter(place)
        forwarding.waited_seconds += steady_seconds() - began
        if isinstance(entered, Rejection):
            state.admission_retry_seconds = entered.retry_after_seconds
            return False
        forwarding.place = entered or place
        if entered is not None:
            state.requeued()
        return entered is not None

    @staticmethod
    def start(state: ForwardedRequest, worker: Worker) -> None:
        """Record the start of an attempt at a worker."""
        now = steady_seconds()
        state.started(worker.announcement.worker, selection_evidence(worker, now))
        worker.record_sent()

    def prepare(
        self, forwarding: Forwarding, worker: Worker, resume_after: int | None = None
    ) -> Attempt:
        """Return an attempt with its outbound request.

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
            deadline_seconds=state.worker_deadline_seconds(now),
            repeatable=state.route.repeatable,
            resume_after=resume_after,
            tenant=request.tenant,
            priority=request.priority,
        )
        known_crashes = self._crashes.known_crashes(request.content)
        return Attempt(request, state, worker, known_crashes, now, outbound)

    async def record_unanswered(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Record an attempt that was sent but not answered, and check for a crashed worker."""
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
        """Record an attempt that got a complete answer."""
        self._crashes.answered(attempt.request.content)
        attempt.state.in_flight -= 1
        attempt.state.answered = True
        worker = attempt.worker
        load = worker.load if worker.load_at >= attempt.started_at else None
        is_buffered = attempt.state.route.kind is not RouteKind.STREAM
        seconds = steady_seconds() - attempt.started_at if is_buffered else None
        self._record_outcome(attempt, AttemptOutcome(load, seconds=seconds))

    def _record_outcome(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._gate.record_outcome(attempt.worker.announcement.service, outcome)


def record_denied(attempt: Attempt, denial: Denial) -> None:
    """Record an attempt of which nothing was sent, because it was denied a send permit."""
    attempt.worker.record_ended()
    record_failure(attempt, AttemptFailure(AttemptFault.WITHHELD, denial.value))


def record_failure(attempt: Attempt, failure: AttemptFailure) -> None:
    """Record and log a failed attempt; its worker is avoided for a while.

    The worker is not avoided if it refused the request, if nothing was sent to it, or if a limit of
    this node ended the attempt.
    """
    state, worker = attempt.state, attempt.worker
    now = steady_seconds()
    state.failed(failure)
    worker.record_load(failure.load, now)
    blameless = failure.local_limit or failure.fault in (
        AttemptFault.NOT_RUN,
        AttemptFault.WITHHELD,
    )
    if not blameless:
        worker.record_failure(now)
    log_failure(attempt, failure)


def log_failure(attempt: Attempt, failure: AttemptFailure) -> None:
    """Log an attempt that did not end its request."""
    log_event(
        "attempt_failed",
        "warning",
        request=attempt.request.request_id,
        worker=attempt.worker.announcement.worker,
        fault=failure.fault,
        detail=failure.detail,
        occupancy=attempt.worker.occupancy(steady_seconds()),
        attempts=attempt.state.attempts_used,
        **_contact_loss_fields(attempt.request, failure),
    )


def log_request_end(forwarding: Forwarding, configuration: int, outcome: str) -> None:
    """Log the outcome of a forwarded request, and the workers it was sent to.

    Parameters
    ----------
    configuration
        Version of the configuration in force.
    """
    request, state = forwarding.request, forwarding.state
    good = outcome in SUCCESSFUL_OUTCOMES
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


def _contact_loss_fields(request: InboundRequest, failure: AttemptFailure) -> dict[str, str]:
    """Return log fields for finding requests that repeatedly lose their workers."""
    if failure.contact_loss is None:
        return {}
    return {"contact_loss": failure.contact_loss.value, "content": request.content.digest}


def _count_denials(state: ForwardedRequest) -> str:
    """Return the number of denied workers by reason, as text."""
    counts = Counter(denial.value for denial in state.denied.values())
    return ",".join(f"{reason}:{count}" for reason, count in sorted(counts.items()))
