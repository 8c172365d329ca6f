"""Exit codes, session setup and output formatting shared by the `stagewalk config` commands."""

from __future__ import annotations

import argparse
import sys

from stagewalk.cli.config_log import LogSession
from stagewalk.cli.config_nodes import NodeProgress
from stagewalk.common.errors import StagewalkError
from stagewalk.node.configuration.outcomes import ChangeAccepted, ChangeRejected

EXIT_DONE = 0
EXIT_REJECTED = 1
EXIT_NOT_DONE = 2


def open_session(arguments: argparse.Namespace, client_id: str) -> LogSession:
    """Return a session with the log given by the flags."""
    return LogSession(arguments.log, client_id, arguments.timeout_seconds)


def print_error(error: StagewalkError, exit_code: int) -> int:
    """Print an error to standard error and return the exit code."""
    print(f"stagewalk config: {error} ran={error.ran}", file=sys.stderr)
    return exit_code


def outcome_text(outcome: ChangeAccepted | ChangeRejected) -> str:
    """Return a change's outcome as key=value pairs."""
    if isinstance(outcome, ChangeAccepted):
        return f"accepted revision={outcome.revision}"
    field = f" field={outcome.field}" if outcome.field else ""
    return f'rejected reason={outcome.reason}{field} detail="{outcome.detail}"'


def progress_text(node: NodeProgress, offset: int) -> str:
    """Return a line with a node's state relative to a log offset."""
    if node.offset is None:
        return f'node={node.name} state=unreachable detail="{node.failure}"'
    state = "late" if node.is_late(offset) else "in_force"
    return f"node={node.name} state={state} offset={node.offset}"
