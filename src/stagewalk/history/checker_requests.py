"""Checks the outcomes that callers received against what engines executed.

Owns the stories of requests; relies on `answer_text` for the truth that a text states of itself.
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
class RequestStory:
    """All that was observed of one request, which may have been sent more than once."""

    subject: str
    sends: list[RequestSent] = field(default_factory=list)
    answers: list[RequestAnswered] = field(default_factory=list)
    refusals: list[RequestRefused] = field(default_factory=list)
    cuts: list[RequestCut] = field(default_factory=list)
    executions: list[WorkReceived] = field(default_factory=list)
    endings: list[WorkEnded] = field(default_factory=list)

    def events(self) -> list[AnyObservation]:
        """Return its observations in no particular order."""
        return [
            *self.sends,
            *self.answers,
            *self.refusals,
            *self.cuts,
            *self.executions,
            *self.endings,
        ]


def check_requests(history: Sequence[AnyObservation], verdict: Verdict) -> None:
    """Judge whole_answer, version_named, not_run_true and at_most_once of callers' requests."""
    for story in collect_stories(history):
        if not story.sends:
            _check_unasked(story, verdict)
            continue
        for answer in story.answers:
            check_answer(story, answer, verdict)
        for refusal in story.refusals:
            if refusal.ran == ExecutionStatus.NO:
                _check_refusal(story, refusal, verdict)
        if any(not send.repeatable for send in story.sends):
            _check_at_most_once(story, verdict)


def collect_stories(history: Sequence[AnyObservation]) -> list[RequestStory]:
    """Group observations by tenant and request id, in order of first appearance."""
    stories: dict[tuple[str, str], RequestStory] = {}
    by_attempt: defaultdict[tuple[str, int, str], list[WorkEnded]] = defaultdict(list)
    for item in history:
        match item:
            case RequestSent():
                _story(stories, item).sends.append(item)
            case RequestAnswered():
                _story(stories, item).answers.append(item)
            case RequestRefused():
                _story(stories, item).refusals.append(item)
            case RequestCut():
                _story(stories, item).cuts.append(item)
            case WorkReceived():
                _story(stories, item).executions.append(item)
            case WorkEnded():
                by_attempt[item.engine, item.incarnation, item.attempt].append(item)
            case _:
                pass
    for story in stories.values():
        for work in story.executions:
            story.endings.extend(by_attempt[work.engine, work.incarnation, work.attempt])
    return list(stories.values())


def _story(
    stories: dict[tuple[str, str], RequestStory],
    item: RequestSent | RequestAnswered | RequestRefused | RequestCut | WorkReceived,
) -> RequestStory:
    key = (item.tenant, item.request_id)
    if key not in stories:
        stories[key] = RequestStory(f"request {item.tenant}/{item.request_id}")
    return stories[key]


def _check_unasked(story: RequestStory, verdict: Verdict) -> None:
    for answer in story.answers:
        verdict.check(Promise.WHOLE_ANSWER)
        detail = f"{answer.caller} got an answer to a request nobody sent"
        verdict.violate(Promise.WHOLE_ANSWER, answer.at, story.subject, detail, story.events())


def check_answer(story: RequestStory, answer: RequestAnswered, verdict: Verdict) -> None:
    """Judge one answer against the request as the same caller sent it."""
    own = [send for send in story.sends if send.caller == answer.caller and send.at <= answer.at]
    send = own[-1] if own else story.sends[0]
    verdict.check(Promise.WHOLE_ANSWER)
    fault = wholeness_fault(answer.text, send.prompt, send.seed, send.expected_tokens)
    if not own:
        fault = f"{answer.caller} never sent it"
    if fault is not None:
        verdict.violate(Promise.WHOLE_ANSWER, answer.at, story.subject, fault, story.events())
    verdict.check(Promise.VERSION_NAMED)
    fault = naming_fault(answer.text, answer.spans)
    if fault is not None:
        verdict.violate(Promise.VERSION_NAMED, answer.at, story.subject, fault, story.events())


def naming_fault(text: str, named: tuple[VersionSpan, ...]) -> str | None:
    """Return how the named versions differ from those that produced the text, or None."""
    if parse_answer(text) is None:
        return "the text does not tell its versions"
    merged: tuple[VersionSpan, ...] = ()
    for span in named:
        merged = append_span(merged, span.version, span.token_count)
    truth = spans_from_text(text)
    if merged == truth:
        return None
    return f"named {_spans(merged)}, produced by {_spans(truth)}"


def _spans(spans: tuple[VersionSpan, ...]) -> str:
    return "+".join(f"v{span.version}x{span.token_count}" for span in spans) or "nothing"


def _check_refusal(story: RequestStory, refusal: RequestRefused, verdict: Verdict) -> None:
    """Judge a refusal that said "not run".

    Work begun before the refusal proves it false, whichever earlier send caused the work: the
    same id is the same request. Work begun later proves it false unless a send that had not
    been refused by then can have caused it.
    """
    verdict.check(Promise.NOT_RUN_TRUE)
    for work in story.executions:
        if work.at <= refusal.at:
            detail = f"refused as not run by {refusal.node}, yet {work.engine} had begun it"
        elif not _open_sends(story, work.at):
            detail = f"refused as not run by {refusal.node}, and {work.engine} ran it afterwards"
        else:
            continue
        verdict.violate(Promise.NOT_RUN_TRUE, refusal.at, story.subject, detail, story.events())
        return


def _open_sends(story: RequestStory, at: float) -> list[RequestSent]:
    """Return the sends before a time that no refusal as "not run" had settled by then."""
    settled = [
        refusal
        for refusal in story.refusals
        if refusal.at <= at and refusal.ran == ExecutionStatus.NO
    ]
    remaining = [send for send in story.sends if send.at <= at]
    for refusal in settled:
        matching = [
            send
            for send in remaining
            if send.caller == refusal.caller and send.node == refusal.node and send.at <= refusal.at
        ]
        if matching:
            remaining.remove(matching[-1])
    return remaining


def _check_at_most_once(story: RequestStory, verdict: Verdict) -> None:
    verdict.check(Promise.AT_MOST_ONCE)
    begun: set[str] = set()
    executions = 0
    for work in sorted(story.executions, key=lambda item: item.at):
        continues = work.resumed and work.attempt in begun
        begun.add(work.attempt)
        if continues:
            continue
        executions += 1
        if executions == 2:
            detail = f"{work.engine} executed a non-repeatable request a second time"
            verdict.violate(Promise.AT_MOST_ONCE, work.at, story.subject, detail, story.events())
