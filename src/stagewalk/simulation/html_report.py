"""Draws reports of simulations as one self-contained HTML page."""

from __future__ import annotations

import base64
import io
from collections import defaultdict
from collections.abc import Callable, Sequence

import jinja2
import matplotlib as mpl

mpl.use("Agg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from stagewalk.simulation.experiments import results_page, spread
from stagewalk.simulation.series import INTERVAL_SECONDS, QUANTILES, TenantSeries
from stagewalk.simulation.simulation_run import SimulationReport

FAULTS_DRAWN = 60

PAGE = jinja2.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>stagewalk: simulation report</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; } td, th { border: 1px solid #999; padding: 0.2em 0.6em; }
td.broken { background: #fbb; } img { max-width: 100%; }
</style></head><body>
<h1>Simulation report</h1>
<p>{{ reports|length }} runs. Figures are medians over seeds, smallest and largest in brackets.</p>
<h2>Promises</h2>
<table><tr><th>run</th>{% for name in promises %}<th>{{ name }}</th>{% endfor %}</tr>
{% for report in reports %}<tr><td>{{ label(report) }} seed {{ report.arguments.seed }}</td>
{% for name in promises %}<td{% if report.violations[name] %} class="broken"{% endif %}>
{{ report.violations[name] }} of {{ report.checked[name] }}</td>{% endfor %}</tr>{% endfor %}
</table>
<h2>Measures</h2>
<table><tr><th>runs</th><th>tenant</th><th>idle fraction</th><th>lower bound</th>
<th>staleness p99, s</th><th>latency p99, s</th><th>samples</th><th>answered</th></tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}
</table>
{% for title, image in plots %}<h2>{{ title }}</h2>
<img alt="{{ title }}" src="data:image/png;base64,{{ image }}">{% endfor %}
{% if explanations %}<h2>Violations</h2>
{% for text in explanations %}<pre>{{ text }}</pre>{% endfor %}{% endif %}
</body></html>
""",
    autoescape=True,
)


def label(report: SimulationReport) -> str:
    """Return what distinguishes a run from others but for its seed."""
    arguments = report.arguments
    parts = [arguments.deployment, arguments.faults.value, arguments.policy]
    if arguments.mutant:
        parts.append(arguments.mutant)
    return " ".join(parts)


def render_html(reports: Sequence[SimulationReport]) -> str:
    """Return the page for some reports."""
    promises = list(reports[0].checked) if reports else []
    page: str = PAGE.render(
        reports=reports,
        label=label,
        promises=promises,
        rows=_rows(reports),
        plots=_plots(reports),
        explanations=[text for report in reports for text in report.explanations],
    )
    return page


def render_markdown(reports: Sequence[SimulationReport], command: str) -> str:
    """Return the tables of some reports as Markdown."""
    return results_page(reports, command)


def _grouped(reports: Sequence[SimulationReport]) -> dict[str, list[SimulationReport]]:
    groups: defaultdict[str, list[SimulationReport]] = defaultdict(list)
    for report in reports:
        groups[label(report)].append(report)
    return dict(groups)


def _rows(reports: Sequence[SimulationReport]) -> list[list[str]]:
    rows = []
    for name, group in _grouped(reports).items():
        for tenant in sorted({each for report in group for each in report.tenants}):
            found = [report for report in group if tenant in report.tenants]
            summaries = [report.tenants[tenant] for report in found]
            rows.append(
                [
                    name,
                    tenant,
                    spread([each.trainer_idle_fraction for each in summaries]),
                    spread([each.idle_lower_bounds.get(tenant, 0.0) for each in found]),
                    spread([each.staleness_seconds.p99 for each in summaries]),
                    spread([each.latency_seconds.p99 for each in summaries]),
                    spread([float(each.samples_delivered) for each in summaries]),
                    spread([float(each.answered) for each in summaries]),
                ]
            )
    return rows


def _plots(reports: Sequence[SimulationReport]) -> list[tuple[str, str]]:
    plots = [
        ("Trainer idle time by step", _draw(reports, _draw_idle)),
        ("Latency of answers", _draw(reports, _draw_latency)),
        ("Staleness of samples", _draw(reports, _draw_staleness)),
    ]
    plots.extend(
        (f"Throughput: {label(report)} seed {report.arguments.seed}", _throughput(report))
        for report in _first_of_each(reports)
    )
    return plots


def _first_of_each(reports: Sequence[SimulationReport]) -> list[SimulationReport]:
    return [group[0] for group in _grouped(reports).values()]


def _draw(
    reports: Sequence[SimulationReport], draw: Callable[[Axes, TenantSeries, str], None]
) -> str:
    figure = Figure(figsize=(10, 4))
    axes = figure.subplots()
    for report in _first_of_each(reports):
        for tenant, series in report.series.items():
            draw(axes, series, f"{label(report)}: {tenant}")
    if axes.lines:
        axes.legend(fontsize="x-small")
    return _encode(figure)


def _draw_idle(axes: Axes, series: TenantSeries, name: str) -> None:
    if series.idle_seconds:
        axes.plot(series.idle_seconds, marker="o", label=name)
        axes.set_xlabel("completed step")
        axes.set_ylabel("idle, s")


def _draw_latency(axes: Axes, series: TenantSeries, name: str) -> None:
    _draw_distribution(axes, series.latency_quantiles, name, "latency, s")


def _draw_staleness(axes: Axes, series: TenantSeries, name: str) -> None:
    _draw_distribution(axes, series.staleness_quantiles, name, "time since superseded, s")


def _draw_distribution(axes: Axes, quantiles: list[float], name: str, unit: str) -> None:
    if quantiles:
        axes.plot(quantiles, [step / QUANTILES for step in range(QUANTILES + 1)], label=name)
        axes.set_xlabel(unit)
        axes.set_ylabel("fraction")


def _throughput(report: SimulationReport) -> str:
    figure = Figure(figsize=(10, 4))
    axes = figure.subplots()
    for tenant, series in report.series.items():
        for name, counts in (
            ("answers", series.answers_per_interval),
            ("samples", series.samples_per_interval),
        ):
            if any(counts):
                times = [index * INTERVAL_SECONDS for index in range(len(counts))]
                rates = [count / INTERVAL_SECONDS for count in counts]
                axes.plot(times, rates, label=f"{tenant} {name}")
    for fault in report.schedule[:FAULTS_DRAWN]:
        axes.axvspan(fault.at, fault.at + max(1.0, fault.seconds), color="red", alpha=0.08)
    axes.set_xlabel("time, s (faults shaded)")
    axes.set_ylabel("per second")
    if axes.lines:
        axes.legend(fontsize="x-small")
    return _encode(figure)


def _encode(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=90)
    return base64.b64encode(buffer.getvalue()).decode()
