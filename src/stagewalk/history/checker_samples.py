"""Checks accepted samples for completeness, versions, staleness and duplicate delivery.

The versions come from `answer_text`, the staleness bounds in force from the timeline of
`checker_configuration`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from stagewalk.common.identities import SampleSlotKey, TenantName
from stagewalk.history.answer_text import parse_answer, wholeness_fault
from stagewalk.history.checker_configuration import ConfigurationTimeline
from stagewalk.history.checker_requests import version_fault
from stagewalk.history.checker_verdict import Promise, Verdict
from stagewalk.history.observations import (
    AnyObservation,
    SampleAccepted,
    StepCompleted,
    StepStarted,
)

DELIVERY_GRACE_SECONDS = 2.0
"""Allowance for the transfer of a sample to its trainer after the service's last age check."""

StepKey = tuple[str, str, int]


def check_samples(
    history: Sequence[AnyObservation], timeline: ConfigurationTimeline, verdict: Verdict
) -> None:
    """Check `version_named`, `whole_answer`, `staleness_bound` and `exactly_once` for samples."""
    accepted: defaultdict[SampleSlotKey, list[SampleAccepted]] = defaultdict(list)
    for item in history:
        if isinstance(item, SampleAccepted):
            accepted[_slot(item)].append(item)
            _check_content(item, verdict)
            _check_staleness(item, timeline, verdict)
    _check_accepted_once(accepted, verdict)
    _check_completed_steps(history, accepted, verdict)


def _slot(sample: SampleAccepted) -> SampleSlotKey:
    return SampleSlotKey(
        TenantName(sample.tenant),
        sample.trainer,
        sample.step,
        sample.prompt_id,
        sample.sample_index,
    )


def _check_content(sample: SampleAccepted, verdict: Verdict) -> None:
    subject = f"sample {_slot(sample)}"
    verdict.check(Promise.WHOLE_ANSWER)
    fault = wholeness_fault(sample.text, sample.prompt, sample.seed, sample.expected_tokens)
    if fault is not None:
        verdict.violate(Promise.WHOLE_ANSWER, sample.at, subject, fault, [sample])
    verdict.check(Promise.VERSION_NAMED)
    fault = version_fault(sample.text, sample.spans)
    if fault is not None:
        verdict.violate(Promise.VERSION_NAMED, sample.at, subject, fault, [sample])


def _check_staleness(
    sample: SampleAccepted, timeline: ConfigurationTimeline, verdict: Verdict
) -> None:
    """Compare the versions encoded in a sample's text with its tenant's bounds."""
    bounds = timeline.bounds(sample.tenant, sample.at)
    chunks = parse_answer(sample.text)
    if bounds is None or not chunks:
        return
    verdict.check(Promise.STALENESS_BOUND)
    oldest = min(chunk.version for chunk in chunks)
    lag = sample.trainer_version - oldest
    subject = f"sample {_slot(sample)}"
    if lag > bounds.versions:
        detail = f"{lag} versions behind version {sample.trainer_version}, bound {bounds.versions}"
        verdict.violate(Promise.STALENESS_BOUND, sample.at, subject, detail, [sample])
    elif (
        bounds.seconds is not None and sample.age_seconds > bounds.seconds + DELIVERY_GRACE_SECONDS
    ):
        detail = f"superseded {sample.age_seconds:.1f} s ago, bound {bounds.seconds} s"
        verdict.violate(Promise.STALENESS_BOUND, sample.at, subject, detail, [sample])


def _check_accepted_once(
    accepted: dict[SampleSlotKey, list[SampleAccepted]], verdict: Verdict
) -> None:
    for slot, samples in accepted.items():
        verdict.check(Promise.EXACTLY_ONCE)
        if len(samples) > 1:
            detail = f"delivered {len(samples)} times"
            verdict.violate(Promise.EXACTLY_ONCE, samples[1].at, f"sample {slot}", detail, samples)


def _check_completed_steps(
    history: Sequence[AnyObservation],
    accepted: dict[SampleSlotKey, list[SampleAccepted]],
    verdict: Verdict,
) -> None:
    started: dict[StepKey, StepStarted] = {}
    filled: defaultdict[StepKey, int] = defaultdict(int)
    for slot in accepted:
        filled[slot.tenant, slot.trainer, slot.step] += 1
    for item in history:
        if isinstance(item, StepStarted):
            started.setdefault((item.tenant, item.trainer, item.step), item)
        elif isinstance(item, StepCompleted):
            key = (item.tenant, item.trainer, item.step)
            verdict.check(Promise.EXACTLY_ONCE)
            begun = started.get(key)
            if begun is None or filled[key] != begun.slots:
                expected = "unknown" if begun is None else begun.slots
                detail = f"completed with {filled[key]} of {expected} slots delivered"
                subject = f"step {item.tenant}/{item.trainer}/{item.step}"
                events: list[AnyObservation] = [item]
                events.extend([] if begun is None else [begun])
                verdict.violate(Promise.EXACTLY_ONCE, item.at, subject, detail, events)
