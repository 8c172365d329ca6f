"""A model engine's process: the engine model behind streams, orders, crashes and restarts.

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
"""How long an attempt goes on after its client was lost."""

StreamOutput = ChunkProduced | AttemptDone


@dataclass(slots=True)
class EngineStream:
    """The way back of one attempt's output."""

    connection: Connection
    take: Callable[[StreamOutput], None]
    lost_at: float = math.inf


@dataclass(slots=True)
class _Life:
    """What dies with one incarnation."""

    model: SimulatedEngine
    streams: dict[AttemptId, EngineStream] = field(default_factory=dict)
    wakeup_at: float = math.inf
    told_leaving: bool = False
    stopping: bool = False


class EngineHost:
    """One engine's machine.

    Parameters
    ----------
    on_exit
        Told when a planned stop has ended.
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
        self._life: _Life | None = None

    @property
    def name(self) -> str:
        """Return the machine's name."""
        return self.site.endpoint.name

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self._life is not None

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop is going on."""
        return self._life is not None and self._life.stopping

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
        self._life = _Life(model)
        self._witness.observe(
            EngineServing(at=self.now, engine=self.name, incarnation=self.incarnation)
        )

    def stop(self) -> None:
        """Begin a planned stop: finish what runs, then exit."""
        life = self._life
        if life is None or life.stopping:
            return
        life.stopping = True
        self._witness.observe(PlannedStopBegan(at=self.now, process=self.name))
        life.model.leave(self.now)
        self._pump(life)

    def crash(self, machine_lost: bool = False) -> None:
        """Die at once; the clients of a lost machine only learn it by silence."""
        life = self._life
        if life is None:
            return
        self._life = None
        self._witness.observe(ProcessKilled(at=self.now, process=self.name))
        for attempt in life.model.crash(self.now):
            self._record_ended(attempt, WorkOutcome.CUT, 0)
        silence = STALL_LIMIT_SECONDS if machine_lost else 0.0
        for stream in life.streams.values():
            self._scheduler.after(silence, stream.connection.server_gone)

    def submit(self, request: EngineRequest, stream: EngineStream) -> Submission | None:
        """Submit an attempt; None if nothing listens here."""
        life = self._life
        if life is None:
            return None
        submission = life.model.submit(request, self.now)
        if isinstance(submission, Accepted):
            life.streams[request.attempt] = stream
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
        elif isinstance(submission, Refused) and life.told_leaving:
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
        self._pump(life)
        return submission

    def client_lost(self, attempt: AttemptId, incarnation: Incarnation) -> None:
        """Keep an attempt going for a while without its client, then cancel it."""
        life = self._life
        if life is None or self.incarnation != incarnation or attempt not in life.streams:
            return
        self._scheduler.after(
            DISCONNECT_GRACE_SECONDS, lambda: self._cancel_lost(attempt, incarnation)
        )

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt for its client."""
        if self._life is not None:
            self._life.model.cancel(attempt, self.now)
            self._pump(self._life)

    def report(self) -> EngineReport | None:
        """Return the engine's own report, or None if nothing listens here."""
        if self._life is None:
            return None
        report = self._life.model.report(self.now)
        self._pump(self._life)
        return report

    def order(self, order: EngineOrder) -> OrderAnswer | None:
        """Handle an order."""
        life = self._life
        if life is None:
            return None
        epoch_before = life.model.true_report().epoch
        answer = life.model.order(order, self.now)
        report = life.model.true_report()
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
        self._pump(life)
        return answer

    def fail_next_activation(self) -> None:
        """Make the next swap of weights end on another version."""
        if self._life is not None:
            self._life.model.fail_next_activation()

    def _cancel_lost(self, attempt: AttemptId, incarnation: Incarnation) -> None:
        if self.incarnation == incarnation:
            self.cancel(attempt)

    def _pump(self, life: _Life) -> None:
        """Carry out the model's outputs and schedule its next wake-up."""
        for output in life.model.advance(self.now):
            self._dispatch(life, output)
        self._record_state(life)
        if life.stopping and life.model.idle and self._life is life:
            self._life = None
            self._on_exit(self)
            return
        wakeup = life.model.next_wakeup()
        if wakeup is not None and wakeup < life.wakeup_at:
            life.wakeup_at = wakeup
            self._scheduler.at(wakeup, lambda: self._wake(life, wakeup))

    def _wake(self, life: _Life, planned_at: float) -> None:
        if self._life is not life or planned_at != life.wakeup_at:
            return
        life.wakeup_at = math.inf
        self._pump(life)

    def _dispatch(self, life: _Life, output: EngineOutput) -> None:
        match output:
            case ChunkProduced():
                self._send(life, output)
            case AttemptDone():
                self._record_ended(output.attempt, output.outcome, output.token_count)
                if output.outcome is WorkOutcome.FINISHED:
                    self._send(life, output)
                life.streams.pop(output.attempt, None)
            case StagingStarted(version=version):
                self._store.fetch(lambda succeeded: self._staged(life, version, succeeded))
            case ActivationEnded():
                pass
            case _:
                pass

    def _send(self, life: _Life, output: StreamOutput) -> None:
        stream = life.streams.get(output.attempt)
        if stream is not None:
            stream.connection.send_to_client(lambda: stream.take(output))

    def _staged(self, life: _Life, version: WeightVersion, succeeded: bool) -> None:
        if self._life is life:
            life.model.stage_ended(version, succeeded, self.now)
            self._pump(life)

    def _record_state(self, life: _Life) -> None:
        state = life.model.state
        leaving = state in (EngineState.LEAVING, EngineState.DRAINING)
        if leaving == life.told_leaving:
            return
        life.told_leaving = leaving
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
