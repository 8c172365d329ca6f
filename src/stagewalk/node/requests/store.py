"""All requests in progress at this node, and the functions that change or end them.

Owns records, timers, retained outcomes and the outputs not yet drained, and counts the characters
that records hold. `states` defines the allowed transitions.
"""

from __future__ import annotations

from collections.abc import Iterator

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import AttemptId, RequestKey, WeightVersion
from stagewalk.node.core.completions import CompletionResult, TokenChunk
from stagewalk.node.core.due_queue import DueQueue
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.requests.notifications import (
    RequestChunk,
    RequestFailed,
    RequestFinished,
    RequestJoined,
    RequestOutput,
)
from stagewalk.node.requests.record import RequestRecord
from stagewalk.node.requests.retained import RetainedOutcome, RetainedOutcomes
from stagewalk.node.requests.states import Cause, next_state
from stagewalk.node.requests.timers import RequestTimer, RequestTimerKind

COMPACTION_SPARE_TIMERS = 1024
COMPACTION_TIMERS_PER_REQUEST = 8
"""Timers of ended requests are dropped when the queue exceeds the spare timers plus this many per
request in progress."""


class RequestStore:
    """Records, timers, retained outcomes and pending outputs.

    Attributes
    ----------
    records
        Requests in progress.
    by_attempt
        The request of each attempt in progress.
    retained
        Outcomes of ended requests.
    held_characters
        Characters held by all records; updated by `count_characters`.
    """

    def __init__(self, config: RequestConfig) -> None:
        self.records: dict[RequestKey, RequestRecord] = {}
        self.by_attempt: dict[AttemptId, RequestRecord] = {}
        self._timers: DueQueue[RequestTimer] = DueQueue()
        self.retained = RetainedOutcomes(config.memory)
        self.held_characters = 0
        self._outputs: list[RequestOutput] = []
        self._serial = 0

    def next_serial(self) -> int:
        """Return a serial number unique in this process."""
        self._serial += 1
        return self._serial

    def add(self, record: RequestRecord) -> None:
        """Add a new record."""
        self.records[record.key] = record
        self.count_characters(record, len(record.request.prompt))

    def count_characters(self, record: RequestRecord, more: int) -> None:
        """Count characters added to a record."""
        record.characters += more
        self.held_characters += more

    def output(self, output: RequestOutput) -> None:
        """Append an output."""
        self._outputs.append(output)

    def drain(self) -> list[RequestOutput]:
        """Return the outputs since the last call, in order."""
        outputs = self._outputs
        self._outputs = []
        return outputs

    def move(self, record: RequestRecord, cause: Cause) -> None:
        """Change a record's state according to the transition table."""
        record.state = next_state(record.state, cause)

    def stream_up_to(
        self, record: RequestRecord, text: str, token_count: int, version: WeightVersion
    ) -> None:
        """Stream the next text to the calls; `token_count` is the total streamed after it."""
        piece = TokenChunk(
            sequence=record.next_sequence,
            offset=record.streamed_tokens,
            token_count=token_count - record.streamed_tokens,
            text=text,
            version=version,
        )
        record.next_sequence += 1
        record.streamed_tokens = token_count
        record.streamed_characters += len(text)
        self.output(RequestChunk(record.key, piece))

    def finish(
        self, record: RequestRecord, cause: Cause, result: CompletionResult, now: float
    ) -> None:
        """End a record with its complete answer, after streaming the rest of it."""
        if record.stream and result.token_count > record.streamed_tokens:
            rest = result.text[record.streamed_characters :]
            self.stream_up_to(record, rest, result.token_count, result.spans[-1].version)
        self.output(RequestFinished(record.key, result))
        self._end(record, cause, now, result=result)

    def answer_again(self, key: RequestKey, result: CompletionResult, stream: bool) -> None:
        """Answer a submission with the retained answer of an earlier one."""
        held = None
        if stream and result.token_count > 0:
            held = TokenChunk(0, 0, result.token_count, result.text, result.spans[-1].version)
        self.output(RequestJoined(key, held))
        self.output(RequestFinished(key, result))

    def fail(self, record: RequestRecord, cause: Cause, error: StagewalkError, now: float) -> None:
        """End a record with an error."""
        self.output(RequestFailed(record.key, error))
        self._end(record, cause, now, error=error)

    def abandon(self, record: RequestRecord, now: float) -> None:
        """End a record whose callers disconnected."""
        self._end(record, Cause.ABANDONED, now)

    def set_timer(
        self,
        record: RequestRecord,
        kind: RequestTimerKind,
        at: float,
        attempt: AttemptId | None = None,
    ) -> None:
        """Set a timer of a record; it is ignored once the record has ended."""
        self._timers.add(at, RequestTimer(at, kind, record.key, record.serial, attempt))

    def due_timers(self, now: float) -> Iterator[tuple[RequestRecord, RequestTimer]]:
        """Yield the due timers of records still in progress, each with its record."""
        for timer in self._timers.pop_due(now):
            record = self.records.get(timer.key)
            if record is not None and record.serial == timer.serial:
                yield record, timer

    def compact_timers(self) -> None:
        """Drop timers of ended requests when they are most of the queue."""
        if len(self._timers) > COMPACTION_SPARE_TIMERS + COMPACTION_TIMERS_PER_REQUEST * len(
            self.records
        ):
            self._timers.compact(self._is_live)

    def _is_live(self, timer: RequestTimer) -> bool:
        record = self.records.get(timer.key)
        return record is not None and record.serial == timer.serial

    def _end(
        self,
        record: RequestRecord,
        cause: Cause,
        now: float,
        result: CompletionResult | None = None,
        error: StagewalkError | None = None,
    ) -> None:
        self.move(record, cause)
        del self.records[record.key]
        self.held_characters -= record.characters
        outcome = RetainedOutcome(
            fingerprint=record.fingerprint,
            repeatable=record.request.repeatable,
            may_have_run=record.may_have_run,
            expires_at=now + record.retention_seconds,
            result=result,
            error=error,
            claim=record.claim,
        )
        self.retained.put(record.key, outcome)
