"""Reads the node logs that are given as arguments of a command.

`gateway.explain.log_line` parses the lines.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from stagewalk.gateway.explain.log_line import LogLine, parse_lines

STANDARD_INPUT = "-"


def add_log_arguments(parser: argparse.ArgumentParser) -> None:
    """Define the argument `logs`."""
    parser.add_argument(
        "logs", nargs="*", default=[STANDARD_INPUT], help="logs of nodes, - for standard input"
    )


def read_logs(names: list[str]) -> list[LogLine] | None:
    """Return the lines of all logs, or None after reporting one that can't be read."""
    lines: list[LogLine] = []
    for name in names:
        try:
            text = sys.stdin.read() if name == STANDARD_INPUT else Path(name).read_text()
        except (OSError, UnicodeDecodeError) as error:
            print(f"{name}: {error}", file=sys.stderr)
            return None
        lines += parse_lines(text.splitlines(), source=Path(name).stem)
    return lines
