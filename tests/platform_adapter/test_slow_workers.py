"""Attempts fail in time, and as "may have run", if a worker stops reading or answers too much."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from unittest import mock

import anyio
import testtools
from expression import Result

from stagewalk.common.identities import Address
from stagewalk.gateway.held_memory.budget import MemoryBudget
from stagewalk.gateway.ports.send_permits import WorkerTarget
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, StreamPart
from stagewalk_platform.bodies import (
    CHUNK_BYTES,
    WRITE_STALL_FRACTION,
    WRITE_STALL_TIMEOUT_SECONDS,
    write_stall_timeout,
)
from stagewalk_platform.workers import PlatformWorkers
from tests.gateway.eligibility.support import granted
from tests.platform_adapter.scripted_server import Scripted, ScriptedServer, chunked, play, respond
from tests.platform_adapter.test_workers import SIGNED, request, target

SMALL_WINDOW = 4_096
LARGE = bytes(range(256)) * 65_536
"""More than the kernel's socket buffers hold for a loopback connection."""


class SlowWorker:
    """A worker that reads a request body with pauses between the reads, or not at all."""

    def __init__(self, pause_seconds: float, reads_body: bool) -> None:
        self._pause_seconds = pause_seconds
        self._reads_body = reads_body
        self.received = bytearray()
        self.closed = False

    async def serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        head, rest = await self._read_head(connection)
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        self.received += rest
        while self._reads_body and len(self.received) < length:
            await asyncio.sleep(self._pause_seconds)
            self.received += await loop.sock_recv(connection, 1 << 20)
        if self._reads_body:
            await loop.sock_sendall(connection, respond("200 OK", b"ok", **SIGNED))
        else:
            await asyncio.sleep(30.0)

    async def _read_head(self, connection: socket.socket) -> tuple[bytes, bytes]:
        got = b""
        while b"\r\n\r\n" not in got:
            got += await asyncio.get_running_loop().sock_recv(connection, 1_024)
        head, _, rest = got.partition(b"\r\n\r\n")
        return head + b"\r\n", rest


def with_worker(worker: SlowWorker, scenario: Callable[[WorkerTarget], Awaitable[None]]) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        listener.setblocking(False)
        host, port = listener.getsockname()

        async def accept() -> None:
            connection, _ = await loop.sock_accept(listener)
            with connection:
                await worker.serve(connection)

        with listener:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(accept)
                await scenario(WorkerTarget("i-1", Address(host, port)))
                tasks.cancel_scope.cancel()

    anyio.run(main)


Call = Callable[..., Awaitable[Result[object, AttemptFailure]]]


async def ignore(_part: StreamPart) -> None:
    pass


class UnreadBodyTests(testtools.TestCase):
    def test_a_worker_that_does_not_read_a_body_is_abandoned_in_time(self) -> None:
        client = PlatformWorkers()
        for call in (client.send, partial(client.stream, deliver=ignore)):
            started = time.perf_counter()
            with_worker(SlowWorker(0.0, reads_body=False), partial(self.check_attempt, call))
            self.assertLess(time.perf_counter() - started, 10.0 / 2)

    async def check_attempt(self, call: Call, worker: WorkerTarget) -> None:
        result = await call(granted(worker), request(body=LARGE, deadline_seconds=10.0))
        self.assertIs(AttemptFault.MAY_HAVE_RUN, result.error.fault)
        self.assertIsNone(result.error.contact_loss)
        self.assertIn("read", result.error.detail)

    def test_a_worker_that_reads_slowly_is_not_abandoned(self) -> None:
        answers = []

        async def scenario(worker: WorkerTarget) -> None:
            body = LARGE[: 40 * CHUNK_BYTES]
            answers.append(
                await PlatformWorkers().send(
                    granted(worker), request(body=body, deadline_seconds=20.0)
                )
            )

        worker = SlowWorker(0.01, reads_body=True)
        with mock.patch("stagewalk_platform.bodies.WRITE_STALL_TIMEOUT_SECONDS", 0.5):
            started = time.perf_counter()
            with_worker(worker, scenario)
            self.assertGreater(time.perf_counter() - started, 0.5)
        self.assertEqual(b"ok", answers[0].ok.body)
        self.assertEqual(LARGE[: 40 * CHUNK_BYTES], bytes(worker.received))

    def test_a_short_deadline_leaves_time_for_another_worker(self) -> None:
        self.assertEqual(WRITE_STALL_TIMEOUT_SECONDS, write_stall_timeout(None))
        self.assertEqual(WRITE_STALL_TIMEOUT_SECONDS, write_stall_timeout(60.0))
        self.assertEqual(0.8 * WRITE_STALL_FRACTION, write_stall_timeout(0.8))


class LargeAnswerTests(testtools.TestCase):
    def answer(self, content: bytes, budget: MemoryBudget, **kinds: bool):
        outcome = []

        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers(budget)
            outcome.append(await client.send(granted(target(server)), request()))
            outcome.append(await client.stream(granted(target(server)), request(), ignore))

        play([Scripted(content, **kinds), Scripted(content, **kinds)], scenario)
        return outcome

    def test_a_response_with_a_content_length_over_the_budget_is_not_read(self) -> None:
        budget = MemoryBudget(100)
        head = respond("500 Error", b"x" * 101, **SIGNED)[:-101]
        for result in self.answer(head, budget):
            self.assertIs(AttemptFault.MAY_HAVE_RUN, result.error.fault)
            self.assertTrue(result.error.local_limit)
            self.assertIsNone(result.error.contact_loss)
        self.assertEqual((0, 0), (budget.held_bytes, budget.peak_bytes))

    def test_a_response_without_a_length_is_counted_as_it_arrives(self) -> None:
        budget = MemoryBudget(100)
        content = chunked([b"y" * 60, b"y" * 60], **SIGNED)
        result, _ = self.answer(content, budget)
        self.assertTrue(result.error.local_limit)
        self.assertEqual(0, budget.held_bytes)
        self.assertLessEqual(budget.peak_bytes, 100)

    def test_a_response_within_the_budget_is_read_and_its_bytes_released(self) -> None:
        for content in (
            respond("500 Error", b"x" * 100, **SIGNED),
            respond("500 Error", b"x" * 100, framed=False, **SIGNED),
        ):
            budget = MemoryBudget(100)
            result, streamed = self.answer(content, budget, close=True)
            self.assertEqual(b"x" * 100, result.ok.body)
            self.assertEqual((500, b"x" * 100), (streamed.ok.status, streamed.ok.body))
            self.assertEqual((0, 100), (budget.held_bytes, budget.peak_bytes))
