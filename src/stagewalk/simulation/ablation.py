"""What each mechanism of the sample ledger earns: the same runs with one switched off at a time.

The configuration stays as it was created. In the other experiments operators change bounds and
objectives during a run, and with a bound of 0 no step may run ahead: such a run says more about
the operators than about the mechanisms.

Run as `python -m stagewalk.simulation.ablation`; prints Markdown.
"""

from __future__ import annotations

import multiprocessing
import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgspec
from absl import app, flags

from stagewalk.history.checker import check_history
from stagewalk.history.checker_oracle import FoldOracle
from stagewalk.history.checker_verdict import Promise
from stagewalk.history.summary import summarize
from stagewalk.node.node_config import NodeConfig
from stagewalk.node.node_core import NodeCore, NodeIdentity
from stagewalk.node.samples.config import LotConfig
from stagewalk.simulation.idle_bound import idle_lower_bounds
from stagewalk.simulation.layout import Layout
from stagewalk.simulation.layouts import LAYOUTS
from stagewalk.simulation.node_host import Core, CoreFactory
from stagewalk.simulation.policies import POLICIES
from stagewalk.simulation.world import World

NEVER_SECONDS = 1e9

VARIANTS: dict[str, LotConfig] = {
    "all on": LotConfig(),
    "no look-ahead": LotConfig(look_ahead_steps=0),
    "no duplicates": LotConfig(duplicate_stragglers=False),
    "no order by length": LotConfig(longest_first=False),
    "no spreading over swaps": LotConfig(spread_over_swap=False),
}

BASELINES = ("plain_round_robin", "plain_least_loaded")

FRONTIER_VARIANT = "all on"

_DEPLOYMENTS = flags.DEFINE_list("deployments", ["thornfield", "amman"], "Deployments.")
_SEEDS = flags.DEFINE_list("seeds", ["1", "2"], "Seeds.")
_DURATION = flags.DEFINE_float("duration_seconds", 400.0, "Virtual time of each run, seconds.")
_PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at a time.", lower_bound=1)
_FRONTIER = flags.DEFINE_list("frontier_idle_weights", [], "Also run with these objectives.")


@dataclass(frozen=True, slots=True)
class AblationRun:
    """One run; `variant` is one of `VARIANTS` or a policy's name."""

    deployment: str
    variant: str
    seed: int
    duration_seconds: float
    idle_weight: float | None = None


@dataclass(frozen=True, slots=True)
class AblationFigures:
    """What came of a run, of its trainers' tenant."""

    run: AblationRun
    idle_fraction: float
    idle_lower_bound: float
    steps: int
    staleness_p50: float
    staleness_p99: float
    broken: int


def measure(run: AblationRun) -> AblationFigures:
    """Run one simulation and return its figures."""
    world = World(_layout(run), run.seed, _factory(run.variant))
    world.run(run.duration_seconds, ())
    tenant = str(world.layout.trainers[0].tenant)
    summary = summarize(world.witness.history)[tenant]
    verdict = check_history(world.witness.history, FoldOracle())
    return AblationFigures(
        run=run,
        idle_fraction=summary.trainer_idle_fraction,
        idle_lower_bound=idle_lower_bounds(world).get(tenant, 0.0),
        steps=summary.steps_completed,
        staleness_p50=summary.staleness_versions.p50,
        staleness_p99=summary.staleness_versions.p99,
        broken=sum(len(verdict.violations[promise]) for promise in Promise) + len(world.failures),
    )


def table(figures: Sequence[AblationFigures]) -> str:
    """Return one Markdown table for each deployment; each row is one variant over its seeds."""
    lines: list[str] = []
    for deployment in dict.fromkeys(each.run.deployment for each in figures):
        lines += [
            f"`{deployment}`:",
            "",
            "| variant | trainer idle, median (each seed) | steps | staleness p50 / p99, versions"
            " | promises broken |",
            "|---|---|---|---|---|",
        ]
        group = [each for each in figures if each.run.deployment == deployment]
        for name in dict.fromkeys(_row_name(each.run) for each in group):
            lines.append(_row(name, [each for each in group if _row_name(each.run) == name]))
        bounds = ", ".join(
            f"{each.idle_lower_bound:.3f}"
            for each in group
            if _row_name(each.run) == FRONTIER_VARIANT
        )
        lines += ["", f"Offline lower bounds of the runs with all on: {bounds}.", ""]
    return "\n".join(lines)


def _row(name: str, figures: Sequence[AblationFigures]) -> str:
    idle = statistics.median(each.idle_fraction for each in figures)
    seeds = ", ".join(f"{each.idle_fraction:.3f}" for each in figures)
    steps = ", ".join(str(each.steps) for each in figures)
    p50 = max(each.staleness_p50 for each in figures)
    p99 = max(each.staleness_p99 for each in figures)
    broken = sum(each.broken for each in figures)
    return f"| {name} | {idle:.3f} ({seeds}) | {steps} | {p50:.0f} / {p99:.0f} | {broken} |"


def _row_name(run: AblationRun) -> str:
    return run.variant if run.idle_weight is None else f"idle_weight {run.idle_weight:g}"


def _layout(run: AblationRun) -> Layout:
    layout = replace(LAYOUTS[run.deployment](), change_interval_seconds=NEVER_SECONDS)
    weight = run.idle_weight
    if weight is None:
        return layout
    tenants = tuple(
        replace(site, parameters=msgspec.structs.replace(site.parameters, idle_weight=weight))
        for site in layout.tenants
    )
    return replace(layout, tenants=tenants)


def _factory(variant: str) -> CoreFactory:
    lots = VARIANTS.get(variant)
    if lots is None:
        return POLICIES[variant]

    def make(identity: NodeIdentity, generator: random.Random) -> Core:
        return NodeCore(identity, generator, NodeConfig(lots=lots))

    return make


def _planned_runs() -> list[AblationRun]:
    duration = _DURATION.value
    weights: list[float | None] = [float(weight) for weight in _FRONTIER.value]
    kinds: list[tuple[str, float | None]] = [(name, None) for name in (*VARIANTS, *BASELINES)]
    kinds += [(FRONTIER_VARIANT, weight) for weight in weights]
    return [
        AblationRun(deployment, variant, int(seed), duration, weight)
        for deployment in _DEPLOYMENTS.value
        for variant, weight in kinds
        for seed in _SEEDS.value
    ]


def main(_: list[str]) -> None:
    """Run all variants on the same seeds and print the tables."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(_PROCESSES.value, maxtasksperchild=4) as pool:
        print(table(pool.map(measure, _planned_runs(), chunksize=1)))


if __name__ == "__main__":
    app.run(main)
