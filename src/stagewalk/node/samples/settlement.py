"""Settlement of slots, from a finished rollout to a sample: freshness, score, claim and retries.

The claim register makes sure that all nodes agree on one sample per slot. Answers that are too
stale are not scored. The retry delays are fields of `LotConfig`.
"""

from __future__ import annotations

import random

from stagewalk.common.errors import ErrorKind, StagewalkError
from stagewalk.common.identities import RequestId, SampleSlotKey
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.backoff import retry_delay
from stagewalk.node.core.completions import CompletionResult
from stagewalk.node.core.due_queue import DueQueue
from stagewalk.node.core.instructions import Instruction, LogLineFields, ScoreSample, WriteLogLine
from stagewalk.node.core.rollouts import Sample
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.lots import Lot, Slot, SlotPhase
from stagewalk.node.samples.notifications import LotNotification
from stagewalk.node.samples.sample_codec import decode_sample, encode_sample, sample_claim_key
from stagewalk.node.samples.scheduler import RolloutScheduler
from stagewalk.node.samples.staleness import SampleFreshness, judge_freshness
from stagewalk.node.samples.store import LotStore, SlotLocation
from stagewalk.node.samples.timers import SlotTimer, SlotTimerKind

_UNFINISHED_PHASES = frozenset({SlotPhase.WAITING, SlotPhase.RUNNING})

LotOutput = Instruction | LotNotification

_CAPACITY_ERRORS = frozenset({ErrorKind.OVERLOADED, ErrorKind.OVER_LIMIT})
"""Errors that mean a lack of capacity."""

_SHORT_DELAY_ERRORS = _CAPACITY_ERRORS | {ErrorKind.NO_ENGINE}
"""Errors with a short retry delay: capacity, or an engine with the required weights, may become
available within a second."""


