"""A view of only a part of a batch's records must not be treated as complete.

The cases differ in which records of a batch submitted twice were dropped or not yet read.
"""

from __future__ import annotations

import anyio
import msgspec
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.batch_store import BATCHES_TOPIC, PARTITIONS, BatchStore
from stagewalk.gateway.batch_service.ledger_call_handler import LedgerCallHandler
from stagewalk.gateway.batch_service.ledger_messages import ResultsCall
from stagewalk.gateway.batch_service.open_batch_views import OpenBatchViews
from stagewalk.gateway.batches.records import (
    BatchEnded,
    BatchHeader,
    BatchRecord,
    ItemFinished,
    decode_record,
    encode_record,
)
from stagewalk.gateway.batches.takeover import rendezvous_hash
from stagewalk.gateway.ports.partitioned_log import Partition, ProducerSequence
from tests.gateway.batch_service.test_ended_batches import (
    BATCH_END_SECONDS,
    MANY_ITEMS,
    use_slow_engines,
    wait_until_started,
)
from tests.gateway.batches.support import item, submitted
from tests.gateway.hindered_logs import SlowHistoryLog, append, write_history
from tests.gateway.memory_log import MemoryLog
from tests.gateway.plain_dialect import PlainDialect
from tests.gateway.support import Site, run, until

OBSERVATION_SECONDS = 4.0
PARTITION = Partition(BATCHES_TOPIC, 0)
RECORD_BYTES = 1_000_000
RECORDS_BEYOND_MARGIN = 150
FRESH_SECONDS = 1.0
RECOVERY_SECONDS = 5.0


