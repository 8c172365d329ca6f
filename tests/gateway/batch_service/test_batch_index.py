"""A batch's indexed place never lies after the batch's end, in whatever order nodes write."""

from __future__ import annotations

import anyio
import msgspec
import testtools

from stagewalk.gateway.batch_service.batch_index import (
    BATCH_INDEX_PARTITION,
    BatchIndex,
    BatchPlace,
)
from tests.gateway.memory_log import MemoryLog


class BatchIndexTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.client = self.log.client()
        self.places = BatchIndex(self.client)

    def test_an_end_mark_is_retried_until_it_is_acknowledged(self) -> None:
        async def scenario() -> None:
            await self.places.record_place("b", BatchPlace(0, 7, "n#1", tenant="t"))
            self.client.faults.delay_appends = 2
            self.assertTrue(await self.places.mark_ended("b", 0, "t", 2.0))
            place = (await self.places.find("b")).ok
            self.assertTrue(place.ended)
            self.assertTrue(place.belongs_to("t"))
            self.assertFalse(place.belongs_to("other"))

        anyio.run(scenario)

    def test_an_end_mark_keeps_the_first_offset_if_that_is_certain(self) -> None:
        async def scenario() -> None:
            await self.places.mark_ended("b", 0, None, 1.0, first_offset=7)
            place = (await self.places.find("b")).ok
            self.assertEqual((7, True), (place.offset, place.certain))
            await self.places.mark_ended("b", 0, None, 1.0)
            place = (await self.places.find("b")).ok
            self.assertEqual((0, False), (place.offset, place.certain))

        anyio.run(scenario)

    def test_an_end_that_cannot_be_marked_is_reported(self) -> None:
        async def scenario() -> None:
            self.client.faults.down = True
            self.assertFalse(await self.places.mark_ended("b", 0, None, 0.25))

        anyio.run(scenario)

    def test_a_log_that_does_not_answer_is_an_error_and_not_an_empty_index(self) -> None:
        async def scenario() -> None:
            self.assertIsNone((await self.places.find("b")).ok)
            self.client.faults.silent = True
            self.assertTrue((await self.places.find("b")).is_error())

        anyio.run(scenario)

    def test_places_of_an_earlier_release_are_read(self) -> None:
        async def scenario() -> None:
            before = msgspec.msgpack.encode((3, 12, "n#1"))
            await self.client.append_keyed(BATCH_INDEX_PARTITION, "b", before)
            self.assertEqual(BatchPlace(3, 12, "n#1"), (await self.places.find("b")).ok)

        anyio.run(scenario)
