"""Checks that nodes apply accepted configuration within the deadline and never revert it.

Holds the timeline of accepted changes and the deadline; an oracle decides what is accepted.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from stagewalk.history.checker_verdict import Promise, Verdict
from stagewalk.history.observations import (
    AnyObservation,
    ConfigurationSeen,
    FaultInjected,
    PublishAnswered,
    RecordAppended,
)
from stagewalk.node.configuration.parameters import TenantParameters

CONFIGURATION_STREAM = "configuration"
CONFIGURATION_DEADLINE_SECONDS = 10.0
"""Maximum time between the acceptance of a record and its use by every node."""

EVERY_NODE = "*"
"""Target of a `FaultInjected` that affects every node."""

LOG_UNREACHABLE_KINDS = frozenset({"log_down", "log_slow", "partition", "pause"})
"""Faults during which the targeted node can't reach the log or its peers."""


class ConfigurationOracle(Protocol):
    """The rules by which published records are accepted, applied one by one."""

    def apply(self, record: RecordAppended) -> bool:
        """Apply the next record of the stream; return whether it was accepted."""
        ...

    def parameters(self) -> dict[str, TenantParameters]:
        """Return the parameters in force, by tenant."""
        ...

    def revisions(self) -> dict[str, int]:
        """Return the revisions in force, by tenant."""
        ...

    def digest(self) -> str:
        """Return the digest that a node in this state reports."""
        ...


@dataclass(frozen=True, slots=True)
class StalenessBounds:
    """The loosest bounds that may have applied to a tenant; `None` seconds: no bound."""

    versions: int
    seconds: float | None


@dataclass(frozen=True, slots=True)
class _Accepted:
    at: float
    record: RecordAppended
    parameters: dict[str, TenantParameters]


@dataclass(frozen=True, slots=True)
class _State:
    revisions: dict[str, int]
    digest: str


@dataclass(slots=True)
class ConfigurationTimeline:
    """Which configuration was accepted when, computed from the records in the log."""

    accepted: list[_Accepted] = field(default_factory=list)
    accepted_ids: set[str] = field(default_factory=set)
    rejected: dict[str, RecordAppended] = field(default_factory=dict)
    faults: list[FaultInjected] = field(default_factory=list)
    states: dict[int, _State] = field(default_factory=dict)

    def due(self, at: float) -> RecordAppended | None:
        """Return the last accepted record that must be in force by a time."""
        count = bisect_right(
            self.accepted, at - CONFIGURATION_DEADLINE_SECONDS, key=lambda item: item.at
        )
        return self.accepted[count - 1].record if count else None

    def log_outage(self, node: str | None, at: float) -> FaultInjected | None:
        """Return a fault that cut a node (None: any) off from the log within the deadline."""
        for fault in self.faults:
            concerned = node is None or fault.target in {EVERY_NODE, node}
            if concerned and fault.at <= at and fault.until >= at - CONFIGURATION_DEADLINE_SECONDS:
                return fault
        return None

    def bounds(self, tenant: str, at: float) -> StalenessBounds | None:
        """Return the loosest bounds that can have been in force for a tenant at a time.

        A node may lag behind the log by `CONFIGURATION_DEADLINE_SECONDS`, and by as long as it
        cannot reach the log.
        """
        since = at - CONFIGURATION_DEADLINE_SECONDS
        fault = self.log_outage(None, since)
        while fault is not None:
            since = fault.at - CONFIGURATION_DEADLINE_SECONDS
            fault = self.log_outage(None, since)
        first = max(0, bisect_right(self.accepted, since, key=lambda item: item.at) - 1)
        candidates = [
            item.parameters[tenant]
            for item in self.accepted[first:]
            if item.at <= at and tenant in item.parameters
        ]
        if not candidates:
            return None
        seconds = [item.staleness_bound_seconds for item in candidates]
        limited = [value for value in seconds if value is not None]
        return StalenessBounds(
            versions=max(item.staleness_bound_versions for item in candidates),
            seconds=max(limited) if len(limited) == len(seconds) else None,
        )


