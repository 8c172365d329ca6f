"""A node's process: the real `NodeCore` behind a clock, a network, kills, pauses and restarts.

Owns a node's incarnations, clock, open calls and core failures; relies on `outbound` for calls to
engines and services and on `network` for messages to peers.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from stagewalk.common.identities import Address, CallId, Incarnation, NodeName
from stagewalk.history.observations import PlannedStopBegan, ProcessKilled
from stagewalk.node.core.events import (
    TICK_INTERVAL_SECONDS,
    CallAbandoned,
    Event,
    PeerMessageReceived,
    StopRequested,
    Tick,
)
from stagewalk.node.core.instructions import (
    AcceptLot,
    DeliverSamples,
    ExitProcess,
    FailCall,
    FinishCall,
    Instruction,
    SendChunk,
    SendPeerMessage,
    Transport,
)
from stagewalk.node.node_core import NodeIdentity, NodeStatus
from stagewalk.node.wire.envelope_pb2 import Envelope
from stagewalk.simulation.layout import Endpoint, NodeSite
from stagewalk.simulation.network import STALL_LIMIT_SECONDS, Connection, Direction, Network
from stagewalk.simulation.outbound import OutboundCalls
from stagewalk.simulation.witness import Witness

BACKLOG_LIMIT = 4096
GRACEFUL_TIMEOUT_SECONDS = 3.0
"""How long the HTTP server of an exiting node still answers calls on open connections."""

GRACEFUL_CHECK_SECONDS = 0.1

CallAnswer = SendChunk | FinishCall | FailCall | AcceptLot | DeliverSamples


class Core(Protocol):
    """The part of `NodeCore` that the simulation uses."""

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Handle an event and return what to do."""

    def status(self, now: float) -> NodeStatus:
        """Return what operators and probes may see."""


CoreFactory = Callable[[NodeIdentity, random.Random], Core]


class CallHandler(Protocol):
    """The caller's end of a call."""

    def answered(self, answer: CallAnswer) -> None:
        """Handle a piece of the answer, or the whole."""

    def lost(self, by_network: bool) -> None:
        """Handle that the call broke before its final answer."""


@dataclass(frozen=True, slots=True)
class NodeClock:
    """A node's local clock, with a constant offset and a drift rate."""

    offset_seconds: float
    rate: float

    def read(self, true_time: float) -> float:
        """Return the local time at a true time."""
        return self.offset_seconds + true_time * self.rate


@dataclass(slots=True)
class OpenCall:
    """A call as the node's edge holds it."""

    connection: Connection
    handler: CallHandler


@dataclass(slots=True)
class NodeProcess:
    """State that is lost when the node's process ends."""

    core: Core
    outbound: OutboundCalls
    calls: dict[CallId, OpenCall] = field(default_factory=dict)
    streams: dict[str, Direction] = field(default_factory=dict)
    backlog: list[Event] = field(default_factory=list)
    calls_opened: int = 0
    paused: bool = False
    stopping: bool = False
    exiting_since: float | None = None
    restart_above: Incarnation | None = None


class Directory(Protocol):
    """Finds nodes by their peer addresses."""

    def node_at(self, address: Address) -> NodeHost | None:
        """Return the machine that listens at an address."""


@dataclass(frozen=True, slots=True)
class CoreFailure:
    """An exception that a core raised: it ends the process, and fails the run."""

    at: float
    node: str
    event: str
    trace: str


