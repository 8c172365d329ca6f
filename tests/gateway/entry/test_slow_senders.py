"""Large or slowly sent request bodies are refused without being run; small ones are served."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.settings.fields import Limits
from stagewalk.gateway.held_memory.bodies import LARGE_BODIES_SHARE, LARGE_BODY_BYTES
from stagewalk.gateway.settings import Memory
from tests.gateway.entry.test_slow_readers import as_async, budget_of
from tests.gateway.support import HOST, Running, Site, run, until

NODE = Memory(limit_mb=20.0)
LARGE = b"l" * (LARGE_BODY_BYTES + 1)


async def begin(node: Running, name: str, length: int) -> anyio.abc.SocketStream:
    """Send a request's head and the first byte of its body."""
    address = node.gateway.settings.front
    stream = await anyio.connect_tcp(address.host, address.port)
    head = f"POST /ask/x HTTP/1.1\r\nhost: {HOST}\r\nstagewalk-request-id: {name}\r\n"
    await stream.send((head + f"content-length: {length}\r\n\r\nb").encode())
    return stream


class SlowSenderTests(testtools.TestCase):
    def test_large_bodies_are_refused_before_memory_is_full_and_small_ones_are_served(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            budget = budget_of(node)
            budget.add(int(budget.maximum_bytes * LARGE_BODIES_SHARE))
            answer = await site.call(node, "POST", "/once/x", LARGE, stagewalk_request_id="q1")
            self.assertEqual(503, answer.status_code)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(0, site.workers.arrivals["q1"])
            answer = await site.call(node, "POST", "/once/x", b"small", stagewalk_request_id="q2")
            self.assertEqual(200, answer.status_code)
            budget.release_bytes(int(budget.maximum_bytes * LARGE_BODIES_SHARE))
            answer = await site.call(node, "POST", "/once/x", LARGE, stagewalk_request_id="q3")
            self.assertEqual(200, answer.status_code)
            await until(lambda: as_async(budget.held_bytes == 0))

        run(scenario)

    def test_a_body_without_a_length_is_refused_as_it_grows(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            budget = budget_of(node)
            budget.add(int(budget.maximum_bytes * LARGE_BODIES_SHARE))
            address = node.gateway.settings.front
            async with await anyio.connect_tcp(address.host, address.port) as stream:
                head = f"POST /ask/x HTTP/1.1\r\nhost: {HOST}\r\ntransfer-encoding: chunked\r\n\r\n"
                chunk = b"%x\r\n%s\r\n" % (len(LARGE), LARGE)
                await stream.send(head.encode() + chunk + b"0\r\n\r\n")
                answer = await stream.receive()
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:40])

        run(scenario)

    def test_a_body_that_does_not_arrive_in_time_is_not_run(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            stream = await begin(node, "q1", 10)
            with anyio.fail_after(10.0):
                answer = await stream.receive()
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:40])
            self.assertEqual(0, site.workers.arrivals["q1"])
            await stream.aclose()
            await until(lambda: as_async(budget_of(node).held_bytes == 0))

        def short(**fields: int) -> Limits:
            return Limits(body_seconds=1, **fields)

        with mock.patch("stagewalk.gateway.entry.app.Limits", short):
            run(scenario)

    def test_without_a_memory_setting_bodies_are_bounded_as_they_arrive(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            self.assertIsNone(node.gateway._parts.readers)
            answer = await site.call(node, "POST", "/ask/x", LARGE)
            self.assertEqual(200, answer.status_code)

        run(scenario)
