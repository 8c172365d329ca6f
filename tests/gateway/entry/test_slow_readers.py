"""Slow readers over real connections: bytes buffered for them, and which are disconnected."""

from __future__ import annotations

import asyncio
import socket
import statistics
import time
from unittest import mock

import anyio
import testtools

from stagewalk.common.http.server import open_listener
from stagewalk.common.identities import Address
from stagewalk.gateway.held_memory.budget import MemoryBudget
from stagewalk.gateway.held_memory.reader_choice import SLOW_READER_SECONDS
from stagewalk.gateway.ports.workers import AttemptFault
from stagewalk.gateway.settings import Memory
from tests.gateway.support import HOST, Running, Site, run, until

CALLERS = 200
READ_BYTES = 100
SMALL_WINDOW = 4_096
NODE = Memory(limit_mb=20.0)
EVENTS, PADDING = 64, 8_000
WHOLE_BYTES = EVENTS * PADDING


class Caller:
    """A caller with its own connection and a small receive buffer that only reads on request."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self.got = b""
        self.closed = False

    @classmethod
    async def open(cls, node: Running, path: str, name: str, body: bytes) -> Caller:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        connection.setblocking(False)
        address = node.gateway.settings.front
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (address.host, address.port))
        head = f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\nstagewalk-request-id: {name}\r\n"
        length = f"content-length: {len(body)}\r\n\r\n"
        await loop.sock_sendall(connection, (head + length).encode() + body)
        return cls(connection)

    async def read(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        try:
            part = await loop.sock_recv(self._connection, count)
        except ConnectionError:
            part = b""
        self.got += part
        self.closed = not part

    def leave(self) -> None:
        self._connection.close()

    async def read_slowly(self) -> None:
        """Read `READ_BYTES` a second until the connection ends."""
        while not self.closed:
            await self.read(READ_BYTES)
            await anyio.sleep(1.0)

    async def read_all(self) -> None:
        while not self.closed and not self.whole:
            await self.read(65_536)

    @property
    def whole(self) -> bool:
        """Whether the answer ends with the last chunk."""
        return self.got.endswith(b"0\r\n\r\n")


def open_small_listener(address: Address) -> socket.socket:
    """Bind a listener with small kernel send buffers, so that writes block as over a slow link."""
    listener = open_listener(address)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_WINDOW)
    return listener


def budget_of(node: Running) -> MemoryBudget:
    readers = node.gateway._parts.readers
    assert readers is not None
    return readers.budget


def configure_long_streams(site: Site, event_seconds: float = 0.005) -> None:
    for name in ("e1", "e2"):
        worker = site.workers.workers[name]
        worker.events, worker.event_padding = EVENTS, PADDING
        worker.event_seconds, worker.slots = event_seconds, CALLERS


class SlowReaderTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[tuple[str, dict[str, object]]] = []
        for place, instead in (
            ("assembly.log_event", self.note),
            ("forwarding.attempts.log_event", self.note),
            ("daemon.open_listener", open_small_listener),
        ):
            patched = mock.patch(f"stagewalk.gateway.{place}", instead)
            patched.start()
            self.addCleanup(patched.stop)

    def note(self, event: str, _level: str = "info", **fields: object) -> None:
        self.lines.append((event, fields))

    def events(self, name: str) -> list[dict[str, object]]:
        return [fields for event, fields in self.lines if event == name]

    def test_200_slow_callers_neither_delay_others_nor_exceed_the_memory_budget(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            configure_long_streams(site)
            before = await self.ask(site, node)
            callers: list[Caller] = []
            async with anyio.create_task_group() as tasks:
                for number in range(CALLERS):
                    caller = await self.open(node, "/resume/x", f"s{number}")
                    callers.append(caller)
                    tasks.start_soon(caller.read_slowly)
                during = await self.ask(site, node)
                prompt = await self.open(node, "/stream/x", "prompt")
                await prompt.read_all()
                tasks.cancel_scope.cancel()
            budget = budget_of(node)
            self.assertTrue(prompt.whole)
            self.assertGreater(CALLERS * WHOLE_BYTES, 10 * budget.maximum_bytes)
            self.assertLessEqual(budget.peak_bytes, budget.maximum_bytes)
            self.assertNotEqual([], self.events("reader_cut_off"))
            self.assertFalse(any(caller.whole for caller in callers))
            print(f"\nask, ms: before {before}, beside {CALLERS} slow callers {during}")
            print(f"held bytes at peak: {budget.peak_bytes} of {budget.maximum_bytes}")

        run(scenario)

    async def open(self, node: Running, path: str, name: str, body: bytes = b"") -> Caller:
        caller = await Caller.open(node, path, name, body)
        self.addCleanup(caller.leave)
        return caller

    async def ask(self, site: Site, node: Running) -> str:
        """Return the median and longest time of requests that are all answered with 200."""
        times: list[float] = []
        for _ in range(50):
            began = time.perf_counter()
            answer = await site.call(node, "GET", "/ask/x")
            times.append((time.perf_counter() - began) * 1000.0)
            self.assertEqual(200, answer.status_code)
        return f"{statistics.median(times):.1f} (longest {max(times):.1f})"

    def test_a_worker_is_not_delayed_nor_marked_failed_by_a_slow_caller(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            configure_long_streams(site)
            caller = await self.open(node, "/stream/x", "q1")
            await until(lambda: as_async(len(self.events("reader_cut_off")) == 1))
            engines = [site.workers.workers[name] for name in ("e1", "e2")]
            await until(lambda: as_async(all(engine.running == 0 for engine in engines)))
            await caller.read_all()
            self.assertFalse(caller.whole)
            self.assertTrue(caller.closed)
            self.assertEqual(1, site.workers.arrivals["q1"])
            self.assertEqual([], self.events("attempt_failed"))
            self.assertEqual("unknown", self.events("request_ended")[0]["outcome"])
            self.assertEqual({0}, {worker.failures for worker in node.gateway._workers.all()})
            self.assertEqual(0, budget_of(node).held_bytes)

        run(scenario)

    def test_a_stream_that_fits_the_budget_is_complete_if_its_caller_reads_late(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=Memory(limit_mb=200.0))
            configure_long_streams(site, event_seconds=0.001)
            caller = await self.open(node, "/stream/x", "q1")
            await anyio.sleep(0.5)
            await caller.read_all()
            self.assertTrue(caller.whole)
            places = [caller.got.index(f"q1-{number}.".encode()) for number in range(1, EVENTS + 1)]
            self.assertEqual(sorted(places), places)
            self.assertEqual([], self.events("reader_cut_off"))

        run(scenario)

    def test_what_a_worker_sent_before_its_connection_broke_reaches_a_slow_caller(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            for name in ("e1", "e2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN]
            caller = await self.open(node, "/stream/x", "q1")
            await caller.read_all()
            self.assertIn(b"q1-1", caller.got)
            self.assertTrue(caller.closed and not caller.whole)

        run(scenario)

    def test_a_whole_answer_is_counted_until_its_caller_has_read_it(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            budget, body = budget_of(node), b"b" * 600_000
            caller = await self.open(node, "/ask/x", "q1", body)
            await until(lambda: as_async(budget.held_bytes > 2 * len(body) - 200_000))
            while not caller.got.endswith(body):
                await caller.read(65_536)
            await until(lambda: as_async(budget.held_bytes == 0))
            self.assertEqual([], self.events("reader_cut_off"))

        run(scenario)

    def test_a_slow_reader_of_a_whole_answer_is_disconnected_to_free_memory(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            budget, body = budget_of(node), b"b" * 900_000
            caller = await self.open(node, "/ask/x", "q1", body)
            await until(lambda: as_async(budget.held_bytes > 2 * len(body) - 200_000))
            budget.add(budget.maximum_bytes - budget.held_bytes)
            await anyio.sleep(SLOW_READER_SECONDS)
            answer = await site.call(node, "POST", "/ask/x", b"small")
            self.assertEqual(200, answer.status_code)
            cut_off = self.events("reader_cut_off")
            self.assertEqual(["q1"], [fields["request"] for fields in cut_off])
            await caller.read_all()
            self.assertTrue(caller.closed)
            self.assertLess(len(caller.got), len(body))

        run(scenario)

    def test_bytes_held_for_a_caller_are_released_when_it_disconnects(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1", memory=NODE)
            configure_long_streams(site)
            caller = await self.open(node, "/stream/x", "q1")
            budget = budget_of(node)
            await until(lambda: as_async(budget.held_bytes > 0))
            caller.leave()
            await until(lambda: as_async(budget.held_bytes == 0))
            self.assertEqual([], self.events("attempt_failed"))

        run(scenario)


async def as_async(condition: bool) -> bool:
    return condition
