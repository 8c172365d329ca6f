"""Checks that leaving engines get no new work and that planned stops interrupt none.

Defines the tolerances for work in transit when an engine or a node begins to stop.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from stagewalk.common.errors import ErrorKind
from stagewalk.history.checker_verdict import Promise, Verdict
from stagewalk.history.observations import (
    AnyObservation,
    ConfigurationSeen,
    EngineLeaving,
    EngineServing,
    FaultInjected,
    PlannedStopBegan,
    ProcessKilled,
    RequestCut,
    RequestRefused,
    RequestSent,
    WorkEnded,
    WorkReceived,
    WorkRefused,
)

LEAVING_GRACE_SECONDS = 3.0
"""How long an engine may still be sent work after it announced that it is leaving.

Work that the engine refuses counts as well: the service must not send it."""

STOP_RACE_SECONDS = 1.0
"""A request sent within this time before a stop may still have been in transit to the node."""

CONNECTION_CUT = "connection_cut"
"""Kind of a `FaultInjected`: a call to `target` was broken by the network, not the process."""

ENDED_BY_ENGINE = "cut"


def check_stops(history: Sequence[AnyObservation], verdict: Verdict) -> None:
    """Check `leaving_no_work` and `planned_stop_clean`."""
    _check_leaving(history, verdict)
    _PlannedStopChecker(verdict).judge(history)


def _check_leaving(history: Sequence[AnyObservation], verdict: Verdict) -> None:
    leaving: dict[tuple[str, int], EngineLeaving] = {}
    for item in history:
        match item:
            case EngineLeaving():
                verdict.check(Promise.LEAVING_NO_WORK)
                leaving.setdefault((item.engine, item.incarnation), item)
            case EngineServing():
                leaving.pop((item.engine, item.incarnation), None)
            case WorkReceived() | WorkRefused():
                began = leaving.get((item.engine, item.incarnation))
                if began is None or item.at <= began.at + LEAVING_GRACE_SECONDS:
                    continue
                verdict.check(Promise.LEAVING_NO_WORK)
                detail = f"given work {item.at - began.at:.1f} s after it said it is leaving"
                subject = f"engine {item.engine}/{item.incarnation}"
                verdict.violate(Promise.LEAVING_NO_WORK, item.at, subject, detail, [began, item])
            case _:
                pass


@dataclass(slots=True)
class _Stop:
    """A planned stop of a process whose next incarnation has not been observed yet."""

    began: PlannedStopBegan
    killed: bool = False


@dataclass(slots=True)
class _PlannedStopChecker:
    """Scans a history once and tracks the stops in progress."""

    verdict: Verdict
    stops: dict[str, _Stop] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    sends: dict[tuple[str, str, str, str], RequestSent] = field(default_factory=dict)
    connection_cuts: set[tuple[str, float]] = field(default_factory=set)

    def judge(self, history: Sequence[AnyObservation]) -> None:
        self.connection_cuts = {
            (item.target, item.at)
            for item in history
            if isinstance(item, FaultInjected) and item.kind == CONNECTION_CUT
        }
        for item in history:
            self._take(item)

    def _take(self, item: AnyObservation) -> None:
        match item:
            case PlannedStopBegan():
                self.verdict.check(Promise.PLANNED_STOP_CLEAN)
                self.stops.setdefault(item.process, _Stop(item))
            case ProcessKilled():
                self._record_killed(item.process)
            case RequestSent():
                self.sends[item.caller, item.node, item.tenant, item.request_id] = item
            case WorkReceived() | EngineServing():
                self._record_incarnation(item.engine, item.incarnation)
            case ConfigurationSeen():
                self._record_incarnation(item.node, item.incarnation)
            case WorkEnded():
                self._judge_work(item)
            case RequestCut():
                self._judge_cut(item)
            case RequestRefused():
                self._judge_refusal(item)
            case _:
                pass

    def _record_killed(self, process: str) -> None:
        if process in self.stops:
            self.stops[process].killed = True

    def _record_incarnation(self, process: str, incarnation: int) -> None:
        """Record an incarnation; a newer one ends the stop of its predecessor."""
        if incarnation > self.incarnations.get(process, incarnation):
            self.stops.pop(process, None)
        self.incarnations[process] = max(incarnation, self.incarnations.get(process, 0))

    def _active_stop(self, process: str) -> _Stop | None:
        stop = self.stops.get(process)
        return None if stop is None or stop.killed else stop

    def _judge_work(self, ended: WorkEnded) -> None:
        stop = self._active_stop(ended.engine)
        if stop is None:
            return
        self.verdict.check(Promise.PLANNED_STOP_CLEAN)
        if ended.outcome == ENDED_BY_ENGINE:
            detail = f"attempt {ended.attempt} was cut off by the engine's planned stop"
            self._violate(ended.engine, stop, ended, detail)

    def _judge_cut(self, cut: RequestCut) -> None:
        stop = self._active_stop(cut.node)
        if stop is None or (cut.node, cut.at) in self.connection_cuts:
            return
        self.verdict.check(Promise.PLANNED_STOP_CLEAN)
        detail = f"request {cut.tenant}/{cut.request_id} was cut off by the node's planned stop"
        self._violate(cut.node, stop, cut, detail)

    def _judge_refusal(self, refusal: RequestRefused) -> None:
        """Check a refusal; an open request refused because of the stop counts as interrupted."""
        stop = self._active_stop(refusal.node)
        if stop is None or refusal.kind != ErrorKind.STOPPING:
            return
        sent = self.sends.get((refusal.caller, refusal.node, refusal.tenant, refusal.request_id))
        if sent is None or sent.at > stop.began.at - STOP_RACE_SECONDS:
            return
        self.verdict.check(Promise.PLANNED_STOP_CLEAN)
        detail = f"request {refusal.tenant}/{refusal.request_id} was given up by a planned stop"
        self._violate(refusal.node, stop, refusal, detail)

    def _violate(self, process: str, stop: _Stop, item: AnyObservation, detail: str) -> None:
        events: list[AnyObservation] = [stop.began, item]
        if isinstance(item, RequestCut | RequestRefused):
            sent = self.sends.get((item.caller, item.node, item.tenant, item.request_id))
            events.extend([sent] if sent is not None else [])
        self.verdict.violate(
            Promise.PLANNED_STOP_CLEAN, item.at, f"process {process}", detail, events
        )
