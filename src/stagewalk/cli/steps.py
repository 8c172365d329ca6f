"""`stagewalk steps`: print how the time of trainers' steps and recoveries was spent.

`gateway.explain.steps` computes the summaries from the logs of all nodes.
"""

from __future__ import annotations

import argparse

from stagewalk.cli.log_files import add_log_arguments, read_logs
from stagewalk.gateway.explain.steps import StepSummary, find_recoveries, summarize_steps

EXIT_DONE = 0
EXIT_BAD_ARGUMENTS = 2
LAST_ITEMS = 5


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the subcommand's flags."""
    add_log_arguments(parser)
    parser.add_argument(
        "--last", type=int, default=LAST_ITEMS, help="how many of a step's last items to show"
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the summaries and return the exit code."""
    lines = read_logs(arguments.logs)
    if lines is None:
        return EXIT_BAD_ARGUMENTS
    began = min((line.at for line in lines), default=0.0)
    for step in summarize_steps(lines):
        print("\n".join(render_step(step, began, arguments.last)))
    for recovery in find_recoveries(lines):
        print(
            f"all back at {recovery.at - began:.3f} s ({recovery.nodes} nodes), "
            f"first item {recovery.first_item:+.3f} s"
        )
    return EXIT_DONE


def render_step(step: StepSummary, began: float, last: int) -> list[str]:
    """Return a step's summary as lines of text.

    Parameters
    ----------
    began
        Reference time of the printed times, in seconds since 1970.
    last
        Number of the step's last items to show.
    """
    text = [
        f"step {step.step} batch {step.batch} at {step.submitted_at - began:.2f} s: "
        f"{step.listed} of {step.items} finished, opened {step.opened:+.2f}, "
        f"runners {step.runners}, ended {step.ended:+.2f}"
    ]
    for path in step.last(last):
        cuts = "; ".join(path.cuts) or "no cut"
        text.append(
            f"    {path.item}: begun {path.first_start:+.2f}, done {path.finished:+.2f}, "
            f"score {path.scoring:.2f}, attempts {path.attempts}: {cuts}"
        )
    return text
