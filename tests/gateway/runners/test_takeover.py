"""Batches resume soon after their runner is gone, before the list of nodes shows that."""

from __future__ import annotations

import time
from unittest import mock

import anyio
import testtools

from stagewalk.gateway.assembly import NODES_PARTITION
from stagewalk.gateway.batch_service.batch_index import BatchIndex
from tests.gateway.support import Running, Site, run, until

NEVER = 1_000.0


async def runner_of(site: Site, nodes: dict[str, Running], batch: str) -> str:
    """Return the name of the node that runs a batch, once it does."""

    async def running() -> bool:
        return any(node.gateway._runner.runs(batch) for node in nodes.values())

    await until(running)
    return next(name for name, node in nodes.items() if node.gateway._runner.runs(batch))


def make_slow(site: Site, events: int = 6, seconds: float = 0.3) -> None:
    for name in ("e1", "e2"):
        site.workers.workers[name].event_seconds = seconds
        site.workers.workers[name].events = events


class TakeoverTests(testtools.TestCase):
    def patch(self, name: str, value: object) -> None:
        patched = mock.patch(name, value)
        patched.start()
        self.addCleanup(patched.stop)

    def test_a_batch_is_not_assigned_to_a_node_that_is_gone_but_still_listed(self) -> None:
        self.patch("stagewalk.gateway.directory.node_table.FAILURE_TIMEOUT_SECONDS", NEVER)

        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            await site.submit(nodes["n1"], "b1", "x")
            await site.until_listed(nodes["n1"], "b1", 1)
            ledger = nodes["n1"].gateway.store.ledger
            first = ledger.get("b1").runner.split("#")[0]
            survivor = nodes["n2" if first == "n1" else "n1"]
            nodes[first].scope.cancel()
            self.assertEqual(202, (await site.submit(survivor, "b2", "y")).status_code)
            await site.until_listed(survivor, "b2", 1)
            batch = survivor.gateway.store.ledger.get("b2")
            self.assertNotEqual(first, batch.runner.split("#")[0])
            self.assertEqual(0, batch.epoch)

        run(scenario)

    def test_a_runner_that_stops_answering_is_replaced_while_it_is_still_listed(self) -> None:
        self.patch("stagewalk.gateway.directory.node_table.FAILURE_TIMEOUT_SECONDS", NEVER)

        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            make_slow(site)
            await site.submit(nodes["n1"], "b1", "x")
            runner = await runner_of(site, nodes, "b1")
            nodes[runner].scope.cancel()
            survivor = nodes["n2" if runner == "n1" else "n1"]
            self.assertEqual(["x"], await site.until_listed(survivor, "b1", 1))
            self.assertEqual(1, survivor.gateway.store.ledger.get("b1").epoch)

        run(scenario)

    def test_a_restarted_runner_resumes_before_it_has_read_the_whole_log(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            make_slow(site)
            await site.submit(nodes["n1"], "b1", "x")
            runner = await runner_of(site, nodes, "b1")

            async def indexed() -> bool:
                return "b1" in (await BatchIndex(nodes["n1"].log).list()).ok

            await until(indexed)
            for node in nodes.values():
                node.scope.cancel()
            make_slow(site, seconds=0.01)
            before = site.workers.arrivals["x"]
            with mock.patch("stagewalk.gateway.daemon.RESUME_LOG_RESERVE_SECONDS", NEVER):
                again = await site.start(runner)

                async def resumed() -> bool:
                    return site.workers.arrivals["x"] > before

                await until(resumed)
                self.assertFalse(again.gateway.store.following)
                self.assertEqual(["x"], await site.until_listed(again, "b1", 1))
            answer = await site.call(again, "GET", "/v1/batches/b1")
            self.assertEqual(6, len(answer.json()["results"][0][4].splitlines()))

        run(scenario)

    def test_a_process_resumes_batches_of_an_earlier_one_that_had_its_incarnation(self) -> None:
        """It took them for its own, and left them until it had read the whole log."""

        async def scenario(site: Site) -> None:
            now = time.time_ns()
            self.patch("stagewalk.gateway.assembly.time.time_ns", lambda: now)
            earlier = await site.start("n1")
            make_slow(site)
            await site.submit(earlier, "b1", "x")
            await runner_of(site, {"n1": earlier}, "b1")

            async def indexed() -> bool:
                return "b1" in (await BatchIndex(earlier.log).list()).ok

            await until(indexed)
            earlier.scope.cancel()
            await earlier.ended.wait()
            site.log.drop_key(NODES_PARTITION, "n1")
            make_slow(site, seconds=0.01)
            before = site.workers.arrivals["x"]
            with mock.patch("stagewalk.gateway.daemon.RESTART_LOG_RESERVE_SECONDS", NEVER):
                again = await site.start("n1")
                same = again.gateway._identity.incarnation
                self.assertEqual(earlier.gateway._identity.incarnation, same)

                async def resumed() -> bool:
                    return site.workers.arrivals["x"] > before

                await until(resumed)

        run(scenario)

    def test_a_restarted_node_does_not_resume_a_batch_that_was_taken_over(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            make_slow(site, events=20, seconds=0.2)
            await site.submit(nodes["n1"], "b1", "x")
            runner = await runner_of(site, nodes, "b1")
            other = "n2" if runner == "n1" else "n1"
            nodes[runner].scope.cancel()

            async def taken_over() -> bool:
                return nodes[other].gateway._runner.runs("b1")

            await until(taken_over)
            again = await site.start(runner)
            await anyio.sleep(0.5)
            self.assertFalse(again.gateway._runner.runs("b1"))
            self.assertTrue(nodes[other].gateway._runner.runs("b1"))

        run(scenario)

    def test_a_runner_is_notified_of_its_batch_although_the_log_wakes_no_reader(self) -> None:
        self.patch("stagewalk.gateway.partitioned_log.follower.ACTIVE_WAIT_SECONDS", 1.0)

        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            for node in nodes.values():
                node.log.faults.sleep_through = True
            await site.submit(nodes["n1"], "b1", "x")
            await runner_of(site, nodes, "b1")
            await site.until_listed(nodes["n1"], "b1", 1)

        run(scenario)
