"""Collects the log lines of one request, batch or item from many nodes. Pure.

A timeline holds the lines that name the id or an attempt made for it, and the events of its nodes
and workers at that time. Its first failure is the place to start an investigation.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from stagewalk.gateway.explain.log_line import LogLine

SURROUNDING_SECONDS = 2.0
"""Events this long before and after the id's own lines belong to the timeline."""

NODE_EVENTS = frozenset(
    {
        "gateway_started",
        "stop_requested",
        "gateway_stopped",
        "gateway_failed",
        "loop_stalled",
        "dependency_lost",
        "dependency_regained",
        "appends_stalled",
        "appends_resumed",
        "log_relayed",
        "log_history_dropped",
        "log_lines_dropped",
        "place_shares_changed",
        "plan_void",
        "lease_released",
    }
)
"""Events that affect all work of a node."""

WORKER_EVENTS = frozenset({"worker_changed", "worker_cold", "version_order"})
SYSTEM_EVENTS = frozenset({"lease_held", "version_named", "zone_evacuated", "zone_restored"})
"""Events that concern every batch. Every node logs them; only the first line is kept."""

_IDENTIFYING_FIELDS = ("request", "batch", "item", "window", "content")


class Kind(StrEnum):
    """What an id names."""

    REQUEST = "request"
    BATCH = "batch"
    ITEM = "item"
    CONTENT = "content"
    """Content of requests, possibly with different ids, during which workers crashed."""
    WINDOW = "window"
    """A time window of usage reports."""


_ENDINGS: dict[Kind, tuple[str, ...]] = {
    Kind.REQUEST: ("request_ended", "caller_denied"),
    Kind.BATCH: ("batch_ended", "batch_refused"),
    Kind.ITEM: ("item_finished",),
    Kind.CONTENT: ("request_held_back", "request_cleared", "held_request_lifted"),
    Kind.WINDOW: ("usage_reported",),
}
"""Events that end a request, batch, item, content or window."""


@dataclass(frozen=True, slots=True)
class Timeline:
    """The log lines of one id.

    Attributes
    ----------
    own
        Lines that name the id, or an attempt made for it, in time order.
    around
        Events of its nodes and workers at that time, in time order.
    unknown
        What the logs do not show, one sentence each.
    """

    identity: str
    kind: Kind
    own: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    unknown: tuple[str, ...]

    @property
    def lines(self) -> list[LogLine]:
        """Return all lines in time order."""
        return sorted([*self.own, *self.around], key=lambda line: line.at)

    @property
    def first_failure(self) -> LogLine | None:
        """Return the first failure among its own lines, else among surrounding events."""
        failures = [line for line in self.own if line.failure]
        around = [line for line in self.around if line.failure]
        return min(failures or around, key=lambda line: line.at, default=None)

    @property
    def ending(self) -> LogLine | None:
        """Return the last line that reports its end, None if there is none."""
        ended = [line for line in self.own if line.event in _ENDINGS[self.kind]]
        return ended[-1] if ended else None


@dataclass(slots=True)
class _SelectedLines:
    own: list[LogLine] = field(default_factory=list)
    nodes: set[str] = field(default_factory=set)
    workers: set[str] = field(default_factory=set)

    def add(self, line: LogLine) -> None:
        self.own.append(line)
        self.nodes.add(line.node)
        named = f"{line.get('worker')},{line.get('workers')}".split(",")
        self.workers.update(worker for worker in named if worker)


def find_timeline(identity: str, lines: Iterable[LogLine]) -> Timeline | None:
    """Return the timeline of an id, None if no line names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    kind = _kind_of(identity, ordered)
    if kind is None:
        return None
    selected = _select_lines(identity, kind, ordered)
    own = sorted(selected.own, key=lambda line: line.at)
    around = _surrounding_events(selected, own, ordered)
    return Timeline(
        identity, kind, tuple(own), tuple(around), tuple(_find_gaps(own, kind, ordered))
    )


def _kind_of(identity: str, lines: Sequence[LogLine]) -> Kind | None:
    """Return what an id names; a batch's id also names the request that submitted it."""
    named = {
        field_name
        for line in lines
        for field_name in _IDENTIFYING_FIELDS
        if line.get(field_name) == identity
    }
    kinds = (Kind.ITEM, Kind.BATCH, Kind.REQUEST, Kind.WINDOW, Kind.CONTENT)
    return next((kind for kind in kinds if kind in named), None)


