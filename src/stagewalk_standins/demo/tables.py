"""Progress lines and final tables of the demonstration."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from stagewalk.history.checker_verdict import Verdict
from stagewalk.history.observations import (
    AnyObservation,
    RequestAnswered,
    RequestRefused,
    SampleAccepted,
    StepCompleted,
    VersionPublished,
    read_history,
)
from stagewalk.history.summary import Quantiles, TenantSummary, summarize

TENANT_HEADINGS = (
    "tenant",
    "idle",
    "steps",
    "samples",
    "stale p50/p99/max",
    "requests",
    "answered",
    "not run",
    "unknown",
    "latency p50/p99 s",
)


def history_files(directory: Path) -> list[Path]:
    """Return the history files in a directory."""
    return sorted(directory.glob("*.history"))


def progress_line(directory: Path, elapsed_seconds: float) -> str:
    """Return a line of event counts so far."""
    history = read_history(history_files(directory))
    counts = {
        "answered": _count(history, RequestAnswered),
        "refused": _count(history, RequestRefused),
        "samples": _count(history, SampleAccepted),
        "steps": _count(history, StepCompleted),
        "versions": _count(history, VersionPublished),
    }
    rendered = "  ".join(f"{name} {number}" for name, number in counts.items())
    return f"{elapsed_seconds:6.1f} s  {rendered}"


def tenant_table(history: Sequence[AnyObservation]) -> str:
    """Return a table of the metrics of each tenant."""
    rows: list[tuple[str, ...]] = [TENANT_HEADINGS]
    rows += [_tenant_row(name, summary) for name, summary in summarize(history).items()]
    return _aligned(rows)


def promise_table(verdict: Verdict) -> str:
    """Return a table of how often each promise was checked and violated."""
    rows: list[tuple[str, ...]] = [("promise", "checked", "violated")]
    for promise, checked in verdict.checked.items():
        rows.append((str(promise), str(checked), str(len(verdict.violations[promise]))))
    return _aligned(rows)


def _tenant_row(name: str, summary: TenantSummary) -> tuple[str, ...]:
    has_trainer = summary.steps_completed > 0
    return (
        name,
        f"{summary.trainer_idle_fraction:.1%}" if has_trainer else "-",
        str(summary.steps_completed),
        str(summary.samples_delivered),
        _versions(summary.staleness_versions) if summary.samples_delivered else "-",
        str(summary.requests),
        str(summary.answered),
        str(summary.refused_not_run),
        str(summary.outcome_unknown),
        f"{summary.latency_seconds.p50:.2f}/{summary.latency_seconds.p99:.2f}"
        if summary.answered
        else "-",
    )


def _versions(quantiles: Quantiles) -> str:
    return f"{quantiles.p50:.0f}/{quantiles.p99:.0f}/{quantiles.max:.0f}"


def _count(history: Sequence[AnyObservation], kind: type) -> int:
    return sum(isinstance(observation, kind) for observation in history)


def _aligned(rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
    return "\n".join(lines)
