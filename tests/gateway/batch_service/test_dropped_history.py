"""A view that missed dropped records must not be treated as complete.

The log drops its oldest records, so a node that didn't read for long has a gap in its view, and may
have missed a batch's end or results.
"""

from __future__ import annotations

import anyio
import msgspec
import testtools

from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.batch_store import BATCHES_TOPIC, PARTITIONS, BatchStore
from stagewalk.gateway.batch_service.ledger_call_handler import LedgerCallHandler
from stagewalk.gateway.batch_service.ledger_messages import ResultsCall
from stagewalk.gateway.batches.records import BatchRecord, ItemFinished, encode_record
from stagewalk.gateway.ports.partitioned_log import Partition, ProducerSequence
from tests.gateway.batches.support import item, submitted
from tests.gateway.memory_log import MemoryLog
from tests.gateway.plain_dialect import PlainDialect
from tests.gateway.support import Site, run, until

PARTITION = Partition(BATCHES_TOPIC, 0)
ITEMS = tuple(f"x{n}" for n in range(20))
RECORD_BYTES = 1_000_000
OBSERVATION_SECONDS = 10.0
"""Longer than a silent node counts as live once the log answers again (3 s, restarted once)."""


def drop_all_history(site: Site) -> None:
    for number in range(PARTITIONS):
        partition = Partition(BATCHES_TOPIC, number)
        site.log.drop_history(partition, site.log.kept(partition).end)


class DroppedHistoryTests(testtools.TestCase):
    def test_a_batch_whose_end_was_dropped_unread_is_not_run(self) -> None:
        """A node that knows the batch is cut off while it ends and its history is dropped."""

        async def scenario(site: Site) -> None:
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.5
            runner = await site.start("n1", peers=None)
            await site.submit(runner, "b1", *ITEMS)
            other = await site.start("n2")

            async def known() -> bool:
                return other.gateway.store.ledger.get("b1") is not None

            await until(known)
            other.log.faults.down = True
            answer = await site.call(runner, "DELETE", "/v1/batches/b1")
            self.assertEqual(200, answer.status_code)
            runner.scope.cancel()
            await runner.ended.wait()
            drop_all_history(site)
            before = dict(site.workers.arrivals)
            other.log.faults.down = False
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual(before, dict(site.workers.arrivals))

        run(scenario)

    def test_results_after_a_gap_are_not_returned_at_wrong_positions(self) -> None:
        """Each result must have the same position on every node."""
        log = MemoryLog()
        client = log.client()

        async def append(*records: BatchRecord) -> None:
            sequence = ProducerSequence(f"p{client.calls}", 1, 1)
            await client.append(PARTITION, [encode_record(record) for record in records], sequence)

        async def scenario() -> None:
            store = BatchStore(log.client(), "p", RECORD_BYTES, RECORD_BYTES, 1)
            reads = LedgerCallHandler(store, PlainDialect(), BatchIndex(client))
            await append(submitted(item("x"), item("y"), item("z"), batch="b"))
            await append(ItemFinished("b", "x", True, "t", (1,)))
            self.assertTrue(await store.catch_up("b"))
            await append(ItemFinished("b", "y", True, "t", (1,)))
            log.drop_history(PARTITION, log.kept(PARTITION).end)
            await append(ItemFinished("b", "z", True, "t", (1,)))
            await store.catch_up("b")
            answer = await reads.execute(ResultsCall("b", 0, 0.0))
            if answer.status == 200:
                shown = [row[2] for row in msgspec.json.decode(answer.content)["results"]]
                self.assertEqual(["x", "y", "z"][: len(shown)], shown)

        anyio.run(scenario)

    def test_a_batch_that_began_in_dropped_records_is_not_reported_as_missing(self) -> None:
        """Other nodes may know it; only a batch without an index entry doesn't exist."""
        log = MemoryLog()
        client = log.client()

        async def status(reads: LedgerCallHandler, batch: str) -> int:
            return (await reads.execute(ResultsCall(batch, 0, 0.0))).status

        async def scenario() -> None:
            places = BatchIndex(client)
            store = BatchStore(log.client(), "p", RECORD_BYTES, RECORD_BYTES, 1)
            reads = LedgerCallHandler(store, PlainDialect(), places)
            record = encode_record(submitted(item("x"), batch="b"))
            await client.append(PARTITION, [record], ProducerSequence("p", 1, 1))
            await places.record_place("b", BatchPlace(0, 0, "n#1"))
            log.drop_history(PARTITION, log.kept(PARTITION).end)
            self.assertEqual(503, await status(reads, "b"))
            self.assertEqual(404, await status(reads, "nowhere"))

        anyio.run(scenario)
