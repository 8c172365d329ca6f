"""Nothing of a batch reaches a worker once its end was acknowledged longer ago than the bound.

Users saw hundreds of items run seconds after their batch's end, whole batches at a time, sent by
nodes that had only just begun to follow the log. The order of events: nodes fall away; a batch that
had ended is handed in again at a node that doesn't know it, which appends it a second time. No
replica answers, so this node runs it itself, and reads the log from the second submission on, which
lies behind the end. Or: a batch is begun from its own records while the node's view of the log is
still to be read, or stands still; its end is acknowledged, and the node that runs it doesn't hear
of it.

The cause: a view of the log that lacks its beginning or its newest part was taken for a whole one,
so that not having seen an end counted as there being none. The evidence: the lines
`batch_submitted ... offset=` behind the end, `batch_opened ... read_from=` that offset, and
`item_started ... view_age=` far above the bound.
"""

from __future__ import annotations

from unittest import mock

import anyio
import msgspec
import testtools

from stagewalk.gateway.assembly import NODES_PARTITION
from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.batch_store import (
    BATCHES_TOPIC,
    MAXIMUM_CURRENT_VIEW_AGE_SECONDS,
)
from stagewalk.gateway.batches.records import BatchEnded, BatchHeader, decode_record, encode_record
from stagewalk.gateway.batches.takeover import rendezvous_hash
from stagewalk.gateway.ports.partitioned_log import Partition
from stagewalk.gateway.ports.workers import AttemptFault
from stagewalk.gateway.runners.runner_calls import RUNNER_PATH
from stagewalk.gateway.runners.runner_messages import (
    AskRunner,
    RunBatch,
    decode_answer,
    encode_message,
)
from tests.gateway.batches.support import item, submitted
from tests.gateway.hindered_logs import HeldReadsLog, SlowHistoryLog, append, write_history
from tests.gateway.support import Running, Site, run, until

NEVER = 1_000.0
BOUND_SECONDS = 3.0
LONGER_SECONDS = 2.0
"""How long is watched after the bound: several items' time."""

MANY = tuple(f"x{n}" for n in range(80))
"""More items than slow engines run until a test is over: four at a time, 0.6 s each."""


def slow_engines(site: Site) -> None:
    """Leave two engines with one place each, of which each is given two items."""
    for name in ("e1", "e2"):
        site.add_worker(name, "engines", slots=1)
        site.workers.workers[name].event_seconds = 0.2


async def started(site: Site, prefix: str = "") -> None:
    """Wait until an item has arrived whose name begins so."""

    async def any_arrived() -> bool:
        return any(name.startswith(prefix) for name in site.workers.arrivals)

    await until(any_arrived)


async def not_noted(site: Site, batch: str) -> None:
    """Wait until a batch is not among the open ones any more."""

    async def ended() -> bool:
        place = (await BatchIndex(site.log.client()).find(batch)).ok
        return place is None or place.ended

    await until(ended)


async def identity(node: Running) -> str:
    """Return what a node's process calls itself."""
    answer = await node.gateway._batches.peer_handlers[RUNNER_PATH](encode_message(AskRunner("t")))
    return decode_answer(answer or b"").process


async def replica_and_other(nodes: list[Running]) -> tuple[Running, Running]:
    """Return the one node of two that follows the batches, and the one that doesn't."""

    async def settled() -> bool:
        return sum(node.gateway.store.following for node in nodes) == 1

    await until(settled)
    first, second = nodes
    return (first, second) if first.gateway.store.following else (second, first)


