"""Embeds the membership core: three nodes in one program find each other, and one dies.

Run it with `python examples/membership_example.py`. It keeps its own clock and hands messages
over in memory; a real program would use the wall clock and sockets.
"""

from __future__ import annotations

import random
from collections import deque

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.core.instructions import SendPeerMessage
from stagewalk.node.core.platform import Machine, MachineKind, MachineState
from stagewalk.node.membership.config import MembershipConfig
from stagewalk.node.membership.core import MembershipCore, MembershipOutput
from stagewalk.node.membership.notifications import MemberChanged
from stagewalk.node.node_identity import NodeIdentity

TICK_SECONDS = 0.1
VICTIM = "c"


class Program:
    """Three cores, the clock, and what carries their messages."""

    def __init__(self) -> None:
        self.now = 0.0
        self._messages: deque[SendPeerMessage] = deque()
        self._nodes: dict[Address, MembershipCore] = {}
        for number, name in enumerate("abc"):
            address = Address("10.0.0.1", 7000 + number)
            identity = NodeIdentity(
                NodeName(name), Incarnation(1), address, Placement("region", f"zone-{number}")
            )
            core = MembershipCore(identity, MembershipConfig(), random.Random(number))
            self._nodes[address] = core
        for core in self._nodes.values():
            core.handle_machines(self._machine_list(), self.now)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_SECONDS
            for core in list(self._nodes.values()):
                self._execute(core, core.tick(self.now))
            while self._messages:
                self._deliver(self._messages.popleft())

    def kill(self, name: str) -> None:
        """End a node without a word."""
        self._nodes = {
            address: core for address, core in self._nodes.items() if core.identity.name != name
        }

    def _machine_list(self) -> list[Machine]:
        return [
            Machine(
                core.identity.name,
                MachineKind.NODE,
                core.identity.address,
                core.identity.placement,
                MachineState.LIVE,
                "example",
            )
            for core in self._nodes.values()
        ]

    def _deliver(self, message: SendPeerMessage) -> None:
        receiver = self._nodes.get(message.address)
        if receiver is None:
            return
        envelope = message.envelope
        outputs = receiver.handle_message(
            message.address, NodeName(envelope.sender), envelope.membership, self.now
        )
        self._execute(receiver, outputs)

    def _execute(self, core: MembershipCore, outputs: list[MembershipOutput]) -> None:
        for output in outputs:
            if isinstance(output, SendPeerMessage):
                self._messages.append(output)
            elif isinstance(output, MemberChanged):
                state = output.new_state.name.lower()
                print(f"{self.now:5.1f} s  {core.identity.name}: {output.name} is {state}")


def main() -> None:
    """Start three nodes, and end one of them after five seconds."""
    program = Program()
    program.run(5.0)
    program.kill(VICTIM)
    program.run(10.0)


if __name__ == "__main__":
    main()
