"""One simulation from its arguments to its report.

Owns the form of arguments, report and replay file; relies on `world` for the run and on `history`
for its verdict.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Literal

import msgspec

from stagewalk.history.checker import check_history
from stagewalk.history.checker_oracle import FoldOracle
from stagewalk.history.checker_verdict import Promise, Verdict
from stagewalk.history.observations import AnyObservation
from stagewalk.history.summary import TenantSummary, summarize
from stagewalk.node.node_core import NodeCore
from stagewalk.simulation.faults import Fault, FaultLevel, draw_schedule
from stagewalk.simulation.idle_bound import idle_lower_bounds
from stagewalk.simulation.layouts import LAYOUTS
from stagewalk.simulation.mutants import MUTANTS
from stagewalk.simulation.world import World

PROGRESS_SECONDS = 5.0
EXPLANATIONS_PER_PROMISE = 3
FAILURES_REPORTED = 5


class SimulationArguments(msgspec.Struct, frozen=True, kw_only=True):
    """Arguments that determine a run to the byte.

    Attributes
    ----------
    policy
        What runs in the nodes. Kept replays name it; a replay of anything but the product is
        refused instead of running the product in its place.
    mutant
        Name of a mutant that runs in place of the product; empty for the product.
    schedule
        Faults in place of the drawn ones, for replays and for shrinking.
    """

    deployment: str = "thornfield"
    seed: int = 1
    duration_seconds: float = 120.0
    faults: FaultLevel = FaultLevel.NONE
    fault_rate_factor: float = 1.0
    policy: Literal["product"] = "product"
    mutant: str = ""
    schedule: tuple[Fault, ...] | None = None


class SimulationReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a run.

    Attributes
    ----------
    digest
        Hash of the whole history; the same for the same arguments.
    idle_lower_bound
        Least idle fraction any service could reach, over all trainers; by tenant beside it.
    core_failures
        Exceptions that cores raised, each of which fails the run.
    unanswered
        Requests whose caller stopped waiting without any final answer.
    control_bytes_per_second
        Sent to other nodes, averaged over nodes and time.
    wall_seconds, events
        Cost of the run: processor's wall time and actions executed.
    """

    arguments: SimulationArguments
    digest: str
    checked: dict[str, int]
    violations: dict[str, int]
    explanations: list[str]
    tenants: dict[str, TenantSummary]
    idle_lower_bound: float
    idle_lower_bounds: dict[str, float]
    core_failures: list[str]
    unanswered: int
    control_bytes_per_second: float
    schedule: tuple[Fault, ...]
    observations: int
    wall_seconds: float
    events: int

    @property
    def clean(self) -> bool:
        """Return whether no promise was broken and no core failed."""
        return not any(self.violations.values()) and not self.core_failures


class Replay(msgspec.Struct, frozen=True):
    """What a run is repeated from: a report, or the part of it that determines the run."""

    arguments: SimulationArguments


class SimulationResult(msgspec.Struct, frozen=True, kw_only=True):
    """A report with the history behind it."""

    report: SimulationReport
    history: list[AnyObservation]


def planned_schedule(arguments: SimulationArguments) -> tuple[Fault, ...]:
    """Return the faults of a run."""
    if arguments.schedule is not None:
        return arguments.schedule
    layout = LAYOUTS[arguments.deployment]()
    return draw_schedule(
        layout,
        arguments.faults,
        arguments.seed,
        arguments.duration_seconds,
        arguments.fault_rate_factor,
    )


def run_simulation(
    arguments: SimulationArguments, progress: Callable[[float], None] = lambda _: None
) -> SimulationResult:
    """Run a simulation; `progress` is called with the virtual time now and then."""
    began = time.perf_counter()
    schedule = planned_schedule(arguments)
    layout = LAYOUTS[arguments.deployment]()
    factory = MUTANTS[arguments.mutant].factory if arguments.mutant else NodeCore
    world = World(layout, arguments.seed, factory)
    with _collector_paused():
        world.start(schedule)
        while world.scheduler.now < arguments.duration_seconds:
            step = min(world.scheduler.now + PROGRESS_SECONDS, arguments.duration_seconds)
            world.scheduler.run_until(step)
            progress(world.scheduler.now)
    verdict = check_history(world.witness.history, FoldOracle())
    report = _report(arguments, world, verdict, schedule, time.perf_counter() - began)
    return SimulationResult(report=report, history=world.witness.history)


@contextmanager
def _collector_paused() -> Iterator[None]:
    """Keep Python's cycle collector out of the run: it costs a tenth and finds next to nothing."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _report(
    arguments: SimulationArguments,
    world: World,
    verdict: Verdict,
    schedule: tuple[Fault, ...],
    wall_seconds: float,
) -> SimulationReport:
    history = world.witness.history
    bounds = idle_lower_bounds(world)
    sent = sum(node.peer_bytes_sent for node in world.keeper.nodes.values())
    node_seconds = len(world.keeper.nodes) * arguments.duration_seconds
    failures = [
        f"{each.at:.3f} s {each.node} on {each.event}: {each.trace}" for each in world.failures
    ]
    return SimulationReport(
        arguments=arguments,
        digest=world.witness.digest(),
        checked={promise.value: verdict.checked[promise] for promise in Promise},
        violations={promise.value: len(verdict.violations[promise]) for promise in Promise},
        explanations=verdict.explanations(EXPLANATIONS_PER_PROMISE),
        tenants=summarize(history),
        idle_lower_bound=sum(bounds.values()) / max(1, len(bounds)),
        idle_lower_bounds=bounds,
        core_failures=failures[:FAILURES_REPORTED],
        unanswered=sum(caller.unanswered for caller in world.callers),
        control_bytes_per_second=sent / node_seconds,
        schedule=schedule,
        observations=len(history),
        wall_seconds=wall_seconds,
        events=world.scheduler.executed,
    )