class SampleSettlement:
    """Moves slots from a finished rollout to a sample that may be delivered."""

    def __init__(
        self,
        store: LotStore,
        scheduler: RolloutScheduler,
        timers: DueQueue[SlotTimer],
        config: LotConfig,
        generator: random.Random,
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._timers = timers
        self._config = config
        self._generator = generator

    def rollout_finished(
        self, request_id: RequestId, result: CompletionResult, now: float
    ) -> list[LotOutput]:
        """Handle the complete answer of a rollout: score it, or run the slot again."""
        location = self._store.requests.get(request_id)
        if location is None:
            return []
        lot, index = self._store.lots[location.lot], location.index
        slot = lot.slots[index]
        started_at = slot.requests.pop(request_id, None)
        if started_at is None or slot.phase is not SlotPhase.RUNNING:
            return []
        self._scheduler.finished(lot, slot, started_at, result.token_count, now)
        output: list[LotOutput] = list(self._scheduler.cancel(slot))
        problem = self._answer_problem(lot, result, now)
        if problem is not None:
            del self._store.requests[request_id]
            return output + self.run_again(lot, index, problem)
        slot.candidate_id = request_id
        slot.candidate = result
        lot.move(index, SlotPhase.SCORING)
        return [*output, _score(slot, request_id, result)]

    def rollout_failed(
        self, request_id: RequestId, error: StagewalkError, now: float
    ) -> list[LotOutput]:
        """Handle the final error of a rollout; its slot is run again after a delay."""
        location = self._store.requests.pop(request_id, None)
        if location is None:
            return []
        lot = self._store.lots[location.lot]
        slot = lot.slots[location.index]
        slot.requests.pop(request_id, None)
        if slot.phase is not SlotPhase.RUNNING or slot.requests:
            return []
        failures = slot.failures + 1
        lot.move(location.index, SlotPhase.WAITING)
        slot.failures = failures
        limit = self._config.retry_limit_seconds
        if error.kind in _CAPACITY_ERRORS:
            self._scheduler.refused(lot, now)
        if error.kind in _SHORT_DELAY_ERRORS:
            limit = self._config.no_room_retry_seconds
        delay = self._retry_delay(failures)
        delay = min(limit, max(delay, error.retry_after_seconds or 0.0))
        self._set_timer(now + delay, SlotTimerKind.RUN, lot, location.index)
        return self._log_if_stuck(lot, slot, error, now)

    def scored(self, sample_id: str, score: float, now: float) -> list[LotOutput]:
        """Handle a sample's score, and propose the sample as the claim's value."""
        location = self._store.requests.get(RequestId(sample_id))
        if location is None:
            return []
        lot, index = self._store.lots[location.lot], location.index
        slot = lot.slots[index]
        if slot.phase is not SlotPhase.SCORING or slot.candidate_id != sample_id:
            return []
        result = slot.candidate
        if result is None:
            return []
        self._scheduler.cancel(slot)
        slot.sample = Sample(
            slot.key, sample_id, result.text, result.token_count, result.spans, score, now
        )
        slot.decided = False
        lot.move(index, SlotPhase.CLAIMING)
        if len(encode_sample(slot.sample)) > self._config.maximum_claim_bytes:
            self._stop_waiting_for_claim(lot, index)
            return []
        wait_until = now + self._config.claim_wait_seconds
        self._set_timer(wait_until, SlotTimerKind.CLAIM_WAIT, lot, index)
        return [self._propose(lot, index, slot.sample)]

    def scoring_failed(self, sample_id: str, error: StagewalkError, now: float) -> list[LotOutput]:
        """Handle a scoring failure; scoring is idempotent and retried after a delay."""
        location = self._store.requests.get(RequestId(sample_id))
        if location is None:
            return []
        lot = self._store.lots[location.lot]
        slot = lot.slots[location.index]
        if slot.phase is not SlotPhase.SCORING or slot.candidate_id != sample_id:
            return []
        slot.failures += 1
        delay = self._retry_delay(slot.failures)
        self._set_timer(now + delay, SlotTimerKind.SCORE, lot, location.index)
        return self._log_if_stuck(lot, slot, error, now)

    def claim_decided(self, key: str, value: bytes, now: float) -> list[LotOutput]:
        """Handle the sample decided for a slot, proposed by this node or another."""
        location = self._store.claims.pop(key, None)
        if location is None:
            return []
        lot = self._store.lots[location.lot]
        slot = lot.slots[location.index]
        chosen = decode_sample(slot.key, value, now)
        if chosen is None:
            return [WriteLogLine("claim_value_damaged", {"key": key})]
        slot.sample = chosen
        slot.decided = True
        if slot.phase in _UNFINISHED_PHASES:
            lot.claim_found_at = now
        if slot.phase not in {SlotPhase.READY, SlotPhase.ACKNOWLEDGED}:
            lot.move(location.index, SlotPhase.READY)
        return list(self._scheduler.cancel(slot))

    def claim_undecided(self, key: str, error: StagewalkError, now: float) -> list[LotOutput]:
        """Propose a claim again after a delay, unless the error is permanent."""
        location = self._store.claims.get(key)
        if location is None:
            return []
        lot = self._store.lots[location.lot]
        slot = lot.slots[location.index]
        is_permanent = error.kind is ErrorKind.INVALID_REQUEST
        if is_permanent or slot.phase not in {SlotPhase.CLAIMING, SlotPhase.READY}:
            del self._store.claims[key]
            self._stop_waiting_for_claim(lot, location.index)
            return []
        slot.failures += 1
        delay = self._retry_delay(slot.failures)
        self._set_timer(now + delay, SlotTimerKind.CLAIM, lot, location.index)
        return []

    def timer_due(self, kind: SlotTimerKind, lot: Lot, index: int) -> list[LotOutput]:
        """Handle a due timer of a slot."""
        slot = lot.slots[index]
        match kind:
            case SlotTimerKind.RUN:
                self._scheduler.enqueue(lot, index)
                return []
            case SlotTimerKind.SCORE:
                if slot.candidate_id is None or slot.candidate is None:
                    return []
                return [_score(slot, slot.candidate_id, slot.candidate)]
            case SlotTimerKind.CLAIM:
                if slot.sample is None or slot.decided:
                    return []
                return [self._propose(lot, index, slot.sample)]
            case SlotTimerKind.CLAIM_WAIT:
                self._stop_waiting_for_claim(lot, index)
                return []

    def run_again(self, lot: Lot, index: int, reason: str) -> list[LotOutput]:
        """Run a slot again whose answer or sample can't be delivered.

        If the slot already had a sample, a new generation begins, with a claim of its own.
        """
        slot = lot.slots[index]
        if slot.sample is not None:
            self._store.claims.pop(sample_claim_key(slot.key, slot.generation, lot.digest), None)
            slot.generation += 1
            slot.sample = None
            slot.decided = False
        lot.move(index, SlotPhase.WAITING)
        self._scheduler.enqueue(lot, index)
        fields: LogLineFields = {
            "slot": str(slot.key),
            "generation": slot.generation,
            "reason": reason,
            "trainer_version": self._store.trainer_version(lot.key),
        }
        return [WriteLogLine("slot_run_again", fields)]

    def _answer_problem(self, lot: Lot, result: CompletionResult, now: float) -> str | None:
        """Return why an answer can't become a sample, or None if it can."""
        parameters = self._store.parameters(lot.key.tenant)
        named = sum(span.token_count for span in result.spans)
        if parameters is None or named != result.token_count or named == 0:
            return "the answer does not name the versions of all its tokens"
        if len(result.spans) > 1 and not parameters.allow_mixed_versions:
            return "several versions produced the answer"
        oldest = min(span.version for span in result.spans)
        verdict = judge_freshness(
            parameters,
            self._store.versions,
            lot.lot.model,
            oldest,
            trainer_version=self._store.trainer_version(lot.key),
            at=now + self._config.hand_over_margin_seconds,
        )
        return "too stale when it finished" if verdict is SampleFreshness.STALE else None

    def _stop_waiting_for_claim(self, lot: Lot, index: int) -> None:
        """Make a sample ready without a decided claim.

        The cursor alone ensures that the trainer takes one sample per slot; the claim only
        preserves the sample if this node dies. The trainer should not be kept waiting while no
        majority can be reached.
        """
        if lot.slots[index].phase is SlotPhase.CLAIMING:
            lot.move(index, SlotPhase.READY, keep_timers=True)

    def _propose(self, lot: Lot, index: int, sample: Sample) -> ProposeClaim:
        slot = lot.slots[index]
        key = sample_claim_key(slot.key, slot.generation, lot.digest)
        self._store.claims[key] = SlotLocation(lot.key, index)
        return ProposeClaim(key, encode_sample(sample))

    def _set_timer(self, due: float, kind: SlotTimerKind, lot: Lot, index: int) -> None:
        self._timers.add(due, SlotTimer(kind, lot.key, index, lot.slots[index].phase_changes))

    def _retry_delay(self, failures: int) -> float:
        base, limit = self._config.retry_base_seconds, self._config.retry_limit_seconds
        return retry_delay(base, limit, failures, self._generator.random())

    def _log_if_stuck(
        self, lot: Lot, slot: Slot, error: StagewalkError, now: float
    ) -> list[LotOutput]:
        logged_at = lot.stuck_logged_at
        if slot.failures < self._config.stuck_after_failures:
            return []
        if logged_at is not None and now - logged_at < self._config.stuck_log_seconds:
            return []
        lot.stuck_logged_at = now
        return [_stuck_event(slot.key, slot.failures, error)]


def _score(slot: Slot, request_id: RequestId, result: CompletionResult) -> ScoreSample:
    return ScoreSample(request_id, slot.key.tenant, slot.prompt.prompt, result.text)


def _stuck_event(slot: SampleSlotKey, failures: int, error: StagewalkError) -> WriteLogLine:
    fields: LogLineFields = {
        "slot": str(slot),
        "failures": failures,
        "kind": error.kind,
        "step": error.step,
        "peer": error.peer,
        "detail": error.detail,
    }
    return WriteLogLine("slot_stuck", fields)
