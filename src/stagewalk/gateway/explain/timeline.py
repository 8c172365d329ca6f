"""Finds one request's, batch's or item's lines among those of many nodes, and what went wrong.
Pure.

A story holds the lines that name the id, the attempts made for it, and the events of its nodes and
workers meanwhile; the first failure among them is where to look. Owns the rules of which lines
belong to an id; relies on `log_line` for parsed lines and on the names of the events listed here.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from stagewalk.gateway.explain.log_line import LogLine

SURROUNDING_SECONDS = 2.0
"""How long before and after the id's own lines other events count."""

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
"""Events of a node that touch all its work."""

WORKER_EVENTS = frozenset({"worker_changed", "worker_cold", "version_order"})
SYSTEM_EVENTS = frozenset({"lease_held", "version_named", "zone_evacuated", "zone_restored"})
"""Events that concern every batch. Every node logs them; the first line is enough."""

_IDENTIFYING_FIELDS = ("request", "batch", "item", "window", "content")


class Kind(StrEnum):
    """What an id names."""

    REQUEST = "request"
    BATCH = "batch"
    ITEM = "item"
    CONTENT = "content"
    """What requests of several ids have in common, where workers ended under them."""
    WINDOW = "window"
    """A window of time that usage is reported for."""


_ENDINGS: dict[Kind, tuple[str, ...]] = {
    Kind.REQUEST: ("request_ended", "caller_denied"),
    Kind.BATCH: ("batch_ended", "batch_refused"),
    Kind.ITEM: ("item_finished",),
    Kind.CONTENT: ("request_held_back", "request_cleared", "held_request_lifted"),
    Kind.WINDOW: ("usage_reported",),
}
"""Events that end what an id names."""


@dataclass(frozen=True, slots=True)
class Timeline:
    """What the logs hold on an id.

    Attributes
    ----------
    own
        The lines that name it, or an attempt made for it, in time order.
    around
        Events of its nodes and workers meanwhile, in time order.
    unknown
        What the logs at hand leave open, one sentence each.
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
        """Return the first thing that went wrong with it, or around it if nothing did."""
        failures = [line for line in self.own if line.failure]
        around = [line for line in self.around if line.failure]
        return min(failures or around, key=lambda line: line.at, default=None)

    @property
    def ending(self) -> LogLine | None:
        """Return the line that ended it, None if there is none."""
        ended = [line for line in self.own if line.event in _ENDINGS[self.kind]]
        return ended[-1] if ended else None


@dataclass(slots=True)
class _Gathered:
    own: list[LogLine] = field(default_factory=list)
    nodes: set[str] = field(default_factory=set)
    workers: set[str] = field(default_factory=set)

    def add(self, line: LogLine) -> None:
        self.own.append(line)
        self.nodes.add(line.node)
        named = f"{line.get('worker')},{line.get('workers')}".split(",")
        self.workers.update(worker for worker in named if worker)


def find_timeline(identity: str, lines: Iterable[LogLine]) -> Timeline | None:
    """Return the story of an id, None if no line names it."""
    ordered = sorted(lines, key=lambda line: line.at)
    kind = _kind_of(identity, ordered)
    if kind is None:
        return None
    gathered = _gather(identity, kind, ordered)
    own = sorted(gathered.own, key=lambda line: line.at)
    around = _around(gathered, own, ordered)
    return Timeline(identity, kind, tuple(own), tuple(around), tuple(_unknown(own, kind, ordered)))


def _kind_of(identity: str, lines: Sequence[LogLine]) -> Kind | None:
    """Return what an id names. A batch is submitted as a request: it counts as a batch."""
    named = {
        field_name
        for line in lines
        for field_name in _IDENTIFYING_FIELDS
        if line.get(field_name) == identity
    }
    kinds = (Kind.ITEM, Kind.BATCH, Kind.REQUEST, Kind.WINDOW, Kind.CONTENT)
    return next((kind for kind in kinds if kind in named), None)


def _gather(identity: str, kind: Kind, lines: Sequence[LogLine]) -> _Gathered:
    gathered = _Gathered()
    attempts: set[tuple[str, str]] = set()
    batches: set[str] = set()
    for line in lines:
        named = line.get(kind.value) == identity
        attempt = (line.node, line.get("attempt"))
        if named and line.event == "item_started":
            attempts.add(attempt)
            batches.add(line.get("batch"))
        if named or (not line.get("item") and attempt in attempts):
            gathered.add(line)
    if kind is Kind.ITEM:
        _add_batch_lines(gathered, batches, lines)
    return gathered


def _add_batch_lines(gathered: _Gathered, batches: set[str], lines: Sequence[LogLine]) -> None:
    """Add the lines of an item's batches that name no item."""
    for line in lines:
        if line.get("batch") in batches and not line.get("item"):
            gathered.add(line)


def _around(gathered: _Gathered, own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[LogLine]:
    since = own[0].at - SURROUNDING_SECONDS
    until = own[-1].at + SURROUNDING_SECONDS
    mine = set(map(id, own))
    around: list[LogLine] = []
    seen: set[tuple[str, tuple[tuple[str, str], ...]]] = set()
    for line in lines:
        if not since <= line.at <= until or id(line) in mine or not _concerns(line, gathered):
            continue
        news = (line.event, line.fields)
        if line.event in WORKER_EVENTS | SYSTEM_EVENTS and news in seen:
            continue
        seen.add(news)
        around.append(line)
    return around


def _concerns(line: LogLine, gathered: _Gathered) -> bool:
    if line.event in WORKER_EVENTS:
        return line.get("worker") in gathered.workers and line.node in gathered.nodes
    if line.event in SYSTEM_EVENTS:
        return line.node in gathered.nodes
    return line.event in NODE_EVENTS and line.node in gathered.nodes


def _unknown(own: Sequence[LogLine], kind: Kind, lines: Sequence[LogLine]) -> list[str]:
    """Return what the logs leave open: missing logs of runners, dropped lines, no ending."""
    sentences = _missing_logs(own, lines) + _dropped_lines(own, lines)
    endings = {event for events in _ENDINGS.values() for event in events}
    if not any(line.event in endings for line in own):
        sentences.append(_without_ending(own[-1], kind, lines))
    return sorted(sentences)


def _missing_logs(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    logged = {line.node for line in lines}
    runners = {line.get(name) for line in own for name in ("runner", "from_runner")}
    missing = {_node_of(runner) for runner in runners if runner} - logged
    return [f"no log of node {node} was given, which ran the batch" for node in missing]


def _dropped_lines(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    nodes = {line.node for line in own}
    return [
        f"node {line.node} dropped {line.get('count')} lines of {line.get('kind')}"
        for line in lines
        if line.event == "log_lines_dropped" and line.node in nodes
    ]


def _without_ending(last: LogLine, kind: Kind, lines: Sequence[LogLine]) -> str:
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
