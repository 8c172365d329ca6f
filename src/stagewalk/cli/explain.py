"""`stagewalk explain`: print the timeline of a request, a batch or an item from logs.

`gateway.explain.timeline` finds the events and the first failure, `gateway.explain.waits` what a
request waited for.
"""

from __future__ import annotations

import argparse
import sys
from datetime import UTC, datetime

from stagewalk.cli.log_files import add_log_arguments, read_logs
from stagewalk.gateway.explain.timeline import Timeline, find_timeline
from stagewalk.gateway.explain.waits import describe_waits

EXIT_FOUND = 0
EXIT_UNKNOWN_ID = 1
EXIT_BAD_ARGUMENTS = 2


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the subcommand's flags."""
    parser.add_argument("id", help="a request's, batch's or item's id")
    add_log_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print the timeline and return the exit code (1: no line names the id)."""
    lines = read_logs(arguments.logs)
    if lines is None:
        return EXIT_BAD_ARGUMENTS
    timeline = find_timeline(arguments.id, lines)
    if timeline is None:
        nodes = ", ".join(sorted({line.node for line in lines})) or "none"
        print(f"no line names {arguments.id}; nodes in the logs: {nodes}", file=sys.stderr)
        return EXIT_UNKNOWN_ID
    print("\n".join(render_story(timeline)))
    return EXIT_FOUND


def render_story(timeline: Timeline) -> list[str]:
    """Return a timeline as text: its log lines in time order, then a summary."""
    began = timeline.own[0].at
    own = set(map(id, timeline.own))
    text = [f"{timeline.kind.value} {timeline.identity}, from {_moment(began)}"]
    for line in timeline.lines:
        mark = "!" if line.failure else " "
        place = line.node if id(line) in own else f"({line.node})"
        text.append(f"{mark} {line.at - began:+8.3f} s  {place}  {line.describe()}")
    first = timeline.first_failure
    text.append("")
    text.append(
        "nothing went wrong in these logs"
        if first is None
        else f"first failure: {first.at - began:+.3f} s at {first.node}: {first.describe()}"
    )
    text += describe_waits(timeline.own)
    ending = timeline.ending
    if ending is not None:
        text.append(f"ended: {ending.at - began:+.3f} s at {ending.node}: {ending.describe()}")
    text += [f"unknown: {sentence}" for sentence in timeline.unknown]
    return text


def _moment(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")
