"""`stagewalk report`: draw reports of simulations as a page of tables and plots."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec

from stagewalk.simulation.html_report import render_html, render_markdown
from stagewalk.simulation.simulation_run import SimulationReport

EXIT_DONE = 0
EXIT_BAD_ARGUMENTS = 2


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the subcommand's flags."""
    parser.add_argument("reports", nargs="+", type=Path, help="JSON reports of stagewalk sim")
    parser.add_argument("--output", type=Path, default=Path("report.html"))
    parser.add_argument("--markdown", type=Path, help="write the tables as Markdown, too")


def run(arguments: argparse.Namespace) -> int:
    """Draw the page and return the exit code."""
    reports = []
    for path in arguments.reports:
        try:
            reports.append(msgspec.json.decode(path.read_bytes(), type=SimulationReport))
        except (OSError, msgspec.MsgspecError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return EXIT_BAD_ARGUMENTS
    arguments.output.write_text(render_html(reports))
    print(f"wrote {arguments.output}")
    if arguments.markdown is not None:
        names = " ".join(str(path) for path in arguments.reports)
        arguments.markdown.write_text(render_markdown(reports, f"stagewalk report {names}"))
        print(f"wrote {arguments.markdown}")
    return EXIT_DONE
