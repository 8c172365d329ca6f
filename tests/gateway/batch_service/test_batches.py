"""Batches through complete gateways: nothing accepted is lost, positions are equal on all nodes."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import MAXIMUM_CURRENT_VIEW_AGE_SECONDS
from stagewalk.gateway.ports.workers import AttemptFault
from tests.gateway.support import Site, run, until


class BatchTests(testtools.TestCase):
    def test_results_have_the_same_positions_on_every_node(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")
            answer = await site.submit(one, "b1", "x", "y", "z")
            self.assertEqual(202, answer.status_code)
            here = await site.until_listed(one, "b1", 3)
            there = await site.until_listed(other, "b1", 3)
            self.assertEqual(here, there)
            self.assertEqual({"x", "y", "z"}, set(here))
            self.assertEqual(here[1:], await site.results(other, "b1", 1))

        run(scenario)

    def test_a_batch_submitted_again_at_another_node_runs_once(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")
            for node in (one, other, one):
                self.assertEqual(202, (await site.submit(node, "b1", "x")).status_code)
            await site.until_listed(one, "b1", 1)
            self.assertEqual(1, site.workers.arrivals["x"])

        run(scenario)

    def test_a_lost_response_of_the_log_neither_loses_nor_duplicates_the_batch(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            node.log.faults.lose_answers = 2
            self.assertEqual(202, (await site.submit(node, "b1", "x", "y")).status_code)
            self.assertEqual(2, len(await site.until_listed(node, "b1", 2)))

        run(scenario)

    def test_submissions_are_refused_with_retry_after_while_the_log_is_down(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            node.log.faults.down = True
            refused = await site.submit(node, "b1", "x")
            self.assertEqual(503, refused.status_code)
            self.assertIn("retry-after", refused.headers)
            node.log.faults.down = False
            self.assertEqual(202, (await site.submit(node, "b2", "y")).status_code)
            await site.until_listed(node, "b2", 1)
            self.assertEqual(0, site.workers.arrivals["x"])

        run(scenario)

    def test_a_submission_that_may_have_been_appended_is_not_reported_as_refused(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")

            async def current() -> bool:
                return node.gateway.store.is_current("b1", steady_seconds())

            await until(current)
            node.log.faults.silent = True
            unknown = await site.submit(node, "b1", "x")
            self.assertEqual(504, unknown.status_code)

        run(scenario)

    def test_a_node_that_cannot_look_up_whether_it_knows_a_batch_appends_nothing(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            node.gateway.store.set_following(False)
            with mock.patch.object(node.gateway._roles, "update"):
                await anyio.sleep(MAXIMUM_CURRENT_VIEW_AGE_SECONDS)
                node.log.faults.silent = True
                refused = await site.submit(node, "b1", "x")
                self.assertEqual(503, refused.status_code)
                self.assertTrue(node.gateway.store.idle)
                node.log.faults.silent = False
            self.assertEqual(404, (await site.call(node, "GET", "/v1/batches/b1")).status_code)

        run(scenario)

    def test_a_node_without_a_current_view_answers_503_and_never_404(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")
            for node in (one, other):
                node.log.faults.silent = True
            answer = await site.call(other, "GET", "/v1/batches/b1")
            self.assertEqual(503, answer.status_code)
            for node in (one, other):
                node.log.faults.silent = False
            missing = await site.call(other, "GET", "/v1/batches/nowhere")
            self.assertEqual(404, missing.status_code)

        run(scenario)

    def test_a_read_beyond_the_results_known_here_is_refused_and_not_empty(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")
            await site.submit(one, "b1", "x", "y")
            await site.until_listed(one, "b1", 2)
            answer = await site.call(other, "GET", "/v1/batches/b1?from_position=7")
            self.assertEqual(503, answer.status_code)

        run(scenario)

    def test_the_body_of_an_item_can_be_read_at_any_node(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")
            await site.submit(one, "b1", "x")

            async def shown() -> bool:
                answer = await site.call(other, "GET", "/v1/items/b1?item=x")
                return answer.content == b"body x"

            await until(shown)

        run(scenario)

    def test_a_broken_stream_still_yields_one_complete_text(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN]
            await site.submit(node, "b1", "x")
            await site.until_listed(node, "b1", 1)
            answer = await site.call(node, "GET", "/v1/batches/b1")
            self.assertEqual("x-1\nx-2\nx-3", answer.json()["results"][0][4])

        run(scenario)

    def test_items_of_an_ended_batch_are_stopped_on_the_engines(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.3
                site.workers.workers[name].events = 100
            await site.submit(node, "b1", "x")
            await until(lambda: _true_after(site.workers.arrivals["x"] > 0))
            for _ in range(2):
                answer = await site.call(node, "DELETE", "/v1/batches/b1")
                self.assertEqual(200, answer.status_code)
            await anyio.sleep(0.5)
            self.assertEqual(1, site.workers.arrivals["x"])
            self.assertEqual([], await site.results(node, "b1"))

        run(scenario)

    def test_another_node_takes_over_when_the_runner_is_gone(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.4
                site.workers.workers[name].events = 6
            await site.submit(nodes["n1"], "b1", "x")
            ledger = nodes["n1"].gateway.store.ledger

            async def opened() -> bool:
                return ledger.get("b1") is not None

            await until(opened)
            runner = ledger.get("b1").runner.split("#")[0]
            nodes[runner].scope.cancel()
            survivor = nodes["n2" if runner == "n1" else "n1"]
            self.assertEqual(["x"], await site.until_listed(survivor, "b1", 1))

        run(scenario)

    def test_a_stopping_node_hands_over_its_unfinished_text(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.2
                site.workers.workers[name].events = 8
            await site.submit(nodes["n1"], "b1", "x")
            ledger = nodes["n1"].gateway.store.ledger
            await until(lambda: _true_after(ledger.get("b1") is not None))
            await anyio.sleep(0.7)
            runner = ledger.get("b1").runner.split("#")[0]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(nodes[runner].gateway.stop)
                survivor = nodes["n2" if runner == "n1" else "n1"]
                await site.until_listed(survivor, "b1", 1)
                answer = await site.call(survivor, "GET", "/v1/batches/b1")
                tasks.cancel_scope.cancel()
            expected = "\n".join(f"x-{number}" for number in range(1, 9))
            self.assertEqual(expected, answer.json()["results"][0][4])

        run(scenario)

    def test_an_accepted_batch_survives_the_loss_of_all_nodes(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = [await site.start("n1"), await site.start("n2")]
            accepted = await site.submit(nodes[0], "b1", "x", "y")
            self.assertEqual(202, accepted.status_code)
            for node in nodes:
                node.scope.cancel()
            again = await site.start("n1")
            self.assertEqual({"x", "y"}, set(await site.until_listed(again, "b1", 2)))

        run(scenario)


async def _true_after(condition: bool) -> bool:
    return condition
