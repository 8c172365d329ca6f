"""A simulated engine process: the engine model with its streams, orders, crashes and restarts.

Owns the streams, incarnations and observations of one engine process; relies on `engine_model` for
what the engine does and on `network` for how its answers travel.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stagewalk.common.identities import AttemptId, EngineName, Incarnation, WeightVersion
from stagewalk.history.observations import (
    EngineLeaving,
    EngineServing,
    OrderObeyed,
    PlannedStopBegan,
    ProcessKilled,
    WorkEnded,
    WorkReceived,
    WorkRefused,
)
from stagewalk.node.core.platform import EngineOrder, EngineOrderOutcome, EngineReport, EngineState
from stagewalk.simulation.engine_messages import (
    Accepted,
    ActivationEnded,
    AttemptDone,
    ChunkProduced,
    EngineOutput,
    EngineRequest,
    OrderAnswer,
    Refused,
    StagingStarted,
    Submission,
    WorkOutcome,
)
from stagewalk.simulation.engine_model import SimulatedEngine
from stagewalk.simulation.layout import EngineSite
from stagewalk.simulation.network import STALL_LIMIT_SECONDS, Connection, Network
from stagewalk.simulation.platform_services import WeightStoreService
from stagewalk.simulation.platform_settings import EngineSettings
from stagewalk.simulation.virtual_time import Scheduler
from stagewalk.simulation.witness import Witness

DISCONNECT_GRACE_SECONDS = 10.0
"""How long an attempt keeps running after its client disconnected."""

StreamOutput = ChunkProduced | AttemptDone


@dataclass(slots=True)
class EngineStream:
    """The connection that carries one attempt's output to its client."""

    connection: Connection
    take: Callable[[StreamOutput], None]
    lost_at: float = math.inf


@dataclass(slots=True)
class _EngineProcess:
    """State that is lost when the engine's process ends."""

    model: SimulatedEngine
    streams: dict[AttemptId, EngineStream] = field(default_factory=dict)
    wakeup_at: float = math.inf
    reported_leaving: bool = False
    stopping: bool = False