class SecondSubmissionTests(testtools.TestCase):
    def test_an_ended_batch_is_not_run_if_only_its_second_submission_is_kept(self) -> None:
        """The log drops records by age (300 s): the first submission and the end go first."""
        self.assert_not_run(end_is_kept=False)

    def test_an_end_before_a_second_submission_counts_if_the_first_submission_is_gone(self) -> None:
        """The log dropped only the first submission, and the end can still be read."""
        self.assert_not_run(end_is_kept=True)

    def test_an_ended_batch_is_not_run_if_submitted_to_a_node_whose_view_lacks_it(self) -> None:
        """The log dropped its history, and a node started later follows the rest.

        That view counts as current, so the batch is appended before its end mark is looked up. The
        lookup after the append finds the mark, but the node reads the submission back.
        """

        async def scenario(site: Site) -> None:
            use_slow_engines(site)
            node = await site.start("n1")
            await site.submit(node, "b1", *MANY_ITEMS)
            await wait_until_started(site)
            answer = await site.call(node, "DELETE", "/v1/batches/b1")
            self.assertEqual(200, answer.status_code)
            ended_at = anyio.current_time()
            node.scope.cancel()
            await node.ended.wait()
            for number in range(PARTITIONS):
                place = Partition(BATCHES_TOPIC, number)
                site.log.drop_history(place, site.log.kept(place).end)
            again = await site.start("n2")
            store = again.gateway.store

            async def followed() -> bool:
                return store.is_current("b1", steady_seconds())

            await until(followed)
            await anyio.sleep_until(ended_at + BATCH_END_SECONDS)
            site.workers.arrivals.clear()
            await site.submit(again, "b1", *MANY_ITEMS)
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def assert_not_run(self, *, end_is_kept: bool) -> None:
        """Submit a batch, end it, submit it again, drop its oldest records, and restart the node.

        The second submission lies after the end; no runner is notified of it, and it isn't indexed.
        For a node that starts to follow the log then, it is the batch's first submission.
        """

        async def scenario(site: Site) -> None:
            use_slow_engines(site)
            node = await site.start("n1")
            store = node.gateway.store
            await site.submit(node, "b1", *MANY_ITEMS)
            await wait_until_started(site)
            partition = Partition(BATCHES_TOPIC, store.partition("b1"))
            answer = await site.call(node, "DELETE", "/v1/batches/b1")
            self.assertEqual(200, answer.status_code)
            ended_at = anyio.current_time()
            first = next(r for r in map(decode_record, site.log.payloads(partition)) if r)
            again = msgspec.structs.replace(first, submission="again")
            second = await append(site.log, partition, [encode_record(again)])
            node.scope.cancel()
            await node.ended.wait()
            site.log.drop_history(partition, 1 if end_is_kept else second)
            kept = [decode_record(payload) for payload in site.log.payloads(partition)]
            self.assertEqual(end_is_kept, any(isinstance(r, BatchEnded) for r in kept))
            await anyio.sleep_until(ended_at + BATCH_END_SECONDS)
            site.workers.arrivals.clear()
            await site.start("n1")
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_results_before_a_second_submission_keep_their_positions(self) -> None:
        """The first submission of an open batch and one result were dropped."""
        log = MemoryLog()
        client = log.client()

        async def put(*records: BatchRecord) -> int:
            sequence = ProducerSequence(f"p{client.calls}", 1, 1)
            answer = await client.append(PARTITION, [encode_record(r) for r in records], sequence)
            return answer.ok

        async def scenario() -> None:
            store = BatchStore(log.client(), "p", RECORD_BYTES, RECORD_BYTES, 1)
            reads = LedgerCallHandler(store, PlainDialect(), BatchIndex(client))
            places = BatchIndex(client)
            items = (item("x"), item("y"))
            await places.record_place(
                "b", BatchPlace(0, await put(submitted(*items, batch="b")), "n#1")
            )
            await put(ItemFinished("b", "x", True, "t", (1,)))
            second = msgspec.structs.replace(submitted(*items, batch="b"), submission="again")
            log.drop_history(PARTITION, await put(second))
            await put(ItemFinished("b", "y", True, "t", (1,)))
            await store.catch_up("b")
            answer = await reads.execute(ResultsCall("b", 0, 0.0))
            if answer.status == 200:
                shown = [row[2] for row in msgspec.json.decode(answer.content)["results"]]
                self.assertEqual(["x", "y"][: len(shown)], shown)

        anyio.run(scenario)

    def test_a_batch_submitted_after_dropped_history_is_readable(self) -> None:
        """Its indexed place lies after the dropped records, so none of its records is missing."""
        log = MemoryLog()
        client = log.client()

        async def put(record: BatchRecord) -> int:
            return await append(log, PARTITION, [encode_record(record)])

        async def scenario() -> None:
            store = BatchStore(log.client(), "p", RECORD_BYTES, RECORD_BYTES, 1)
            reads = LedgerCallHandler(store, PlainDialect(), BatchIndex(client))
            log.drop_history(PARTITION, await put(BatchEnded("old")) + 1)
            place = BatchPlace(0, await put(submitted(item("x"), batch="b")), "n#1")
            await put(ItemFinished("b", "x", True, "t", (1,)))
            await store.catch_up("b")
            not_indexed = await reads.execute(ResultsCall("b", 0, 0.0))
            self.assertEqual(503, not_indexed.status)
            await BatchIndex(client).record_place("b", place)
            answer = await reads.execute(ResultsCall("b", 0, 0.0))
            shown = [row[2] for row in msgspec.json.decode(answer.content)["results"]]
            self.assertEqual(["x"], shown)

        anyio.run(scenario)

    def test_a_place_indexed_after_results_does_not_move_them(self) -> None:
        """The first submission's place was never indexed, only that of the second one.

        After a restart of all nodes, the batch is read from a margin before that place.
        """
        log = MemoryLog()
        client = log.client()

        async def put(*records: BatchRecord) -> int:
            sequence = ProducerSequence(f"p{client.calls}", 1, 1)
            answer = await client.append(PARTITION, [encode_record(r) for r in records], sequence)
            return answer.ok

        async def scenario() -> None:
            items = (item("x"), item("y"))
            await put(submitted(*items, batch="b"))
            await put(ItemFinished("b", "x", True, "t", (1,)))
            await put(*[ItemFinished("other", "z", True, "t", (1,))] * RECORDS_BEYOND_MARGIN)
            second = msgspec.structs.replace(submitted(*items, batch="b"), submission="again")
            places = BatchIndex(client)
            await places.record_place("b", BatchPlace(0, await put(second), "n#1"))
            await put(ItemFinished("b", "y", True, "t", (1,)))
            batch = await OpenBatchViews(log.client(), BATCHES_TOPIC, places).find("b")
            if batch is not None:
                shown = [result.item for result in batch.results]
                self.assertEqual(["x", "y"][: len(shown)], shown)

        anyio.run(scenario)