class EndedBatchTests(testtools.TestCase):
    def patch(self, name: str, value: float) -> None:
        patched = mock.patch(name, value)
        patched.start()
        self.addCleanup(patched.stop)

    async def end(self, site: Site, node: Running, batch: str) -> None:
        async def ended() -> bool:
            answer = await site.call(node, "DELETE", f"/v1/batches/{batch}")
            return answer.status_code == 200

        await until(ended)

    async def assert_nothing_starts_after_the_bound(self, site: Site) -> None:
        await anyio.sleep(BOUND_SECONDS)
        before = dict(site.workers.arrivals)
        await anyio.sleep(LONGER_SECONDS)
        self.assertEqual(before, dict(site.workers.arrivals))

    def test_a_batch_that_ended_is_not_run_again_where_it_is_handed_in_again(self) -> None:
        """The node without a replica finds none that answers, and is left to run it itself."""
        self.patch("stagewalk.gateway.directory.node_table.FAILURE_TIMEOUT_SECONDS", NEVER)
        self.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)

        async def scenario(site: Site) -> None:
            replica, other = await replica_and_other([await site.start(n) for n in ("n1", "n2")])
            await site.submit(replica, "b1", "x", "y")
            await site.until_listed(replica, "b1", 1)
            await self.end(site, replica, "b1")
            replica.scope.cancel()
            before = dict(site.workers.arrivals)
            self.assertEqual(202, (await site.submit(other, "b1", "x", "y")).status_code)
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual(before, dict(site.workers.arrivals))

        run(scenario)

    def test_a_run_begun_before_the_log_was_read_hears_of_the_end(self) -> None:
        """After a restart of all nodes the log is left to those who look for open batches."""

        async def scenario(site: Site) -> None:
            slow_engines(site)
            node = await site.start("n1")
            await site.submit(node, "b1", *MANY)
            await started(site)
            node.scope.cancel()
            await node.ended.wait()
            site.workers.arrivals.clear()
            self.patch("stagewalk.gateway.daemon.RESTART_LOG_RESERVE_SECONDS", NEVER)
            self.patch("stagewalk.gateway.daemon.RESUME_LOG_RESERVE_SECONDS", NEVER)
            again = await site.start("n1")
            await started(site)
            self.assertFalse(again.gateway.store.following)
            await self.end(site, again, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_runner_that_the_log_does_not_answer_starts_nothing_after_the_bound(self) -> None:
        """The log answers others, so the end is acknowledged there; no node relays to it."""

        async def scenario(site: Site) -> None:
            slow_engines(site)
            nodes = [await site.start(name, peers=None) for name in ("n1", "n2")]
            await site.submit(nodes[0], "b1", *MANY)
            await started(site)
            runner = next(node for node in nodes if node.gateway._runner.runs("b1"))
            other = next(node for node in nodes if node is not runner)
            runner.log.faults.silent = True
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_run_whose_end_was_read_before_it_began_does_not_begin(self) -> None:
        """The batch's own records are read up to just before its end; the answer comes late.

        Meanwhile the node's view, which had stood still, takes both the submission and the end.
        """

        async def scenario(site: Site) -> None:
            slow_engines(site)
            log = HeldReadsLog(site.log)
            node = await site.start("n1", log=log, peers=None)
            store = node.gateway.store

            async def read() -> bool:
                return store.following and store.read_whole("b1")

            await until(read)
            place = Partition(BATCHES_TOPIC, store.partition("b1"))
            log.follow = anyio.Event()
            await anyio.sleep(MAXIMUM_CURRENT_VIEW_AGE_SECONDS + 0.4)
            record = submitted(
                *(item(name) for name in MANY), batch="b1", runner=await identity(node), minimum=0
            )
            offset = await append(site.log, place, [encode_record(record)])
            log.answer = anyio.Event()
            told = encode_message(RunBatch("b1", place.number, offset))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.gateway._batches.peer_handlers[RUNNER_PATH], told)
                await log.held.wait()
                await append(site.log, place, [encode_record(BatchEnded("b1"))])
                log.follow.set()

                async def known() -> bool:
                    batch = store.ledger.get("b1")
                    return batch is not None and batch.ended

                await until(known)
                # The view took both in one page: it began the batch and stopped it at once.
                await anyio.sleep(0.2)
                site.workers.arrivals.clear()
                log.answer.set()
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_a_restart_does_not_resume_an_ended_batch_behind_the_place_of_an_open_one(self) -> None:
        """The ended batch was handed in again; its first submission lies before that place."""

        async def scenario(site: Site) -> None:
            slow_engines(site)
            node = await site.start("n1")
            store = node.gateway.store
            number = store.partition("ended")
            names = (f"open{n}" for n in range(100))
            other = next(name for name in names if store.partition(name) == number)
            await site.submit(node, "ended", *MANY)
            await started(site)
            await self.end(site, node, "ended")
            ended_at = anyio.current_time()
            await not_noted(site, "ended")
            await site.submit(node, other, "still open")
            partition = Partition(BATCHES_TOPIC, number)
            first = next(r for r in map(decode_record, site.log.payloads(partition)) if r)
            again = msgspec.structs.replace(first, submission="again")
            await append(site.log, partition, [encode_record(again)])
            site.workers.workers["e1"].event_seconds = NEVER
            site.workers.workers["e2"].event_seconds = NEVER
            node.scope.cancel()
            await node.ended.wait()
            await anyio.sleep_until(ended_at + BOUND_SECONDS)
            site.workers.arrivals.clear()
            await site.start("n1")
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual({"still open"}, set(site.workers.arrivals))

        run(scenario)

    def test_a_submission_carried_out_late_is_not_run_after_its_batch_has_ended(self) -> None:
        """Its answer was lost; the trainer handed the batch in elsewhere, and ended it there.

        The node that first took it gets its answer then, is to run the batch itself, and has not
        yet read the whole log.
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
            usual.log.faults.delay_appends = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site.submit, usual, "b1", *MANY)

                async def delayed() -> bool:
                    return usual.log.faults.delay_appends == 0

                await until(delayed)
                usual.log.faults.down = True
                self.assertEqual(202, (await site.submit(other, "b1", *MANY)).status_code)
                await self.end(site, other, "b1")
                site.log.run_delayed()
                usual.log.faults.down = False
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_new_replica_does_not_run_a_batch_that_ended_before_it_was_told_of_it(self) -> None:
        """The node that took it again has no replica; the one it told has read a part of the log.

        Both submissions lie behind what that node has read, the first one and the end further
        before the second one than a margin of a hundred records.
        """
        self.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            slow_engines(site)
            before = await site.start("n0")
            await site.submit(before, "b1", *MANY)
            await started(site)
            await self.end(site, before, "b1")
            ended_at = anyio.current_time()
            await not_noted(site, "b1")
            before.scope.cancel()
            await before.ended.wait()
            site.log.drop_key(NODES_PARTITION, "n0")
            await write_history(site.log)
            logs = [SlowHistoryLog(site.log) for _ in range(2)]
            _, other = await replica_and_other(
                [await site.start(f"n{i + 1}", log=log) for i, log in enumerate(logs)]
            )
            await anyio.sleep_until(ended_at + BOUND_SECONDS)
            site.workers.arrivals.clear()
            self.assertEqual(202, (await site.submit(other, "b1", *MANY)).status_code)
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_a_new_replica_hears_of_the_end_of_a_batch_that_it_was_told_of(self) -> None:
        """It acknowledges the end itself, from the batch's own records."""
        self.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            slow_engines(site)
            logs = [SlowHistoryLog(site.log) for _ in range(2)]
            _, other = await replica_and_other(
                [await site.start(f"n{i + 1}", log=log) for i, log in enumerate(logs)]
            )
            self.assertEqual(202, (await site.submit(other, "b1", *MANY)).status_code)
            await started(site)
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_runner_that_resumed_its_batch_hears_of_an_end_acknowledged_elsewhere(self) -> None:
        """It claimed the batch from the batch's own records; its view comes to the end later."""

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            slow_engines(site)
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            await site.submit(nodes["n1"], "b1", *MANY)
            await started(site)
            name = next(n for n, node in nodes.items() if node.gateway._runner.runs("b1"))
            other = nodes["n2" if name == "n1" else "n1"]
            nodes[name].scope.cancel()
            await nodes[name].ended.wait()
            again = await site.start(name, log=SlowHistoryLog(site.log))

            async def resumed() -> bool:
                return again.gateway._runner.runs("b1")

            await until(resumed)
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_scores_are_asked_for_no_more_after_the_bound_by_a_runner_cut_off(self) -> None:
        """The texts are whole, and the service that scores fails."""

        async def scenario(site: Site) -> None:
            for name in ("a1", "a2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN] * 1_000
            nodes = [await site.start(name, peers=None) for name in ("n1", "n2")]
            await site.submit(nodes[0], "b1", "x", "y", scored_by="/score/")
            await started(site, "x-score")
            runner = next(node for node in nodes if node.gateway._runner.runs("b1"))
            other = next(node for node in nodes if node is not runner)
            runner.log.faults.silent = True
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)
