"""The experiments behind docs/RESULTS.md, and the page made of their reports."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence

from stagewalk.history.summary import TenantSummary
from stagewalk.simulation.faults import FaultLevel
from stagewalk.simulation.policies import POLICIES
from stagewalk.simulation.simulation_run import SimulationArguments, SimulationReport

LEVELS = (FaultLevel.NONE, FaultLevel.STORM)

Figure = Callable[[TenantSummary], float]

TRAINER_FIGURES: dict[str, Figure] = {
    "idle fraction": lambda tenant: tenant.trainer_idle_fraction,
    "staleness p99, versions": lambda tenant: tenant.staleness_versions.p99,
    "staleness p99, s": lambda tenant: tenant.staleness_seconds.p99,
    "samples": lambda tenant: float(tenant.samples_delivered),
}
CALLER_FIGURES: dict[str, Figure] = {
    "latency p50, s": lambda tenant: tenant.latency_seconds.p50,
    "latency p99, s": lambda tenant: tenant.latency_seconds.p99,
    "answered": lambda tenant: tenant.answered / max(1, tenant.requests),
}


def experiment_runs(
    deployments: Sequence[str], seeds: Sequence[int], duration_seconds: float
) -> list[SimulationArguments]:
    """Return every run of the experiments: same seeds, same load for all policies."""
    return [
        SimulationArguments(
            deployment=deployment,
            seed=seed,
            duration_seconds=duration_seconds,
            faults=level,
            policy=policy,
        )
        for deployment in deployments
        for level in LEVELS
        for policy in POLICIES
        for seed in seeds
    ]


def results_page(reports: Sequence[SimulationReport], command: str) -> str:
    """Return the page: one table for each deployment, fault level and tenant."""
    groups: defaultdict[tuple[str, str], list[SimulationReport]] = defaultdict(list)
    for report in reports:
        groups[report.arguments.deployment, report.arguments.faults].append(report)
    lines = [
        "# Results of the simulation",
        "",
        f"Made by `{command}`.",
        "",
        "Each figure is the median over the seeds, with the smallest and largest in brackets. All policies meet the same load and the same faults.",
        "`product` is stagewalk; `routing_*` is stagewalk with another routing policy; `plain_*`",
        "is a whole service without claims, leases and staleness gate. The lower bound on idle",
        "time is worked out after the run: a step's work over the pool's capacity, and its longest",
        "sample, less what training overlaps. Promises broken are counted over all seeds.",
        "",
    ]
    for (deployment, level), group in groups.items():
        lines.extend(_group_tables(deployment, level, group))
    return "\n".join(lines) + "\n"


def _group_tables(deployment: str, level: str, group: list[SimulationReport]) -> list[str]:
    first = group[0].arguments
    seeds = sorted({report.arguments.seed for report in group})
    lines = [
        f"## {deployment}, faults: {level}, {first.duration_seconds:.0f} s, {len(seeds)} seeds",
        "",
    ]
    for tenant in sorted({name for report in group for name in report.tenants}):
        trains = any(
            report.tenants[tenant].samples_delivered for report in group if tenant in report.tenants
        )
        lines.extend(_tenant_table(tenant, trains, group))
    return lines


def _tenant_table(tenant: str, trains: bool, group: list[SimulationReport]) -> list[str]:
    figures = TRAINER_FIGURES if trains else CALLER_FIGURES
    heads = ["policy", *figures, *(["idle lower bound"] if trains else []), "promises broken"]
    lines = [f"Tenant `{tenant}`:", "", f"| {' | '.join(heads)} |", "|---" * len(heads) + "|"]
    by_policy: defaultdict[str, list[SimulationReport]] = defaultdict(list)
    for report in group:
        by_policy[report.arguments.policy].append(report)
    for policy, reports in by_policy.items():
        present = [report for report in reports if tenant in report.tenants]
        cells = [policy]
        for figure in figures.values():
            cells.append(spread([figure(report.tenants[tenant]) for report in present]))
        if trains:
            cells.append(spread([report.idle_lower_bounds.get(tenant, 0.0) for report in present]))
        cells.append(_broken(reports))
        lines.append(f"| {' | '.join(cells)} |")
    return [*lines, ""]


def _broken(reports: list[SimulationReport]) -> str:
    totals: defaultdict[str, int] = defaultdict(int)
    for report in reports:
        for promise, count in report.violations.items():
            totals[promise] += count
    broken = [f"{promise} {count}" for promise, count in sorted(totals.items()) if count]
    return ", ".join(broken) or "none"


def spread(numbers: Sequence[float]) -> str:
    """Return the median with the smallest and largest of some figures."""
    if not numbers:
        return "-"
    middle = statistics.median(numbers)
    return f"{middle:.3g} ({min(numbers):.3g} to {max(numbers):.3g})"
