"""Opened connections are counted by purpose and by why no pooled one was reused."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose, StreamPart
from stagewalk_platform.bodies import MAXIMUM_REFUSAL_BYTES
from stagewalk_platform.connection_counts import (
    MAXIMUM_TRACKED_WORKERS,
    ConnectionCounts,
    ConnectionEnd,
)
from stagewalk_platform.workers import PlatformWorkers
from tests.gateway.eligibility.support import granted
from tests.platform_adapter.scripted_server import Scripted, ScriptedServer, chunked, play, respond
from tests.platform_adapter.test_workers import EVENTS, ORDER, SIGNED, request, target

GOOD = Scripted(respond("200 OK", b"ok", **SIGNED))
REFUSED = Scripted(respond("503 Busy", b"busy", **SIGNED, x_not_executed="1"))
LONG_REFUSAL = Scripted(
    respond("503 Busy", bytes(MAXIMUM_REFUSAL_BYTES + 1), **SIGNED, x_not_executed="1")
)
CLOSING = Scripted(respond("200 OK", b"ok", **SIGNED, connection="close"), close=True)
CUT_SHORT = Scripted(respond("200 OK", b"whole", **SIGNED)[:-2], close=True)


class OpenedConnectionTests(testtools.TestCase):
    def count(self, *answers: Scripted, **changes: object) -> dict[str, int]:
        """Send one request for each answer in sequence; return the counts by reason."""
        counts = ConnectionCounts()

        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers(counts=counts)
            for _ in answers:
                await client.send(granted(target(server)), request(**changes))
            opened.append(server.connections)

        opened: list[int] = []
        play(list(answers), scenario)
        self.assertEqual(opened, [counts.opened().total()])
        return {reason.value: n for (_, reason), n in counts.opened().items()}

    def test_a_pooled_connection_is_opened_once(self) -> None:
        self.assertEqual({"first": 1}, self.count(GOOD, GOOD, GOOD))

    def test_the_reason_why_no_connection_could_be_reused(self) -> None:
        for answer, reason in (
            (LONG_REFUSAL, "refused"),
            (CLOSING, "worker_closes"),
            (CUT_SHORT, "lost"),
            (Scripted(GOOD.content, close=True), "idle_closed"),
        ):
            self.assertEqual({"first": 1, reason: 1}, self.count(answer, GOOD), reason)

    def test_a_short_refusal_is_read_and_its_connection_reused(self) -> None:
        self.assertEqual({"first": 1}, self.count(REFUSED, GOOD))

    def test_a_truncated_or_delayed_refusal_is_still_a_refusal(self) -> None:
        cut = Scripted(REFUSED.content[:-2], close=True)
        late = Scripted(REFUSED.content[:-2])
        for answer in (cut, late):
            self.assertEqual({"first": 1, "refused": 1}, self.count(answer, GOOD))

    def test_requests_that_must_not_be_repeated_are_not_pooled(self) -> None:
        self.assertEqual({"not_kept": 2}, self.count(GOOD, GOOD, repeatable=False))

    def test_concurrent_requests_open_separate_connections(self) -> None:
        counts = ConnectionCounts()

        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers(counts=counts)
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(client.send, granted(target(server)), request())

        slow = Scripted(GOOD.content, after_seconds=0.2)
        play([slow, slow], scenario)
        self.assertEqual(
            {ConnectionReason.FIRST: 1, ConnectionReason.ALL_BUSY: 1},
            {reason: n for (_, reason), n in counts.opened().items()},
        )

    def test_after_a_cancelled_stream_the_next_request_opens_a_connection(self) -> None:
        counts = ConnectionCounts()

        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers(counts=counts)
            item = request(purpose=SendPurpose.ITEM)

            async def leave(_part: StreamPart) -> None:
                scope.cancel()
                await anyio.sleep(1.0)

            with anyio.CancelScope() as scope:
                await client.stream(granted(target(server)), item, leave)
            await client.request_version_change(target(server), ORDER)

        play([Scripted(chunked(EVENTS, **SIGNED)), Scripted(respond("202 Accepted"))], scenario)
        self.assertEqual(
            {
                (SendPurpose.ITEM, ConnectionReason.FIRST): 1,
                (SendPurpose.ORDER, ConnectionReason.CUT): 1,
            },
            counts.opened(),
        )


class TrackedWorkerTests(testtools.TestCase):
    def test_least_recently_used_workers_are_dropped(self) -> None:
        counts = ConnectionCounts()
        for number in range(MAXIMUM_TRACKED_WORKERS + 1):
            counts.count_opened(f"i-{number}", SendPurpose.ITEM)
            counts.record_end(f"i-{number}", ConnectionEnd.LOST)
        counts.count_opened("i-0", SendPurpose.ITEM)
        counts.count_opened(f"i-{MAXIMUM_TRACKED_WORKERS}", SendPurpose.ITEM)
        self.assertEqual(
            {
                (SendPurpose.ITEM, ConnectionReason.FIRST): MAXIMUM_TRACKED_WORKERS + 2,
                (SendPurpose.ITEM, ConnectionReason.LOST): 1,
            },
            counts.opened(),
        )
