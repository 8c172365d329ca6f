"""The rules for attempts of a request: start, resume, hedge, retry, wait for an engine, give up.

Pure functions of a request's record; `AttemptRunner` carries out what they return. Times are in
seconds of the node's clock. The constants, with their reasons, are fields of `RequestConfig`.

The one rule for requests that are not repeatable: an attempt starts only while the claim is held,
no attempt is under way, and none that ended may have run.
"""

from __future__ import annotations

from dataclasses import replace

from stagewalk.common.identities import WeightVersion
from stagewalk.node.core.completions import CompletionRequest, Priority
from stagewalk.node.requests.answer import HeldAnswer
from stagewalk.node.requests.config import RequestConfig, RetryConfig
from stagewalk.node.requests.delays import DelayWindow
from stagewalk.node.requests.record import Attempt, RequestRecord
from stagewalk.node.requests.states import AttemptClass


def may_start(record: RequestRecord) -> bool:
    """Return whether another attempt may start: one of a request not repeatable only once."""
    if record.request.repeatable:
        return True
    return record.claim_held and not record.may_have_run and not record.attempts


def pinned_request(record: RequestRecord) -> CompletionRequest:
    """Return the request for the next attempt.

    An answer partly given to a caller who allows no mixed versions goes on under its version.
    """
    if record.mixed_versions or record.streamed_tokens == 0:
        return record.request
    version = record.held.spans[-1].version
    return replace(record.request, minimum_version=version, maximum_version=version)


def resumable_answer(record: RequestRecord, version: WeightVersion) -> HeldAnswer:
    """Return the part of the answer that an attempt under a version goes on after.

    A part that no caller has seen is dropped rather than continued under another version, unless
    the tenant allows mixed versions.
    """
    if record.mixed_versions or record.streamed_tokens > 0 or record.held.token_count == 0:
        return record.held
    if record.held.spans[-1].version != version:
        return HeldAnswer()
    return record.held


def hedge_delay(record: RequestRecord, delays: DelayWindow, config: RequestConfig) -> float | None:
    """Return how long the first attempt has before a second one is started beside it.

    A request is hedged if it is repeatable, not streamed (two attempts without a seed answer
    differently) and interactive (rollouts wait for throughput, which hedges cost). The delay is a
    percentile of recent first tokens. None: it is not hedged.
    """
    hedge = config.hedge
    if record.stream or len(delays) < hedge.minimum_samples:
        return None
    if record.attempt_count >= config.retry.maximum_attempts:
        return None
    if record.request.priority is not Priority.INTERACTIVE:
        return None
    return max(hedge.minimum_delay_seconds, delays.percentile(hedge.percentile))


def may_hedge_now(record: RequestRecord, first: Attempt) -> bool:
    """Return whether the hedge that was set for a first attempt is still of use."""
    if first.last_chunk_at is not None or len(record.attempts) > 1:
        return False
    return record.request.repeatable and not record.stream


def silent_until(attempt: Attempt, config: RequestConfig) -> float:
    """Return when an attempt is given up unless a chunk comes before."""
    if attempt.last_chunk_at is None:
        return attempt.started_at + config.first_token_seconds
    return attempt.last_chunk_at + config.stall_seconds


def outcome_is_unknown(record: RequestRecord) -> bool:
    """Return whether the request may have run and must not run again."""
    return not record.request.repeatable and record.may_have_run


def may_retry(record: RequestRecord, pause_seconds: float, config: RetryConfig, now: float) -> bool:
    """Return whether attempts and time are left for a retry; its tenant's budget is asked next."""
    if record.attempt_count >= config.maximum_attempts:
        return False
    return now + pause_seconds < record.request.deadline


def retries_at_once(record: RequestRecord, outcome: AttemptClass) -> bool:
    """Return whether a retry needs no pause.

    The first retry of an attempt that was refused or not sent: another engine probably has room.
    """
    return outcome is not AttemptClass.MAY_HAVE_RUN and record.attempt_count <= 1


def next_look_at(record: RequestRecord, config: RetryConfig, now: float) -> float | None:
    """Return when a request without an eligible engine looks again; None if it gives up."""
    waited = 0.0 if record.no_engine_since is None else now - record.no_engine_since
    again = now + config.no_engine_interval_seconds
    if waited >= config.no_engine_limit_seconds or again >= record.request.deadline:
        return None
    return again
