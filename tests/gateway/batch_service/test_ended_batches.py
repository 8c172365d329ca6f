"""No item or score call of a batch reaches a worker later than the bound after its end.

Guards against runs from a view that lacks the first or the newest records of the log, and so
doesn't show that the batch has ended.
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
BATCH_END_SECONDS = 3.0
OBSERVATION_SECONDS = 2.0
"""How long a test observes the workers after the bound: the time of several items."""

MANY_ITEMS = tuple(f"x{n}" for n in range(80))
"""More items than the slow engines finish during a test: four at a time, 0.6 s each."""


def use_slow_engines(site: Site) -> None:
    """Replace the engines by two slow ones with one slot each, which get two items at a time."""
    for name in ("e1", "e2"):
        site.add_worker(name, "engines", slots=1)
        site.workers.workers[name].event_seconds = 0.2


async def wait_until_started(site: Site, prefix: str = "") -> None:
    """Wait until an item or score call whose name has a prefix has reached a worker."""

    async def any_arrived() -> bool:
        return any(name.startswith(prefix) for name in site.workers.arrivals)

    await until(any_arrived)


async def wait_until_ended(site: Site, batch: str) -> None:
    """Wait until a batch is marked as ended in the index, or is no longer there."""

    async def ended() -> bool:
        place = (await BatchIndex(site.log.client()).find(batch)).ok
        return place is None or place.ended

    await until(ended)


async def process_id(node: Running) -> str:
    """Return the identity of a node's process."""
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
        await anyio.sleep(BATCH_END_SECONDS)
        before = dict(site.workers.arrivals)
        await anyio.sleep(OBSERVATION_SECONDS)
        self.assertEqual(before, dict(site.workers.arrivals))

    def test_an_ended_batch_is_not_run_by_a_node_where_it_is_submitted_again(self) -> None:
        """The node has no replica, and the only replica doesn't answer."""
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
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual(before, dict(site.workers.arrivals))

        run(scenario)

    def test_a_run_begun_before_the_log_was_read_stops_at_the_end(self) -> None:
        """After a restart of all nodes, reads are reserved for nodes that look for open batches."""

        async def scenario(site: Site) -> None:
            use_slow_engines(site)
            node = await site.start("n1")
            await site.submit(node, "b1", *MANY_ITEMS)
            await wait_until_started(site)
            node.scope.cancel()
            await node.ended.wait()
            site.workers.arrivals.clear()
            self.patch("stagewalk.gateway.daemon.RESTART_LOG_RESERVE_SECONDS", NEVER)
            self.patch("stagewalk.gateway.daemon.RESUME_LOG_RESERVE_SECONDS", NEVER)
            again = await site.start("n1")
            await wait_until_started(site)
            self.assertFalse(again.gateway.store.following)
            await self.end(site, again, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_runner_cut_off_from_the_log_starts_nothing_after_the_bound(self) -> None:
        """Another node acknowledges the end, and no node relays the log to the runner."""

        async def scenario(site: Site) -> None:
            use_slow_engines(site)
            nodes = [await site.start(name, peers=None) for name in ("n1", "n2")]
            await site.submit(nodes[0], "b1", *MANY_ITEMS)
            await wait_until_started(site)
            runner = next(node for node in nodes if node.gateway._runner.runs("b1"))
            other = next(node for node in nodes if node is not runner)
            runner.log.faults.silent = True
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_run_whose_end_was_read_before_it_began_does_not_begin(self) -> None:
        """The partial view ends just before the batch's end, and its read is answered late.

        Meanwhile the node's own view, which had been stalled, reads the submission and the end.
        """

        async def scenario(site: Site) -> None:
            use_slow_engines(site)
            log = HeldReadsLog(site.log)
            node = await site.start("n1", log=log, peers=None)
            store = node.gateway.store

            async def read() -> bool:
                return store.following and store.has_read_to_end("b1")

            await until(read)
            place = Partition(BATCHES_TOPIC, store.partition("b1"))
            log.follow = anyio.Event()
            await anyio.sleep(MAXIMUM_CURRENT_VIEW_AGE_SECONDS + 0.4)
            record = submitted(
                *(item(name) for name in MANY_ITEMS),
                batch="b1",
                runner=await process_id(node),
                minimum=0,
            )
            offset = await append(site.log, place, [encode_record(record)])
            log.answer = anyio.Event()
            notification = encode_message(RunBatch("b1", place.number, offset))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.gateway._batches.peer_handlers[RUNNER_PATH], notification)
                await log.held.wait()
                await append(site.log, place, [encode_record(BatchEnded("b1"))])
                log.follow.set()

                async def known() -> bool:
                    batch = store.ledger.get("b1")
                    return batch is not None and batch.ended

                await until(known)
                # The view read both in one page: it opened the batch and closed it at once.
                await anyio.sleep(0.2)
                site.workers.arrivals.clear()
                log.answer.set()
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_a_restart_does_not_resume_an_ended_batch_after_the_place_of_an_open_one(self) -> None:
        """The ended batch was submitted again; its first submission lies before that place."""

        async def scenario(site: Site) -> None:
            use_slow_engines(site)
            node = await site.start("n1")
            store = node.gateway.store
            number = store.partition("ended")
            names = (f"open{n}" for n in range(100))
            other = next(name for name in names if store.partition(name) == number)
            await site.submit(node, "ended", *MANY_ITEMS)
            await wait_until_started(site)
            await self.end(site, node, "ended")
            ended_at = anyio.current_time()
            await wait_until_ended(site, "ended")
            await site.submit(node, other, "still-open")
            partition = Partition(BATCHES_TOPIC, number)
            first = next(r for r in map(decode_record, site.log.payloads(partition)) if r)
            again = msgspec.structs.replace(first, submission="again")
            await append(site.log, partition, [encode_record(again)])
            site.workers.workers["e1"].event_seconds = NEVER
            site.workers.workers["e2"].event_seconds = NEVER
            node.scope.cancel()
            await node.ended.wait()
            await anyio.sleep_until(ended_at + BATCH_END_SECONDS)
            site.workers.arrivals.clear()
            await site.start("n1")
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual({"still-open"}, set(site.workers.arrivals))

        run(scenario)

    def test_a_delayed_submission_is_not_run_after_its_batch_has_ended(self) -> None:
        """The trainer got no response, submitted the batch at another node, and ended it there.

        Only then is the first submission appended, at a node that is the preferred runner and has
        not yet read the whole log.
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
            preferred.log.faults.delay_appends = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site.submit, preferred, "b1", *MANY_ITEMS)

                async def delayed() -> bool:
                    return preferred.log.faults.delay_appends == 0

                await until(delayed)
                preferred.log.faults.down = True
                self.assertEqual(202, (await site.submit(other, "b1", *MANY_ITEMS)).status_code)
                await self.end(site, other, "b1")
                site.log.run_delayed()
                preferred.log.faults.down = False
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_new_replica_does_not_run_a_batch_that_ended_before_it_was_notified(self) -> None:
        """The second submission is accepted by a node without a replica, which notifies the other.

        That one has read neither submission yet. The first submission and the end lie more than a
        margin of a hundred records before the second submission.
        """
        self.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            use_slow_engines(site)
            before = await site.start("n0")
            await site.submit(before, "b1", *MANY_ITEMS)
            await wait_until_started(site)
            await self.end(site, before, "b1")
            ended_at = anyio.current_time()
            await wait_until_ended(site, "b1")
            before.scope.cancel()
            await before.ended.wait()
            site.log.drop_key(NODES_PARTITION, "n0")
            await write_history(site.log)
            logs = [SlowHistoryLog(site.log) for _ in range(2)]
            _, other = await replica_and_other(
                [await site.start(f"n{i + 1}", log=log) for i, log in enumerate(logs)]
            )
            await anyio.sleep_until(ended_at + BATCH_END_SECONDS)
            site.workers.arrivals.clear()
            self.assertEqual(202, (await site.submit(other, "b1", *MANY_ITEMS)).status_code)
            await anyio.sleep(OBSERVATION_SECONDS)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_a_new_replica_stops_at_the_end_of_a_batch_that_it_was_notified_of(self) -> None:
        """It acknowledges the end itself, from the batch's own records."""
        self.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            use_slow_engines(site)
            logs = [SlowHistoryLog(site.log) for _ in range(2)]
            _, other = await replica_and_other(
                [await site.start(f"n{i + 1}", log=log) for i, log in enumerate(logs)]
            )
            self.assertEqual(202, (await site.submit(other, "b1", *MANY_ITEMS)).status_code)
            await wait_until_started(site)
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_runner_that_resumed_its_batch_stops_at_an_end_acknowledged_elsewhere(self) -> None:
        """It claimed the batch from the batch's own records; its own view reaches the end later."""

        async def scenario(site: Site) -> None:
            await write_history(site.log)
            use_slow_engines(site)
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            await site.submit(nodes["n1"], "b1", *MANY_ITEMS)
            await wait_until_started(site)
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

    def test_a_runner_cut_off_from_the_log_sends_no_score_calls_after_the_bound(self) -> None:
        """The texts are complete, and the scoring service fails."""

        async def scenario(site: Site) -> None:
            for name in ("a1", "a2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN] * 1_000
            nodes = [await site.start(name, peers=None) for name in ("n1", "n2")]
            await site.submit(nodes[0], "b1", "x", "y", scored_by="/score/")
            await wait_until_started(site, "x-score")
            runner = next(node for node in nodes if node.gateway._runner.runs("b1"))
            other = next(node for node in nodes if node is not runner)
            runner.log.faults.silent = True
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)
