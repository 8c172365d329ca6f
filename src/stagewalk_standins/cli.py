"""The command `stagewalk-standin`."""

from __future__ import annotations

import argparse

import anyio
from absl import app

from stagewalk_standins.commands import COMMANDS
from stagewalk_standins.event_log import log_event, start_event_log
from stagewalk_standins.flags import parse_flags


def run() -> None:
    """Run the stand-in named on the command line."""
    app.run(_main, flags_parser=parse_flags)


def _main(options: argparse.Namespace) -> None:
    start_event_log(options.name or options.command)
    log_event("process_started", command=options.command)
    anyio.run(COMMANDS[options.command], options)
    log_event("process_ended", command=options.command)
