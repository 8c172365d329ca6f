"""Orders of events in which a part of a batch's records still passes for all of them."""

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
    BOUND_SECONDS,
    MANY,
    slow_engines,
    started,
)
from tests.gateway.batches.support import item, submitted
from tests.gateway.hindered_logs import SlowHistoryLog, append, write_history
from tests.gateway.memory_log import MemoryLog
from tests.gateway.plain_dialect import PlainDialect
from tests.gateway.support import Site, run, until

LONGER_SECONDS = 4.0
ONLY = Partition(BATCHES_TOPIC, 0)
RECORD_BYTES = 1_000_000
MORE_THAN_THE_MARGIN = 150
FRESH_SECONDS = 1.0
RECOVERY_SECONDS = 5.0


class SecondSubmissionTests(testtools.TestCase):
    def test_an_ended_batch_of_which_only_a_second_submission_is_kept_is_not_run(self) -> None:
        """The log drops records by age (300 s): the first submission and the end go before it."""
        self.assert_not_run(end_is_kept=False)

    def test_an_end_read_before_a_second_submission_counts_although_the_first_is_gone(self) -> None:
        """The log dropped no more than the first submission; its end is there to be read."""
        self.assert_not_run(end_is_kept=True)

    def test_an_ended_batch_is_not_run_where_it_is_handed_in_to_a_view_that_lacks_it(self) -> None:
        """The log forgot its history; a node started since follows the rest.

        That view passes for whole: the batch is appended without a look for its mark. The look
        after the append finds it, and tells nobody; but the node reads its own record back.
        """

        async def scenario(site: Site) -> None:
            slow_engines(site)
            node = await site.start("n1")
            await site.submit(node, "b1", *MANY)
            await started(site)
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
            await anyio.sleep_until(ended_at + BOUND_SECONDS)
            site.workers.arrivals.clear()
            await site.submit(again, "b1", *MANY)
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def assert_not_run(self, *, end_is_kept: bool) -> None:
        """Have a batch handed in, ended and handed in again, its oldest records dropped.

        The second submission lies behind the end, and is neither told nor noted. A node that begins
        to follow the log then (new, started again or given a replica) finds it first of all.
        """

        async def scenario(site: Site) -> None:
            slow_engines(site)
            node = await site.start("n1")
            store = node.gateway.store
            await site.submit(node, "b1", *MANY)
            await started(site)
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
            await anyio.sleep_until(ended_at + BOUND_SECONDS)
            site.workers.arrivals.clear()
            await site.start("n1")
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_results_before_a_second_submission_keep_their_positions(self) -> None:
        """Of an open batch, the first submission and a result of which were dropped."""
        log = MemoryLog()
        client = log.client()

        async def put(*records: BatchRecord) -> int:
            sequence = ProducerSequence(f"p{client.calls}", 1, 1)
            answer = await client.append(ONLY, [encode_record(r) for r in records], sequence)
            return answer.ok

        async def scenario() -> None:
            store = BatchStore(log.client(), "p", RECORD_BYTES, RECORD_BYTES, 1)
            reads = LedgerCallHandler(store, PlainDialect(), BatchIndex(client))
            places = BatchIndex(client)
            items = (item("x"), item("y"))
            await places.note("b", BatchPlace(0, await put(submitted(*items, batch="b")), "n#1"))
            await put(ItemFinished("b", "x", True, "t", (1,)))
            second = msgspec.structs.replace(submitted(*items, batch="b"), submission="again")
            log.drop_history(ONLY, await put(second))
            await put(ItemFinished("b", "y", True, "t", (1,)))
            await store.catch_up("b")
            answer = await reads.execute(ResultsCall("b", 0, 0.0))
            if answer.status == 200:
                shown = [row[2] for row in msgspec.json.decode(answer.content)["results"]]
                self.assertEqual(["x", "y"][: len(shown)], shown)

        anyio.run(scenario)

    def test_a_batch_handed_in_behind_dropped_history_is_shown(self) -> None:
        """Its noted place lies behind what was dropped: nothing of it can be missing."""
        log = MemoryLog()
        client = log.client()

        async def put(record: BatchRecord) -> int:
            return await append(log, ONLY, [encode_record(record)])

        async def scenario() -> None:
            store = BatchStore(log.client(), "p", RECORD_BYTES, RECORD_BYTES, 1)
            reads = LedgerCallHandler(store, PlainDialect(), BatchIndex(client))
            log.drop_history(ONLY, await put(BatchEnded("old")) + 1)
            place = BatchPlace(0, await put(submitted(item("x"), batch="b")), "n#1")
            await put(ItemFinished("b", "x", True, "t", (1,)))
            await store.catch_up("b")
            unnoted = await reads.execute(ResultsCall("b", 0, 0.0))
            self.assertEqual(503, unnoted.status)
            await BatchIndex(client).note("b", place)
            answer = await reads.execute(ResultsCall("b", 0, 0.0))
            shown = [row[2] for row in msgspec.json.decode(answer.content)["results"]]
            self.assertEqual(["x"], shown)

        anyio.run(scenario)

    def test_a_place_noted_behind_results_does_not_move_them(self) -> None:
        """The first submission's note was lost; the second one's is the only place there is.

        After a restart of all nodes the batch is shown from that place and a margin before it.
        """
        log = MemoryLog()
        client = log.client()

        async def put(*records: BatchRecord) -> int:
            sequence = ProducerSequence(f"p{client.calls}", 1, 1)
            answer = await client.append(ONLY, [encode_record(r) for r in records], sequence)
            return answer.ok

        async def scenario() -> None:
            items = (item("x"), item("y"))
            await put(submitted(*items, batch="b"))
            await put(ItemFinished("b", "x", True, "t", (1,)))
            await put(*[ItemFinished("other", "z", True, "t", (1,))] * MORE_THAN_THE_MARGIN)
            second = msgspec.structs.replace(submitted(*items, batch="b"), submission="again")
            places = BatchIndex(client)
            await places.note("b", BatchPlace(0, await put(second), "n#1"))
            await put(ItemFinished("b", "y", True, "t", (1,)))
            batch = await OpenBatchViews(log.client(), BATCHES_TOPIC, places).find("b")
            if batch is not None:
                shown = [result.item for result in batch.results]
                self.assertEqual(["x", "y"][: len(shown)], shown)

        anyio.run(scenario)


