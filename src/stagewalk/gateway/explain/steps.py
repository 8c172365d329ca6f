"""Breaks down the time of trainers' steps and of recoveries, from the logs of all nodes. Pure.

A step takes as long as its slowest items. The summary of a batch holds when it was submitted,
opened and ended, and for each finished item its start, its end, its scoring time and what
interrupted it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from stagewalk.gateway.explain.log_line import LogLine

RECOVERY_WINDOW_SECONDS = 1.5
"""Process starts within this time of the first one belong to the same recovery."""

MINIMUM_RESTARTED_SHARE = 0.8
"""Share of all nodes that have to start for a group of starts to count as a recovery."""


@dataclass(frozen=True, slots=True)
class ItemPath:
    """Timing of one finished item. Times are seconds since the batch was submitted.

    Attributes
    ----------
    first_start, finished
        When the first attempt started, and when the item finished.
    attempts
        Number of attempts started.
    cuts
        Why attempts were stopped or failed, in order.
    scoring
        Seconds from the last attempt's complete text to the result.
    """

    item: str
    first_start: float
    finished: float
    attempts: int
    cuts: tuple[str, ...]
    scoring: float


@dataclass(frozen=True, slots=True)
class StepSummary:
    """Timing of one batch. Times are seconds since it was submitted."""

    batch: str
    step: int
    submitted_at: float
    items: int
    opened: float
    runners: int
    listed: int
    ended: float
    paths: tuple[ItemPath, ...]

    def last(self, count: int) -> list[ItemPath]:
        """Return the `count` items that finished last, latest first."""
        return sorted(self.paths, key=lambda path: -path.finished)[:count]


@dataclass(frozen=True, slots=True)
class Recovery:
    """A restart of (nearly) all processes.

    Attributes
    ----------
    at
        When the last one started, in seconds since 1970.
    nodes
        Number of nodes that started.
    first_item
        Seconds from `at` to the start of the first item; negative if an item started before the
        last process, infinite if none did.
    """

    at: float
    nodes: int
    first_item: float


@dataclass(slots=True)
class _BatchEvents:
    submitted: LogLine
    opened: list[float] = field(default_factory=list)
    runners: set[str] = field(default_factory=set)
    ended: float = math.inf
    starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    finished: dict[str, float] = field(default_factory=dict)
    cuts: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    scored_from: dict[str, float] = field(default_factory=dict)


def summarize_steps(lines: Iterable[LogLine]) -> list[StepSummary]:
    """Return a summary of each batch in the logs, in the order of submission."""
    ordered = sorted(lines, key=lambda line: line.at)
    batches: dict[str, _BatchEvents] = {}
    attempts: dict[tuple[str, str], tuple[str, str]] = {}
    for line in ordered:
        if line.event == "batch_submitted" and line.get("batch") not in batches:
            batches[line.get("batch")] = _BatchEvents(line)
        if line.event == "item_started":
            attempts[(line.node, line.get("attempt"))] = line.get("batch"), line.get("item")
        _apply_line(line, batches, attempts)
    return [_summarize(batch, step) for batch, step in batches.items()]


def find_recoveries(lines: Iterable[LogLine]) -> list[Recovery]:
    """Return the restarts of (nearly) all processes, without their first start."""
    ordered = sorted(lines, key=lambda line: line.at)
    starts = [line for line in ordered if line.event == "gateway_started"]
    items = [line.at for line in ordered if line.event == "item_started"]
    nodes = {line.node for line in starts}
    restarts = [
        group
        for group in _group_starts(starts)
        if len({line.node for line in group}) >= MINIMUM_RESTARTED_SHARE * len(nodes)
    ]
    return [_make_recovery(group, items) for group in restarts[1:]]


def _group_starts(starts: Sequence[LogLine]) -> list[list[LogLine]]:
    groups: list[list[LogLine]] = []
    for line in starts:
        if groups and line.at - groups[-1][0].at < RECOVERY_WINDOW_SECONDS:
            groups[-1].append(line)
        else:
            groups.append([line])
    return groups


def _make_recovery(group: Sequence[LogLine], items: Sequence[float]) -> Recovery:
    at = group[-1].at
    first = min((item for item in items if item >= group[0].at), default=math.inf)
    return Recovery(at, len({line.node for line in group}), first - at)


def _apply_line(
    line: LogLine,
    batches: dict[str, _BatchEvents],
    attempts: dict[tuple[str, str], tuple[str, str]],
) -> None:
    batch, item = line.get("batch"), line.get("item")
    if line.event in {"item_stopped", "item_attempt_failed"}:
        batch, item = attempts.get((line.node, line.get("attempt")), (batch, item))
    step = batches.get(batch)
    if step is None:
        return
    match line.event:
        case "batch_opened":
            step.opened.append(line.at)
            step.runners.add(line.node)
        case "batch_ended":
            step.ended = min(step.ended, line.at)
        case "item_started":
            step.starts[item].append(line.at)
        case "item_stopped":
            step.cuts[item].append(line.get("reason"))
        case "item_attempt_failed":
            step.cuts[item].append(f"{line.get('fault')} ({line.get('detail')})")
        case "text_whole":
            step.scored_from[item] = line.at
        case "item_finished":
            step.finished.setdefault(item, line.at)


def _summarize(batch: str, step: _BatchEvents) -> StepSummary:
    began = step.submitted.at
    paths = [
        ItemPath(
            item,
            min(step.starts[item], default=at) - began,
            at - began,
            len(step.starts[item]),
            tuple(step.cuts[item]),
            at - step.scored_from.get(item, at),
        )
        for item, at in step.finished.items()
    ]
    return StepSummary(
        batch,
        int(step.submitted.get("step") or 0),
        began,
        int(step.submitted.get("items") or 0),
        min(step.opened, default=math.inf) - began,
        len(step.runners),
        len(step.finished),
        step.ended - began,
        tuple(paths),
    )
