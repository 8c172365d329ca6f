"""Cost of one routing decision against the number of engines: `python -m` this module.

Every policy is measured on the same engines and prompts in one run, at a node that routes over
its subset of a small and of a large pool. Figures are microseconds of wall time for a decision.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from stagewalk.common.identities import (
    Address,
    AttemptId,
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    NodeName,
    Placement,
    RequestId,
    TenantName,
    WeightVersion,
)
from stagewalk.node.core.completions import CompletionRequest, Priority
from stagewalk.node.core.platform import (
    EngineReport,
    EngineState,
    Machine,
    MachineKind,
    MachineState,
)
from stagewalk.node.routing.config import EngineTableConfig, RouterConfig
from stagewalk.node.routing.engine_table import EngineTable
from stagewalk.node.routing.policies import POLICIES
from stagewalk.node.routing.router import Router

POOL_SIZES = (60, 600)
DECISIONS = 2000
ROUNDS = 3
ZONES = 7
MODEL = ModelName("benchmark")
PROMPT_FAMILIES = 40
PROMPT_CHARACTERS = 2000


@dataclass(frozen=True, slots=True)
class BenchmarkNode:
    """The node whose decisions are measured."""

    name: NodeName
    incarnation: Incarnation
    placement: Placement


def make_machine(number: int) -> Machine:
    """Return the machine row of an engine."""
    return Machine(
        name=f"engine-{number}",
        kind=MachineKind.ENGINE,
        address=Address("127.0.0.1", 10000 + number),
        placement=Placement("region", f"zone-{number % ZONES}"),
        state=MachineState.LIVE,
        service="benchmark",
    )


def make_report(engine: EngineName, generator: random.Random) -> EngineReport:
    """Return a report of an engine with some load."""
    running = generator.randrange(32)
    return EngineReport(
        engine=engine,
        incarnation=Incarnation(1),
        model=MODEL,
        state=EngineState.SERVING,
        active_version=WeightVersion(1),
        staged_versions=(),
        epoch=Epoch(0),
        running=running,
        waiting=generator.randrange(4),
        pending_tokens=running * 100,
        tokens_per_second=30.0 * running,
        batch_limit=32,
        kv_used_tokens=running * 500,
        kv_capacity_tokens=65536,
        generated_at=0.0,
    )


def make_requests(generator: random.Random) -> list[CompletionRequest]:
    """Return requests whose prompts share beginnings."""
    families = [
        f"family {number} " * (PROMPT_CHARACTERS // 10) for number in range(PROMPT_FAMILIES)
    ]
    return [
        CompletionRequest(
            request_id=RequestId(f"r{number}"),
            tenant=TenantName("tenant"),
            model=MODEL,
            prompt=generator.choice(families) + str(number),
            max_tokens=256,
            repeatable=True,
            deadline=1e9,
            priority=Priority.INTERACTIVE,
        )
        for number in range(DECISIONS)
    ]


def measure(policy: str, engines: int) -> float:
    """Return microseconds a decision, the best of a few rounds."""
    generator = random.Random(1)
    node = BenchmarkNode(NodeName("node-1"), Incarnation(1), Placement("region", "zone-0"))
    table = EngineTable(node, EngineTableConfig())
    table.handle_machines([make_machine(number) for number in range(engines)], 0.0)
    for engine in sorted(table.names()):
        table.handle_report(engine, make_report(engine, generator), 0.0)
    router = Router(node, table, RouterConfig(policy=policy), generator)
    requests = make_requests(generator)
    return min(time_round(router, requests) for _ in range(ROUNDS))


def time_round(router: Router, requests: list[CompletionRequest]) -> float:
    """Return microseconds a decision, its bookkeeping not counted, over all requests once."""
    nobody: frozenset[EngineName] = frozenset()
    seconds = 0.0
    for number, request in enumerate(requests):
        began = time.perf_counter()
        chosen = router.choose(request, nobody, 1.0).ok
        seconds += time.perf_counter() - began
        attempt = AttemptId(f"a{number}")
        router.note_started(chosen.engine, attempt, request, 1.0)
        router.note_finished(chosen.engine, attempt, 1.0)
    return seconds / len(requests) * 1e6


def main() -> None:
    """Print a table of all policies and pool sizes."""
    print(f"{'policy':<16}" + "".join(f"{size:>5} engines" for size in POOL_SIZES) + "   ratio")
    for policy in POLICIES:
        costs = [measure(policy, size) for size in POOL_SIZES]
        cells = "".join(f"{cost:>10.1f} us" for cost in costs)
        print(f"{policy:<16}{cells}{costs[-1] / costs[0]:>8.2f}")


if __name__ == "__main__":
    main()
