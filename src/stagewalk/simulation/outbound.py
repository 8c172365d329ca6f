"""A node's calls to engines and platform services, as the daemon's adapters make them.

Owns streams to engines and calls under way of one node process; relies on `engine_host`,
`log_service` and `platform_services` for the answers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import Address, AttemptId
from stagewalk.node.core.events import (
    AppendConfirmed,
    AppendFailed,
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    AttemptRefused,
    EngineReported,
    EngineReportFailed,
    Event,
    LogRead,
    LogReadFailed,
    MachinesRead,
    OrderAnswered,
    SampleScored,
    SampleScoringFailed,
    VersionsRead,
)
from stagewalk.node.core.instructions import (
    AppendRecord,
    CancelAttempt,
    Instruction,
    PollEngine,
    ReadLog,
    ReadMachines,
    ReadVersions,
    ScoreSample,
    SendEngineOrder,
    StartAttempt,
    WriteLogLine,
)
from stagewalk.node.core.platform import EngineOrderOutcome, EngineReport
from stagewalk.simulation.engine_host import EngineHost, EngineStream, StreamOutput
from stagewalk.simulation.engine_messages import (
    Accepted,
    ChunkProduced,
    EngineRequest,
    OrderAnswer,
    Refused,
)
from stagewalk.simulation.layout import Endpoint
from stagewalk.simulation.log_service import LogService
from stagewalk.simulation.network import Connection, Network
from stagewalk.simulation.platform_services import (
    MachineListService,
    ScorerService,
    WeightStoreService,
)
from stagewalk.simulation.remote_call import CONNECT_TIMEOUT_SECONDS, RemoteCall

REPORT_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 5.0


class EngineDirectory(Protocol):
    """Finds engines by their addresses."""

    def engine_at(self, address: Address) -> EngineHost | None:
        """Return the machine that listens at an address."""


@dataclass(frozen=True, slots=True)
class Services:
    """The platform as one node reaches it."""

    log: LogService
    machines: MachineListService
    store: WeightStoreService
    scorer: ScorerService
    engines: EngineDirectory


class OutboundCalls:
    """Executes one incarnation's outbound instructions and feeds the results back as events.

    Parameters
    ----------
    feed
        Takes events for this incarnation; it ignores them once the incarnation has ended.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        network: Network,
        services: Services,
        feed: Callable[[Event], None],
    ) -> None:
        self._endpoint = endpoint
        self._network = network
        self._services = services
        self._feed = feed
        self._attempts: dict[AttemptId, Connection] = {}
        self._handlers: dict[type[Instruction], Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            PollEngine: self._poll,
            SendEngineOrder: self._order,
            ReadLog: self._read_log,
            AppendRecord: self._append,
            ReadMachines: self._read_machines,
            ReadVersions: self._read_versions,
            ScoreSample: self._score,
            WriteLogLine: lambda _: None,
        }

    def execute(self, instruction: Instruction) -> None:
        """Carry out an instruction that concerns an engine or the platform."""
        handler = self._handlers.get(type(instruction))
        if handler is None:
            raise TypeError(f"not an outbound instruction: {instruction}")
        handler(instruction)

    def close(self, silence_seconds: float) -> None:
        """Tell all engines, now or after a delay, that their client disconnected."""
        for connection in self._attempts.values():
            self._network.scheduler.after(silence_seconds, connection.client_gone)
        self._attempts.clear()

    def _start_attempt(self, start: StartAttempt) -> None:
        engine = self._services.engines.engine_at(start.address)
        attempt = start.attempt
        if engine is None or not self._can_connect(engine.site.endpoint):
            self._network.scheduler.after(
                CONNECT_TIMEOUT_SECONDS,
                lambda: self._feed(AttemptFailed(attempt, False, "cannot connect")),
            )
            return
        incarnation = engine.incarnation
        connection = Connection(
            self._network,
            self._endpoint,
            engine.site.endpoint,
            client_lost=lambda _: self._attempt_lost(attempt),
            server_lost=lambda _: engine.client_lost(attempt, incarnation),
        )
        self._attempts[attempt] = connection
        stream = EngineStream(connection, lambda output: self._take_output(attempt, output))
        connection.send_to_server(lambda: self._submit(engine, start, stream))

    def _can_connect(self, server: Endpoint) -> bool:
        network = self._network
        return not (
            network.blocked(self._endpoint, server) or network.blocked(server, self._endpoint)
        )

    def _submit(self, engine: EngineHost, start: StartAttempt, stream: EngineStream) -> None:
        """Run at the engine when the request arrives there."""
        request = start.request
        submission = engine.submit(
            EngineRequest(
                attempt=start.attempt,
                request_id=request.request_id,
                tenant=request.tenant,
                model=request.model,
                prompt=request.prompt,
                max_tokens=request.max_tokens,
                seed=request.seed,
                priority=request.priority,
                resume_offset=start.resume_offset,
            ),
            stream,
        )
        attempt = start.attempt
        event: Event
        match submission:
            case Accepted():
                return
            case None:
                event = AttemptFailed(attempt, False, "connection refused")
            case Refused():
                event = AttemptRefused(attempt, submission.detail, submission.retry_after_seconds)
            case _:
                event = AttemptFailed(attempt, True, "the engine knows the attempt")
        stream.connection.send_to_client(lambda: self._end_attempt(attempt, event))

    def _take_output(self, attempt: AttemptId, output: StreamOutput) -> None:
        if isinstance(output, ChunkProduced):
            if attempt in self._attempts:
                self._feed(AttemptChunk(attempt, output.chunk))
            return
        finished = AttemptFinished(attempt, output.token_count, output.finish_reason)
        self._end_attempt(attempt, finished)

    def _end_attempt(self, attempt: AttemptId, event: Event) -> None:
        connection = self._attempts.pop(attempt, None)
        if connection is not None:
            connection.finish()
            self._feed(event)

    def _attempt_lost(self, attempt: AttemptId) -> None:
        if self._attempts.pop(attempt, None) is not None:
            self._feed(AttemptFailed(attempt, True, "connection broke"))

    def _cancel_attempt(self, cancel: CancelAttempt) -> None:
        connection = self._attempts.pop(cancel.attempt, None)
        if connection is not None:
            connection.client_gone()
        engine = self._services.engines.engine_at(cancel.address)
        if engine is None:
            return
        target = engine

        def serve(respond: Callable[[bool], None]) -> bool:
            target.cancel(cancel.attempt)
            respond(True)
            return True

        RemoteCall[bool](
            self._network,
            self._endpoint,
            engine.site.endpoint,
            timeout_seconds=ORDER_TIMEOUT_SECONDS,
            serve=serve,
            answered=lambda _: None,
            failed=lambda _: None,
        )

    def _poll(self, poll: PollEngine) -> None:
        engine = self._services.engines.engine_at(poll.address)
        failed = EngineReportFailed(poll.engine, "no report")
        if engine is None:
            self._network.scheduler.after(CONNECT_TIMEOUT_SECONDS, lambda: self._feed(failed))
            return
        target = engine

        def serve(respond: Callable[[EngineReport], None]) -> bool:
            report = target.report()
            if report is not None:
                respond(report)
            return report is not None

        RemoteCall(
            self._network,
            self._endpoint,
            engine.site.endpoint,
            timeout_seconds=REPORT_TIMEOUT_SECONDS,
            serve=serve,
            answered=lambda report: self._feed(EngineReported(poll.engine, report)),
            failed=lambda _: self._feed(failed),
        )

    def _order(self, order: SendEngineOrder) -> None:
        engine = self._services.engines.engine_at(order.address)
        unknown = OrderAnswered(
            order.engine, order.order.order_id, EngineOrderOutcome.UNKNOWN, "no answer"
        )
        if engine is None:
            self._network.scheduler.after(CONNECT_TIMEOUT_SECONDS, lambda: self._feed(unknown))
            return
        target = engine

        def serve(respond: Callable[[OrderAnswer], None]) -> bool:
            answer = target.order(order.order)
            if answer is not None:
                respond(answer)
            return answer is not None

        def answered(answer: OrderAnswer) -> None:
            self._feed(
                OrderAnswered(order.engine, order.order.order_id, answer.outcome, answer.detail)
            )

        RemoteCall(
            self._network,
            self._endpoint,
            engine.site.endpoint,
            timeout_seconds=ORDER_TIMEOUT_SECONDS,
            serve=serve,
            answered=answered,
            failed=lambda _: self._feed(unknown),
        )

    def _read_log(self, read: ReadLog) -> None:
        self._services.log.read(
            self._endpoint,
            read.stream,
            read.offset,
            lambda page: self._feed(LogRead(read.stream, page.records, page.head)),
            lambda _: self._feed(LogReadFailed(read.stream, "log unreachable")),
            wait=read.wait,
        )

    def _append(self, append: AppendRecord) -> None:
        self._services.log.append(
            self._endpoint,
            append.stream,
            append.record_id,
            append.payload,
            answered=lambda offset: self._feed(
                AppendConfirmed(append.stream, append.record_id, offset)
            ),
            failed=lambda sent: self._feed(
                AppendFailed(append.stream, append.record_id, sent, "log unreachable")
            ),
        )

    def _read_machines(self, _: ReadMachines) -> None:
        self._services.machines.read(
            self._endpoint, lambda machines: self._feed(MachinesRead(machines))
        )

    def _read_versions(self, read: ReadVersions) -> None:
        self._services.store.read_versions(
            self._endpoint,
            read.model,
            lambda versions: self._feed(VersionsRead(read.model, versions)),
        )

    def _score(self, sample: ScoreSample) -> None:
        error = StagewalkError(
            ErrorKind.UNREACHABLE, ErrorStep.SCORING, "scorer", "no score", ExecutionStatus.UNKNOWN
        )
        self._services.scorer.score(
            self._endpoint,
            sample,
            lambda score: self._feed(SampleScored(sample.sample_id, score)),
            lambda: self._feed(SampleScoringFailed(sample.sample_id, error)),
        )
