"""Which replicas a node without one asks, and when it reads the log itself."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.common.identities import Address, Placement
from stagewalk.gateway.batch_service.ledger_calls import LedgerCallRouter
from stagewalk.gateway.batch_service.ledger_messages import (
    LedgerAnswer,
    ResultsCall,
    encode_message,
    refusal,
)
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.zones.distance import Proximity

CALL = ResultsCall("b1", 0, 0.0)
KNOWN = LedgerAnswer(200, b"{}")
INCONCLUSIVE = refusal(503, "the view is too old", 0.25)


def replica(number: int) -> NodeAnnouncement:
    address = f"10.0.0.{number}:1"
    return NodeAnnouncement(f"n{number}", 1, address, address, "z", "r", True, 1, True)


class ScriptedClient:
    """Returns the given answers in order; None stands for no answer."""

    def __init__(self, *answers: LedgerAnswer | None) -> None:
        self.answers = list(answers)
        self.asked: list[Address] = []

    async def call(
        self, peer: Address, path: str, content: bytes, answer_seconds: float
    ) -> bytes | None:
        self.asked.append(peer)
        answer = self.answers.pop(0)
        return None if answer is None else encode_message(answer)


class FakeLocalHandler:
    def __init__(self) -> None:
        self.calls = 0

    async def execute(self, call: ResultsCall) -> LedgerAnswer:
        self.calls += 1
        return KNOWN


class LedgerCallTests(testtools.TestCase):
    def call(
        self,
        *answers: LedgerAnswer | None,
        replicas: int = 3,
        following: bool = False,
        may_hold: bool = True,
    ) -> LedgerAnswer:
        self.client, self.local = ScriptedClient(*answers), FakeLocalHandler()
        calls = LedgerCallRouter(
            self.local,
            self.client,
            Proximity(Placement("r", "z"), {}),
            lambda: [replica(n) for n in range(replicas)],
            lambda: following,
            may_hold=lambda: may_hold,
        )
        return anyio.run(calls.call, CALL)

    def test_a_node_that_holds_a_replica_asks_no_other_node(self) -> None:
        self.assertEqual(KNOWN, self.call(following=True))
        self.assertEqual([], self.client.asked)

    def test_a_node_that_may_not_hold_batches_never_reads_the_log(self) -> None:
        """Item bodies must stay in the batches' regions, even if no node there answers."""
        answer = self.call(None, None, may_hold=False)
        self.assertEqual((503, 0), (answer.status, self.local.calls))
        self.assertEqual(KNOWN, self.call(None, None))

    def test_the_nearest_replicas_are_asked_first(self) -> None:
        places = (("n0", "z9", "r9"), ("n1", "z2", "r"), ("n2", "z", "r"), ("n3", "z9", "r9"))
        nodes = [
            NodeAnnouncement(name, 1, f"{name}:1", f"{name}:1", zone, region, True, 1, True)
            for name, zone, region in places
        ]
        proximity = Proximity(Placement("r", "z"), {"z": "r", "z2": "r", "z9": "r9"})
        client = ScriptedClient(None, None)
        calls = LedgerCallRouter(
            FakeLocalHandler(), client, proximity, lambda: nodes, lambda: False
        )
        anyio.run(calls.call, CALL)
        self.assertEqual(["n2", "n1"], [peer.host for peer in client.asked])

    def test_a_second_replica_is_asked_if_the_first_gives_no_conclusive_answer(self) -> None:
        for first in (None, INCONCLUSIVE):
            self.assertEqual(KNOWN, self.call(first, KNOWN))
            self.assertEqual(2, len(set(self.client.asked)))
            self.assertEqual(0, self.local.calls)

    def test_the_log_is_not_read_while_a_replica_answers_inconclusively(self) -> None:
        for answers in ((INCONCLUSIVE, INCONCLUSIVE), (INCONCLUSIVE, None), (None, INCONCLUSIVE)):
            self.assertEqual(INCONCLUSIVE, self.call(*answers))
            self.assertEqual(0, self.local.calls)

    def test_the_log_is_read_if_no_replica_answers_or_none_is_known(self) -> None:
        self.assertEqual(KNOWN, self.call(None, None))
        self.assertEqual(1, self.local.calls)
        self.assertEqual(KNOWN, self.call(replicas=0))
        self.assertEqual(1, self.local.calls)
