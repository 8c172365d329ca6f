"""Measures the cost of a claim at its proposer and at each of its replicas.

Runs the cores of `node.claims` in memory, without a clock or a network.
"""

from __future__ import annotations

import random
import time
from collections import deque

from stagewalk.bench.capacity_data import UnitCost
from stagewalk.bench.unit_timing import CpuSlope
from stagewalk.common.identities import Address, Incarnation, NodeName, Placement, RecordId
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.core import ClaimCore
from stagewalk.node.claims.notifications import ClaimOutput
from stagewalk.node.claims.placement import (
    REPLICATION_FACTOR,
    GroupChange,
    MemberRecord,
    PlacementChange,
    PlacementStateMachine,
    encode_record,
)
from stagewalk.node.claims.types import Peer
from stagewalk.node.core.instructions import SendPeerMessage
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.node_identity import NodeIdentity

CLAIM_COUNTS = (200, 400, 800, 1600)
VALUE = b"v" * 64
HEADER_BYTES = 28
PROPOSER = 0


class _ClaimGroup:
    """A proposer that is no replica, and the three replicas of one partition."""

    def __init__(self) -> None:
        names = [NodeName(f"node-{index}") for index in range(1 + REPLICATION_FACTOR)]
        self._addresses = [Address("10.0.0.1", 7000 + index) for index in range(len(names))]
        incarnation = Incarnation(1)
        self.cores = [
            ClaimCore(
                NodeIdentity(name, incarnation, address, Placement("region", name)),
                ClaimConfig(),
                random.Random(name),
            )
            for name, address in zip(names, self._addresses, strict=True)
        ]
        fold = PlacementStateMachine(1)
        replicas = tuple(MemberRecord(name, incarnation) for name in names[1:])
        change = GroupChange(partition=0, base_epoch=0, members=replicas)
        payload = encode_record(PlacementChange(fence=1, changes=(change,)))
        fold.apply(LogRecord(0, RecordId("first"), payload))
        peers = {
            name: Peer(address, incarnation)
            for name, address in zip(names, self._addresses, strict=True)
        }
        self.seconds = [0.0] * len(names)
        self.bytes_sent = [0] * len(names)
        self._queue: deque[tuple[int, SendPeerMessage]] = deque()
        for core in self.cores:
            core.set_members(peers)
            core.set_placement(fold.placement)
        self.now = 0.0
        for _ in range(50):
            self.now += 0.1
            for index, core in enumerate(self.cores):
                self._take(index, core.tick(self.now))
            self._deliver()

    def claim(self, key: str) -> None:
        """Propose a value and deliver messages until there are none."""
        began = time.process_time()
        outputs = self.cores[PROPOSER].propose(key, VALUE, self.now)
        self.seconds[PROPOSER] += time.process_time() - began
        self._take(PROPOSER, outputs)
        self._deliver()

    def _deliver(self) -> None:
        while self._queue:
            sender, output = self._queue.popleft()
            to = self._addresses.index(output.address)
            envelope = output.envelope
            began = time.process_time()
            outputs = self.cores[to].handle_message(
                self._addresses[sender],
                NodeName(envelope.sender),
                Incarnation(envelope.sender_incarnation),
                envelope.claims,
                self.now,
            )
            self.seconds[to] += time.process_time() - began
            self._take(to, outputs)

    def _take(self, index: int, outputs: list[ClaimOutput]) -> None:
        for output in outputs:
            if isinstance(output, SendPeerMessage):
                self.bytes_sent[index] += output.envelope.ByteSize() + HEADER_BYTES
                self._queue.append((index, output))


def measure_claims() -> tuple[UnitCost, UnitCost]:
    """Return the cost of a claim at its proposer and at one replica."""
    proposer, replica = CpuSlope(), CpuSlope()
    group = _ClaimGroup()
    for count in CLAIM_COUNTS:
        group = _ClaimGroup()
        for index in range(count):
            group.claim(f"request/tenant/{count}-{index}")
        proposer.add(count, group.seconds[PROPOSER])
        replica.add(count, sum(group.seconds[1:]) / REPLICATION_FACTOR)
    count = CLAIM_COUNTS[-1]
    proposer_out = group.bytes_sent[PROPOSER] / count
    replicas_out = sum(group.bytes_sent[1:]) / count
    holder = group.cores[1]
    return (
        UnitCost(
            name="claim_proposer",
            unit="claim",
            cpu_microseconds=proposer.microseconds,
            cpu_error=proposer.error,
            bytes_out=proposer_out,
            bytes_in=replicas_out,
        ),
        UnitCost(
            name="claim_replica",
            unit="claim",
            cpu_microseconds=replica.microseconds,
            cpu_error=replica.error,
            bytes_out=replicas_out / REPLICATION_FACTOR,
            bytes_in=proposer_out / REPLICATION_FACTOR,
            memory_bytes=holder.size_bytes / max(1, holder.entry_count),
        ),
    )
