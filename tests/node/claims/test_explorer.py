"""Bounded exploration of message interleavings, with mutations that it must detect."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

import testtools

from stagewalk.node.claims.partition import PartitionReplica
from stagewalk.node.claims.relay import PlacementView
from stagewalk.node.claims.replica import ReplicaCore
from stagewalk.node.claims.transfer import StateTransfer
from stagewalk.simulation.claims_explorer import DecidedTwice, Limits, explore, walk


class ExplorerTest(testtools.TestCase):
    def test_every_state_within_a_few_steps_is_sound(self) -> None:
        coverage = explore(4, Limits(restarts=1, timers=0), 5000)
        self.assertTrue(coverage.exhausted)
        self.assertGreater(coverage.states, 800)

    def test_random_paths_with_restarts_and_a_group_change_are_sound(self) -> None:
        limits = Limits(restarts=2, timers=3, duplicates=1, group_changes=1)
        coverage = walk(40, 120, limits, seed=1)
        self.assertGreater(coverage.decided_states, 100)


class MutantTest(testtools.TestCase):
    """With any one safety mechanism disabled, the explorer finds two decided values."""

    def assert_found(self, limits: Limits, walks: int, seed: int) -> None:
        self.assertRaises(DecidedTwice, walk, walks, 120, limits, seed)

    def test_recovery(self) -> None:
        with mock.patch.object(StateTransfer, "finished", lambda *_: True):
            self.assert_found(Limits(restarts=1, timers=2), 200, seed=0)

    def test_consistent_quorums(self) -> None:
        consistent_answers = "stagewalk.node.claims.proposal.consistent_answers"
        with mock.patch(consistent_answers, lambda answers: answers):
            self.assert_found(Limits(restarts=1, timers=2), 400, seed=0)

    def test_sealing_of_the_group_before(self) -> None:
        hand_over: Callable[..., object] = ReplicaCore._hand_over

        def without_seal(core: ReplicaCore, replica: PartitionReplica, *rest: object) -> object:
            known_epoch = replica.known_epoch
            answer = hand_over(core, replica, *rest)
            replica.known_epoch = known_epoch
            return answer

        without_relay = mock.patch.object(PlacementView, "apply_peer", lambda *_: False)
        with without_relay, mock.patch.object(ReplicaCore, "_hand_over", without_seal):
            self.assert_found(Limits(restarts=0, timers=0, group_changes=1), 60, seed=7)
