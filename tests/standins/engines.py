"""Builders of simulated engines, requests and orders."""

from __future__ import annotations

import random
from typing import Any

from stagewalk.common.identities import (
    AttemptId,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    RequestId,
    TenantName,
    WeightVersion,
)
from stagewalk.node.core.platform import EngineOrder, OrderKind
from stagewalk.simulation.engine_messages import EngineOutput, EngineRequest
from stagewalk.simulation.engine_model import SimulatedEngine
from stagewalk.simulation.platform_settings import EngineSettings

MODEL = ModelName("m")


def engine(started_at: float = 0.0, seed: int = 0, **settings: Any) -> SimulatedEngine:
    return SimulatedEngine(
        EngineSettings(**settings),
        engine=EngineName("e"),
        incarnation=Incarnation(1),
        model=MODEL,
        active_version=WeightVersion(1),
        generator=random.Random(seed),
        started_at=started_at,
    )


def request(attempt: str, prompt: str = "", max_tokens: int = 400, **fields: Any) -> EngineRequest:
    return EngineRequest(
        attempt=AttemptId(attempt),
        request_id=RequestId(f"r-{attempt}"),
        tenant=TenantName("t"),
        model=fields.pop("model", MODEL),
        prompt=prompt or f"prompt of {attempt}",
        max_tokens=max_tokens,
        seed=7,
        **fields,
    )


def order(kind: OrderKind, version: int = 0, epoch: int = 1, order_id: str = "") -> EngineOrder:
    order_id = order_id or f"{kind}-{version}-{epoch}"
    return EngineOrder(order_id, Epoch(epoch), kind, MODEL, WeightVersion(version))


def run_to_idle(model: SimulatedEngine, max_wakeups: int = 20_000) -> list[EngineOutput]:
    outputs: list[EngineOutput] = []
    for _ in range(max_wakeups):
        wakeup = model.next_wakeup()
        if wakeup is None:
            return outputs
        outputs.extend(model.advance(wakeup))
    raise AssertionError("the engine did not become idle")