def fold_timeline(
    history: Sequence[AnyObservation], oracle: ConfigurationOracle
) -> ConfigurationTimeline:
    """Apply the configuration records in log order and return the resulting timeline."""
    timeline = ConfigurationTimeline()
    timeline.states[0] = _State(oracle.revisions(), oracle.digest())
    records = [
        item
        for item in history
        if isinstance(item, RecordAppended) and item.stream == CONFIGURATION_STREAM
    ]
    for record in sorted(records, key=lambda item: item.offset):
        accepted = oracle.apply(record)
        timeline.states[record.offset + 1] = _State(oracle.revisions(), oracle.digest())
        if accepted:
            timeline.accepted_ids.add(record.record_id)
            timeline.accepted.append(_Accepted(record.at, record, oracle.parameters()))
        else:
            timeline.rejected[record.record_id] = record
    timeline.faults = [
        item
        for item in history
        if isinstance(item, FaultInjected) and item.kind in LOG_UNREACHABLE_KINDS
    ]
    return timeline


def check_configuration(
    history: Sequence[AnyObservation], timeline: ConfigurationTimeline, verdict: Verdict
) -> None:
    """Check `config_in_force`."""
    last_seen: dict[tuple[str, int], ConfigurationSeen] = {}
    first_seen_at: dict[tuple[str, int], float] = {}
    for item in history:
        if isinstance(item, ConfigurationSeen):
            verdict.check(Promise.CONFIG_IN_FORCE)
            incarnation = (item.node, item.incarnation)
            first_seen_at.setdefault(incarnation, item.at)
            _check_in_force(item, first_seen_at[incarnation], timeline, verdict)
            _check_not_reverted(item, last_seen.get(incarnation), verdict)
            _check_state(item, timeline, verdict)
            last_seen[incarnation] = item
        elif isinstance(item, PublishAnswered) and item.accepted:
            _check_publish(item, timeline, verdict)


def _check_in_force(
    seen: ConfigurationSeen, first_at: float, timeline: ConfigurationTimeline, verdict: Verdict
) -> None:
    due = timeline.due(seen.at)
    if (
        due is None
        or seen.offset > due.offset
        or seen.at < first_at + CONFIGURATION_DEADLINE_SECONDS
    ):
        return
    if timeline.log_outage(seen.node, seen.at) is not None:
        return
    late = seen.at - due.at
    detail = f"offset {due.offset} was not in force {late:.1f} s after the log took it"
    verdict.violate(Promise.CONFIG_IN_FORCE, seen.at, f"node {seen.node}", detail, [due, seen])


def _check_not_reverted(
    seen: ConfigurationSeen, before: ConfigurationSeen | None, verdict: Verdict
) -> None:
    if before is None or seen.offset >= before.offset:
        return
    detail = f"went back from offset {before.offset} to {seen.offset}"
    verdict.violate(Promise.CONFIG_IN_FORCE, seen.at, f"node {seen.node}", detail, [before, seen])


def _check_state(
    seen: ConfigurationSeen, timeline: ConfigurationTimeline, verdict: Verdict
) -> None:
    """Compare with the state that results from the records in the log."""
    expected = timeline.states.get(seen.offset)
    if expected is None:
        wrong = "the log holds no such offset"
    elif expected.revisions != seen.revisions:
        names = sorted(expected.revisions.keys() | seen.revisions.keys())
        wrong = ", ".join(
            f"{name} at {seen.revisions.get(name)} instead of {expected.revisions.get(name)}"
            for name in names
            if expected.revisions.get(name) != seen.revisions.get(name)
        )
    elif expected.digest != seen.digest:
        wrong = f"digest {seen.digest} instead of {expected.digest}"
    else:
        return
    detail = f"at offset {seen.offset}: {wrong}"
    verdict.violate(Promise.CONFIG_IN_FORCE, seen.at, f"node {seen.node}", detail, [seen])


def _check_publish(
    answered: PublishAnswered, timeline: ConfigurationTimeline, verdict: Verdict
) -> None:
    verdict.check(Promise.CONFIG_IN_FORCE)
    if answered.record_id in timeline.accepted_ids:
        return
    rejected = timeline.rejected.get(answered.record_id)
    reason = "the rules reject the record" if rejected else "the log never took the record"
    detail = f"{answered.operator} was told that a change is accepted, but {reason}"
    events: list[AnyObservation] = [answered]
    events.extend([rejected] if rejected is not None else [])
    verdict.violate(
        Promise.CONFIG_IN_FORCE, answered.at, f"record {answered.record_id}", detail, events
    )
