"""Which node runs a batch: the trainer's preferred one, or the next if that is busier."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.batches.records import BatchHeader
from stagewalk.gateway.batches.takeover import rendezvous_hash
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.policy import DEFAULT_POLICY, Policy
from stagewalk.gateway.runners.runner_calls import RunnerClient
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.runners.runner_messages import (
    AskRunner,
    RunnerAnswer,
    decode_call,
    encode_message,
)

HEADER = BatchHeader("b1", "h.example", "/run/b1", 1, "m", 0, 4)


def replica(number: int) -> NodeAnnouncement:
    address = f"10.0.0.{number}:1"
    return NodeAnnouncement(f"n{number}", 1, address, address, "z", "r", True, 1, True)


REPLICAS = sorted(
    [replica(n) for n in range(6)], key=lambda node: rendezvous_hash(HEADER.trainer, node.node)
)
PREFERRED, SECOND = REPLICAS[0], REPLICAS[1]


class FakePeers:
    """Answers for each node; a node whose number of attempts is None doesn't answer."""

    def __init__(self, attempts_for_other_trainers: dict[str, int | None]) -> None:
        self._items = attempts_for_other_trainers
        self.asked: list[str] = []

    async def call(
        self, peer: Address, _path: str, content: bytes, _seconds: float
    ) -> bytes | None:
        node = next(n for n in REPLICAS if n.peer == str(peer))
        self.asked.append(node.node)
        call = decode_call(content)
        assert isinstance(call, AskRunner) and call.trainer == HEADER.trainer
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
        identity=OwnIdentity("own", 1),
        nodes=mock.Mock(replicas=lambda: list(replicas), may_hold_batches=may_hold),
        runner=mock.Mock(stopping=False),
        calls=RunnerClient(peers),  # type: ignore[arg-type]
        policy=policy,
    )
    return anyio.run(choice.choose, HEADER)


class RunnerChoiceTests(testtools.TestCase):
    def test_a_trainer_keeps_its_node_while_that_runs_no_other_trainers(self) -> None:
        peers = FakePeers({})
        self.assertEqual(f"{PREFERRED.node}#1", choose(peers))
        self.assertEqual([PREFERRED.node], peers.asked)

    def test_two_trainers_with_the_same_preferred_node_are_spread(self) -> None:
        peers = FakePeers({PREFERRED.node: 80, SECOND.node: 0})
        self.assertEqual(f"{SECOND.node}#1", choose(peers))

    def test_if_both_nodes_are_busy_the_less_busy_one_is_chosen(self) -> None:
        peers = FakePeers({PREFERRED.node: 80, SECOND.node: 90})
        self.assertEqual(f"{PREFERRED.node}#1", choose(peers))

    def test_a_node_that_does_not_answer_is_skipped(self) -> None:
        peers = FakePeers({PREFERRED.node: None})
        self.assertEqual(f"{SECOND.node}#1", choose(peers))

    def test_if_no_node_answers_the_node_that_accepted_the_batch_runs_it(self) -> None:
        peers = FakePeers({PREFERRED.node: None, SECOND.node: None})
        self.assertEqual("own#1", choose(peers))

    def test_a_batch_is_run_in_its_regions_or_refused(self) -> None:
        """The node that the trainer connected to is in none of these regions."""
        silent = FakePeers({PREFERRED.node: None, SECOND.node: None})
        self.assertEqual("", choose(silent, may_hold=False))
        self.assertIsNone(choose(FakePeers({}), may_hold=False, replicas=[]))

    def test_spreading_trainers_can_be_disabled(self) -> None:
        peers = FakePeers({PREFERRED.node: 80})
        self.assertEqual(f"{PREFERRED.node}#1", choose(peers, Policy(spread_trainers=False)))
