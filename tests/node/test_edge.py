"""The HTTP edge: answers, errors that name the field, and limits on bodies, calls and buffers."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.common.settings.fields import Limits
from stagewalk.node.core.events import (
    CallAbandoned,
    CompletionRequested,
    LotSubmitted,
    SamplesRequested,
)
from tests.node.running_node import RunningNode, eventually, on_node

ASK = {"model": "qari", "tenant": "archive", "prompt": "echo a b"}
LOT = {
    "tenant": "archive", "trainer": "t1", "step": 4, "model": "qari", "version": 2,
    "prompts": [{"prompt_id": "p1", "prompt": "read", "max_tokens": 5}], "samples_per_prompt": 3,
}  # fmt: skip
PULL = {"tenant": "archive", "trainer": "t1", "step": 4, "version": 2, "cursor": "abc"}


class CompletionsTest(testtools.TestCase):
    @on_node()
    async def test_whole_answer_names_versions_and_usage(self, node: RunningNode) -> None:
        answer = (await node.post("/v1/completions", ASK | {"request_id": "r1"})).json()
        self.assertEqual("r1", answer["id"])
        self.assertEqual("echoab", answer["choices"][0]["text"])
        self.assertEqual([{"version": 3, "token_count": 3}], answer["versions"])
        self.assertEqual(3, answer["usage"]["completion_tokens"])

    @on_node()
    async def test_tenant_and_request_id_come_from_headers_too(self, node: RunningNode) -> None:
        ask = {"model": "qari", "prompt": "echo"}
        headers = {"X-Tenant": "archive", "X-Request-Id": "r9"}
        answer = await node.post("/v1/completions", ask, **headers)
        self.assertEqual("r9", answer.json()["id"])
        (event,) = [e for e in node.core.seen if isinstance(e, CompletionRequested)]
        self.assertEqual("archive", event.request.tenant)

    @on_node()
    async def test_error_before_the_first_chunk_is_a_problem_with_ran(
        self, node: RunningNode
    ) -> None:
        for stream in (False, True):
            ask = ASK | {"prompt": "fail", "stream": stream}
            answer = await node.post("/v1/completions", ask)
            self.assertEqual(503, answer.status_code)
            self.assertEqual("2", answer.headers["Retry-After"])
            problem = answer.json()
            self.assertEqual(
                ("overloaded", "no", "routing", "engine-1"),
                tuple(problem[key] for key in ("title", "ran", "step", "peer")),
            )

    @on_node()
    async def test_error_for_a_resent_request_never_says_not_run(self, node: RunningNode) -> None:
        fail = ASK | {"prompt": "fail"}
        answers = [
            await node.post("/v1/completions", fail | {"resent": True}),
            await node.post("/v1/completions", fail | {"stream": True}, **{"X-Retry-Count": "1"}),
            await node.post("/v1/completions", fail, **{"X-Stainless-Retry-Count": "2"}),
            await node.client.post("/v1/completions", content=b"{", headers={"X-Retry-Count": "1"}),
        ]
        self.assertEqual(["unknown"] * 4, [answer.json()["ran"] for answer in answers])
        first = await node.post("/v1/completions", fail, **{"X-Stainless-Retry-Count": "0"})
        self.assertEqual("no", first.json()["ran"])

    @on_node()
    async def test_error_after_a_chunk_ends_the_stream_without_done(
        self, node: RunningNode
    ) -> None:
        answer = await node.post("/v1/completions", ASK | {"prompt": "fail late", "stream": True})
        self.assertIn('"ran":"unknown"', answer.text)
        self.assertNotIn("[DONE]", answer.text)

    @on_node(Limits(prompt_characters=100))
    async def test_errors_name_the_field(self, node: RunningNode) -> None:
        cases = {
            "tenant": {"model": "qari", "prompt": "x"},
            "max_tokens": ASK | {"max_tokens": 0},
            "temperature": ASK | {"temperature": 1},
            "deadline_seconds": ASK | {"deadline_seconds": -1},
            "request_id": ASK | {"request_id": "a b"},
            "prompt": ASK | {"prompt": "x" * 101},
        }

        for field, ask in cases.items():
            answer = await node.post("/v1/completions", ask)
            self.assertEqual((400, field), (answer.status_code, answer.json().get("field")))
            self.assertEqual("no", answer.json()["ran"])
        self.assertEqual([], node.core.seen)

    @on_node()
    async def test_malformed_bodies_get_clear_errors(self, node: RunningNode) -> None:
        for content in (b"", b"{", b"[]", b"null", b"\xff\xfe", b'{"model": "\\ud800"}'):
            answer = await node.client.post("/v1/completions", content=content)
            self.assertEqual(400, answer.status_code, content)
            self.assertEqual("invalid_request", answer.json()["title"])
        deep = b"[" * 100_000
        answer = await node.client.post("/v1/completions", content=deep)
        self.assertEqual(400, answer.status_code)

    @on_node()
    async def test_unknown_paths_and_methods(self, node: RunningNode) -> None:
        self.assertEqual(404, (await node.client.get("/nowhere")).status_code)
        self.assertEqual(405, (await node.client.get("/v1/completions")).status_code)

    @on_node()
    async def test_retained_answer(self, node: RunningNode) -> None:
        answer = await node.client.get("/v1/requests/r7?tenant=archive")
        self.assertEqual("answer of r7", answer.json()["choices"][0]["text"])
        missing = await node.client.get("/v1/requests/r7")
        self.assertEqual("tenant", missing.json()["field"])


class BadCallersTest(testtools.TestCase):
    @on_node(Limits(body_bytes=10_000))
    async def test_large_body_is_refused_with_or_without_content_length(
        self, node: RunningNode
    ) -> None:
        async def endless() -> object:
            for _ in range(200):
                yield b"x" * 1000

        announced = await node.client.post("/v1/completions", content=b"x" * 20_000)
        chunked = await node.client.post("/v1/completions", content=endless())
        for answer in (announced, chunked):
            self.assertEqual((413, "body"), (answer.status_code, answer.json()["field"]))

    @on_node(Limits(body_bytes=8_000, buffered_body_bytes=10_000))
    async def test_bodies_arriving_at_once_share_a_budget(self, node: RunningNode) -> None:
        listen = node.settings.listen
        async with await anyio.connect_tcp(listen.host, listen.port) as stream:
            await stream.send(b"POST /v1/completions HTTP/1.1\r\nHost: n\r\n")
            await stream.send(b"Content-Length: 8000\r\n\r\n" + b"x" * 7000)
            ask = ASK | {"prompt": "echo " + "x" * 4000}
            await eventually(lambda: self._refused(node, ask))
        await eventually(lambda: self._answered(node, ask))

    @on_node(Limits(body_seconds=1))
    async def test_slow_body_times_out(self, node: RunningNode) -> None:
        listen = node.settings.listen
        async with await anyio.connect_tcp(listen.host, listen.port) as stream:
            await stream.send(b"POST /v1/completions HTTP/1.1\r\nHost: n\r\n")
            await stream.send(b"Content-Length: 10\r\n\r\n{")
            with anyio.fail_after(10):
                self.assertIn(b" 408 ", await stream.receive())

    @on_node(Limits(open_calls=1))
    async def test_too_many_open_calls_are_refused_as_not_run(self, node: RunningNode) -> None:
        async with anyio.create_task_group() as tasks:
            hang = ASK | {"prompt": "hang"}
            tasks.start_soon(node.post, "/v1/completions", hang)
            await eventually(lambda: self._open(node, 1))
            answer = await node.post("/v1/completions", ASK)
            self.assertEqual(503, answer.status_code)
            self.assertEqual("no", answer.json()["ran"])
            self.assertIn("Retry-After", answer.headers)
            once = ASK | {"repeatable": False}
            made_up = await node.post("/v1/completions", once)
            given = await node.post("/v1/completions", once | {"request_id": "r1"})
            self.assertEqual(["no", "unknown"], [a.json()["ran"] for a in (made_up, given)])
            tasks.cancel_scope.cancel()

    @on_node()
    async def test_disconnect_abandons_the_call(self, node: RunningNode) -> None:
        with anyio.move_on_after(0.3):
            await node.post("/v1/completions", ASK | {"prompt": "hang"})
        await eventually(lambda: self._open(node, 0))
        asked, abandoned = node.core.seen
        assert isinstance(asked, CompletionRequested)
        self.assertEqual(CallAbandoned(asked.call), abandoned)

    @on_node(Limits(buffered_characters=1_000_000))
    async def test_call_of_a_slow_reader_is_closed_and_abandoned(self, node: RunningNode) -> None:
        flood = ASK | {"prompt": "flood", "stream": True}
        async with node.client.stream("POST", "/v1/completions", json=flood) as answer:
            self.assertEqual(200, answer.status_code)
            await eventually(lambda: self._cut(node))
        self.assertIsInstance(node.core.seen[-1], CallAbandoned)

    @on_node(Limits(buffered_characters=3))
    async def test_answer_larger_than_the_buffer_is_an_error(self, node: RunningNode) -> None:
        answer = await node.post("/v1/completions", ASK | {"stream": True})
        self.assertEqual((502, "unknown"), (answer.status_code, answer.json()["ran"]))

    async def _refused(self, node: RunningNode, ask: object) -> bool:
        answer = await node.post("/v1/completions", ask)
        return answer.status_code == 503 and answer.json()["ran"] == "no"

    async def _answered(self, node: RunningNode, ask: object) -> bool:
        return (await node.post("/v1/completions", ask)).is_success

    async def _open(self, node: RunningNode, count: int) -> bool:
        return len(node.core.open) == count

    async def _cut(self, node: RunningNode) -> bool:
        return "stagewalk_slow_readers_total 1.0" in await node.metrics()


class TrainersTest(testtools.TestCase):
    @on_node()
    async def test_lot_is_accepted_and_counted(self, node: RunningNode) -> None:
        answer = await node.post("/v1/rollouts", LOT)
        self.assertEqual((202, {"step": 4, "slots": 3}), (answer.status_code, answer.json()))
        (event,) = node.core.seen
        assert isinstance(event, LotSubmitted)
        self.assertEqual((3, 2), (event.lot.samples_per_prompt, event.lot.trainer_version))

    @on_node()
    async def test_duplicate_prompt_id_is_named(self, node: RunningNode) -> None:
        lot = LOT | {"prompts": [*LOT["prompts"], *LOT["prompts"]]}  # type: ignore[misc]
        answer = await node.post("/v1/rollouts", lot)
        self.assertEqual("prompts[1].prompt_id", answer.json()["field"])

    @on_node()
    async def test_pull_carries_the_cursor_both_ways(self, node: RunningNode) -> None:
        answer = (await node.post("/v1/rollouts/pull", PULL)).json()
        self.assertEqual(("abc1", True), (answer["cursor"], answer["complete"]))
        self.assertEqual([{"version": 3, "token_count": 2}], answer["samples"][0]["versions"])
        (event,) = node.core.seen
        assert isinstance(event, SamplesRequested)
        self.assertEqual(2, event.pull.trainer_version)

    @on_node()
    async def test_unknown_lot_is_404(self, node: RunningNode) -> None:
        answer = await node.post("/v1/rollouts/pull", PULL | {"trainer": "unknown"})
        self.assertEqual((404, "unknown_lot"), (answer.status_code, answer.json()["title"]))


class OperatorsTest(testtools.TestCase):
    @on_node()
    async def test_status_models_and_metrics(self, node: RunningNode) -> None:
        await node.post("/v1/completions", ASK)
        status = (await node.client.get("/control/status")).json()
        self.assertEqual(("n1", {"archive": 2}), (status["name"], status["revisions"]))
        models = (await node.client.get("/v1/models")).json()["data"]
        self.assertEqual(["advice", "qari"], [model["id"] for model in models])
        metrics = await node.metrics()
        for line in (
            'stagewalk_calls_total{endpoint="completions",outcome="ok"} 1.0',
            'stagewalk_request_latency_seconds_count{endpoint="completions"} 1.0',
            'stagewalk_members{state="suspect"} 1.0',
            "stagewalk_ready 1.0",
            'stagewalk_tenant_revision{tenant="archive"} 2.0',
        ):
            self.assertIn(line, metrics)

    @on_node()
    async def test_planned_stop_refuses_new_calls_and_finishes_open_ones(
        self, node: RunningNode
    ) -> None:
        self.assertEqual(200, (await node.client.get("/readyz")).status_code)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.post, "/v1/completions", ASK | {"prompt": "hang"})
            await eventually(lambda: self._open(node, 1))
            await node.daemon.request_stop()
            self.assertEqual(503, (await node.client.get("/readyz")).status_code)
            refused = await node.post("/v1/completions", ASK)
            self.assertEqual("stopping", refused.json()["title"])
            self.assertEqual("no", refused.json()["ran"])
            self.assertIn("Retry-After", refused.headers)
            tasks.cancel_scope.cancel()

    async def _open(self, node: RunningNode, count: int) -> bool:
        return len(node.core.open) == count
