"""Streams through a gateway: relayed whole or visibly broken, and resumed where allowed."""

from __future__ import annotations

from dataclasses import replace

import anyio
import httpx
import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from stagewalk.gateway.settings import Memory
from tests.gateway.support import ROUTES, Running, Site, run, until

SERVER_ERROR = 500
STATUSES_OTHER_THAN_OK = (204, 404, 422, 429, 500, 502, 503, 504)
BUFFERED = Memory(limit_mb=200.0)
"""With a memory limit, events are buffered between the worker and its caller."""

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


class BegunStreamTests(testtools.TestCase):
    """A stream that has begun is complete only once a worker has sent the rest of its events."""

    async def ask(self, site: Site, node: Running, number: int = 1) -> str | None:
        """Return a resumable stream's text, None if it was broken off."""
        name = f"q{number}"
        try:
            answer = await site.call(node, "POST", "/resume/x", stagewalk_request_id=name)
        except httpx.RemoteProtocolError:
            return None
        return answer.text

    def test_no_status_of_the_next_worker_ends_a_begun_stream_as_complete(self) -> None:
        async def scenario(site: Site) -> None:
            for memory in (None, BUFFERED):
                node = await site.start("n1", memory=memory)
                for status in STATUSES_OTHER_THAN_OK:
                    site.workers.stream_script = [AttemptFault.MAY_HAVE_RUN, status]
                    self.assertIsNone(await self.ask(site, node), (status, memory))
                    self.assertEqual([], site.workers.stream_script)

        run(scenario)

    def test_a_begun_stream_resumes_at_a_third_worker_if_the_second_answers_a_status(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tuple(replace(route, maximum_attempts=3) for route in ROUTES))
            site.add_worker("e3", "engines")
            for memory in (None, BUFFERED):
                node = await site.start("n1", memory=memory)
                for status in STATUSES_OTHER_THAN_OK:
                    site.workers.stream_script = [AttemptFault.MAY_HAVE_RUN, status]
                    self.assertEqual(WHOLE, await self.ask(site, node), (status, memory))
                    self.assertEqual([], site.workers.stream_script)

        run(scenario)

    def test_a_status_does_not_complete_a_stream_moved_out_of_an_evacuated_zone(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 2.0
            site.workers.stream_script = [None, SERVER_ERROR]
            texts: list[str | None] = []

            async def stream() -> None:
                texts.append(await self.ask(site, node))

            async def begun() -> bool:
                return site.workers.arrivals["q1"] == 1

            async def movable() -> bool:
                return node.gateway._workers.worker("e3") is not None

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await until(begun)
                site.add_worker("e3", "engines", zone="z2")
                await until(movable)
                site.evacuate("z1")
            self.assertEqual([None], texts)
            self.assertEqual(2, site.workers.arrivals["q1"])

        run(scenario)

    def test_the_status_of_a_stream_that_has_not_begun_reaches_the_caller(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for status in STATUSES_OTHER_THAN_OK:
                site.workers.stream_script = [status]
                answer = await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
                self.assertEqual(status, answer.status_code)
                # The last status that the route's attempts allow, where it allows several.
                site.workers.stream_script = [status, status]
                answer = await site.call(node, "POST", "/resume/x", stagewalk_request_id="q2")
                self.assertEqual(status, answer.status_code)

        run(scenario)

    def test_a_resumable_stream_that_has_not_begun_is_retried_after_a_server_error(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for status in (500, 502, 503, 504):
                site.workers.stream_script = [status]
                self.assertEqual(WHOLE, await self.ask(site, node), status)
                self.assertEqual([], site.workers.stream_script)

        run(scenario)
