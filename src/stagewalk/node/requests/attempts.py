"""Attempts of admitted requests: dispatch, chunks, results, retries, hedges and stalls.

Owns the attempt ids, the first-token delays and the tenants' retry budgets. `attempt_rules`
decides what may be tried, the router selects engines, and the store holds the records.
"""

from __future__ import annotations

import random
from dataclasses import replace

from stagewalk.common.errors import ErrorStep, StagewalkError
from stagewalk.common.identities import AttemptId, EngineName, ProcessIdentity, TenantName
from stagewalk.node.admission.controller import AdmissionController
from stagewalk.node.core.completions import CompletionRequest, CompletionResult, TokenChunk
from stagewalk.node.core.events import AttemptChunk, AttemptFailed, AttemptFinished, AttemptRefused
from stagewalk.node.core.instructions import CancelAttempt, StartAttempt
from stagewalk.node.requests import attempt_rules, errors
from stagewalk.node.requests.answer import AnswerAssembly
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.requests.delays import DelayWindow
from stagewalk.node.requests.record import Attempt, RequestRecord
from stagewalk.node.requests.retries import RetryBudget, backoff_seconds
from stagewalk.node.requests.states import AttemptClass, Cause
from stagewalk.node.requests.store import RequestStore
from stagewalk.node.requests.timers import RequestTimer, RequestTimerKind
from stagewalk.node.routing.router import EngineChoice, Router

AttemptEvent = AttemptChunk | AttemptFinished | AttemptRefused | AttemptFailed

FINISH_REASON_LENGTH = "length"