def _select_lines(identity: str, kind: Kind, lines: Sequence[LogLine]) -> _SelectedLines:
    selected = _SelectedLines()
    attempts: set[tuple[str, str]] = set()
    batches: set[str] = set()
    for line in lines:
        named = line.get(kind.value) == identity
        attempt = (line.node, line.get("attempt"))
        if named and line.event == "item_started":
            attempts.add(attempt)
            batches.add(line.get("batch"))
        if named or (not line.get("item") and attempt in attempts):
            selected.add(line)
    if kind is Kind.ITEM:
        _add_batch_lines(selected, batches, lines)
    return selected


def _add_batch_lines(selected: _SelectedLines, batches: set[str], lines: Sequence[LogLine]) -> None:
    """Add the lines of an item's batches that name no item."""
    for line in lines:
        if line.get("batch") in batches and not line.get("item"):
            selected.add(line)


def _surrounding_events(
    selected: _SelectedLines, own: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[LogLine]:
    since = own[0].at - SURROUNDING_SECONDS
    until = own[-1].at + SURROUNDING_SECONDS
    own_ids = set(map(id, own))
    around: list[LogLine] = []
    seen: set[tuple[str, tuple[tuple[str, str], ...]]] = set()
    for line in lines:
        if not since <= line.at <= until or id(line) in own_ids or not _concerns(line, selected):
            continue
        signature = (line.event, line.fields)
        if line.event in WORKER_EVENTS | SYSTEM_EVENTS and signature in seen:
            continue
        seen.add(signature)
        around.append(line)
    return around


def _concerns(line: LogLine, selected: _SelectedLines) -> bool:
    if line.event in WORKER_EVENTS:
        return line.get("worker") in selected.workers and line.node in selected.nodes
    if line.event in SYSTEM_EVENTS:
        return line.node in selected.nodes
    return line.event in NODE_EVENTS and line.node in selected.nodes


def _find_gaps(own: Sequence[LogLine], kind: Kind, lines: Sequence[LogLine]) -> list[str]:
    """Return what the logs do not show: missing logs of runners, dropped lines, no ending."""
    sentences = _find_missing_logs(own, lines) + _find_dropped_lines(own, lines)
    endings = {event for events in _ENDINGS.values() for event in events}
    if not any(line.event in endings for line in own):
        sentences.append(_describe_missing_ending(own[-1], kind, lines))
    return sorted(sentences)


def _find_missing_logs(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    logged = {line.node for line in lines}
    runners = {line.get(name) for line in own for name in ("runner", "from_runner")}
    missing = {_node_of(runner) for runner in runners if runner} - logged
    return [f"no log of node {node} was given, which ran the batch" for node in missing]


def _find_dropped_lines(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    nodes = {line.node for line in own}
    return [
        f"node {line.node} dropped {line.get('count')} lines of {line.get('kind')}"
        for line in lines
        if line.event == "log_lines_dropped" and line.node in nodes
    ]


def _describe_missing_ending(last: LogLine, kind: Kind, lines: Sequence[LogLine]) -> str:
    restarted = [
        line
        for line in lines
        if line.event == "gateway_started" and line.node == last.node and line.at > last.at
    ]
    opening = f"no line tells how the {kind} ended"
    if restarted:
        seconds = restarted[0].at - last.at
        return f"{opening}: node {last.node} started anew {seconds:.1f} s after its last line"
    return f"{opening}: it was under way at node {last.node}, or that node's log ends early"


def _node_of(process: str) -> str:
    return process.rpartition("#")[0] or process