class EngineHost:
    """One engine's machine.

    Parameters
    ----------
    on_exit
        Called when a planned stop has ended.
    """

    def __init__(
        self,
        site: EngineSite,
        settings: EngineSettings,
        *,
        network: Network,
        store: WeightStoreService,
        witness: Witness,
        generator: random.Random,
        on_exit: Callable[[EngineHost], None],
    ) -> None:
        self.site = site
        self.incarnation = Incarnation(0)
        self._settings = settings
        self._network = network
        self._scheduler: Scheduler = network.scheduler
        self._store = store
        self._witness = witness
        self._generator = generator
        self._on_exit = on_exit
        self._process: _EngineProcess | None = None

    @property
    def name(self) -> str:
        """Return the machine's name."""
        return self.site.endpoint.name

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop is going on."""
        return self._process is not None and self._process.stopping

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self._scheduler.now

    def start(self, version: WeightVersion) -> None:
        """Start a new incarnation that runs a version."""
        self.incarnation = Incarnation(self.incarnation + 1)
        model = SimulatedEngine(
            self._settings,
            engine=EngineName(self.name),
            incarnation=self.incarnation,
            model=self.site.model,
            active_version=version,
            generator=self._generator,
            started_at=self.now,
        )
        self._process = _EngineProcess(model)
        self._witness.observe(
            EngineServing(at=self.now, engine=self.name, incarnation=self.incarnation)
        )

    def stop(self) -> None:
        """Begin a planned stop: finish running attempts, then exit."""
        process = self._process
        if process is None or process.stopping:
            return
        process.stopping = True
        self._witness.observe(PlannedStopBegan(at=self.now, process=self.name))
        process.model.leave(self.now)
        self._advance_model(process)

    def crash(self, machine_lost: bool = False) -> None:
        """Crash at once; clients of a lost machine only notice after a timeout."""
        process = self._process
        if process is None:
            return
        self._process = None
        self._witness.observe(ProcessKilled(at=self.now, process=self.name))
        for attempt in process.model.crash(self.now):
            self._record_ended(attempt, WorkOutcome.CUT, 0)
        silence = STALL_LIMIT_SECONDS if machine_lost else 0.0
        for stream in process.streams.values():
            self._scheduler.after(silence, stream.connection.server_gone)

    def submit(self, request: EngineRequest, stream: EngineStream) -> Submission | None:
        """Submit an attempt; None if nothing listens here."""
        process = self._process
        if process is None:
            return None
        submission = process.model.submit(request, self.now)
        if isinstance(submission, Accepted):
            process.streams[request.attempt] = stream
            self._witness.observe(
                WorkReceived(
                    at=self.now,
                    engine=self.name,
                    incarnation=self.incarnation,
                    attempt=request.attempt,
                    request_id=request.request_id,
                    tenant=request.tenant,
                    resumed=request.resume_offset > 0,
                )
            )
        elif isinstance(submission, Refused) and process.reported_leaving:
            self._witness.observe(
                WorkRefused(
                    at=self.now,
                    engine=self.name,
                    incarnation=self.incarnation,
                    attempt=request.attempt,
                    request_id=request.request_id,
                    tenant=request.tenant,
                )
            )
        self._advance_model(process)
        return submission

    def client_lost(self, attempt: AttemptId, incarnation: Incarnation) -> None:
        """Cancel an attempt once the grace period after its client's disconnect is over."""
        process = self._process
        if process is None or self.incarnation != incarnation or attempt not in process.streams:
            return
        self._scheduler.after(
            DISCONNECT_GRACE_SECONDS, lambda: self._cancel_lost(attempt, incarnation)
        )

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt for its client."""
        if self._process is not None:
            self._process.model.cancel(attempt, self.now)
            self._advance_model(self._process)

    def report(self) -> EngineReport | None:
        """Return the engine's own report, or None if nothing listens here."""
        if self._process is None:
            return None
        report = self._process.model.report(self.now)
        self._advance_model(self._process)
        return report

    def order(self, order: EngineOrder) -> OrderAnswer | None:
        """Handle an order."""
        process = self._process
        if process is None:
            return None
        epoch_before = process.model.true_report().epoch
        answer = process.model.order(order, self.now)
        report = process.model.true_report()
        if answer.outcome is EngineOrderOutcome.ACCEPTED:
            self._witness.observe(
                OrderObeyed(
                    at=self.now,
                    engine=self.name,
                    incarnation=self.incarnation,
                    epoch=max(order.epoch, epoch_before),
                    kind=order.kind,
                    version=order.version,
                    active_version=report.active_version,
                )
            )
        self._advance_model(process)
        return answer

    def fail_next_activation(self) -> None:
        """Make the next swap of weights end on another version."""
        if self._process is not None:
            self._process.model.fail_next_activation()

    def _cancel_lost(self, attempt: AttemptId, incarnation: Incarnation) -> None:
        if self.incarnation == incarnation:
            self.cancel(attempt)

    def _advance_model(self, process: _EngineProcess) -> None:
        """Carry out the model's outputs and schedule its next wake-up."""
        for output in process.model.advance(self.now):
            self._dispatch(process, output)
        self._record_state(process)
        if process.stopping and process.model.idle and self._process is process:
            self._process = None
            self._on_exit(self)
            return
        wakeup = process.model.next_wakeup()
        if wakeup is not None and wakeup < process.wakeup_at:
            process.wakeup_at = wakeup
            self._scheduler.at(wakeup, lambda: self._wake(process, wakeup))

    def _wake(self, process: _EngineProcess, planned_at: float) -> None:
        if self._process is not process or planned_at != process.wakeup_at:
            return
        process.wakeup_at = math.inf
        self._advance_model(process)

    def _dispatch(self, process: _EngineProcess, output: EngineOutput) -> None:
        match output:
            case ChunkProduced():
                self._send(process, output)
            case AttemptDone():
                self._record_ended(output.attempt, output.outcome, output.token_count)
                if output.outcome is WorkOutcome.FINISHED:
                    self._send(process, output)
                process.streams.pop(output.attempt, None)
            case StagingStarted(version=version):
                self._store.fetch(lambda succeeded: self._staged(process, version, succeeded))
            case ActivationEnded():
                pass
            case _:
                pass

    def _send(self, process: _EngineProcess, output: StreamOutput) -> None:
        stream = process.streams.get(output.attempt)
        if stream is not None:
            stream.connection.send_to_client(lambda: stream.take(output))

    def _staged(self, process: _EngineProcess, version: WeightVersion, succeeded: bool) -> None:
        if self._process is process:
            process.model.stage_ended(version, succeeded, self.now)
            self._advance_model(process)

    def _record_state(self, process: _EngineProcess) -> None:
        state = process.model.state
        leaving = state in (EngineState.LEAVING, EngineState.DRAINING)
        if leaving == process.reported_leaving:
            return
        process.reported_leaving = leaving
        kind = EngineLeaving if leaving else EngineServing
        self._witness.observe(kind(at=self.now, engine=self.name, incarnation=self.incarnation))

    def _record_ended(self, attempt: AttemptId, outcome: WorkOutcome, token_count: int) -> None:
        self._witness.observe(
            WorkEnded(
                at=self.now,
                engine=self.name,
                incarnation=self.incarnation,
                attempt=attempt,
                outcome=outcome.value,
                token_count=token_count,
            )
        )
