"""Who runs a batch: the trainer's usual node, or the next one while that is busy for others."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.batch_service.open_batches import BatchPlace, OpenBatches
from stagewalk.gateway.batches.records import BatchHeader
from stagewalk.gateway.batches.takeover import affinity
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.policy import ALL_ON, Policy
from stagewalk.gateway.runners.batch_assignments import BatchAssignments
from stagewalk.gateway.runners.runner_calls import RunnerCalls
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.runners.runner_messages import (
    AskRunner,
    RunBatch,
    RunnerAnswer,
    decode_call,
    encode_message,
)
from tests.gateway.memory_log import MemoryLog

TRAINER = BatchHeader("b1", "h.example", "/run/b1", 1, "m", 0, 4)


def replica(number: int) -> NodeAnnouncement:
    address = f"10.0.0.{number}:1"
    return NodeAnnouncement(f"n{number}", 1, address, address, "z", "r", True, 1, True)


REPLICAS = sorted(
    [replica(n) for n in range(6)], key=lambda node: affinity(TRAINER.trainer, node.node)
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
    policy: Policy = ALL_ON,
    *,
    may_hold: bool = True,
    replicas: list[NodeAnnouncement] = REPLICAS,
) -> str | None:
    choice = RunnerChoice(
        identity=ProcessId("own", 1),
        nodes=mock.Mock(replicas=lambda: list(replicas), may_hold_batches=may_hold),
        runner=mock.Mock(stopping=False),
        calls=RunnerCalls(peers),  # type: ignore[arg-type]
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


class ToldRunners:
    """Nodes that note what they are told."""

    def __init__(self) -> None:
        self.told: list[RunBatch] = []
        self.noted = False
        """Whether they say that they noted the batch's place."""

    async def call(
        self, _peer: Address, _path: str, content: bytes, _seconds: float
    ) -> bytes | None:
        call = decode_call(content)
        assert isinstance(call, RunBatch)
        self.told.append(call)
        return encode_message(RunnerAnswer("n1#1", True, noted=self.noted))


class TellTests(testtools.TestCase):
    """What a runner is told of a batch shows the batch's end, however often it is handed in."""

    def setUp(self) -> None:
        super().setUp()
        self.setUp_places()

    def setUp_places(self) -> None:
        self.client = MemoryLog().client()
        self.places = OpenBatches(self.client)
        self.peers = ToldRunners()
        self.assignments = BatchAssignments(
            identity=ProcessId("own", 1),
            nodes=mock.Mock(peer_of=lambda _process: Address("10.0.0.1", 1)),
            store=mock.Mock(partition=lambda _batch: 2),
            runner=mock.Mock(stopping=False),
            calls=RunnerCalls(self.peers),  # type: ignore[arg-type]
            open_batches=self.places,
            policy=ALL_ON,
        )

    async def submit(self, offset: int) -> None:
        async with anyio.create_task_group() as tasks:
            self.assignments.start(tasks)
            await self.assignments.notify("n1#1", TRAINER, offset)

    def test_the_first_submission_is_noted_and_told(self) -> None:
        async def scenario() -> None:
            await self.submit(7)
            self.assertEqual([RunBatch("b1", 2, 7)], self.peers.told)
            self.assertEqual(BatchPlace(2, 7, "n1#1"), (await self.places.find("b1")).ok)

        anyio.run(scenario)

    def test_a_place_that_the_runner_noted_is_left_as_it_is(self) -> None:
        """The runner's is certain, since its view held all records; the submitter's never is."""

        async def scenario() -> None:
            self.peers.noted = True
            await self.submit(7)
            self.assertIsNone((await self.places.find("b1")).ok)

        anyio.run(scenario)

    def test_a_runner_whose_view_is_whole_notes_a_certain_place(self) -> None:
        for offset in (3, None):

            async def scenario(offset: int | None = offset) -> None:
                store = mock.Mock(
                    followed=lambda _batch, _now: True,
                    view_age=lambda _batch, _now: 0.0,
                    catch_up=mock.AsyncMock(),
                    first_offset=lambda _batch, _now: offset,
                )
                batch = mock.Mock(header=TRAINER, runner="n1#1", ended=False)
                store.ledger.get = lambda _name: batch
                self.assignments._store = store
                noted = await self.assignments.accept(RunBatch("b2", 2, 7))
                self.assertEqual(offset is not None, noted)
                place = (await self.places.find("b2")).ok
                certain = BatchPlace(2, 3, "n1#1", certain=True)
                self.assertEqual(certain if noted else None, place)

            self.setUp_places()
            anyio.run(scenario)

    def test_a_later_submission_neither_moves_the_place_nor_is_told(self) -> None:
        async def scenario() -> None:
            await self.submit(7)
            await self.submit(9)
            self.assertEqual([RunBatch("b1", 2, 7)], self.peers.told)
            self.assertEqual(7, (await self.places.find("b1")).ok.offset)

        anyio.run(scenario)

    def test_a_submission_that_lands_after_the_end_is_not_told(self) -> None:
        async def scenario() -> None:
            self.assertTrue(await self.places.mark_ended("b1", 2, None, 1.0))
            await self.submit(9)
            self.assertEqual([], self.peers.told)
            self.assertTrue((await self.places.find("b1")).ok.ended)

        anyio.run(scenario)

    def test_while_the_places_are_unknown_no_runner_reads_from_the_middle(self) -> None:
        async def scenario() -> None:
            self.client.faults.down = True
            await self.submit(9)
            self.assertEqual([], self.peers.told)

        anyio.run(scenario)
