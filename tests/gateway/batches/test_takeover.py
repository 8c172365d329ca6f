"""Batches without a runner are claimed by its machine at once, by other nodes in rank order."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.takeover import (
    CLAIM_DELAY_PER_RANK_SECONDS,
    CLAIM_REPEAT_SECONDS,
    RESTARTED_RUNNER_DELAY_SECONDS,
    OpenBatch,
    RunnerState,
    Takeovers,
    rendezvous_hash,
)

NODES = ("n1", "n2", "n3")
FIRST, SECOND, THIRD = sorted(NODES, key=lambda node: rendezvous_hash("b", node))


class Node:
    """One node's takeovers, for a batch whose runner state the test sets."""

    def __init__(self, name: str, state: RunnerState = RunnerState.GONE) -> None:
        self.state = state
        self.takeovers = Takeovers(name, lambda _runner: self.state)

    def claims(self, now: float, view_age: float = 0.0) -> bool:
        return self.takeovers.decide([OpenBatch("b", "n9#1", view_age)], NODES, now) == ["b"]


class TakeoverTests(testtools.TestCase):
    def test_a_batch_with_a_live_runner_is_not_claimed(self) -> None:
        node = Node(FIRST, RunnerState.RUNS)
        self.assertFalse(any(node.claims(0.1 * n) for n in range(100)))

    def test_a_restarted_runner_claims_at_once_whatever_its_rank(self) -> None:
        for name in NODES:
            self.assertTrue(Node(name, RunnerState.MINE_BEFORE).claims(5.0))

    def test_others_leave_a_batch_to_the_restarted_runner_first(self) -> None:
        node = Node(FIRST, RunnerState.RETURNED)
        self.assertFalse(node.claims(0.0))
        self.assertFalse(node.claims(RESTARTED_RUNNER_DELAY_SECONDS - 0.01))
        self.assertTrue(node.claims(RESTARTED_RUNNER_DELAY_SECONDS))

    def test_nodes_claim_a_gone_runners_batch_in_rank_order(self) -> None:
        for rank, name in enumerate((FIRST, SECOND, THIRD)):
            node = Node(name)
            due = rank * CLAIM_DELAY_PER_RANK_SECONDS
            self.assertEqual(rank == 0, node.claims(0.0))
            if rank:
                self.assertFalse(node.claims(due - 0.01))
                self.assertTrue(node.claims(due))

    def test_a_node_without_a_replica_claims_last(self) -> None:
        node = Node("stranger")
        self.assertFalse(node.claims(0.0))
        self.assertFalse(node.claims(len(NODES) * CLAIM_DELAY_PER_RANK_SECONDS - 0.01))
        self.assertTrue(node.claims(len(NODES) * CLAIM_DELAY_PER_RANK_SECONDS))

    def test_nothing_is_claimed_from_an_old_or_incomplete_view(self) -> None:
        node = Node(FIRST, RunnerState.MINE_BEFORE)
        self.assertFalse(node.claims(0.0, view_age=3.1))
        self.assertFalse(node.claims(0.1, view_age=float("inf")))
        self.assertTrue(node.claims(0.2, view_age=0.1))

    def test_a_claim_is_repeated_only_after_a_while(self) -> None:
        node = Node(FIRST)
        self.assertTrue(node.claims(1.0))
        self.assertFalse(node.claims(1.0 + CLAIM_REPEAT_SECONDS - 0.01))
        self.assertTrue(node.claims(1.0 + CLAIM_REPEAT_SECONDS))

    def test_a_runner_that_comes_back_resets_the_delay(self) -> None:
        node = Node(SECOND)
        self.assertFalse(node.claims(0.0))
        node.state = RunnerState.RUNS
        node.claims(CLAIM_DELAY_PER_RANK_SECONDS)
        node.state = RunnerState.GONE
        self.assertFalse(node.claims(2 * CLAIM_DELAY_PER_RANK_SECONDS))
        self.assertTrue(node.claims(3 * CLAIM_DELAY_PER_RANK_SECONDS))