class DroppedPartialViewTests(testtools.TestCase):
    def test_a_run_begun_ahead_whose_partial_view_lost_records_goes_on_somewhere(self) -> None:
        """The runner is cut off, the log drops its history, all is well again.

        Its partial view fails for good, its own view never learns of the batch, and it still counts
        as the runner: the other node, whose view is whole, leaves the batch to it.
        """

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            slow_engines(site)
            trainer = BatchHeader("b1", "h.example", "/run/batch", 0, "m", 0, 0).trainer
            first, second = sorted(("n1", "n2"), key=lambda name: rendezvous_hash(trainer, name))
            usual = await site.start(first, log=SlowHistoryLog(site.log), peers=None)
            other = await site.start(second, peers=None)

            async def both() -> bool:
                answers = [await site.call(n, "GET", "/v1/resolve") for n in (usual, other)]
                return all(len(a.json()["addresses"]) == 2 for a in answers)

            await until(both)
            self.assertEqual(202, (await site.submit(usual, "b1", *MANY)).status_code)
            await started(site)
            self.assertTrue(usual.gateway._runner.runs("b1"))

            async def known() -> bool:
                return other.gateway.store.ledger.get("b1") is not None

            await until(known)
            usual.log.faults.down = True
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
            usual.log.faults.down = False
            await anyio.sleep(RECOVERY_SECONDS)
            before = sum(site.workers.arrivals.values())
            self.assertLess(len(site.workers.arrivals), len(MANY))
            await anyio.sleep(LONGER_SECONDS)
            self.assertLess(before, sum(site.workers.arrivals.values()))

        run(scenario)


class RunsAheadTests(testtools.TestCase):
    def test_a_run_begun_ahead_goes_on_until_the_own_view_is_read(self) -> None:
        """Its partial view is read on; the lease on that view would lapse otherwise."""

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            slow_engines(site)
            node = await site.start("n1", log=SlowHistoryLog(site.log), peers=None)
            self.assertEqual(202, (await site.submit(node, "b1", *MANY)).status_code)
            await started(site)
            await anyio.sleep(BOUND_SECONDS)
            self.assertFalse(node.gateway.store.read_whole("b1"))
            before = sum(site.workers.arrivals.values())
            await anyio.sleep(1.5)
            self.assertFalse(node.gateway.store.read_whole("b1"))
            self.assertLess(before, sum(site.workers.arrivals.values()))

        run(scenario)
