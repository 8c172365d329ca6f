"""Deterministic in-memory network of membership cores, with loss, delay, partitions and pauses.

Simulates time, messages in flight and faults; the cores are those that run in a node.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from itertools import count

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.core.events import TICK_INTERVAL_SECONDS
from stagewalk.node.core.instructions import SendPeerMessage, Transport
from stagewalk.node.core.platform import Machine, MachineKind, MachineState
from stagewalk.node.membership.config import MembershipConfig
from stagewalk.node.membership.core import MembershipCore, MembershipOutput
from stagewalk.node.membership.members import MemberState
from stagewalk.node.membership.notifications import MemberChanged, MembershipNotification
from stagewalk.node.node_identity import NodeIdentity
from stagewalk.node.wire.envelope_pb2 import Envelope

UDP_OVERHEAD_BYTES = 28


class MembershipNetwork:
    """Membership cores in virtual time; tests and `fault_costs` inject faults.

    Attributes
    ----------
    loss
        Share of messages lost.
    delay
        Mean time a message takes, seconds.
    cut
        Says whether messages from one node to another are lost.
    """

    def __init__(self, seed: int = 0, config: MembershipConfig | None = None) -> None:
        self.generator = random.Random(seed)
        self.config = config or MembershipConfig()
        self.now = 100.0
        self.loss = 0.0
        self.delay = 0.002
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.cores: dict[str, MembershipCore] = {}
        self.paused: set[str] = set()
        self.notifications: list[tuple[float, str, MembershipNotification]] = []
        self.bytes_sent = 0
        self.largest_datagram = 0
        self._incarnations = count(1)
        self._order = count()
        self._queue: list[tuple[float, int, str, Address, bytes]] = []
        self._names: dict[Address, str] = {}
        self._ticks: list[tuple[float, str]] = []

    def start(self, name: str, zone: str = "z1", region: str = "r1") -> MembershipCore:
        """Start a node, or restart it under the same name and address."""
        known = self.cores.get(name)
        fresh = Address("10.0.0.1", 7000 + len(self.cores))
        address = known.identity.address if known is not None else fresh
        incarnation = Incarnation(next(self._incarnations))
        identity = NodeIdentity(NodeName(name), incarnation, address, Placement(region, zone))
        generator = random.Random(self.generator.random())
        self.cores[name] = MembershipCore(identity, self.config, generator)
        self._names[address] = name
        self.paused.discard(name)
        if known is None:
            first_tick = self.now + self.generator.random() * TICK_INTERVAL_SECONDS
            heapq.heappush(self._ticks, (first_tick, name))
        return self.cores[name]

    def kill(self, name: str) -> None:
        """Stop a node's process without an announcement."""
        self.paused.add(name)

    def leave(self, name: str) -> None:
        """Announce that a node leaves."""
        self._execute(name, self.cores[name].leave(self.now))

    def list_machines(self, names: Iterable[str] | None = None) -> None:
        """Pass a machine list to every running node."""
        machines = [self._machine(name) for name in sorted(names or self.cores)]
        for name in sorted(self.cores):
            if name not in self.paused:
                self.cores[name].handle_machines(machines, self.now)

    def run(self, seconds: float) -> None:
        """Run all deliveries and ticks of the next `seconds`."""
        end = self.now + seconds
        while True:
            tick_at, name = self._ticks[0]
            if self._queue and self._queue[0][0] <= tick_at:
                if self._queue[0][0] > end:
                    break
                self._deliver(*heapq.heappop(self._queue))
            elif tick_at > end:
                break
            else:
                self._tick(tick_at, name)
        self.now = end

    def views(self) -> set[tuple[tuple[str, int], ...]]:
        """Return the distinct sets of members that the running nodes hold alive."""
        return {
            tuple(
                (member.name, member.incarnation)
                for member in core.members()
                if member.state is MemberState.ALIVE
            )
            for name, core in self.cores.items()
            if name not in self.paused
        }

    def changes_to(self, state: MemberState) -> list[tuple[float, str, str]]:
        """Return time, observer and subject of each change to a state."""
        return [
            (at, observer, change.name)
            for at, observer, change in self.notifications
            if isinstance(change, MemberChanged) and change.new_state is state
        ]

    def _tick(self, at: float, name: str) -> None:
        self.now = max(self.now, at)
        heapq.heapreplace(self._ticks, (at + TICK_INTERVAL_SECONDS, name))
        if name not in self.paused:
            self._execute(name, self.cores[name].tick(self.now))

    def _deliver(
        self, at: float, order: int, receiver: str, source: Address, payload: bytes
    ) -> None:
        self.now = max(self.now, at)
        if receiver in self.paused:
            return
        envelope = Envelope.FromString(payload)
        outputs = self.cores[receiver].handle_message(
            source, NodeName(envelope.sender), envelope.membership, self.now
        )
        self._execute(receiver, outputs)

    def _execute(self, name: str, outputs: list[MembershipOutput]) -> None:
        for output in outputs:
            if isinstance(output, SendPeerMessage):
                self._send(name, output)
            else:
                self.notifications.append((self.now, name, output))

    def _send(self, sender: str, output: SendPeerMessage) -> None:
        payload = output.envelope.SerializeToString()
        self.bytes_sent += len(payload) + UDP_OVERHEAD_BYTES
        if output.transport is Transport.DATAGRAM:
            self.largest_datagram = max(self.largest_datagram, len(payload))
        receiver = self._names.get(output.address)
        if receiver is None or self.cut(sender, receiver):
            return
        if self.generator.random() < self.loss:
            return
        arrival = self.now + self.delay * (0.5 + self.generator.random())
        source = self.cores[sender].identity.address
        heapq.heappush(self._queue, (arrival, next(self._order), receiver, source, payload))

    def _machine(self, name: str) -> Machine:
        identity = self.cores[name].identity
        return Machine(
            name,
            MachineKind.NODE,
            identity.address,
            identity.placement,
            MachineState.LIVE,
            "stagewalk",
        )
