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
    """What the simulation needs of `NodeCore`."""

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
        """Learn that the call broke before its final answer."""


@dataclass(frozen=True, slots=True)
class NodeClock:
    """A node's own clock: off by a constant and running a little fast or slow."""

    offset_seconds: float
    rate: float

    def read(self, true_time: float) -> float:
        """Return what it shows at a true time."""
        return self.offset_seconds + true_time * self.rate


@dataclass(slots=True)
class OpenCall:
    """A call as the node's edge holds it."""

    connection: Connection
    handler: CallHandler


@dataclass(slots=True)
class NodeLife:
    """What dies with one incarnation."""

    core: Core
    outbound: OutboundCalls
    calls: dict[CallId, OpenCall] = field(default_factory=dict)
    streams: dict[str, Direction] = field(default_factory=dict)
    backlog: list[Event] = field(default_factory=list)
    calls_opened: int = 0
    paused: bool = False
    stopping: bool = False
    exiting_since: float | None = None


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
        self._life: NodeLife | None = None

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
        return self._life is not None

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop is going on."""
        return self._life is not None and self._life.stopping

    @property
    def local_time(self) -> float:
        """Return what the node's clock shows."""
        return self.clock.read(self._scheduler.now)

    def start(self) -> None:
        """Start a new incarnation with nothing but its settings."""
        if self._life is not None:
            return
        self.incarnation = Incarnation(self.incarnation + 1)
        identity = NodeIdentity(
            NodeName(self.name), self.incarnation, self.site.address, self.endpoint.placement
        )
        generator = self._generators(self.name, self.incarnation)
        core = self._factory(identity, generator)
        life = NodeLife(core, self._outbound_factory(self))
        self._life = life
        first = TICK_INTERVAL_SECONDS * generator.random()
        self._scheduler.after(first, lambda: self._tick(life))

    def stop(self) -> None:
        """Request an orderly stop of the process."""
        life = self._life
        if life is None or life.stopping:
            return
        life.stopping = True
        self._witness.observe(PlannedStopBegan(at=self._scheduler.now, process=self.name))
        self._take(life, StopRequested())

    def kill(self, machine_lost: bool = False) -> None:
        """End the process at once; the clients of a lost machine only learn it by silence."""
        life = self._life
        if life is None:
            return
        self._witness.observe(ProcessKilled(at=self._scheduler.now, process=self.name))
        self._end(STALL_LIMIT_SECONDS if machine_lost else 0.0)

    def pause(self) -> None:
        """Stop the process from running, its connections staying open."""
        if self._life is not None:
            self._life.paused = True

    def resume(self) -> None:
        """Resume a paused process, which handles what queued up meanwhile."""
        life = self._life
        if life is None or not life.paused:
            return
        life.paused = False
        backlog, life.backlog = life.backlog, []
        for event in (Tick(), *backlog):
            if self._life is life:
                self._handle(life, event)

    def status(self) -> NodeStatus | None:
        """Return the core's status, or None if the process does not answer."""
        if self._life is None or self._life.paused:
            return None
        return self._life.core.status(self.local_time)

    def open_call(
        self,
        client: Endpoint,
        handler: CallHandler,
        event: Callable[[CallId, float], Event],
    ) -> Connection | None:
        """Open a call from a client; None if the connection was refused.

        `event` makes the core's event from the call's id and the node's time.
        """
        life = self._life
        if life is None or life.exiting_since is not None:
            return None
        if self.network.blocked(client, self.endpoint) or self.network.blocked(
            self.endpoint, client
        ):
            return None
        life.calls_opened += 1
        call = CallId(f"{self.name}/{self.incarnation}/{life.calls_opened}")
        connection = Connection(
            self.network,
            client,
            self.endpoint,
            client_lost=handler.lost,
            server_lost=lambda _: self._abandoned(life, call),
        )
        life.calls[call] = OpenCall(connection, handler)
        connection.send_to_server(lambda: self._take(life, event(call, self.local_time)))
        return connection

    def take_if_same(self, incarnation: Incarnation, event: Event) -> None:
        """Feed an event that only concerns one incarnation."""
        if self._life is not None and self.incarnation == incarnation:
            self._take(self._life, event)

    def receive(self, source: Address, payload: bytes) -> None:
        """Handle a message from another node."""
        if self._life is not None:
            message = PeerMessageReceived(source, Envelope.FromString(payload))
            self._take(self._life, message)

    def _tick(self, life: NodeLife) -> None:
        if self._life is not life:
            return
        if not life.paused:
            self._handle(life, Tick())
        self._scheduler.after(TICK_INTERVAL_SECONDS, lambda: self._tick(life))

    def _take(self, life: NodeLife, event: Event) -> None:
        if self._life is not life:
            return
        if not life.paused:
            self._handle(life, event)
        elif len(life.backlog) < BACKLOG_LIMIT or not isinstance(event, PeerMessageReceived):
            life.backlog.append(event)

    def _handle(self, life: NodeLife, event: Event) -> None:
        try:
            instructions = life.core.handle(event, self.local_time)
            for instruction in instructions:
                self._require_known(instruction)
        except Exception as error:
            self._fail(event, error)
            return
        for instruction in instructions:
            self._execute(life, instruction)

    def _require_known(self, instruction: object) -> None:
        """Count an output that the daemon's shell could not carry out as the core's failure."""
        if not isinstance(instruction, Instruction):
            raise TypeError(f"not an instruction: {instruction}")

    def _fail(self, event: Event, error: Exception) -> None:
        trace = "".join(traceback.format_exception(error))
        self._on_failure(CoreFailure(self._scheduler.now, self.name, type(event).__name__, trace))
        self.kill()

    def _execute(self, life: NodeLife, instruction: Instruction) -> None:
        match instruction:
            case SendPeerMessage():
                self._send_peer_message(life, instruction)
            case SendChunk() | FinishCall() | FailCall() | AcceptLot() | DeliverSamples():
                self._answer(life, instruction)
            case ExitProcess():
                self._exit(life)
            case _:
                life.outbound.execute(instruction)

    def _answer(self, life: NodeLife, answer: CallAnswer) -> None:
        """Send a piece of an answer to its caller."""
        call = life.calls.get(answer.call)
        if call is None:
            return
        if not isinstance(answer, SendChunk):
            del life.calls[answer.call]
        call.connection.send_to_client(lambda: call.handler.answered(answer))

    def _send_peer_message(self, life: NodeLife, message: SendPeerMessage) -> None:
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
        stream = life.streams.get(peer.name)
        if stream is None:
            stream = Direction(
                self.network,
                self.endpoint,
                peer.endpoint,
                lambda: self._stream_broken(life, peer.name),
            )
            life.streams[peer.name] = stream
        stream.send(deliver)

    def _stream_broken(self, life: NodeLife, peer: str) -> None:
        life.streams.pop(peer, None)

    def _abandoned(self, life: NodeLife, call: CallId) -> None:
        if self._life is life and life.calls.pop(call, None) is not None:
            self._take(life, CallAbandoned(call))

    def _exit(self, life: NodeLife) -> None:
        """Refuse new connections; exit once the open ones are done, or after a while."""
        if life.exiting_since is None:
            life.exiting_since = self._scheduler.now
        self._leave_when_done(life)

    def _leave_when_done(self, life: NodeLife) -> None:
        if self._life is not life or life.exiting_since is None:
            return
        waited = self._scheduler.now - life.exiting_since
        if life.calls and waited < GRACEFUL_TIMEOUT_SECONDS:
            self._scheduler.after(GRACEFUL_CHECK_SECONDS, lambda: self._leave_when_done(life))
            return
        self._end(0.0)
        self._on_exit(self)

    def _end(self, silence_seconds: float) -> None:
        life = self._life
        assert life is not None
        self._life = None
        life.outbound.close(silence_seconds)
        for call in life.calls.values():
            self._scheduler.after(silence_seconds, call.connection.server_gone)
