"""Tests of the engine HTTP protocol and the recorded observations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import httpx
import msgspec
import testtools

from stagewalk.common.identities import EngineName, Incarnation
from stagewalk.history.answer_text import answer_length, wholeness_fault
from stagewalk.history.observations import (
    AnyObservation,
    EngineLeaving,
    OrderObeyed,
    WorkEnded,
    WorkReceived,
    read_history,
)
from stagewalk_standins.engine_history import EngineHistory
from stagewalk_standins.engine_server import EngineServer
from stagewalk_standins.history_file import HistoryFile, clock
from stagewalk_standins.weight_fetcher import WeightFetcher
from tests.standins.engines import engine
from tests.standins.temporary import temporary_directory

BODY = {"model": "m", "prompt": "north wall", "max_tokens": 60, "seed": 1}
LENGTH = answer_length("north wall", 1, 60)
FAST = {"step_base_seconds": 0.001, "chunk_seconds": 0.01, "activation_seconds": 0.01}


def run_engine(
    history: Path,
    steps: Callable[[httpx.AsyncClient, EngineServer], Awaitable[None]],
    **settings: Any,
) -> list[AnyObservation]:
    async def run() -> None:
        observer = EngineHistory(HistoryFile(history), EngineName("e"), Incarnation(1))
        model = engine(clock(), **{**FAST, **settings})
        server = EngineServer(model, observer, WeightFetcher(""))
        transport = httpx.ASGITransport(app=server.application())  # type: ignore[arg-type]
        async with (
            httpx.AsyncClient(transport=transport, base_url="http://e", timeout=30) as client,
            anyio.create_task_group() as group,
        ):
            group.start_soon(server.run)
            await steps(client, server)
            group.cancel_scope.cancel()

    anyio.run(run)
    return read_history([history])


async def complete(client: httpx.AsyncClient, attempt: str, **fields: Any) -> httpx.Response:
    headers = {"X-Request-Id": attempt}
    return await client.post("/v1/completions", json={**BODY, **fields}, headers=headers)


def events(answer: httpx.Response) -> list[dict[str, Any]]:
    lines = [line[6:] for line in answer.text.splitlines() if line.startswith("data: ")]
    if not lines or lines.pop() != "[DONE]":
        raise AssertionError("the stream is truncated")
    return [msgspec.json.decode(line) for line in lines]


def text_of(answer: httpx.Response) -> str:
    return "".join(event["choices"][0]["text"] for event in events(answer))


class EngineServerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.history = temporary_directory(self) / "engine.history"

    def test_stream_is_whole_framed_and_counted(self) -> None:
        async def steps(client: httpx.AsyncClient, server: EngineServer) -> None:
            answer = await complete(client, "a", tenant="t", request_id="r")
            self.assertIsNone(wholeness_fault(text_of(answer), "north wall", 1, LENGTH))
            *frames, last = events(answer)
            self.assertEqual(
                list(range(len(frames))), [event["frame"]["sequence"] for event in frames]
            )
            self.assertEqual(LENGTH, last["usage"]["completion_tokens"])
            self.assertIn(last["choices"][0]["finish_reason"], ("stop", "length"))
            duplicate = await complete(client, "a")
            self.assertEqual((409, "unknown"), (duplicate.status_code, duplicate.json()["ran"]))

        history = run_engine(self.history, steps)
        received = [each for each in history if isinstance(each, WorkReceived)]
        ended = [each for each in history if isinstance(each, WorkEnded)]
        self.assertEqual(
            [("r", "t", False)], [(w.request_id, w.tenant, w.resumed) for w in received]
        )
        self.assertEqual([("finished", LENGTH)], [(w.outcome, w.token_count) for w in ended])

    def test_known_stream_is_sent_again_from_any_token(self) -> None:
        async def steps(client: httpx.AsyncClient, server: EngineServer) -> None:
            whole = text_of(await complete(client, "a"))
            again = await client.get("/v1/streams/a", params={"offset": 3})
            first = events(again)[0]["frame"]
            self.assertEqual(3, first["offset"])
            rest = text_of(again)
            self.assertTrue(whole.endswith(rest.partition(";")[2]))
            self.assertEqual(404, (await client.get("/v1/streams/b")).status_code)

        run_engine(self.history, steps)

    def test_cancelled_stream_is_truncated(self) -> None:
        async def steps(client: httpx.AsyncClient, server: EngineServer) -> None:
            answers: list[httpx.Response] = []

            async def ask() -> None:
                answers.append(await complete(client, "a", max_tokens=4000))

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(0.05)
                known = await client.post("/control/cancel", json={"attempt": "a"})
            self.assertEqual({"known": True}, known.json())
            self.assertEqual(404, (await client.get("/v1/streams/a")).status_code)
            self.assertNotIn("[DONE]", answers[0].text)

        history = run_engine(self.history, steps, step_base_seconds=0.5)
        outcomes = [each.outcome for each in history if isinstance(each, WorkEnded)]
        self.assertEqual(["cancelled"], outcomes)

    def test_orders_are_fenced_and_read_back(self) -> None:
        async def steps(client: httpx.AsyncClient, server: EngineServer) -> None:
            async def send(kind: str, epoch: int, version: int = 2) -> httpx.Response:
                body = {"order_id": f"{kind}{epoch}", "epoch": epoch, "kind": kind}
                return await client.post(
                    "/control/orders", json={**body, "model": "m", "version": version}
                )

            self.assertEqual(200, (await send("stage", 3)).status_code)
            while (await client.get("/control/report")).json()["staged_versions"] != [2]:
                await anyio.sleep(0.01)
            self.assertEqual(200, (await send("activate", 4)).status_code)
            stale = await send("drain", 3)
            self.assertEqual((409, 4), (stale.status_code, stale.json()["epoch"]))
            self.assertEqual(422, (await send("activate", 5, version=9)).status_code)
            while (await client.get("/control/report")).json()["active_version"] != 2:
                await anyio.sleep(0.01)

        history = run_engine(self.history, steps, report_lag_seconds=0.02)
        obeyed = [(each.kind, each.epoch) for each in history if isinstance(each, OrderObeyed)]
        self.assertEqual([("stage", 3), ("activate", 4)], obeyed)

    def test_leaving_engine_refuses_and_finishes(self) -> None:
        async def steps(client: httpx.AsyncClient, server: EngineServer) -> None:
            answers: list[httpx.Response] = []

            async def ask() -> None:
                answers.append(await complete(client, "running"))

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(0.05)
                group.start_soon(server.leave)
                await anyio.sleep(0.05)
                late = await complete(client, "late")
                self.assertEqual((503, "no"), (late.status_code, late.json()["ran"]))
                self.assertIn("retry-after", late.headers)
            self.assertIsNone(wholeness_fault(text_of(answers[0]), "north wall", 1, LENGTH))

        history = run_engine(self.history, steps, step_base_seconds=0.01)
        self.assertEqual(1, sum(isinstance(each, EngineLeaving) for each in history))
        self.assertEqual(1, sum(isinstance(each, WorkReceived) for each in history))