class NodeHost:
    """One node's machine."""

    def __init__(
        self,
        site: NodeSite,
        network: Network,
        *,
        directory: Directory,
        witness: Witness,
        clock: NodeClock,
        factory: CoreFactory,
        outbound_factory: Callable[[NodeHost], OutboundCalls],
        generators: Callable[[str, int], random.Random],
        on_exit: Callable[[NodeHost], None],
        on_failure: Callable[[CoreFailure], None],
    ) -> None:
        self.site = site
        self.incarnation = Incarnation(0)
        self.starts = 0
        self.clock_ahead = 0
        """How far the time of day is ahead, as a number of starts."""
        self.peer_bytes_sent = 0
        self.network = network
        self.clock = clock
        self._scheduler = network.scheduler
        self._directory = directory
        self._witness = witness
        self._factory = factory
        self._outbound_factory = outbound_factory
        self._generators = generators
        self._on_exit = on_exit
        self._on_failure = on_failure
        self._process: NodeProcess | None = None

    @property
    def name(self) -> str:
        """Return the machine's name."""
        return self.site.endpoint.name

    @property
    def endpoint(self) -> Endpoint:
        """Return its place on the network."""
        return self.site.endpoint

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop is going on."""
        return self._process is not None and self._process.stopping

    @property
    def local_time(self) -> float:
        """Return what the node's clock shows."""
        return self.clock.read(self._scheduler.now)

    def start(self, above: Incarnation | None = None) -> None:
        """Start a process with nothing but its settings; its incarnation is the time of day.

        Parameters
        ----------
        above
            Incarnation of an earlier process that is known to be greater; None: none is known.
        """
        if self._process is not None:
            return
        self.starts += 1
        time_of_day = self.starts + self.clock_ahead
        self.incarnation = Incarnation(max(time_of_day, 0 if above is None else above + 1))
        identity = NodeIdentity(
            NodeName(self.name), self.incarnation, self.site.address, self.endpoint.placement
        )
        generator = self._generators(self.name, self.incarnation)
        core = self._factory(identity, generator)
        process = NodeProcess(core, self._outbound_factory(self))
        self._process = process
        first = TICK_INTERVAL_SECONDS * generator.random()
        self._scheduler.after(first, lambda: self._tick(process))

    def stop(self) -> None:
        """Request a graceful stop of the process."""
        process = self._process
        if process is None or process.stopping:
            return
        process.stopping = True
        self._witness.observe(PlannedStopBegan(at=self._scheduler.now, process=self.name))
        self._take(process, StopRequested())

    def kill(self, machine_lost: bool = False) -> None:
        """Kill the process at once; clients of a lost machine only notice after a timeout."""
        process = self._process
        if process is None:
            return
        self._witness.observe(ProcessKilled(at=self._scheduler.now, process=self.name))
        self._end(STALL_LIMIT_SECONDS if machine_lost else 0.0)

    def pause(self) -> None:
        """Suspend the process; its connections stay open."""
        if self._process is not None:
            self._process.paused = True

    def resume(self) -> None:
        """Resume a paused process, which handles what queued up meanwhile."""
        process = self._process
        if process is None or not process.paused:
            return
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for event in (Tick(), *backlog):
            if self._process is process:
                self._handle(process, event)

    def status(self) -> NodeStatus | None:
        """Return the core's status, or None if the process does not answer."""
        if self._process is None or self._process.paused:
            return None
        return self._process.core.status(self.local_time)

    def open_call(
        self,
        client: Endpoint,
        handler: CallHandler,
        event: Callable[[CallId, float], Event],
    ) -> Connection | None:
        """Open a call from a client; None if the connection was refused.

        `event` makes the core's event from the call's id and the node's time.
        """
        process = self._process
        if process is None or process.exiting_since is not None:
            return None
        if self.network.blocked(client, self.endpoint) or self.network.blocked(
            self.endpoint, client
        ):
            return None
        process.calls_opened += 1
        call = CallId(f"{self.name}/{self.incarnation}/{process.calls_opened}")
        connection = Connection(
            self.network,
            client,
            self.endpoint,
            client_lost=handler.lost,
            server_lost=lambda _: self._abandoned(process, call),
        )
        process.calls[call] = OpenCall(connection, handler)
        connection.send_to_server(lambda: self._take(process, event(call, self.local_time)))
        return connection

    def deliver_to_incarnation(self, incarnation: Incarnation, event: Event) -> None:
        """Deliver an event, unless the given incarnation no longer runs."""
        if self._process is not None and self.incarnation == incarnation:
            self._take(self._process, event)

    def receive(self, source: Address, payload: bytes) -> None:
        """Handle a message from another node."""
        if self._process is not None:
            message = PeerMessageReceived(source, Envelope.FromString(payload))
            self._take(self._process, message)

    def _tick(self, process: NodeProcess) -> None:
        if self._process is not process:
            return
        if not process.paused:
            self._handle(process, Tick())
        self._scheduler.after(TICK_INTERVAL_SECONDS, lambda: self._tick(process))

    def _take(self, process: NodeProcess, event: Event) -> None:
        if self._process is not process:
            return
        if not process.paused:
            self._handle(process, event)
        elif len(process.backlog) < BACKLOG_LIMIT or not isinstance(event, PeerMessageReceived):
            process.backlog.append(event)

    def _handle(self, process: NodeProcess, event: Event) -> None:
        try:
            instructions = process.core.handle(event, self.local_time)
            for instruction in instructions:
                self._require_known(instruction)
        except Exception as error:
            self._fail(event, error)
            return
        for instruction in instructions:
            self._execute(process, instruction)

    def _require_known(self, instruction: object) -> None:
        """Raise if a core's output is not an instruction that the daemon could execute."""
        if not isinstance(instruction, Instruction):
            raise TypeError(f"not an instruction: {instruction}")

    def _fail(self, event: Event, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error))
        self._on_failure(CoreFailure(self._scheduler.now, self.name, type(event).__name__, trace))
        self.kill()

    def _execute(self, process: NodeProcess, instruction: Instruction) -> None:
        match instruction:
            case SendPeerMessage():
                self._send_peer_message(process, instruction)
            case SendChunk() | FinishCall() | FailCall() | AcceptLot() | DeliverSamples():
                self._answer(process, instruction)
            case ExitProcess():
                process.restart_above = instruction.restart_above
                self._exit(process)
            case _:
                process.outbound.execute(instruction)

    def _answer(self, process: NodeProcess, answer: CallAnswer) -> None:
        """Send a piece of an answer to its caller."""
        call = process.calls.get(answer.call)
        if call is None:
            return
        if not isinstance(answer, SendChunk):
            del process.calls[answer.call]
        call.connection.send_to_client(lambda: call.handler.answered(answer))

    def _send_peer_message(self, process: NodeProcess, message: SendPeerMessage) -> None:
        payload = message.envelope.SerializeToString()
        self.peer_bytes_sent += len(payload)
        peer = self._directory.node_at(message.address)
        if peer is None:
            return

        def deliver() -> None:
            peer.receive(self.site.address, payload)

        if message.transport is Transport.DATAGRAM:
            self.network.send_datagram(self.endpoint, peer.endpoint, deliver)
            return
        stream = process.streams.get(peer.name)
        if stream is None:
            stream = Direction(
                self.network,
                self.endpoint,
                peer.endpoint,
                lambda: self._stream_broken(process, peer.name),
            )
            process.streams[peer.name] = stream
        stream.send(deliver)

    def _stream_broken(self, process: NodeProcess, peer: str) -> None:
        process.streams.pop(peer, None)

    def _abandoned(self, process: NodeProcess, call: CallId) -> None:
        if self._process is process and process.calls.pop(call, None) is not None:
            self._take(process, CallAbandoned(call))

    def _exit(self, process: NodeProcess) -> None:
        """Refuse new connections; exit once the open ones are done, or after a while."""
        if process.exiting_since is None:
            process.exiting_since = self._scheduler.now
        self._leave_when_done(process)

    def _leave_when_done(self, process: NodeProcess) -> None:
        if self._process is not process or process.exiting_since is None:
            return
        waited = self._scheduler.now - process.exiting_since
        if process.calls and waited < GRACEFUL_TIMEOUT_SECONDS:
            self._scheduler.after(GRACEFUL_CHECK_SECONDS, lambda: self._leave_when_done(process))
            return
        self._end(0.0)
        if process.restart_above is None:
            self._on_exit(self)
        else:
            self.start(process.restart_above)

    def _end(self, silence_seconds: float) -> None:
        process = self._process
        assert process is not None
        self._process = None
        process.outbound.close(silence_seconds)
        for call in process.calls.values():
            self._scheduler.after(silence_seconds, call.connection.server_gone)
