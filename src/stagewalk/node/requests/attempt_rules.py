"""Rules for the attempts of a request: start, resume, hedge, retry, wait for an engine, give up.

Pure functions of a request's record, applied by `AttemptRunner`. Times are in seconds of the
node's clock. The parameters are fields of `RequestConfig`.

A request that is not repeatable starts an attempt only while its claim is held, no attempt is in
progress, and no ended attempt may have run.
"""

from __future__ import annotations

from dataclasses import replace

from stagewalk.common.identities import WeightVersion
from stagewalk.node.core.completions import CompletionRequest, Priority
from stagewalk.node.requests.answer import PartialAnswer
from stagewalk.node.requests.config import RequestConfig, RetryConfig
from stagewalk.node.requests.delays import DelayWindow
from stagewalk.node.requests.record import Attempt, RequestRecord
from stagewalk.node.requests.states import AttemptClass


def may_start(record: RequestRecord) -> bool:
    """Return whether another attempt may start, so that no non-repeatable request runs twice."""
    if record.request.repeatable:
        return True
    return record.claim_held and not record.may_have_run and not record.attempts


def pinned_request(record: RequestRecord) -> CompletionRequest:
    """Return the request for the next attempt.

    Once part of an answer is streamed, its version is pinned unless mixed versions are allowed.
    """
    if record.mixed_versions or record.streamed_tokens == 0:
        return record.request
    version = record.held.spans[-1].version
    return replace(record.request, minimum_version=version, maximum_version=version)


def resumable_answer(record: RequestRecord, version: WeightVersion) -> PartialAnswer:
    """Return the partial answer that an attempt under a version resumes from.

    A partial answer of another version is dropped if none of it was streamed, unless the tenant
    allows mixed versions.
    """
    if record.mixed_versions or record.streamed_tokens > 0 or record.held.token_count == 0:
        return record.held
    if record.held.spans[-1].version != version:
        return PartialAnswer()
    return record.held


def hedge_delay(record: RequestRecord, delays: DelayWindow, config: RequestConfig) -> float | None:
    """Return the delay after which a hedge is started; None if the request is not hedged.

    Only repeatable, interactive requests are hedged that are not streamed: without a seed, two
    attempts answer differently, and for rollouts throughput matters more than latency. The delay
    is a percentile of recent first-token delays.
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
    """Return whether a hedge is still useful for a first attempt: it has no chunk yet."""
    if first.last_chunk_at is not None or len(record.attempts) > 1:
        return False
    return record.request.repeatable and not record.stream


def stall_deadline(attempt: Attempt, config: RequestConfig) -> float:
    """Return when an attempt is cancelled unless a chunk arrives first."""
    if attempt.last_chunk_at is None:
        return attempt.started_at + config.first_token_seconds
    return attempt.last_chunk_at + config.stall_seconds


def outcome_is_unknown(record: RequestRecord) -> bool:
    """Return whether the request may have run and must not run again."""
    return not record.request.repeatable and record.may_have_run


def may_retry(record: RequestRecord, pause_seconds: float, config: RetryConfig, now: float) -> bool:
    """Return whether attempts and time are left for a retry; the retry budget is not checked."""
    if record.attempt_count >= config.maximum_attempts:
        return False
    return now + pause_seconds < record.request.deadline


def retries_immediately(record: RequestRecord, outcome: AttemptClass) -> bool:
    """Return whether a retry needs no backoff.

    True for the first retry of an attempt refused or not sent: another engine may have capacity.
    """
    return outcome is not AttemptClass.MAY_HAVE_RUN and record.attempt_count <= 1


def next_engine_search_at(record: RequestRecord, config: RetryConfig, now: float) -> float | None:
    """Return when to search for an eligible engine again; None if the request fails instead."""
    waited = 0.0 if record.no_engine_since is None else now - record.no_engine_since
    again = now + config.no_engine_interval_seconds
    if waited >= config.no_engine_limit_seconds or again >= record.request.deadline:
        return None
    return again