class AttemptRunner:
    """Starts attempts and handles their events."""

    def __init__(
        self,
        identity: ProcessIdentity,
        store: RequestStore,
        router: Router,
        admission: AdmissionController,
        config: RequestConfig,
        *,
        generator: random.Random,
    ) -> None:
        self._identity = identity
        self._store = store
        self._router = router
        self._admission = admission
        self._config = config
        self._generator = generator
        self._delays = DelayWindow(config.hedge.window)
        self._prefix = f"{identity.name}.{identity.incarnation:x}.{generator.getrandbits(32):08x}"
        self._number = 0
        self._budget = RetryBudget(config.retry)

    def set_tenants(self, tenants: frozenset[TenantName]) -> None:
        """Drop the retry budgets of removed tenants."""
        self._budget.retain(tenants)

    def record_submission(self, tenant: TenantName) -> None:
        """Credit a tenant's retry budget for a new request."""
        self._budget.record_request(tenant)

    def dispatch(self, record: RequestRecord, now: float) -> None:
        """Start an attempt of a record in `ROUTING`, schedule another search, or fail it."""
        if now >= record.request.deadline:
            error = errors.deadline_passed(record, self._identity.name, ErrorStep.ROUTING)
            self._fail(record, Cause.DEADLINE, error, now)
            return
        request = attempt_rules.pinned_request(record)
        choice = self._router.choose(request, frozenset(record.excluded), now)
        if choice.is_error() and record.excluded:
            record.excluded.clear()
            choice = self._router.choose(request, frozenset(), now)
        if choice.is_error():
            self._wait_for_engine(record, choice.error, now)
            return
        record.no_engine_since = None
        self._start(record, request, choice.ok, Cause.DISPATCHED, now)

    def handle(self, event: AttemptEvent, now: float) -> None:
        """Handle an event of an attempt; events of unknown or ended attempts are ignored."""
        record = self._store.by_attempt.get(event.attempt)
        if record is None:
            return
        attempt = record.attempts[event.attempt]
        match event:
            case AttemptChunk():
                self._handle_chunk(record, attempt, event, now)
            case AttemptFinished():
                self._handle_finished(record, attempt, event, now)
            case AttemptRefused():
                self._handle_refused(record, attempt, event, now)
            case AttemptFailed():
                self._handle_failed(record, attempt, event, now)

    def handle_hedge_timer(self, record: RequestRecord, timer: RequestTimer, now: float) -> None:
        """Start a second attempt if the first has produced no chunk yet."""
        first = record.attempts.get(timer.attempt) if timer.attempt is not None else None
        if first is None or not attempt_rules.may_hedge_now(record, first):
            return
        excluded = frozenset({*record.excluded, first.engine})
        choice = self._router.choose(record.request, excluded, now)
        if choice.is_error() or not self._budget.spend(record.key.tenant):
            return
        self._start(record, record.request, choice.ok, Cause.HEDGED, now)

    def handle_stall_timer(self, record: RequestRecord, timer: RequestTimer, now: float) -> None:
        """Cancel an attempt that has stalled; its request is resumed."""
        attempt = record.attempts.get(timer.attempt) if timer.attempt is not None else None
        if attempt is None or timer.at != attempt.stall_timer_at:
            return
        if now >= attempt_rules.stall_deadline(attempt, self._config):
            self._abort_attempt(record, attempt, "the engine sent no chunk in time", now)
            return
        self._set_stall_timer(record, attempt)

    def cancel_all(self, record: RequestRecord, now: float) -> None:
        """Cancel a record's attempts; they may have run."""
        for attempt in list(record.attempts.values()):
            self._cancel(record, attempt, now)

    def _handle_chunk(
        self, record: RequestRecord, attempt: Attempt, event: AttemptChunk, now: float
    ) -> None:
        """Add a chunk to the answer and stream what is new."""
        before = attempt.assembly.characters
        taken = attempt.assembly.add(event.chunk)
        self._store.count_characters(record, attempt.assembly.characters - before)
        if taken.is_error():
            self._abort_attempt(record, attempt, taken.error.detail, now)
            return
        if not taken.ok:
            return
        first = attempt.last_chunk_at is None
        attempt.last_chunk_at = now
        if first:
            self._record_first_token(record, attempt, now)
        self._stream(record, attempt, taken.ok)

    def _handle_finished(
        self, record: RequestRecord, attempt: Attempt, event: AttemptFinished, now: float
    ) -> None:
        """Handle the final frame: the answer is complete only if the token counts agree."""
        if attempt.assembly.is_complete(event.token_count):
            self._finish(record, attempt, event.finish_reason, now)
            return
        held = attempt.assembly.token_count
        detail = f"the answer is truncated: {held} of {event.token_count} tokens came"
        self._attempt_ended(record, attempt, AttemptClass.MAY_HAVE_RUN, detail, now)

    def _handle_refused(
        self, record: RequestRecord, attempt: Attempt, event: AttemptRefused, now: float
    ) -> None:
        """Handle a refusal; after a first token it doesn't prove that the request did not run."""
        if attempt.last_chunk_at is not None:
            detail = f"refused after the first token: {event.detail}"
            self._attempt_ended(record, attempt, AttemptClass.MAY_HAVE_RUN, detail, now)
            return
        retry_after = event.retry_after_seconds
        if self._router.record_refused(attempt.engine, attempt.attempt, retry_after, now):
            self._admission.record_refused(record.request.model, now)
        self._attempt_ended(
            record,
            attempt,
            AttemptClass.REFUSED,
            event.detail,
            now,
            retry_after_seconds=retry_after,
        )

    def _handle_failed(
        self, record: RequestRecord, attempt: Attempt, event: AttemptFailed, now: float
    ) -> None:
        """Handle the end of an attempt without a final frame."""
        began = event.sent or attempt.last_chunk_at is not None
        outcome = AttemptClass.MAY_HAVE_RUN if began else AttemptClass.NOT_SENT
        self._attempt_ended(record, attempt, outcome, event.detail, now)

    def _start(
        self,
        record: RequestRecord,
        request: CompletionRequest,
        choice: EngineChoice,
        cause: Cause,
        now: float,
    ) -> None:
        if not attempt_rules.may_start(record):
            raise AssertionError(f"a second execution of {record.key} was about to start")
        record.held = attempt_rules.resumable_answer(record, choice.version)
        self._number += 1
        attempt = Attempt(
            attempt=AttemptId(f"{self._prefix}.{self._number:x}"),
            engine=choice.engine,
            address=choice.address,
            started_at=now,
            resume_offset=record.held.token_count,
            assembly=AnswerAssembly.continuing(
                record.held, request, record.mixed_versions, self._config.memory
            ),
        )
        self._store.move(record, cause)
        record.attempts[attempt.attempt] = attempt
        record.attempt_count += 1
        self._store.by_attempt[attempt.attempt] = record
        self._router.record_started(choice.engine, attempt.attempt, request, now)
        self._set_attempt_timers(record, attempt, now)
        self._store.output(
            StartAttempt(
                attempt=attempt.attempt,
                engine=choice.engine,
                address=choice.address,
                request=request,
                resume_offset=record.held.token_count,
                resume_text=record.held.text,
            )
        )

    def _set_attempt_timers(self, record: RequestRecord, attempt: Attempt, now: float) -> None:
        if not record.request.repeatable:
            return
        self._set_stall_timer(record, attempt)
        delay = attempt_rules.hedge_delay(record, self._delays, self._config)
        if delay is not None:
            self._store.set_timer(record, RequestTimerKind.HEDGE, now + delay, attempt.attempt)

    def _set_stall_timer(self, record: RequestRecord, attempt: Attempt) -> None:
        attempt.stall_timer_at = attempt_rules.stall_deadline(attempt, self._config)
        self._store.set_timer(
            record, RequestTimerKind.STALL, attempt.stall_timer_at, attempt.attempt
        )

    def _record_first_token(self, record: RequestRecord, attempt: Attempt, now: float) -> None:
        delay = now - attempt.started_at
        self._delays.add(delay)
        self._admission.record_first_token(record.request.model, delay, now)
        self._router.record_progress(attempt.attempt)
        if record.request.repeatable:
            self._set_stall_timer(record, attempt)

    def _stream(self, record: RequestRecord, attempt: Attempt, taken: list[TokenChunk]) -> None:
        """Stream the new text, unless a concurrent attempt may produce another answer."""
        if not record.stream or len(record.attempts) > 1:
            return
        if taken[0].offset == record.streamed_tokens:
            text = "".join(chunk.text for chunk in taken)
        else:
            text = attempt.assembly.text()[record.streamed_characters :]
        self._store.stream_up_to(record, text, attempt.assembly.token_count, taken[-1].version)

    def _finish(
        self, record: RequestRecord, attempt: Attempt, finish_reason: str, now: float
    ) -> None:
        self._router.record_finished(attempt.engine, attempt.attempt, now)
        self._remove_attempt(record, attempt)
        record.may_have_run = True
        self.cancel_all(record, now)
        self._admission.ended(record.key, now)
        self._store.finish(record, Cause.WHOLE, attempt.assembly.result(finish_reason), now)

    def _abort_attempt(
        self, record: RequestRecord, attempt: Attempt, detail: str, now: float
    ) -> None:
        """Cancel an attempt that can no longer produce a complete answer."""
        self._store.output(CancelAttempt(attempt.attempt, attempt.engine, attempt.address))
        self._attempt_ended(record, attempt, AttemptClass.MAY_HAVE_RUN, detail, now)

    def _attempt_ended(
        self,
        record: RequestRecord,
        attempt: Attempt,
        outcome: AttemptClass,
        detail: str,
        now: float,
        *,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Handle an attempt that ended without a complete answer: retry, wait or fail."""
        self._remove_attempt(record, attempt)
        if outcome is not AttemptClass.REFUSED:
            self._router.record_failed(attempt.engine, attempt.attempt, now)
        if outcome is AttemptClass.MAY_HAVE_RUN:
            record.may_have_run = True
            self._keep_partial_answer(record, attempt)
        record.excluded.add(attempt.engine)
        if record.held.token_count >= record.request.max_tokens:
            self._finish_at_length(record, now)
            return
        error = self._attempt_error(record, attempt.engine, outcome, detail, retry_after_seconds)
        record.last_error = error
        if record.attempts:
            self._store.move(record, Cause.ATTEMPT_LOST)
            return
        self._retry_or_fail(record, outcome, error, now)

    def _retry_or_fail(
        self, record: RequestRecord, outcome: AttemptClass, error: StagewalkError, now: float
    ) -> None:
        if attempt_rules.outcome_is_unknown(record):
            unknown = errors.outcome_unknown(ErrorStep.EXECUTION, error.peer, error.detail)
            self._fail(record, Cause.OUTCOME_UNKNOWN, unknown, now)
            return
        retry = self._config.retry
        pause = backoff_seconds(retry, max(0, record.attempt_count - 1), self._generator)
        may_retry = attempt_rules.may_retry(record, pause, retry, now)
        if not may_retry or not self._budget.spend(record.key.tenant):
            self._fail(record, Cause.GAVE_UP, error, now)
            return
        self._store.move(record, Cause.RETRIED)
        if attempt_rules.retries_immediately(record, outcome):
            self.dispatch(record, now)
        else:
            self._store.set_timer(record, RequestTimerKind.ROUTE, now + pause)

    def _wait_for_engine(self, record: RequestRecord, error: StagewalkError, now: float) -> None:
        """Schedule another search, or fail with the last attempt's error if there was one."""
        if record.no_engine_since is None:
            record.no_engine_since = now
        again = attempt_rules.next_engine_search_at(record, self._config.retry, now)
        if again is None:
            final = replace(record.last_error or error, ran=record.ran)
            self._fail(record, Cause.GAVE_UP, final, now)
            return
        self._store.set_timer(record, RequestTimerKind.ROUTE, again)

    def _finish_at_length(self, record: RequestRecord, now: float) -> None:
        """Finish an answer that has reached `max_tokens` although its final frame was lost."""
        self.cancel_all(record, now)
        self._admission.ended(record.key, now)
        held = record.held
        result = CompletionResult(held.text, held.token_count, held.spans, FINISH_REASON_LENGTH)
        self._store.finish(record, Cause.WHOLE, result, now)

    def _keep_partial_answer(self, record: RequestRecord, attempt: Attempt) -> None:
        """Keep an attempt's partial answer to resume from; streamed text must stay its prefix."""
        longer = attempt.assembly.token_count > record.held.token_count
        if longer or record.streamed_tokens > 0:
            record.held = attempt.assembly.held()

    def _attempt_error(
        self,
        record: RequestRecord,
        engine: EngineName,
        outcome: AttemptClass,
        detail: str,
        retry_after_seconds: float | None,
    ) -> StagewalkError:
        match outcome:
            case AttemptClass.NOT_SENT:
                return errors.attempt_unsent(record, engine, detail)
            case AttemptClass.REFUSED:
                return errors.attempt_refused(record, engine, detail, retry_after_seconds)
            case AttemptClass.MAY_HAVE_RUN:
                return errors.attempt_failed(record, engine, detail)

    def _cancel(self, record: RequestRecord, attempt: Attempt, now: float) -> None:
        self._store.output(CancelAttempt(attempt.attempt, attempt.engine, attempt.address))
        self._router.record_cancelled(attempt.attempt, now)
        self._remove_attempt(record, attempt)
        record.may_have_run = True

    def _remove_attempt(self, record: RequestRecord, attempt: Attempt) -> None:
        del record.attempts[attempt.attempt]
        del self._store.by_attempt[attempt.attempt]

    def _fail(self, record: RequestRecord, cause: Cause, error: StagewalkError, now: float) -> None:
        self.cancel_all(record, now)
        self._admission.withdraw(record.key)
        self._store.fail(record, cause, error, now)
