"""The command `stagewalk`: hands each subcommand to its own module, imported only when asked for.

A subcommand is a module `stagewalk.cli.<name>` with `add_flags(parser)` and
`run(arguments) -> int`. The late import keeps the simulation's libraries out of the daemon.
"""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Callable, Sequence
from typing import Protocol, cast

from absl.flags import argparse_flags

SUBCOMMANDS = {
    "node": "run the node daemon",
    "config": "validate, publish and inspect published configuration",
    "sim": "simulate nodes, engines and faults on a virtual clock",
    "bench": "put load on running processes and measure them",
    "explain": "print from logs what became of a request, a batch or an item",
    "steps": "print from logs where the time of steps and recoveries went",
}


class Subcommand(Protocol):
    """Interface of a subcommand's module."""

    def add_flags(self, parser: argparse.ArgumentParser) -> None:
        """Define the subcommand's flags."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the subcommand and return the exit code."""


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code (2 for wrong flags or settings)."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    chosen = next((word for word in words if word in SUBCOMMANDS), None)
    parser = _new_parser()
    subparsers = parser.add_subparsers(dest="subcommand", required=True, metavar="SUBCOMMAND")
    subcommand = None
    for name, summary in SUBCOMMANDS.items():
        subparser = subparsers.add_parser(name, help=summary, description=summary)
        if name == chosen:
            subcommand = _import(name, subparser)
            subcommand.add_flags(subparser)
    parsed = parser.parse_args(words)
    assert subcommand is not None
    return subcommand.run(parsed)


def _import(name: str, parser: argparse.ArgumentParser) -> Subcommand:
    """Import a subcommand's module; exit with a usage error if a library is missing."""
    try:
        return cast(Subcommand, importlib.import_module(f"stagewalk.cli.{name}"))
    except ModuleNotFoundError as error:
        parser.error(f"{error}; the extra 'simulation' may have to be installed")


def _new_parser() -> argparse.ArgumentParser:
    new_parser: Callable[..., argparse.ArgumentParser] = argparse_flags.ArgumentParser
    return new_parser(prog="stagewalk", description=__doc__.splitlines()[0])


if __name__ == "__main__":
    sys.exit(run())
