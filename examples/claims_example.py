"""Three nodes and a write-once register, with a transport that is a list in memory.

Two nodes claim the same key; one wins, both learn the same value, and it is still known after
a replica has restarted without its memory. Run with `python examples/claims_example.py`.
"""

from __future__ import annotations

import random
from collections import deque

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement, RecordId
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.core import ClaimCore
from stagewalk.node.claims.notifications import ClaimDecided, ClaimOutput
from stagewalk.node.claims.placement import (
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

NAMES = ("north", "east", "south")
ADDRESSES = {name: Address("127.0.0.1", 7000 + index) for index, name in enumerate(NAMES)}


class Cluster:
    """The nodes, the messages between them, and a clock that is moved by hand."""

    def __init__(self) -> None:
        self.now = 0.0
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.messages: deque[SendPeerMessage] = deque()
        self.fold = PlacementStateMachine(partition_count=1)
        self.fold.apply(first_placement())
        self.cores = {name: self.start(name) for name in NAMES}

    def start(self, name: str) -> ClaimCore:
        """Start a node; it knows nothing but the log."""
        identity = NodeIdentity(
            NodeName(name),
            Incarnation(self.incarnations[name]),
            ADDRESSES[name],
            Placement("region", name),
        )
        core = ClaimCore(identity, ClaimConfig(), random.Random(name))
        core.set_placement(self.fold.placement)
        return core

    def run(self, seconds: float) -> None:
        """Let time pass in ticks of a tenth of a second, and deliver all messages."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name, core in self.cores.items():
                core.set_members(
                    {
                        NodeName(other): Peer(ADDRESSES[other], Incarnation(incarnation))
                        for other, incarnation in self.incarnations.items()
                    }
                )
                self.execute(name, core.tick(self.now))
            self.deliver()

    def deliver(self) -> None:
        """Deliver messages until there are none."""
        names = {address: name for name, address in ADDRESSES.items()}
        while self.messages:
            message = self.messages.popleft()
            name = names[message.address]
            envelope = message.envelope
            outputs = self.cores[name].handle_message(
                ADDRESSES[envelope.sender],
                NodeName(envelope.sender),
                Incarnation(envelope.sender_incarnation),
                envelope.claims,
                self.now,
            )
            self.execute(name, outputs)

    def execute(self, name: str, outputs: list[ClaimOutput]) -> None:
        """Send messages, and print what a node was told."""
        for output in outputs:
            if isinstance(output, SendPeerMessage):
                self.messages.append(output)
            elif isinstance(output, ClaimDecided):
                print(f"{name}: {output.key} is {output.value.decode()} (won: {output.won})")


def first_placement() -> LogRecord:
    """Return the log's first record: one partition, held by all three nodes."""
    members = tuple(MemberRecord(name, 1) for name in NAMES)
    change = GroupChange(partition=0, base_epoch=0, members=members)
    payload = encode_record(PlacementChange(fence=1, changes=(change,)))
    return LogRecord(0, RecordId("first"), payload)


def main() -> None:
    """Claim a key from two nodes, restart a replica, and read the key there."""
    cluster = Cluster()
    cluster.run(0.2)
    for name in ("north", "east"):
        core = cluster.cores[name]
        cluster.execute(name, core.propose("request/7", f"run by {name}".encode(), cluster.now))
    cluster.run(2.0)
    cluster.incarnations["north"] += 1
    cluster.cores["north"] = cluster.start("north")
    cluster.run(2.0)
    print(f"north restarted; it votes again: {cluster.cores['north'].ready}")
    cluster.execute("north", cluster.cores["north"].read("request/7", cluster.now))
    cluster.run(1.0)


if __name__ == "__main__":
    main()
