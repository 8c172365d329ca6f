"""Plots of measured sizes with the lines through them."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from stagewalk.bench import planned_load as planned
from stagewalk.bench.capacity_data import CapacityData
from stagewalk.bench.capacity_model import complete_sizes, line_of

matplotlib.use("Agg")

PANELS = {
    "cpu_percent": "CPU of a node at rest, % of a core",
    "bytes_out": "bytes/s out of a node",
    "resident_kilobytes": "memory of a node, KB",
    "join_cpu_seconds": "CPU of a node for joining, s",
}


def plot_sizes(data: CapacityData, path: Path) -> None:
    """Draw each figure over the number of nodes, with its line and the line's error."""
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(2, 2, figsize=(10, 7), layout="constrained")
    sizes = complete_sizes(data)
    for panel, (field, title) in zip(panels.flat, PANELS.items(), strict=True):
        panel.scatter([size.nodes for size in sizes], [getattr(size, field) for size in sizes])
        line = line_of(data, field)
        if line is not None:
            ends = (0, planned.NODES)
            panel.plot(ends, [line.at(end) for end in ends])
            low = [line.at(end) - line.error_at(end) for end in ends]
            high = [line.at(end) + line.error_at(end) for end in ends]
            panel.fill_between(ends, low, high, alpha=0.2)
        panel.set_title(title)
        panel.set_xlabel("nodes")
        panel.set_ylim(bottom=0)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
