"""Orders of events in which a part of a batch's records still passes for all of them."""

from __future__ import annotations

import anyio
import msgspec
import testtools

from stagewalk.batches.records import (
    BatchEnded,
    BatchRecord,
    ItemFinished,
    decode_record,
    encode_record,
)
from stagewalk.gateway.batch_store import TOPIC, BatchStore
from stagewalk.gateway.early_start import EarlyViews
from stagewalk.gateway.ledger_messages import ResultsCall
from stagewalk.gateway.ledger_reads import LedgerReads
from stagewalk.gateway.open_batches import BatchPlace, OpenBatches
from stagewalk.ports.partitioned_log import Partition, ProducerSequence
from stagewalk_standins.partitioned_log import MemoryLog
from stagewalk_standins.plain_dialect import PlainDialect
from tests.batches.support import item, submitted
from tests.gateway.hindered_logs import append
from tests.gateway.support import Site, run
from tests.gateway.test_ended_batches import BOUND_SECONDS, MANY, slow_engines, started

LONGER_SECONDS = 4.0
ONLY = Partition(TOPIC, 0)
RECORD_BYTES = 1_000_000
MORE_THAN_THE_MARGIN = 150


class SecondSubmissionTests(testtools.TestCase):
    def test_an_ended_batch_of_which_only_a_second_submission_is_kept_is_not_run(self) -> None:
        """The log drops records by age (300 s): the first submission and the end go before it."""
        self.assert_not_run(end_is_kept=False)

    def test_an_end_read_before_a_second_submission_counts_although_the_first_is_gone(self) -> None:
        """The log dropped no more than the first submission; its end is there to be read."""
        self.assert_not_run(end_is_kept=True)

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
            partition = Partition(TOPIC, store.partition("b1"))
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
            reads = LedgerReads(store, PlainDialect(), OpenBatches(client))
            places = OpenBatches(client)
            items = (item("x"), item("y"))
            await places.note("b", BatchPlace(0, await put(submitted(*items, batch="b")), "n#1"))
            await put(ItemFinished("b", "x", True, "t", (1,)))
            second = msgspec.structs.replace(submitted(*items, batch="b"), submission="again")
            log.drop_history(ONLY, await put(second))
            await put(ItemFinished("b", "y", True, "t", (1,)))
            await store.catch_up("b")
            answer = await reads.carry_out(ResultsCall("b", 0, 0.0))
            if answer.status == 200:
                shown = [row[2] for row in msgspec.json.decode(answer.content)["results"]]
                self.assertEqual(["x", "y"][: len(shown)], shown)

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
            places = OpenBatches(client)
            await places.note("b", BatchPlace(0, await put(second), "n#1"))
            await put(ItemFinished("b", "y", True, "t", (1,)))
            batch = await EarlyViews(log.client(), TOPIC, places).find("b")
            if batch is not None:
                shown = [result.item for result in batch.results]
                self.assertEqual(["x", "y"][: len(shown)], shown)

        anyio.run(scenario)
