"""Who runs a batch: the trainer's usual node, or the next one while that is busy for others."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.batches.records import BatchHeader
from stagewalk.gateway.batches.takeover import rendezvous_hash
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.runners.runner_calls import RunnerClient
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.runners.runner_messages import (
    AskRunner,
    RunnerAnswer,
    decode_call,
    encode_message,
)

TRAINER = BatchHeader("b1", "h.example", "/run/b1", 1, "m", 0, 4)


def replica(number: int) -> NodeAnnouncement:
    address = f"10.0.0.{number}:1"
    return NodeAnnouncement(f"n{number}", 1, address, address, "z", "r", True, 1, True)


REPLICAS = sorted(
    [replica(n) for n in range(6)], key=lambda node: rendezvous_hash(TRAINER.trainer, node.node)
)
USUAL, NEXT = REPLICAS[0], REPLICAS[1]


class FakePeers:
    """Answers as each node would; those without an answer are silent."""

    def __init__(self, items_of_others: dict[str, int | None]) -> None:
        self._items = items_of_others
        self.asked: list[str] = []

    async def call(
        self, peer: Address, _path: str, content: bytes, _seconds: float
    ) -> bytes | None:
        node = next(n for n in REPLICAS if n.peer == str(peer))
        self.asked.append(node.node)
        call = decode_call(content)
        assert isinstance(call, AskRunner) and call.trainer == TRAINER.trainer
        items = self._items.get(node.node, 0)
        if items is None:
            return None
        return encode_message(RunnerAnswer(f"{node.node}#1", True, items))


def choose(
    peers: FakePeers,
    policy: Policy = DEFAULT_POLICY,
    *,
    may_hold: bool = True,
    replicas: list[NodeAnnouncement] = REPLICAS,
) -> str | None:
    choice = RunnerChoice(
        identity=ProcessId("own", 1),
        nodes=mock.Mock(replicas=lambda: list(replicas), may_hold_batches=may_hold),
        runner=mock.Mock(stopping=False),
        calls=RunnerClient(peers),  # type: ignore[arg-type]
        policy=policy,
    )
    return anyio.run(choice.choose, TRAINER)


class RunnerChoiceTests(testtools.TestCase):
    def test_a_trainer_keeps_to_its_node_while_that_runs_for_nobody_else(self) -> None:
        peers = FakePeers({})
        self.assertEqual(f"{USUAL.node}#1", choose(peers))
        self.assertEqual([USUAL.node], peers.asked)

    def test_two_trainers_of_one_node_come_apart(self) -> None:
        peers = FakePeers({USUAL.node: 80, NEXT.node: 0})
        self.assertEqual(f"{NEXT.node}#1", choose(peers))

    def test_where_both_are_busy_the_less_busy_one_is_taken(self) -> None:
        peers = FakePeers({USUAL.node: 80, NEXT.node: 90})
        self.assertEqual(f"{USUAL.node}#1", choose(peers))

    def test_a_silent_node_is_passed_over(self) -> None:
        peers = FakePeers({USUAL.node: None})
        self.assertEqual(f"{NEXT.node}#1", choose(peers))

    def test_where_nobody_answers_the_node_that_took_the_batch_runs_it(self) -> None:
        peers = FakePeers({USUAL.node: None, NEXT.node: None})
        self.assertEqual("own#1", choose(peers))

    def test_a_batch_is_run_in_its_regions_or_refused(self) -> None:
        """This node, to which the trainer connected, is in none of them."""
        silent = FakePeers({USUAL.node: None, NEXT.node: None})
        self.assertEqual("", choose(silent, may_hold=False))
        self.assertIsNone(choose(FakePeers({}), may_hold=False, replicas=[]))

    def test_the_mechanism_can_be_switched_off(self) -> None:
        peers = FakePeers({USUAL.node: 80})
        self.assertEqual(f"{USUAL.node}#1", choose(peers, Policy(spread_trainers=False)))
