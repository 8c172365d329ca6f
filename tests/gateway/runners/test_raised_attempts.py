"""An exception of one attempt ends its item alone, on one node, and nothing else."""

from __future__ import annotations

from unittest import mock

import testtools

from tests.gateway.support import Running, Site, run
from tests.gateway.test_metrics import samples

RAISED = "stagewalk_attempts_raised_total"
SUCCEEDED_FIELD = 3
"""Index of whether an item succeeded, in a listed result."""


async def outcomes(site: Site, node: Running, batch: str) -> dict[str, bool]:
    answer = await site.call(node, "GET", f"/v1/batches/{batch}?from_position=0")
    return {row[2]: row[SUCCEEDED_FIELD] for row in answer.json()["results"]}


class RaisedAttemptTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[tuple[str, dict[str, object]]] = []
        patched = mock.patch("stagewalk.gateway.runners.attempt_tasks.log_event", self.note)
        patched.start()
        self.addCleanup(patched.stop)

    def note(self, event: str, _level: str, **fields: object) -> None:
        self.lines.append((event, fields))

    def test_an_item_whose_attempt_raises_fails_and_ends_no_process(self) -> None:
        async def scenario(site: Site) -> None:
            nodes = [await site.start(f"n{number}") for number in range(3)]
            site.workers.raising = {"bad"}
            await site.submit(nodes[0], "b1", "bad", "x")
            await site.submit(nodes[1], "b2", "y", "z")
            await site.until_listed(nodes[1], "b1", 2)
            await site.until_listed(nodes[2], "b2", 2)
            shown = await outcomes(site, nodes[1], "b1")
            self.assertEqual({"bad": False, "x": True}, shown)
            self.assertEqual([False] * 3, [node.ended.is_set() for node in nodes])
            raised = [(await samples(site, node))[RAISED, ()] for node in nodes]
            self.assertEqual([0.0, 0.0, 1.0], sorted(raised))
            ((event, fields),) = self.lines
            self.assertEqual(("attempt_raised", "bad"), (event, fields["request"]))
            self.assertIn("UnicodeEncodeError", str(fields["trace"]))

        run(scenario)

    def test_a_score_call_whose_attempt_raises_fails_its_item_alone(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.workers.raising = {"x-score"}
            await site.submit(node, "b1", "x", "y", scored_by="/score/s")
            await site.until_listed(node, "b1", 2)
            self.assertEqual({"x": False, "y": True}, await outcomes(site, node, "b1"))
            self.assertFalse(node.ended.is_set())

        run(scenario)

    def test_a_forwarded_request_whose_attempt_raises_gets_a_500_alone(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.workers.raising = {"bad"}
            for path in ("/ask/x", "/once/x", "/stream/x"):
                answer = await site.call(node, "POST", path, stagewalk_request_id="bad")
                self.assertEqual(500, answer.status_code, path)
                answer = await site.call(node, "POST", path, stagewalk_request_id="good")
                self.assertEqual(200, answer.status_code, path)
            self.assertEqual({0}, {worker.in_flight for worker in node.gateway._workers.all()})

        run(scenario)

    def test_a_batch_with_an_item_that_cannot_be_sent_is_refused_by_name(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            answer = await site.submit(node, "b1", "x", "bad name\u02be")
            self.assertEqual(400, answer.status_code)
            for part in ("items[1].id", "U+02BE"):
                self.assertIn(part, answer.json()["error"])
            self.assertEqual(0, site.workers.arrivals["x"])

        run(scenario)
