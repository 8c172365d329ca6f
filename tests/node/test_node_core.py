"""Dispatch of events and notifications in the node's core, and its planned stop."""

from __future__ import annotations

import random
from typing import get_args

import testtools

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.core.events import Event, StopRequested, Tick
from stagewalk.node.core.instructions import ExitProcess, ReadLog, ReadMachines
from stagewalk.node.node_core import INSTRUCTION_TYPES, NodeCore, NodeIdentity
from stagewalk.node.outputs import NodeOutput


def make_core() -> NodeCore:
    identity = NodeIdentity(
        NodeName("n"), Incarnation(1), Address("127.0.0.1", 1), Placement("r", "z")
    )
    return NodeCore(identity, random.Random(1))


class NodeCoreTest(testtools.TestCase):
    def test_every_notification_has_a_handler(self) -> None:
        core = make_core()
        handled = set(core._notification_handlers) | set(INSTRUCTION_TYPES)
        self.assertEqual(set(), set(get_args(NodeOutput)) - handled)

    def test_every_event_has_a_handler(self) -> None:
        self.assertEqual(set(get_args(Event)), set(make_core()._event_handlers))

    def test_the_first_tick_reads_machine_list_and_log(self) -> None:
        instructions = make_core().handle(Tick(), 0.0)
        kinds = {type(instruction) for instruction in instructions}
        self.assertTrue({ReadMachines, ReadLog} <= kinds, kinds)

    def test_an_idle_node_exits_after_a_stop_once(self) -> None:
        core = make_core()
        core.handle(Tick(), 0.0)
        core.handle(StopRequested(), 1.0)
        exits = [
            instruction
            for now in (1.1, 1.2)
            for instruction in core.handle(Tick(), now)
            if isinstance(instruction, ExitProcess)
        ]
        self.assertEqual(1, len(exits))
        self.assertTrue(core.status(1.2).stopping)
