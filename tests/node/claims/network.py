"""Claim cores on a network that loses, duplicates, delays and reorders messages."""

from __future__ import annotations

import heapq
import random
from collections import Counter

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement, RecordId
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.core import ClaimCore
from stagewalk.node.claims.notifications import (
    ClaimAbsent,
    ClaimDecided,
    ClaimOutput,
    ClaimUndecided,
)
from stagewalk.node.claims.placement import (
    GroupChange,
    GroupHistory,
    MemberRecord,
    PlacementChange,
    PlacementStateMachine,
    encode_record,
)
from stagewalk.node.claims.types import Peer
from stagewalk.node.core.instructions import SendPeerMessage
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.log_client.notifications import AppendToStream
from stagewalk.node.node_identity import NodeIdentity

TICK = 0.1


class Network:
    """Runs one `ClaimCore` per node on virtual time; each node reads the log independently."""

    def __init__(
        self, names: str, seed: int = 0, loss: float = 0.0, config: ClaimConfig | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.config = config or ClaimConfig()
        self.loss = loss
        self.now = 0.0
        self.cores: dict[str, ClaimCore] = {}
        self.incarnations: dict[str, int] = {}
        self.down: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.log: list[bytes] = []
        self.folds: dict[str, PlacementStateMachine] = {}
        self.folded: dict[str, int] = {}
        self.log_blocked: set[str] = set()
        self.decided: dict[str, set[bytes]] = {}
        self.ended: list[tuple[str, ClaimDecided | ClaimAbsent | ClaimUndecided]] = []
        self.bytes_to: Counter[str] = Counter()
        self._queue: list[tuple[float, int, str, SendPeerMessage]] = []
        self._sequence = 0
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node, or restart it without its state."""
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.down.discard(name)
        identity = NodeIdentity(
            NodeName(name),
            Incarnation(self.incarnations[name]),
            Address(name, 1),
            Placement("r", name),
        )
        self.cores[name] = ClaimCore(identity, self.config, random.Random(self.random.random()))
        self.folds[name] = PlacementStateMachine(1)
        self.folded[name] = 0

    def append(
        self,
        base_epoch: int,
        names: str,
        forgets: bool = False,
        as_of: dict[str, int] | None = None,
    ) -> None:
        """Append a change of the one partition's group."""
        incarnations = as_of or self.incarnations
        members = tuple(MemberRecord(name, incarnations[name]) for name in names)
        change = GroupChange(partition=0, base_epoch=base_epoch, members=members, forgets=forgets)
        self.log.append(encode_record(PlacementChange(fence=1, changes=(change,))))

    def chain(self) -> GroupHistory:
        """Return the partition's groups at the end of the log."""
        fold = PlacementStateMachine(1)
        for offset, payload in enumerate(self.log):
            fold.apply(LogRecord(offset, RecordId(str(offset)), payload))
        return fold.placement.partitions[0]

    def propose(self, name: str, key: str, value: bytes, renewable: bool = False) -> None:
        self._take(name, self.cores[name].propose(key, value, self.now, renewable))

    def read(self, name: str, key: str) -> None:
        self._take(name, self.cores[name].read(key, self.now))

    def run(self, seconds: float) -> None:
        """Advance time tick by tick."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._deliver_until(self.now + TICK)
            self.now += TICK
            for name in sorted(self.cores):
                if name not in self.down:
                    self._follow_log(name)
                    self._take(name, self.cores[name].tick(self.now))

    def deliver(self, count: int) -> None:
        """Deliver the next messages without running timers."""
        for _ in range(count):
            self._deliver_next()

    def step(self) -> None:
        """Deliver the next message, or advance time by a tick if there is none."""
        if self._queue:
            self._deliver_next()
        else:
            self.run(TICK)

    def in_flight_to(self, to: str) -> list[tuple[str, SendPeerMessage]]:
        """Return the messages in flight to a node."""
        held = [(sender, output) for _, _, sender, output in self._queue]
        return [item for item in held if item[1].address.host == to]

    def drop_all(self) -> None:
        """Drop all messages in flight."""
        self._queue.clear()

    def release(self, held: list[tuple[str, SendPeerMessage]]) -> None:
        """Send messages that were kept back."""
        for sender, output in held:
            self._send(sender, output)

    def results(self, name: str, key: str) -> list[ClaimDecided | ClaimAbsent | ClaimUndecided]:
        return [item for node, item in self.ended if node == name and item.key == key]

    def _follow_log(self, name: str) -> None:
        core = self.cores[name]
        core.set_members(
            {
                NodeName(other): Peer(Address(other, 1), Incarnation(incarnation))
                for other, incarnation in self.incarnations.items()
            }
        )
        if name in self.log_blocked or self.folded[name] == len(self.log):
            return
        offset = self.folded[name]
        fold = self.folds[name]
        fold.apply(LogRecord(offset, RecordId(str(offset)), self.log[offset]))
        self.folded[name] = offset + 1
        core.set_placement(fold.placement)

    def _take(self, name: str, outputs: list[ClaimOutput]) -> None:
        for output in outputs:
            if isinstance(output, SendPeerMessage):
                self._send(name, output)
            elif isinstance(output, AppendToStream):
                self.log.append(output.payload)
            elif isinstance(output, ClaimDecided | ClaimAbsent | ClaimUndecided):
                self.ended.append((name, output))
                if isinstance(output, ClaimDecided):
                    self.decided.setdefault(output.key, set()).add(output.value)

    def _send(self, name: str, output: SendPeerMessage) -> None:
        self.bytes_to[output.address.host] += output.envelope.ByteSize()
        copies = 1
        if self.random.random() < self.loss:
            copies = self.random.choice((0, 0, 2))
        for _ in range(copies):
            delay = 0.001
            if self.random.random() < self.loss:
                delay = self.random.choice((0.05, 0.3, 2.0)) * self.random.random()
            self._sequence += 1
            heapq.heappush(self._queue, (self.now + delay, self._sequence, name, output))

    def _deliver_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            self._deliver_next()

    def _deliver_next(self) -> None:
        at, _, sender, output = heapq.heappop(self._queue)
        self.now = max(self.now, at)
        to = output.address.host
        if to in self.down or to not in self.cores or frozenset((sender, to)) in self.cut:
            return
        envelope = output.envelope
        outputs = self.cores[to].handle_message(
            Address(sender, 1),
            NodeName(envelope.sender),
            Incarnation(envelope.sender_incarnation),
            envelope.claims,
            self.now,
        )
        self._take(to, outputs)
