"""Outcomes of attempts and control calls at scripted engines."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

import anyio
import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.http.calls import open_client, open_transport
from stagewalk.common.identities import (
    Address,
    AttemptId,
    EngineName,
    Epoch,
    ModelName,
    RequestId,
    TenantName,
    WeightVersion,
)
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.adapters import engine_stream
from stagewalk.node.adapters.engine_stream import MAXIMUM_RECONNECTIONS
from stagewalk.node.adapters.http_engines import HttpEngineClient
from stagewalk.node.core.completions import CompletionRequest, Priority
from stagewalk.node.core.events import AttemptChunk, AttemptFailed, AttemptFinished, AttemptRefused
from stagewalk.node.core.instructions import CancelAttempt, SendEngineOrder, StartAttempt
from stagewalk.node.core.platform import EngineOrder, EngineOrderOutcome, OrderKind
from stagewalk.node.ports.engines import AttemptEvent
from tests.node.running_node import free_address, serving

ATTEMPT = AttemptId("attempt-1")
ENGINE = EngineName("engine-1")
FRAMES = [
    {"id": ATTEMPT, "choices": [{"index": 0, "text": f"w{i};", "finish_reason": None}],
     "frame": {"sequence": i, "offset": 2 * i, "token_count": 2, "version": 3}}
    for i in range(3)
]  # fmt: skip
LAST = {
    "id": ATTEMPT, "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
    "usage": {"prompt_tokens": 1, "completion_tokens": 6},
}  # fmt: skip


def sse(*events: object) -> bytes:
    return b"".join(b"data: " + msgspec.json.encode(event) + b"\n\n" for event in events)


class ScriptedEngine:
    """An ASGI application that answers everything with one response.

    `lost` returns the rest of a lost stream from a token offset; without it, the status is 404.
    """

    def __init__(
        self,
        status: int,
        parts: list[bytes],
        retry_after: str | None = None,
        lost: Callable[[int], list[bytes]] | None = None,
    ) -> None:
        self.status, self.parts, self.retry_after = status, parts, retry_after
        self.lost = lost
        self.bodies: list[Any] = []
        self.paths: list[str] = []

    async def __call__(
        self, scope: Any, receive: Callable[[], Awaitable[Any]], send: Callable[[Any], Any]
    ) -> None:
        if scope["type"] != "http":
            for step in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{step}.complete"})
            return
        self.paths.append(scope["path"])
        body, more = b"", True
        while more:
            message = await receive()
            body, more = body + message["body"], message["more_body"]
        self.bodies.append(msgspec.json.decode(body) if body else None)
        status, parts = self.status, self.parts
        if scope["path"].startswith("/v1/streams/"):
            offset = int(scope["query_string"].removeprefix(b"offset="))
            status, parts = (200, self.lost(offset)) if self.lost else (404, [])
        headers = [(b"retry-after", self.retry_after.encode())] if self.retry_after else []
        await send({"type": "http.response.start", "status": status, "headers": headers})
        for part in parts:
            await send({"type": "http.response.body", "body": part, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


def start(address: Address, deadline_seconds: float = 30.0) -> StartAttempt:
    request = CompletionRequest(
        RequestId("r1"), TenantName("archive"), ModelName("qari"), "read", 8, True,
        steady_seconds() + deadline_seconds, Priority.INTERACTIVE, seed=5,
    )  # fmt: skip
    return StartAttempt(ATTEMPT, ENGINE, address, request, 0, "")


@asynccontextmanager
async def engine_client() -> AsyncIterator[HttpEngineClient]:
    async with open_client(8, 8) as streams, open_transport(8, 8) as control:
        yield HttpEngineClient(streams, control)


async def run_attempt(address: Address) -> list[AttemptEvent]:
    events: list[AttemptEvent] = []

    async def deliver(event: AttemptEvent) -> None:
        events.append(event)

    async with engine_client() as engines:
        await engines.run_attempt(start(address), deliver)
    return events


def attempt_at(engine: ScriptedEngine) -> list[AttemptEvent]:
    async def run() -> list[AttemptEvent]:
        async with serving(engine) as address:
            return await run_attempt(address)

    return anyio.run(run)


class AttemptTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(engine_stream, "RECONNECTION_DELAY_SECONDS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def test_whole_stream(self) -> None:
        engine = ScriptedEngine(200, [sse(*FRAMES), sse(LAST), b"data: [DONE]\n\n"])
        *chunks, final = attempt_at(engine)
        self.assertEqual(AttemptFinished(ATTEMPT, 6, "stop"), final)
        offsets = [e.chunk.offset for e in chunks if isinstance(e, AttemptChunk)]
        self.assertEqual([0, 2, 4], offsets)
        body = engine.bodies[0]
        self.assertEqual(("r1", 5, 0, True), tuple(
            body[key] for key in ("request_id", "seed", "priority", "stream")
        ))  # fmt: skip

    @given(st.integers(min_value=1, max_value=len(sse(*FRAMES, LAST)) - 4))
    def test_stream_cut_anywhere_is_a_failed_attempt_that_was_sent(self, cut: int) -> None:
        final = attempt_at(ScriptedEngine(200, [sse(*FRAMES, LAST)[:cut]]))[-1]
        assert isinstance(final, AttemptFailed)
        self.assertTrue(final.sent)

    @given(st.integers(min_value=0, max_value=len(sse(*FRAMES, LAST)) - 4))
    def test_lost_stream_goes_on_where_it_broke(self, cut: int) -> None:
        def rest(offset: int) -> list[bytes]:
            frames = [frame for frame in FRAMES if frame["frame"]["offset"] >= offset]  # type: ignore[index,call-overload]
            return [sse(*frames, LAST)]

        engine = ScriptedEngine(200, [sse(*FRAMES, LAST)[:cut]], lost=rest)
        *chunks, final = attempt_at(engine)
        self.assertEqual(AttemptFinished(ATTEMPT, 6, "stop"), final)
        received = [event.chunk for event in chunks if isinstance(event, AttemptChunk)]
        self.assertEqual([(0, 0), (1, 2), (2, 4)], [(c.sequence, c.offset) for c in received])
        self.assertEqual(1, engine.paths.count("/v1/completions"))

    def test_reconnections_of_a_lost_stream_are_limited(self) -> None:
        engine = ScriptedEngine(200, [sse(FRAMES[0])], lost=lambda offset: [])
        final = attempt_at(engine)[-1]
        self.assertIsInstance(final, AttemptFailed)
        self.assertEqual(1 + MAXIMUM_RECONNECTIONS, len(engine.paths))

    def test_done_without_final_frame_is_a_failed_attempt(self) -> None:
        final = attempt_at(ScriptedEngine(200, [sse(*FRAMES), b"data: [DONE]\n\n"]))[-1]
        assert isinstance(final, AttemptFailed)
        self.assertTrue(final.sent)

    def test_frame_of_another_attempt_is_a_failed_attempt(self) -> None:
        events = attempt_at(ScriptedEngine(200, [sse(FRAMES[0], FRAMES[1] | {"id": "other"})]))
        self.assertEqual([AttemptChunk, AttemptFailed], [type(event) for event in events])

    def test_refusals(self) -> None:
        not_run = b'{"detail": "draining", "ran": "no"}'
        unknown = b'{"detail": "known attempt", "ran": "unknown"}'
        refused = attempt_at(ScriptedEngine(503, [not_run], "1.5"))
        self.assertEqual([AttemptRefused(ATTEMPT, "status 503: draining", 1.5)], refused)
        for status, body in ((409, unknown), (409, not_run), (503, b"gateway"), (500, unknown)):
            (event,) = attempt_at(ScriptedEngine(status, [body]))
            assert isinstance(event, AttemptFailed)
            self.assertTrue(event.sent, status)

    def test_attempt_at_an_unreachable_engine_is_not_sent(self) -> None:
        (event,) = anyio.run(run_attempt, free_address())
        assert isinstance(event, AttemptFailed)
        self.assertFalse(event.sent)


class ControlTest(testtools.TestCase):
    def test_orders(self) -> None:
        cases = [
            (200, b'{"outcome": "accepted"}', EngineOrderOutcome.ACCEPTED),
            (409, b'{"outcome": "stale_epoch", "epoch": 9}', EngineOrderOutcome.STALE_EPOCH),
            (422, b'{"outcome": "refused", "detail": "no"}', EngineOrderOutcome.REFUSED),
            (500, b"oops", EngineOrderOutcome.UNKNOWN),
        ]
        order = EngineOrder("o1", Epoch(4), OrderKind.STAGE, ModelName("qari"), WeightVersion(7))

        async def run(engine: ScriptedEngine) -> EngineOrderOutcome:
            async with serving(engine) as address, engine_client() as engines:
                return (await engines.order(SendEngineOrder(ENGINE, address, order))).outcome

        for status, body, outcome in cases:
            engine = ScriptedEngine(status, [body])
            self.assertEqual(outcome, anyio.run(run, engine))
            self.assertEqual(
                {"order_id": "o1", "epoch": 4, "kind": "stage", "model": "qari", "version": 7},
                engine.bodies[0],
            )

    def test_report_and_cancel(self) -> None:
        report = {
            "engine": "engine-1", "incarnation": 1, "model": "qari", "state": "serving",
            "active_version": 3, "staged_versions": [4], "epoch": 2, "running": 1, "waiting": 0,
            "pending_tokens": 5, "tokens_per_second": 9.5, "batch_limit": 8,
            "kv_used_tokens": 1, "kv_capacity_tokens": 100, "generated_at": 1.5, "known": True,
        }  # fmt: skip
        engine = ScriptedEngine(200, [msgspec.json.encode(report)])

        async def run() -> None:
            async with serving(engine) as address, engine_client() as engines:
                answer = await engines.report(ENGINE, address)
                self.assertEqual((WeightVersion(4),), answer.ok.staged_versions)
                await engines.cancel(CancelAttempt(ATTEMPT, ENGINE, address))
                nobody = await engines.report(ENGINE, free_address())
                self.assertEqual((True, "engine-1"), (nobody.is_error(), nobody.error.peer))

        anyio.run(run)
        self.assertEqual(["/control/report", "/control/cancel"], engine.paths)
        self.assertEqual({"attempt": ATTEMPT}, engine.bodies[-1])
