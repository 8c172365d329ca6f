"""`stagewalk config`: operators validate, publish and inspect their tenants' configuration.

Exit codes: 0 done (or, for `diff`, no difference); 1 rejected (or a difference); 2 not done,
outcome unknown, or not in force on every node before the timeout.

Defines the flags; `config_publish` and `config_show` implement the commands.
"""

from __future__ import annotations

import argparse
import re
from collections.abc import Callable
from pathlib import Path

import httpx

from stagewalk.cli import config_publish, config_show
from stagewalk.node.configuration.parameters import NAME_PATTERN

DEFAULT_TIMEOUT_SECONDS = 30.0
"""Timeout of a log operation, and of the wait for nodes."""

DEFAULT_HISTORY_LIMIT = 20
"""Maximum number of records that `history` shows."""


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the flags of `stagewalk config`."""
    commands = parser.add_subparsers(dest="config_command", required=True, metavar="COMMAND")
    validate = commands.add_parser("validate", help="check change files without publishing them")
    validate.add_argument("files", nargs="+", type=Path, metavar="FILE")
    _add_template_flag(validate)

    publish = commands.add_parser("publish", help="create or change the tenant of a file")
    publish.add_argument("file", type=Path, metavar="FILE")
    _add_template_flag(publish)
    _add_publisher_flags(publish)

    roll_back = commands.add_parser(
        "rollback", help="put an earlier revision in force again, as a new revision"
    )
    roll_back.add_argument("tenant", metavar="TENANT")
    roll_back.add_argument("--to_revision", type=int, help="default: the one before the current")
    _add_publisher_flags(roll_back)

    delete = commands.add_parser("delete", help="delete a tenant")
    delete.add_argument("tenant", metavar="TENANT")
    _add_publisher_flags(delete)

    status = commands.add_parser("status", help="show what is in force, and where")
    _add_log_flags(status)
    _add_node_flags(status)

    history = commands.add_parser("history", help="show records with their outcomes")
    history.add_argument("--tenant", help="only this tenant's")
    history.add_argument("--limit", type=int, default=DEFAULT_HISTORY_LIMIT)
    _add_log_flags(history)

    diff = commands.add_parser("diff", help="compare a change file with what is in force")
    diff.add_argument("file", type=Path, metavar="FILE")
    _add_template_flag(diff)
    _add_log_flags(diff)


def run(arguments: argparse.Namespace) -> int:
    """Run a `stagewalk config` command and return its exit code."""
    commands: dict[str, Callable[[argparse.Namespace], int]] = {
        "validate": config_publish.validate,
        "publish": config_publish.publish,
        "rollback": config_publish.roll_back,
        "delete": config_publish.delete,
        "status": config_show.status,
        "history": config_show.history,
        "diff": config_show.diff,
    }
    return commands[arguments.config_command](arguments)


def _add_template_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--templates", type=Path, help="folder of templates")


def _add_log_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--log", required=True, type=_url, help="base URL of the log service")
    parser.add_argument("--timeout_seconds", type=float, default=DEFAULT_TIMEOUT_SECONDS)


def _add_node_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--nodes", default=[], type=_urls, help="base URLs of nodes, separated by commas"
    )


def _add_publisher_flags(parser: argparse.ArgumentParser) -> None:
    _add_log_flags(parser)
    parser.add_argument("--operator", required=True, type=_name, help="who publishes")
    parser.add_argument("--partner", required=True, type=_name, help="for which partner")
    parser.add_argument(
        "--base_revision", type=int, help="revision you saw; default: the one in force now"
    )
    parser.add_argument("--wait", action="store_true", help="wait until it is in force everywhere")
    _add_node_flags(parser)


def _name(text: str) -> str:
    if re.match(NAME_PATTERN, text) is None:
        raise argparse.ArgumentTypeError(f"{text!r} is not a name of letters, digits and ._-")
    return text


def _url(text: str) -> str:
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL as error:
        raise argparse.ArgumentTypeError(f"{text!r}: {error}") from error
    if url.scheme not in ("http", "https") or not url.host:
        raise argparse.ArgumentTypeError(f"{text!r} is not an http URL")
    return text.rstrip("/")


def _urls(text: str) -> list[str]:
    return [_url(part) for part in text.split(",") if part]
