"""The trainers' endpoints: submitting a step's lot and pulling its samples.

Owns the format of the rollout API. Relies on the call runner for the core's answers and on
`schemas` for validation.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import StagewalkError
from stagewalk.common.http.exchange import JSON_CONTENT_TYPE, Exchange
from stagewalk.common.identities import ModelName, TenantName, WeightVersion
from stagewalk.common.settings.fields import Limits
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.core.events import LotSubmitted, SamplesRequested
from stagewalk.node.core.instructions import AcceptLot, DeliverSamples, FailCall
from stagewalk.node.core.rollouts import RolloutLot, RolloutPrompt, Sample, SamplePage, SamplePull
from stagewalk.node.edge.call_runner import (
    OUTCOME_OK,
    CallRunner,
    deadline_exceeded_error,
    receive_final_answer,
)
from stagewalk.node.edge.completions import estimate_tokens
from stagewalk.node.edge.schemas import (
    LotAnswer,
    LotBody,
    PullAnswer,
    PullBody,
    SampleAnswer,
    decode_body,
    invalid,
)
from stagewalk.node.open_calls import FinalAnswer, OpenCall

LOTS_ENDPOINT = "rollouts"
PULLS_ENDPOINT = "rollouts_pull"
LOT_ANSWER_TIMEOUT_SECONDS = 10.0
"""Longest wait for the core's answer to a submitted lot."""


class RolloutEndpoints:
    """`POST /v1/rollouts` and `POST /v1/rollouts/pull`."""

    def __init__(
        self, calls: CallRunner, limits: Limits, clock: Callable[[], float] = steady_seconds
    ) -> None:
        self._calls = calls
        self._limits = limits
        self._clock = clock

    async def submit(self, exchange: Exchange) -> None:
        """Answer `POST /v1/rollouts`."""
        content = await exchange.body()
        body = content.bind(lambda text: decode_body(text, LotBody)).bind(self._check_prompts)
        if body.is_error():
            await exchange.fail(body.error)
            return
        lot = self._lot(body.ok)
        await self._calls.run(
            exchange,
            LOTS_ENDPOINT,
            lambda call: LotSubmitted(call, lot),
            lambda call: _answer(exchange, call, LOT_ANSWER_TIMEOUT_SECONDS),
        )

    async def pull(self, exchange: Exchange) -> None:
        """Answer `POST /v1/rollouts/pull`."""
        content = await exchange.body()
        body = content.bind(lambda text: decode_body(text, PullBody))
        if body.is_error():
            await exchange.fail(body.error)
            return
        wait_seconds = body.ok.wait_seconds
        pull = self._pull(body.ok)
        await self._calls.run(
            exchange,
            PULLS_ENDPOINT,
            lambda call: SamplesRequested(call, pull),
            lambda call: _answer(exchange, call, wait_seconds),
        )

    def _check_prompts(self, body: LotBody) -> Result[LotBody, StagewalkError]:
        limit = self._limits.prompt_characters
        seen: set[str] = set()
        for index, prompt in enumerate(body.prompts):
            if len(prompt.prompt) > limit:
                field = f"prompts[{index}].prompt"
                return Error(invalid(field, f"the prompt has more than {limit} characters"))
            if prompt.prompt_id in seen:
                field = f"prompts[{index}].prompt_id"
                return Error(invalid(field, f"{prompt.prompt_id!r} comes twice"))
            seen.add(prompt.prompt_id)
        return Ok(body)

    def _lot(self, body: LotBody) -> RolloutLot:
        prompts = tuple(
            RolloutPrompt(row.prompt_id, row.prompt, row.max_tokens, estimate_tokens(row.prompt))
            for row in body.prompts
        )
        return RolloutLot(
            tenant=TenantName(body.tenant),
            trainer=body.trainer,
            step=body.step,
            model=ModelName(body.model),
            trainer_version=WeightVersion(body.version),
            prompts=prompts,
            samples_per_prompt=body.samples_per_prompt,
            deadline=self._clock() + body.deadline_seconds,
        )

    def _pull(self, body: PullBody) -> SamplePull:
        return SamplePull(
            tenant=TenantName(body.tenant),
            trainer=body.trainer,
            step=body.step,
            cursor=body.cursor,
            trainer_version=WeightVersion(body.version),
            max_samples=body.max_samples,
            wait_until=self._clock() + body.wait_seconds,
        )


async def _answer(exchange: Exchange, call: OpenCall, seconds: float) -> str:
    answer = await receive_final_answer(call, seconds)
    if isinstance(answer, AcceptLot):
        await exchange.respond(202, JSON_CONTENT_TYPE, msgspec.json.encode(_lot_answer(answer.lot)))
        return OUTCOME_OK
    if isinstance(answer, DeliverSamples):
        await exchange.respond(
            200, JSON_CONTENT_TYPE, msgspec.json.encode(_pull_answer(answer.batch))
        )
        return OUTCOME_OK
    error = _error_of(answer)
    await exchange.fail(error)
    return error.kind.value


def _error_of(answer: FinalAnswer) -> StagewalkError:
    return answer.error if isinstance(answer, FailCall) else deadline_exceeded_error()


def _lot_answer(lot: RolloutLot) -> LotAnswer:
    return LotAnswer(lot.step, len(lot.prompts) * lot.samples_per_prompt)


def _pull_answer(batch: SamplePage) -> PullAnswer:
    samples = [_sample_answer(sample) for sample in batch.samples]
    return PullAnswer(samples, batch.cursor, batch.complete, batch.remaining)


def _sample_answer(sample: Sample) -> SampleAnswer:
    return SampleAnswer(
        prompt_id=sample.slot.prompt_id,
        sample_index=sample.slot.sample_index,
        sample_id=sample.sample_id,
        text=sample.text,
        token_count=sample.token_count,
        versions=sample.spans,
        score=sample.score,
    )
