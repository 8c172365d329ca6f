"""Results of open batches are complete even before the whole log is read."""

from __future__ import annotations

from unittest import mock

import anyio
import msgspec
import testtools
from expression import Ok

from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.ledger_call_handler import LedgerCallHandler
from stagewalk.gateway.batch_service.ledger_messages import EndCall, ItemCall, ResultsCall
from stagewalk.gateway.batch_service.open_batch_views import MARGIN_RECORDS, OpenBatchViews
from stagewalk.gateway.batch_service.partial_ledger import PartialLedger
from stagewalk.gateway.batches.records import (
    BatchEnded,
    BatchRecord,
    ItemFinished,
    encode_record,
)
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.policy import DEFAULT_POLICY
from stagewalk.gateway.ports.partitioned_log import Partition, ProducerSequence
from stagewalk.gateway.runners.batch_assignments import BatchAssignments
from stagewalk.gateway.runners.runner_messages import RunBatch
from tests.gateway.batches.support import item, submitted
from tests.gateway.memory_log import MemoryLog
from tests.gateway.plain_dialect import PlainDialect

BATCHES_TOPIC = "batches"
PARTITION = Partition(BATCHES_TOPIC, 0)


def finished(batch: str, name: str) -> ItemFinished:
    return ItemFinished(batch, name, True, "t", (1,))


class UnreadStore:
    """A store that has read nothing yet, and can't read on demand."""

    following = False
    first_offset = staticmethod(lambda _batch, _now: None)

    def __init__(self) -> None:
        self.ended: list[str] = []

        class _Empty:
            @staticmethod
            def get(_name: str) -> None:
                return None

        self.ledger = _Empty()

    def has_read_to_end(self, _batch: str) -> bool:
        return False

    def view_age(self, _batch: str, _now: float) -> float:
        return float("inf")

    @staticmethod
    def partition(_batch: str) -> int:
        return 0

    async def end(self, batch: str, _seconds: float):
        self.ended.append(batch)

        return Ok(1)


class OpenBatchViewTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()
        self.places = BatchIndex(self.client)
        self.views = OpenBatchViews(self.client, BATCHES_TOPIC, self.places)
        self.store = UnreadStore()
        self.reads = LedgerCallHandler(
            self.store, PlainDialect(), self.places, open_views=self.views, starting=lambda: True
        )

    async def append(self, *records: BatchRecord) -> int:
        sequence = ProducerSequence(f"p{self.client.calls}", 1, 1)
        payloads = [encode_record(record) for record in records]
        return (await self.client.append(PARTITION, payloads, sequence)).ok

    async def record_place(self, batch: str, offset: int) -> None:
        await self.places.record_place(batch, BatchPlace(0, offset, "n#1", certain=True))

    async def append_old_batches(self, count: int) -> None:
        for number in range(count):
            name = f"old{number}"
            await self.append(submitted(item("x"), batch=name), BatchEnded(name))

    def test_results_of_an_open_batch_come_from_its_own_records(self) -> None:
        async def scenario() -> None:
            await self.append_old_batches(MARGIN_RECORDS)
            offset = await self.append(submitted(item("x"), item("y"), batch="b"))
            await self.record_place("b", offset)
            await self.append(finished("b", "y"))
            answer = await self.reads.execute(ResultsCall("b", 0, 0.0))
            self.assertEqual(200, answer.status)
            rows = msgspec.json.decode(answer.content)["results"]
            self.assertEqual(["y"], [row[2] for row in rows])
            self.assertLess(self.client.calls, MARGIN_RECORDS + 12)
            self.assertEqual(200, (await self.reads.execute(ItemCall("b", "x"))).status)
            self.assertEqual(200, (await self.reads.execute(EndCall("b"))).status)
            self.assertEqual(["b"], self.store.ended)

        anyio.run(scenario)

    def test_a_read_waits_for_a_first_result(self) -> None:
        async def scenario() -> None:
            await self.record_place("b", await self.append(submitted(item("x"), batch="b")))

            async def finish() -> None:
                await anyio.sleep(0.2)
                await self.append(finished("b", "x"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(finish)
                answer = await self.reads.execute(ResultsCall("b", 0, 1.0))
            self.assertEqual(1, len(msgspec.json.decode(answer.content)["results"]))

        anyio.run(scenario)

    def test_a_batch_submitted_twice_is_not_read_from_its_second_submission(self) -> None:
        """Its results would have other positions than before."""

        async def scenario() -> None:
            first = submitted(item("x"), item("y"), batch="b")
            await self.append(first)
            await self.append_old_batches(1)
            await self.append(finished("b", "x"))
            await self.append_old_batches(MARGIN_RECORDS // 2 - 1)
            await self.record_place("b", await self.append(first))
            await self.append(finished("b", "y"))
            self.assertIsNone(await self.views.find("b"))
            answer = await self.reads.execute(ResultsCall("b", 0, 0.0))
            self.assertEqual(503, answer.status)

        anyio.run(scenario)

    def test_calls_about_closed_batches_are_refused_until_the_log_is_read(self) -> None:
        async def scenario() -> None:
            await self.append(submitted(item("x"), batch="old"), BatchEnded("old"))
            answer = await self.reads.execute(ResultsCall("old", 0, 0.0))
            self.assertEqual(503, answer.status)
            self.assertIsNotNone(answer.retry_after_seconds)

        anyio.run(scenario)

    def test_a_batch_that_is_marked_as_ended_is_not_returned_as_open(self) -> None:
        """The mark holds no place, and the end may not be in the log yet."""

        async def scenario() -> None:
            await self.record_place("b", await self.append(submitted(item("x"), batch="b")))
            await self.places.mark_ended("b", 0, None, 1.0)
            self.assertIsNone(await self.views.find("b"))

        anyio.run(scenario)

    def test_an_assigned_batch_with_records_before_its_submission_is_not_begun(self) -> None:
        async def scenario() -> None:
            await self.append(finished("b", "x"))
            offset = await self.append(submitted(item("x"), item("y"), batch="b", runner="n#1"))
            runner = mock.Mock(stopping=False)
            store = mock.Mock(
                is_current=lambda _batch, _now: False,
                view_age=lambda _batch, _now: 0.0,
                read_from=lambda place, _changed: PartialLedger(
                    self.client, PARTITION, place.offset
                ),
            )
            assignments = BatchAssignments(
                identity=OwnIdentity("n", 1),
                nodes=mock.Mock(known=True),
                store=store,
                runner=runner,
                calls=mock.Mock(),
                open_batches=self.places,
                policy=DEFAULT_POLICY,
            )
            await assignments.accept(RunBatch("b", 0, offset))
            runner.begin_ahead.assert_called_once()
            runner.begin_ahead.reset_mock()
            await assignments.accept(RunBatch("b", 0, 0))
            runner.begin_ahead.assert_not_called()

        anyio.run(scenario)
