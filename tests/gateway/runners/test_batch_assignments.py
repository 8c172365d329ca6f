"""How a runner learns of its batch, and which place of the batch is noted."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batches.records import BatchHeader
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.policy import DEFAULT_POLICY
from stagewalk.gateway.runners.batch_assignments import BatchAssignments
from stagewalk.gateway.runners.runner_calls import RunnerClient
from stagewalk.gateway.runners.runner_messages import (
    RunBatch,
    RunnerAnswer,
    decode_call,
    encode_message,
)
from tests.gateway.memory_log import MemoryLog

TRAINER = BatchHeader("b1", "h.example", "/run/b1", 1, "m", 0, 4)


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
        self.places = BatchIndex(self.client)
        self.peers = ToldRunners()
        self.assignments = BatchAssignments(
            identity=ProcessId("own", 1),
            nodes=mock.Mock(peer_address_of=lambda _process: Address("10.0.0.1", 1)),
            store=mock.Mock(partition=lambda _batch: 2),
            runner=mock.Mock(stopping=False),
            calls=RunnerClient(self.peers),  # type: ignore[arg-type]
            open_batches=self.places,
            policy=DEFAULT_POLICY,
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
                    is_current=lambda _batch, _now: True,
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
