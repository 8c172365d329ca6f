"""Scored batches through complete gateways: text and score are one result despite failures."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from tests.gateway.memory_workers import MemoryWorker
from tests.gateway.support import ROUTES, Running, Site, route, run, until

TEXT, SCORE = 4, 6
"""Indexes of fields in a result row."""

SERVER_ERROR = 500


async def results(site: Site, node: Running, batch: str) -> list[list]:
    answer = await site.call(node, "GET", f"/v1/batches/{batch}")
    answer.raise_for_status()
    return answer.json()["results"]


def scorers(site: Site) -> list[MemoryWorker]:
    return [site.workers.workers[name] for name in ("a1", "a2")]


class ScoreTests(testtools.TestCase):
    def test_every_result_has_its_own_score_at_every_node(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")
            answer = await site.submit(one, "b1", "x", "y", scored_by="/score/")
            self.assertEqual(202, answer.status_code)
            await site.until_listed(other, "b1", 2)
            for _, _, item, _, text, _, score in await results(site, other, "b1"):
                self.assertEqual(f"{item}-score", score.split("/")[1])
                self.assertEqual(3, len(text.splitlines()))
            self.assertEqual(1, site.workers.arrivals["x-score"])

        run(scenario)

    def test_lost_and_failed_score_calls_are_retried(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for scorer in scorers(site):
                scorer.faults = [AttemptFault.MAY_HAVE_RUN, AttemptFault.NOT_RUN]
                scorer.statuses = [SERVER_ERROR]
            await site.submit(node, "b1", "x", scored_by="/score/")
            await site.until_listed(node, "b1", 1)
            self.assertIn("x-score", (await results(site, node, "b1"))[0][SCORE])

        run(scenario)

    def test_an_item_whose_score_always_fails_fails_and_is_not_scored_again(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for scorer in scorers(site):
                scorer.statuses = [SERVER_ERROR] * 20
            await site.submit(node, "b1", "x", scored_by="/score/")
            await site.until_listed(node, "b1", 1)
            self.assertFalse((await results(site, node, "b1"))[0][3])
            await anyio.sleep(0.3)
            self.assertEqual(3, site.workers.arrivals["x-score"])

        run(scenario)

    def test_another_node_has_the_text_scored_if_the_runner_is_gone(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = {name: await site.start(name) for name in ("n1", "n2")}
            for scorer in scorers(site):
                scorer.answer_seconds = 30.0
            await site.submit(nodes["n1"], "b1", "x", scored_by="/score/")

            async def text_recorded() -> bool:
                ledgers = [node.gateway.store.ledger for node in nodes.values()]
                batches = [batch for ledger in ledgers if (batch := ledger.get("b1"))]
                kept = [
                    ledger.reusable_text(batch.items["x"])
                    for ledger in ledgers
                    for batch in batches
                ]
                return len(kept) > 0 and all(text is not None and text.whole for text in kept)

            await until(text_recorded)
            ledger = nodes["n1"].gateway.store.ledger
            runner = ledger.get("b1").runner.split("#")[0]
            nodes[runner].scope.cancel()
            for scorer in scorers(site):
                scorer.answer_seconds = 0.0
            survivor = nodes["n2" if runner == "n1" else "n1"]
            await site.until_listed(survivor, "b1", 1)
            self.assertIn("x-score", (await results(site, survivor, "b1"))[0][SCORE])
            self.assertEqual(1, site.workers.arrivals["x"])

        run(scenario)

    def test_a_batch_whose_score_has_no_route_is_refused_with_the_reason(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            refused = await site.submit(node, "b1", "x", scored_by="/judge/")
            self.assertEqual(503, refused.status_code)
            self.assertIn("items[0].score_call.path", refused.text)
            self.assertIn("retry-after", refused.headers)
            judge = route("judge", "/judge/", ROUTES[0].kind, "app")
            site.publish(2, (*ROUTES, judge))

            async def accepted() -> bool:
                answer = await site.submit(node, "b1", "x", scored_by="/judge/")
                return answer.status_code == 202

            self.assertEqual(0, site.workers.arrivals["x"])
            await until(accepted)
            await site.until_listed(node, "b1", 1)

        run(scenario)

    def test_score_calls_of_an_ended_batch_are_stopped(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for scorer in scorers(site):
                scorer.answer_seconds = 30.0
            await site.submit(node, "b1", "x", scored_by="/score/")

            async def score_requested() -> bool:
                return site.workers.arrivals["x-score"] > 0

            await until(score_requested)
            await site.call(node, "DELETE", "/v1/batches/b1")

            async def stopped() -> bool:
                return sum(scorer.running for scorer in scorers(site)) == 0

            await until(stopped)
            self.assertEqual([], await results(site, node, "b1"))

        run(scenario)
