"""Records and logs the observations of an engine stand-in."""

from __future__ import annotations

from stagewalk.common.identities import EngineName, Incarnation, WeightVersion
from stagewalk.history.observations import (
    EngineLeaving,
    EngineServing,
    OrderObeyed,
    WorkEnded,
    WorkReceived,
    WorkRefused,
)
from stagewalk.node.core.platform import EngineOrder, OrderKind
from stagewalk.simulation.engine_messages import AttemptDone, EngineRequest
from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import HistoryFile, clock


class EngineHistory:
    """Writes one engine's observations, and logs them."""

    def __init__(self, file: HistoryFile, engine: EngineName, incarnation: Incarnation) -> None:
        self._file = file
        self._engine = engine
        self._incarnation = incarnation
        self._stopping = False

    def work_received(self, request: EngineRequest) -> None:
        """Record an accepted attempt."""
        self._file.write(
            WorkReceived(
                at=clock(),
                engine=self._engine,
                incarnation=self._incarnation,
                attempt=request.attempt,
                request_id=request.request_id,
                tenant=request.tenant,
                resumed=request.resume_offset > 0,
            )
        )
        log_event("work_received", attempt=request.attempt, request_id=request.request_id)

    def work_refused(self, request: EngineRequest) -> None:
        """Record an attempt that was refused because the engine takes no new work."""
        self._file.write(
            WorkRefused(
                at=clock(),
                engine=self._engine,
                incarnation=self._incarnation,
                attempt=request.attempt,
                request_id=request.request_id,
                tenant=request.tenant,
            )
        )

    def work_ended(self, done: AttemptDone) -> None:
        """Record the end of an attempt."""
        self._file.write(
            WorkEnded(
                at=clock(),
                engine=self._engine,
                incarnation=self._incarnation,
                attempt=done.attempt,
                outcome=done.outcome,
                token_count=done.token_count,
            )
        )
        log_event(
            "work_ended",
            attempt=done.attempt,
            outcome=str(done.outcome),
            token_count=done.token_count,
        )

    def serving(self) -> None:
        """Record that the engine accepts new work."""
        self._stopping = False
        self._file.write(
            EngineServing(at=clock(), engine=self._engine, incarnation=self._incarnation)
        )
        log_event("engine_serving", engine=self._engine, incarnation=self._incarnation)

    def leaving(self) -> None:
        """Record that the engine stops accepting work, once until it serves again."""
        if self._stopping:
            return
        self._stopping = True
        self._file.write(
            EngineLeaving(at=clock(), engine=self._engine, incarnation=self._incarnation)
        )
        log_event("engine_leaving", engine=self._engine, incarnation=self._incarnation)

    def obeyed(self, order: EngineOrder, active_version: WeightVersion) -> None:
        """Record an accepted order and the state change that follows from it."""
        self._file.write(
            OrderObeyed(
                at=clock(),
                engine=self._engine,
                incarnation=self._incarnation,
                epoch=order.epoch,
                kind=order.kind,
                version=order.version,
                active_version=active_version,
            )
        )
        if order.kind is OrderKind.DRAIN:
            self.leaving()
        elif order.kind is OrderKind.SERVE and self._stopping:
            self.serving()
