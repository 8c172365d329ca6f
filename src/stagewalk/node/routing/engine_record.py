"""State of one engine at a node: machine list entry, last report, own attempts, recent failures.

Corrects the reported load for this node's own attempts. The other fields are updated by `evidence`
and `outliers`.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from stagewalk.common.identities import AttemptId, EngineName, WeightVersion
from stagewalk.node.core.platform import EngineReport, EngineState, Machine, MachineState

MAXIMUM_ENDED_ATTEMPTS = 256
"""Most ended attempts kept until a newer report no longer counts them: bounds memory."""


@dataclass(frozen=True, slots=True)
class AttemptLoad:
    """What one of this node's attempts adds to an engine's load."""

    started_at: float
    expected_tokens: float


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt of this node that the engine's last report still counts."""

    ended_at: float
    load: AttemptLoad


@dataclass(slots=True)
class EngineRecord:
    """Mutable state of one engine; all times are in seconds of this node's clock.

    Attributes
    ----------
    evidence_until
        When the last accepted report expires.
    reported_at
        When the report was made, translated to this node's clock.
    clock_offset, clock_offset_at
        Smallest difference seen between a report's arrival and its `generated_at`, and when it
        was last updated.
    refused_at, refused_until, spared_until
        When the engine last refused work, and until when it gets no new work: indefinitely,
        until a report made after the refusal arrives, which shortens it to `spared_until`.
    ejected_until
        The engine is ejected as an outlier until then.
    added_sequences, added_tokens
        Correction of the reported load for this node's attempts; negative if more of them
        ended than started since the report.
    cached_blocks
        Hashes of prompt blocks the engine probably caches, least recently used first.
    sequence_rate
        Last reported tokens per second of one sequence; 0 if none was reported.
    """

    machine: Machine
    report: EngineReport | None = None
    evidence_until: float = -math.inf
    reported_at: float = -math.inf
    clock_offset: float = math.inf
    clock_offset_at: float = 0.0
    poll_sent_at: float | None = None
    serving_since: float = -math.inf
    refused_at: float = -math.inf
    refused_until: float = -math.inf
    spared_until: float = -math.inf
    failures_in_row: int = 0
    ejections_in_row: int = 0
    ejected_until: float = -math.inf
    attempts: dict[AttemptId, AttemptLoad] = field(default_factory=dict)
    ended: list[EndedAttempt] = field(default_factory=list)
    added_sequences: int = 0
    added_tokens: float = 0.0
    cached_blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence_rate: float = 0.0
    name: EngineName = field(init=False)

    def __post_init__(self) -> None:
        self.name = EngineName(self.machine.name)

    @property
    def version(self) -> WeightVersion | None:
        """Return the weight version the engine last reported."""
        return None if self.report is None else self.report.active_version

    @property
    def load(self) -> int:
        """Return the sequences at the engine, corrected for this node's own attempts."""
        if self.report is None:
            return 0
        return max(0, self.report.running + self.report.waiting + self.added_sequences)

    def serves(self, now: float) -> bool:
        """Return whether a report that is still valid says that the engine takes new work."""
        return (
            self.report is not None
            and now <= self.evidence_until
            and self.report.state is EngineState.SERVING
            and now >= self.refused_until
            and self.machine.state is not MachineState.LEAVING
        )

    def begin_attempt(self, attempt: AttemptId, load: AttemptLoad) -> None:
        """Add an attempt that the last report doesn't count yet."""
        self.attempts[attempt] = load
        self.added_sequences += 1
        self.added_tokens += load.expected_tokens

    def end_attempt(self, attempt: AttemptId, now: float) -> None:
        """Remove an attempt and subtract it from the load, including a reported one."""
        load = self.attempts.pop(attempt, None)
        if load is None:
            return
        self.added_sequences -= 1
        self.added_tokens -= load.expected_tokens
        self.ended.append(EndedAttempt(now, load))
        del self.ended[:-MAXIMUM_ENDED_ATTEMPTS]

    def apply_report(self, report: EngineReport, reported_at: float) -> None:
        """Store a newer report and recompute the correction for attempts it doesn't reflect."""
        self.report = report
        self.reported_at = reported_at
        self.ended = [end for end in self.ended if end.ended_at > reported_at]
        started = [load for load in self.attempts.values() if load.started_at > reported_at]
        gone = [end.load for end in self.ended if end.load.started_at <= reported_at]
        self.added_sequences = len(started) - len(gone)
        self.added_tokens = sum(load.expected_tokens for load in started) - sum(
            load.expected_tokens for load in gone
        )
        if report.running > 0 and report.tokens_per_second > 0:
            self.sequence_rate = report.tokens_per_second / report.running

    def reset(self) -> None:
        """Reset all state after a restart of the engine, which ended its attempts."""
        fresh = EngineRecord(machine=self.machine)
        for name in EngineRecord.__dataclass_fields__:
            setattr(self, name, getattr(fresh, name))
