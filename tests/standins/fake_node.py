"""In-memory fake of the node API for trainers and callers."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Any

import httpx
import msgspec

from stagewalk.common.identities import SampleSlotKey, TenantName, WeightVersion
from stagewalk.history.answer_text import answer_length, content_key, render_chunk
from stagewalk.node.core.rollouts import sample_seed
from stagewalk_standins.web import (
    EVENT_STREAM,
    Answer,
    Application,
    Request,
    StreamingResponse,
    json_response,
    problem_response,
)


def answer_text(prompt: str, seed: int, max_tokens: int, version: int) -> tuple[str, int]:
    length = answer_length(prompt, seed, max_tokens)
    return render_chunk(content_key(prompt, seed), 0, length, WeightVersion(version)), length


class FakeNode:
    """Delivers a lot's samples two per pull; the cursor is the number delivered."""

    def __init__(self) -> None:
        self.lots: dict[int, dict[str, Any]] = {}
        self.submitted: list[int] = []
        self.completion_bodies: list[dict[str, Any]] = []
        self.break_streams = 0
        self.refusal: Answer | None = None

    def application(self) -> Application:
        application = Application()
        application.route("POST", "/v1/rollouts", self._submit)
        application.route("POST", "/v1/rollouts/pull", self._pull)
        application.route("POST", "/v1/completions", self._complete)
        return application

    async def _submit(self, request: Request) -> Answer:
        lot = request.decode(dict[str, Any])
        self.lots[lot["step"]] = lot
        self.submitted.append(lot["step"])
        return json_response({"step": lot["step"], "slots": 0}, 202)

    async def _pull(self, request: Request) -> Answer:
        pull = request.decode(dict[str, Any])
        lot = self.lots.get(pull["step"])
        if lot is None:
            return problem_response(404, "unknown_lot", "submit it again")
        done = int(pull["cursor"] or 0)
        samples = self._samples(lot)
        batch = samples[done : done + 2]
        end = done + len(batch)
        return json_response(
            {
                "samples": batch,
                "cursor": str(end),
                "complete": end == len(samples),
                "remaining": len(samples) - end,
            }
        )

    def _samples(self, lot: dict[str, Any]) -> list[dict[str, Any]]:
        return [
            self._sample(lot, prompt, index)
            for prompt in lot["prompts"]
            for index in range(lot["samples_per_prompt"])
        ]

    def _sample(self, lot: dict[str, Any], prompt: dict[str, Any], index: int) -> dict[str, Any]:
        tenant = TenantName(lot["tenant"])
        slot = SampleSlotKey(tenant, lot["trainer"], lot["step"], prompt["prompt_id"], index)
        text, length = answer_text(
            prompt["prompt"], sample_seed(slot), prompt["max_tokens"], lot["version"]
        )
        return {
            "prompt_id": prompt["prompt_id"],
            "sample_index": index,
            "sample_id": str(slot),
            "text": text,
            "token_count": length,
            "versions": [{"version": lot["version"], "token_count": length}],
            "score": 0.5,
        }

    async def _complete(self, request: Request) -> Answer:
        body = request.decode(dict[str, Any])
        self.completion_bodies.append(body)
        if self.refusal is not None:
            return self.refusal
        text, length = answer_text(body["prompt"], body["seed"], body["max_tokens"], 1)
        whole = {
            "choices": [{"text": text, "finish_reason": "stop"}],
            "versions": [{"version": 1, "token_count": length}],
        }
        if not body["stream"]:
            return json_response(whole)
        broken = self.break_streams > 0
        self.break_streams -= broken
        return StreamingResponse(_stream(whole, broken), EVENT_STREAM)


async def _stream(whole: dict[str, Any], broken: bool) -> AsyncGenerator[bytes, None]:
    yield b"data: " + msgspec.json.encode({"choices": [{"text": "", "finish_reason": None}]})
    yield b"\n\n"
    if not broken:
        yield b"data: " + msgspec.json.encode(whole) + b"\n\ndata: [DONE]\n\n"


class HostTransport(httpx.AsyncBaseTransport):
    """Routes requests to applications by host name; other hosts refuse connections."""

    def __init__(self, **applications: Application) -> None:
        self._transports = {
            host: httpx.ASGITransport(app=application)  # type: ignore[arg-type]
            for host, application in applications.items()
        }

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        transport = self._transports.get(request.url.host)
        if transport is None:
            raise httpx.ConnectError("refused")
        return await transport.handle_async_request(request)
