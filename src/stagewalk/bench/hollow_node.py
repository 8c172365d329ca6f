"""One hollow node: the real core, loop and peer transport; platform and engines answered inside."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
from prometheus_client import Counter

from stagewalk.bench.hollow_messages import Seen
from stagewalk.bench.hollow_platform import HollowPlatform
from stagewalk.node.core.events import Event
from stagewalk.node.core.instructions import (
    AppendRecord,
    Instruction,
    LogEvent,
    OrderEngine,
    PollEngine,
    ReadLog,
    ReadMachines,
    ReadVersions,
    SendPeerMessage,
)
from stagewalk.node.core_runner import CoreRunner
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.membership.members import MemberState
from stagewalk.node.metrics import NodeMetrics
from stagewalk.node.node_core import NodeCore
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.peers.peer_transport import PeerTransport

OUT = "sent"
IN = "received"


class HollowNode:
    """A node without an edge; it notes deaths it tells of and configurations it puts in force."""

    def __init__(self, identity: NodeIdentity, platform: HollowPlatform) -> None:
        self.identity = identity
        self.reaches_log = True
        self.deaths: list[Seen] = []
        self.in_force: list[Seen] = []
        self.core = NodeCore(identity, random.Random(identity.name))
        self._platform = platform
        self._events = EventQueue()
        self._metrics = NodeMetrics()
        self._transport = PeerTransport(identity.address, self._events, self._metrics.peers)
        self._scope = anyio.CancelScope()
        self._handlers = self._make_handlers()

    async def run(self) -> None:
        """Run until killed."""
        runner = CoreRunner(self.core, self._events, self._carry_out, self._metrics.core)
        with self._scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self._transport.run)
                tasks.start_soon(runner.run)
                tasks.start_soon(runner.tick)

    def kill(self) -> None:
        """End it without a word."""
        self._scope.cancel()

    def is_complete(self, member_count: int) -> bool:
        """Return whether it sees all members and has the configuration in force."""
        members = self.core.control.membership.members()
        alive = sum(1 for member in members if member.state is MemberState.ALIVE)
        return alive == member_count and bool(self.in_force)

    def messages(self, direction: str) -> float:
        """Return how many messages it sent or received."""
        return _total(self._metrics.peers.messages, direction)

    def octets(self, direction: str) -> float:
        """Return how many bytes of messages it sent or received, without IP headers."""
        return _total(self._metrics.peers.bytes, direction)

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        platform, deliver = self._platform, self._deliver
        return {
            SendPeerMessage: self._transport.send,
            PollEngine: lambda poll: platform.poll(poll, deliver),
            OrderEngine: lambda order: platform.order(order, deliver),
            ReadMachines: lambda _: platform.read_machines(deliver),
            ReadVersions: lambda read: platform.read_versions(read, deliver),
            ReadLog: self._read_log,
            AppendRecord: lambda append: platform.append_record(append, deliver),
            LogEvent: self._note,
        }

    def _carry_out(self, instruction: Instruction) -> None:
        self._handlers[type(instruction)](instruction)

    def _deliver(self, event: Event) -> None:
        self._events.put_droppable(event)

    def _read_log(self, read: ReadLog) -> None:
        self._platform.read_log(read, self.reaches_log, self._deliver)

    def _note(self, event: LogEvent) -> None:
        name, now = self.identity.name, time.monotonic()
        if event.name == "member_changed" and event.fields["state"] == "dead":
            self.deaths.append(Seen(name, str(event.fields["member"]), now))
        elif event.name == "configuration_in_force":
            self.in_force.append(Seen(name, str(event.fields["offset"]), now))


def _total(counter: Counter, direction: str) -> float:
    samples = (sample for metric in counter.collect() for sample in metric.samples)
    return sum(float(s.value) for s in samples if s.labels.get("direction") == direction)
