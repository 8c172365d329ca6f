"""A stopping gateway serves requests until its grace period is nearly over, and refuses others.

The grace period is `timing.stop_grace`; the process would be killed at its end.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from unittest import mock

import anyio
import httpx
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.settings import Timing
from stagewalk.gateway.stop_schedule import UNAWARE_SECONDS
from tests.gateway.support import HOST, ROUTES, Running, Site, run, until

GRACE_SECONDS = 8.0
SHORT_GRACE_SECONDS = 3.0
DRAIN_SECONDS = 0.2
ROUTE_SECONDS = 30.0
"""Time-out of the routes, beyond every grace period here."""

LARGE_ANSWER_EVENTS, LARGE_EVENT_BYTES = 64, 200_000
"""More than the buffers of the kernel and of the process hold for a caller that reads nothing."""


async def start(site: Site, grace_seconds: float = GRACE_SECONDS) -> Running:
    """Start a gateway with routes whose requests may take longer than its grace period."""
    site.publish(2, tuple(replace(route, timeout_seconds=ROUTE_SECONDS) for route in ROUTES))
    return await site.start("n1", timing=Timing(lease_quiet=0.2, stop_grace=grace_seconds))


def set_stream_seconds(site: Site, seconds: float) -> None:
    """Let each stream take some time, with an event each tenth of it."""
    for name in ("e1", "e2"):
        worker = site.workers.workers[name]
        worker.events, worker.event_seconds = 10, seconds / 10


def whole(name: str) -> str:
    return "".join(f"{name}-{number}" for number in range(1, 11))


async def reached_worker(site: Site, name: str) -> None:
    async def arrived() -> bool:
        return site.workers.arrivals[name] == 1

    await until(arrived)


class StopServingTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        drain = mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", DRAIN_SECONDS)
        drain.start()
        self.addCleanup(drain.stop)

    async def stopped_within(self, node: Running, seconds: float) -> None:
        """Stop a gateway and check that it ends within a time."""
        began = steady_seconds()
        await node.gateway.stop()
        with anyio.move_on_after(seconds + 5.0):
            await node.ended.wait()
        self.assertLess(steady_seconds() - began, seconds)

    def test_a_stream_in_flight_is_completed_if_it_ends_within_the_grace(self) -> None:
        async def scenario(site: Site) -> None:
            node = await start(site)
            set_stream_seconds(site, 6.0)
            texts: list[str] = []

            async def stream() -> None:
                answer = await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
                texts.append(answer.text)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await reached_worker(site, "q1")
                await self.stopped_within(node, GRACE_SECONDS)
            self.assertEqual([whole("q1")], texts)

        run(scenario)

    def test_a_process_ends_within_a_short_grace_while_a_stream_goes_on(self) -> None:
        async def scenario(site: Site) -> None:
            node = await start(site, SHORT_GRACE_SECONDS)
            set_stream_seconds(site, 20.0)
            broken: list[bool] = []

            async def stream() -> None:
                try:
                    await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
                except httpx.RemoteProtocolError:
                    broken.append(True)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await reached_worker(site, "q1")
                await self.stopped_within(node, SHORT_GRACE_SECONDS)
            self.assertEqual([True], broken)

        run(scenario)

    def test_a_request_that_may_outlast_the_grace_is_refused_at_once(self) -> None:
        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 1.0):
                node = await start(site)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(node.gateway.stop)
                    await anyio.sleep(0.2)
                    for path in ("/stream/x", "/resume/x", "/once/x", "/ask/x"):
                        began = steady_seconds()
                        answer = await site.call(node, "POST", path, stagewalk_request_id=path)
                        self.assertLess(steady_seconds() - began, 1.0, path)
                        self.assertEqual(503, answer.status_code, path)
                        self.assertIn("retry-after", answer.headers)
                        self.assertEqual("close", answer.headers["connection"])
                        self.assertEqual(0, site.workers.arrivals[path])
                    await node.ended.wait()

        run(scenario)

    def test_usual_requests_are_served_while_callers_cannot_know_of_the_stop(self) -> None:
        """Refused at once, they would cost each caller a try although they end in time."""

        async def scenario(site: Site) -> None:
            drain = 2.0 * UNAWARE_SECONDS
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", drain):
                node = await start(site)
                paths = ("/stream/x", "/once/x", "/ask/x")

                async def statuses(name: str) -> list[int]:
                    answers = [
                        await site.call(node, "POST", path, stagewalk_request_id=f"{name}{path}")
                        for path in paths
                    ]
                    return [answer.status_code for answer in answers]

                self.assertEqual([200] * 3, await statuses("before"))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(node.gateway.stop)
                    await anyio.sleep(0.1)
                    self.assertEqual([200] * 3, await statuses("unaware"))
                    await anyio.sleep(UNAWARE_SECONDS)
                    self.assertEqual([503] * 3, await statuses("aware"))
                    await node.ended.wait()

        run(scenario)

    def test_a_request_whose_deadline_ends_within_the_grace_is_served(self) -> None:
        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 1.0):
                node = await start(site)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(node.gateway.stop)
                    await anyio.sleep(0.2)
                    for path in ("/stream/x", "/once/x", "/ask/x"):
                        answer = await site.call(
                            node,
                            "POST",
                            path,
                            stagewalk_request_id=path,
                            stagewalk_deadline_milliseconds="2000",
                        )
                        self.assertEqual(200, answer.status_code, path)
                    await node.ended.wait()

        run(scenario)

    def test_requests_unanswered_at_the_end_of_the_grace_get_a_status_that_is_true(self) -> None:
        """An empty 500 tells a caller nothing, and a closed connection cuts the request off."""

        async def scenario(site: Site) -> None:
            node = await start(site, SHORT_GRACE_SECONDS)
            for worker in site.workers.workers.values():
                worker.answer_seconds = 20.0
            answers: dict[str, httpx.Response] = {}

            async def ask(path: str) -> None:
                answers[path] = await site.call(node, "POST", path, stagewalk_request_id=path)

            async with anyio.create_task_group() as tasks:
                for path in ("/once/x", "/ask/x"):
                    tasks.start_soon(ask, path)
                    await reached_worker(site, path)
                await self.stopped_within(node, SHORT_GRACE_SECONDS)
            for path, answer in answers.items():
                self.assertEqual(502, answer.status_code, path)
                self.assertIn("may have run", answer.json()["error"])

        run(scenario)

    def test_a_caller_that_sends_its_body_too_slowly_gets_a_promise_that_nothing_ran(self) -> None:
        async def scenario(site: Site) -> None:
            node = await start(site, SHORT_GRACE_SECONDS)
            address = node.gateway.settings.front
            head = f"POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nstagewalk-request-id: q1\r\n"
            async with await anyio.connect_tcp(address.host, address.port) as connection:
                await connection.send(f"{head}content-length: 10\r\n\r\nbody".encode())
                await anyio.sleep(0.1)
                await self.stopped_within(node, SHORT_GRACE_SECONDS)
                answer = await connection.receive()
            self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
            self.assertEqual(0, site.workers.arrivals["q1"])

        run(scenario)

    def test_a_caller_that_reads_nothing_does_not_keep_the_process_beyond_its_grace(self) -> None:
        async def scenario(site: Site) -> None:
            node = await start(site, SHORT_GRACE_SECONDS)
            for name in ("e1", "e2"):
                worker = site.workers.workers[name]
                worker.events, worker.event_seconds = LARGE_ANSWER_EVENTS, 0.001
                worker.event_padding = LARGE_EVENT_BYTES
            address = node.gateway.settings.front
            with socket.socket() as connection:
                connection.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(connection, (address.host, address.port))
                head = f"POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nstagewalk-request-id: q1\r\n"
                await loop.sock_sendall(connection, f"{head}content-length: 0\r\n\r\n".encode())
                await reached_worker(site, "q1")
                await self.stopped_within(node, SHORT_GRACE_SECONDS)

        run(scenario)
