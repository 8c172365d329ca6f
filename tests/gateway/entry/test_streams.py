"""Streams through a gateway: relayed whole or visibly broken, and resumed where allowed."""

from __future__ import annotations

import httpx
import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from tests.gateway.support import Site, run

WHOLE = "".join(f"q1-{number}" for number in range(1, 4))


class StreamTests(testtools.TestCase):
    def test_events_arrive_in_order_and_complete(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            answer = await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
            self.assertEqual((200, WHOLE), (answer.status_code, answer.text))

        run(scenario)

    def test_a_broken_stream_that_may_not_be_resumed_never_looks_complete(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN]
            try:
                await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
            except httpx.RemoteProtocolError:
                broken = True
            else:
                broken = False
            self.assertTrue(broken)
            self.assertEqual(1, site.workers.arrivals["q1"])

        run(scenario)

    def test_a_broken_stream_resumes_at_another_worker_within_one_answer(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.workers.workers["e1"].faults = [AttemptFault.MAY_HAVE_RUN]
            site.workers.workers["e2"].faults = []
            for number in range(2):
                answer = await site.call(node, "POST", "/resume/x", stagewalk_request_id="q1")
                self.assertEqual((200, WHOLE), (answer.status_code, answer.text), number)

        run(scenario)

    def test_a_caller_resumes_after_its_last_event(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            answer = await site.call(
                node, "POST", "/resume/x", stagewalk_request_id="q1", last_event_id="2"
            )
            self.assertEqual("q1-3", answer.text)

        run(scenario)

    def test_a_stream_that_no_worker_ran_is_refused_with_retry_after(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].faults = [AttemptFault.NOT_RUN]
            answer = await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
            self.assertEqual(503, answer.status_code)
            self.assertIn("retry-after", answer.headers)

        run(scenario)