class DroppedPartialViewTests(testtools.TestCase):
    def test_a_run_begun_ahead_is_continued_by_another_node_if_its_partial_view_is_lost(
        self,
    ) -> None:
        """The runner is cut off while the log drops its history, and is then connected again.

        Its partial view can't be read any more, and its own view will never show the batch. It has
        to release the batch, since the other node, whose view is complete, would leave it to it.
        """

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            use_slow_engines(site)
            trainer = BatchHeader("b1", "h.example", "/run/batch", 0, "m", 0, 0).trainer
            first, second = sorted(("n1", "n2"), key=lambda name: rendezvous_hash(trainer, name))
            preferred = await site.start(first, log=SlowHistoryLog(site.log), peers=None)
            other = await site.start(second, peers=None)

            async def both() -> bool:
                answers = [await site.call(n, "GET", "/v1/resolve") for n in (preferred, other)]
                return all(len(a.json()["addresses"]) == 2 for a in answers)

            await until(both)
            self.assertEqual(202, (await site.submit(preferred, "b1", *MANY_ITEMS)).status_code)
            await wait_until_started(site)
            self.assertTrue(preferred.gateway._runner.runs("b1"))

            async def known() -> bool:
                return other.gateway.store.ledger.get("b1") is not None

            await until(known)
            preferred.log.faults.down = True
            await anyio.sleep(0.5)
            partition = Partition(BATCHES_TOPIC, other.gateway.store.partition("b1"))
            await append(site.log, partition, [encode_record(BatchEnded("old"))] * 5)

            async def all_read() -> bool:
                return other.gateway.store.view_age("b1", steady_seconds()) < FRESH_SECONDS

            await anyio.sleep(FRESH_SECONDS)
            await until(all_read)
            for number in range(PARTITIONS):
                place = Partition(BATCHES_TOPIC, number)
                site.log.drop_history(place, site.log.kept(place).end)
            preferred.log.faults.down = False
            await anyio.sleep(RECOVERY_SECONDS)
            before = sum(site.workers.arrivals.values())
            self.assertLess(len(site.workers.arrivals), len(MANY_ITEMS))
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertLess(before, sum(site.workers.arrivals.values()))

        run(scenario)


class RunsAheadTests(testtools.TestCase):
    def test_a_run_begun_ahead_continues_until_the_own_view_is_read(self) -> None:
        """Its partial view is kept up to date, since it would become too old otherwise."""

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            use_slow_engines(site)
            node = await site.start("n1", log=SlowHistoryLog(site.log), peers=None)
            self.assertEqual(202, (await site.submit(node, "b1", *MANY_ITEMS)).status_code)
            await wait_until_started(site)
            await anyio.sleep(BATCH_END_SECONDS)
            self.assertFalse(node.gateway.store.has_read_to_end("b1"))
            before = sum(site.workers.arrivals.values())
            await anyio.sleep(1.5)
            self.assertFalse(node.gateway.store.has_read_to_end("b1"))
            self.assertLess(before, sum(site.workers.arrivals.values()))

        run(scenario)
