"""A daemon whose core asks for a greater incarnation starts again in the same process."""

from __future__ import annotations

import random

import testtools

from stagewalk.common.identities import Incarnation
from stagewalk.common.settings.fields import Limits
from stagewalk.node.core.events import Event, Tick
from stagewalk.node.core.instructions import ExitProcess, Instruction
from stagewalk.node.daemon import EXIT_CLEAN, run_node
from stagewalk.node.node_identity import NodeIdentity
from tests.node.echo_core import EchoCore
from tests.node.running_node import node_settings

GREATEST = Incarnation(1 << 60)
"""Later than any time of day in milliseconds."""


class OutdatedCore(EchoCore):
    """Exits at its first tick; below the greatest incarnation it asks to start above that."""

    def handle(self, event: Event, now: float) -> list[Instruction]:
        if isinstance(event, Tick):
            outdated = self.identity.incarnation < GREATEST
            return [ExitProcess(GREATEST if outdated else None)]
        return []


class RestartAboveTests(testtools.TestCase):
    def test_it_starts_again_above_the_greatest_incarnation_and_then_ends_in_order(self) -> None:
        """A supervisor started it again with the same time of day, and it stopped each time."""
        started: list[Incarnation] = []

        def factory(identity: NodeIdentity, generator: random.Random) -> EchoCore:
            started.append(identity.incarnation)
            return OutdatedCore(identity, generator)

        self.assertEqual(EXIT_CLEAN, run_node(node_settings(Limits()), factory))
        self.assertEqual(2, len(started))
        self.assertLess(started[0], GREATEST)
        self.assertEqual(GREATEST + 1, started[1])
