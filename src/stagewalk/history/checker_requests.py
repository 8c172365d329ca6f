"""Checks the outcomes that callers received against what engines executed.

Groups the observations of each request; `answer_text` reads versions and identity from the text.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from stagewalk.common.errors import ExecutionStatus
from stagewalk.history.answer_text import parse_answer, spans_from_text, wholeness_fault
from stagewalk.history.checker_verdict import Promise, Verdict
from stagewalk.history.observations import (
    AnyObservation,
    RequestAnswered,
    RequestCut,
    RequestRefused,
    RequestSent,
    WorkEnded,
    WorkReceived,
)
from stagewalk.node.core.completions import VersionSpan, append_span


@dataclass(slots=True)
class RequestObservations:
    """All observations of one request, which may have been sent more than once."""

    subject: str
    sends: list[RequestSent] = field(default_factory=list)
    answers: list[RequestAnswered] = field(default_factory=list)
    refusals: list[RequestRefused] = field(default_factory=list)
    cuts: list[RequestCut] = field(default_factory=list)
    executions: list[WorkReceived] = field(default_factory=list)
    endings: list[WorkEnded] = field(default_factory=list)

    def events(self) -> list[AnyObservation]:
        """Return the observations in no particular order."""
        return [
            *self.sends,
            *self.answers,
            *self.refusals,
            *self.cuts,
            *self.executions,
            *self.endings,
        ]


def check_requests(history: Sequence[AnyObservation], verdict: Verdict) -> None:
    """Check `whole_answer`, `version_named`, `not_run_true` and `at_most_once` for requests."""
    for observed in group_by_request(history):
        if not observed.sends:
            _check_unrequested(observed, verdict)
            continue
        for answer in observed.answers:
            check_answer(observed, answer, verdict)
        for refusal in observed.refusals:
            if refusal.ran == ExecutionStatus.NO:
                _check_refusal(observed, refusal, verdict)
        if any(not send.repeatable for send in observed.sends):
            _check_at_most_once(observed, verdict)


def group_by_request(history: Sequence[AnyObservation]) -> list[RequestObservations]:
    """Group observations by tenant and request id, in order of first appearance."""
    by_request: dict[tuple[str, str], RequestObservations] = {}
    by_attempt: defaultdict[tuple[str, int, str], list[WorkEnded]] = defaultdict(list)
    for item in history:
        match item:
            case RequestSent():
                _observations_of(by_request, item).sends.append(item)
            case RequestAnswered():
                _observations_of(by_request, item).answers.append(item)
            case RequestRefused():
                _observations_of(by_request, item).refusals.append(item)
            case RequestCut():
                _observations_of(by_request, item).cuts.append(item)
            case WorkReceived():
                _observations_of(by_request, item).executions.append(item)
            case WorkEnded():
                by_attempt[item.engine, item.incarnation, item.attempt].append(item)
            case _:
                pass
    for observed in by_request.values():
        for work in observed.executions:
            observed.endings.extend(by_attempt[work.engine, work.incarnation, work.attempt])
    return list(by_request.values())


def _observations_of(
    by_request: dict[tuple[str, str], RequestObservations],
    item: RequestSent | RequestAnswered | RequestRefused | RequestCut | WorkReceived,
) -> RequestObservations:
    key = (item.tenant, item.request_id)
    if key not in by_request:
        by_request[key] = RequestObservations(f"request {item.tenant}/{item.request_id}")
    return by_request[key]


def _check_unrequested(observed: RequestObservations, verdict: Verdict) -> None:
    for answer in observed.answers:
        verdict.check(Promise.WHOLE_ANSWER)
        detail = f"{answer.caller} got an answer to a request nobody sent"
        verdict.violate(
            Promise.WHOLE_ANSWER, answer.at, observed.subject, detail, observed.events()
        )


def check_answer(observed: RequestObservations, answer: RequestAnswered, verdict: Verdict) -> None:
    """Check one answer against the request that its caller sent."""
    own = [send for send in observed.sends if send.caller == answer.caller and send.at <= answer.at]
    send = own[-1] if own else observed.sends[0]
    verdict.check(Promise.WHOLE_ANSWER)
    fault = wholeness_fault(answer.text, send.prompt, send.seed, send.expected_tokens)
    if not own:
        fault = f"{answer.caller} never sent it"
    if fault is not None:
        verdict.violate(Promise.WHOLE_ANSWER, answer.at, observed.subject, fault, observed.events())
    verdict.check(Promise.VERSION_NAMED)
    fault = version_fault(answer.text, answer.spans)
    if fault is not None:
        verdict.violate(
            Promise.VERSION_NAMED, answer.at, observed.subject, fault, observed.events()
        )


def version_fault(text: str, named: tuple[VersionSpan, ...]) -> str | None:
    """Return how the named versions differ from those that produced the text, or None."""
    if parse_answer(text) is None:
        return "the text does not tell its versions"
    merged: tuple[VersionSpan, ...] = ()
    for span in named:
        merged = append_span(merged, span.version, span.token_count)
    actual = spans_from_text(text)
    if merged == actual:
        return None
    return f"named {_spans(merged)}, produced by {_spans(actual)}"


def _spans(spans: tuple[VersionSpan, ...]) -> str:
    return "+".join(f"v{span.version}x{span.token_count}" for span in spans) or "nothing"


def _check_refusal(
    observed: RequestObservations, refusal: RequestRefused, verdict: Verdict
) -> None:
    """Check a refusal that stated "not run".

    Work started before the refusal contradicts it, whichever earlier send caused the work, since
    sends with one id are one request. Work started later contradicts it unless a send that had
    not been refused by then can have caused it.
    """
    verdict.check(Promise.NOT_RUN_TRUE)
    for work in observed.executions:
        if work.at <= refusal.at:
            detail = f"refused as not run by {refusal.node}, yet {work.engine} had begun it"
        elif not _open_sends(observed, work.at):
            detail = f"refused as not run by {refusal.node}, and {work.engine} ran it afterwards"
        else:
            continue
        verdict.violate(
            Promise.NOT_RUN_TRUE, refusal.at, observed.subject, detail, observed.events()
        )
        return


def _open_sends(observed: RequestObservations, at: float) -> list[RequestSent]:
    """Return the sends up to a time that were not refused as "not run" by then."""
    settled = [
        refusal
        for refusal in observed.refusals
        if refusal.at <= at and refusal.ran == ExecutionStatus.NO
    ]
    remaining = [send for send in observed.sends if send.at <= at]
    for refusal in settled:
        matching = [
            send
            for send in remaining
            if send.caller == refusal.caller and send.node == refusal.node and send.at <= refusal.at
        ]
        if matching:
            remaining.remove(matching[-1])
    return remaining


def _check_at_most_once(observed: RequestObservations, verdict: Verdict) -> None:
    verdict.check(Promise.AT_MOST_ONCE)
    begun: set[str] = set()
    executions = 0
    for work in sorted(observed.executions, key=lambda item: item.at):
        continues = work.resumed and work.attempt in begun
        begun.add(work.attempt)
        if continues:
            continue
        executions += 1
        if executions == 2:
            detail = f"{work.engine} executed a non-repeatable request a second time"
            verdict.violate(
                Promise.AT_MOST_ONCE, work.at, observed.subject, detail, observed.events()
            )
