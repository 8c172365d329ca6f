"""How a runner is notified of its batch, and which place of the batch is indexed."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batches.records import BatchHeader
from stagewalk.gateway.nodes.identity import OwnIdentity
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

HEADER = BatchHeader("b1", "h.example", "/run/b1", 1, "m", 0, 4)


class FakeRunners:
    """Nodes that record the notifications they receive."""

    def __init__(self) -> None:
        self.notifications: list[RunBatch] = []
        self.noted = False
        """Whether they answer that they indexed the batch's place."""

    async def call(
        self, _peer: Address, _path: str, content: bytes, _seconds: float
    ) -> bytes | None:
        call = decode_call(content)
        assert isinstance(call, RunBatch)
        self.notifications.append(call)
        return encode_message(RunnerAnswer("n1#1", True, noted=self.noted))


class BatchAssignmentsTests(testtools.TestCase):
    """A view read from a notified or indexed place shows the batch's end, however often the batch
    is submitted.
    """

    def setUp(self) -> None:
        super().setUp()
        self.create_assignments()

    def create_assignments(self) -> None:
        self.client = MemoryLog().client()
        self.places = BatchIndex(self.client)
        self.peers = FakeRunners()
        self.assignments = BatchAssignments(
            identity=OwnIdentity("own", 1),
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
            await self.assignments.notify("n1#1", HEADER, offset)

    def test_the_first_submission_is_indexed_and_notified(self) -> None:
        async def scenario() -> None:
            await self.submit(7)
            self.assertEqual([RunBatch("b1", 2, 7)], self.peers.notifications)
            self.assertEqual(BatchPlace(2, 7, "n1#1"), (await self.places.find("b1")).ok)

        anyio.run(scenario)

    def test_a_place_indexed_by_the_runner_is_not_overwritten(self) -> None:
        """The runner's is certain, since its view held all records; the submitter's never is."""

        async def scenario() -> None:
            self.peers.noted = True
            await self.submit(7)
            self.assertIsNone((await self.places.find("b1")).ok)

        anyio.run(scenario)

    def test_a_runner_with_a_complete_view_indexes_a_certain_place(self) -> None:
        for offset in (3, None):

            async def scenario(offset: int | None = offset) -> None:
                store = mock.Mock(
                    is_current=lambda _batch, _now: True,
                    view_age=lambda _batch, _now: 0.0,
                    catch_up=mock.AsyncMock(),
                    first_offset=lambda _batch, _now: offset,
                )
                batch = mock.Mock(header=HEADER, runner="n1#1", ended=False)
                store.ledger.get = lambda _name: batch
                self.assignments._store = store
                noted = await self.assignments.accept(RunBatch("b2", 2, 7))
                self.assertEqual(offset is not None, noted)
                place = (await self.places.find("b2")).ok
                certain = BatchPlace(2, 3, "n1#1", certain=True)
                self.assertEqual(certain if noted else None, place)

            self.create_assignments()
            anyio.run(scenario)

    def test_a_later_submission_neither_moves_the_place_nor_notifies_the_runner(self) -> None:
        async def scenario() -> None:
            await self.submit(7)
            await self.submit(9)
            self.assertEqual([RunBatch("b1", 2, 7)], self.peers.notifications)
            self.assertEqual(7, (await self.places.find("b1")).ok.offset)

        anyio.run(scenario)

    def test_a_submission_appended_after_the_end_does_not_notify_the_runner(self) -> None:
        async def scenario() -> None:
            self.assertTrue(await self.places.mark_ended("b1", 2, None, 1.0))
            await self.submit(9)
            self.assertEqual([], self.peers.notifications)
            self.assertTrue((await self.places.find("b1")).ok.ended)

        anyio.run(scenario)

    def test_no_runner_is_notified_while_the_index_is_unavailable(self) -> None:
        async def scenario() -> None:
            self.client.faults.down = True
            await self.submit(9)
            self.assertEqual([], self.peers.notifications)

        anyio.run(scenario)
