"""Nodes that start behind their earlier start, since the time of day was ahead then."""

from __future__ import annotations

import testtools

from stagewalk.node.node_core import NodeCore
from stagewalk.simulation.layouts import LAYOUTS
from stagewalk.simulation.world import World

AHEAD_STARTS = 1_000
"""Far more starts than a run has."""

START_AHEAD_AT = 20.0
START_BEHIND_AT = 40.0
END_AT = 90.0
DOWN_SECONDS = 1.0
KNOWN_SECONDS = 15.0
"""After this time without trouble all nodes know each other."""


class ClockStepTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World(LAYOUTS["compact"](), 3, NodeCore)
        self.name = min(self.world.keeper.nodes)
        self.node = self.world.keeper.nodes[self.name]

    def start_at(self, at: float, ahead: int) -> None:
        """Kill the node at a time, and start it with its time of day ahead."""

        def strike() -> None:
            self.node.clock_ahead = ahead
            self.world.keeper.kill_node(self.name, DOWN_SECONDS)

        self.world.scheduler.after(at, strike)

    def known_incarnations(self) -> set[int]:
        """Return the incarnations of the node that the others count as members."""
        found: set[int] = set()
        for other in self.world.keeper.nodes.values():
            if other is not self.node and other.alive:
                core = other._process.core
                members = core.control.membership.members()
                found |= {member.incarnation for member in members if member.name == self.name}
                if all(member.name != self.name for member in members):
                    found.add(-1)
        return found

    def test_a_node_that_starts_behind_its_earlier_start_goes_on(self) -> None:
        """It stopped as superseded by the dead process, again and again after each restart."""
        self.start_at(START_AHEAD_AT, AHEAD_STARTS)
        self.start_at(START_BEHIND_AT, 0)
        self.world.start(())
        self.world.scheduler.run_until(START_BEHIND_AT + DOWN_SECONDS + KNOWN_SECONDS)
        starts = self.node.starts
        self.assertEqual({self.node.incarnation}, self.known_incarnations())
        self.world.scheduler.run_until(END_AT)
        self.assertTrue(self.node.alive)
        self.assertEqual(starts, self.node.starts)
        self.assertEqual({self.node.incarnation}, self.known_incarnations())
        self.assertEqual([], self.world.failures)
