"""Formats log events as lines of key=value pairs.

Events are `eliot` messages, and this module is their only destination. Messages of libraries that
use the standard `logging` module are converted to events, so that all lines have one format.
"""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any

import eliot
import msgspec

from stagewalk.common.logs.budget import LogBudget
from stagewalk.common.steady_clock import steady_seconds

LogValue = str | int | float | bool | None

LOG_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

LIBRARY_MESSAGE_INTERVAL_SECONDS = 10.0
"""Shortest time between two lines of the same message of a library."""

MAXIMUM_LIBRARY_MESSAGES = 256
"""Maximum number of library messages whose last time is kept."""

_OMITTED_KEYS = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "level"})
_PLAIN_VALUE = re.compile(r"[A-Za-z0-9._:/\-+@,%\[\]{}()*;~^<>!?&|#$]+")
"""A value that needs no quotes."""


def configure_logs(
    minimum_level: str,
    write: Callable[[str], object] = sys.stderr.write,
    *,
    node: str = "",
    budget: LogBudget | None = None,
) -> Callable[[], None]:
    """Send events of at least a level to `write`, one line each.

    Parameters
    ----------
    minimum_level
        One of `LOG_LEVELS`.
    write
        Writes a line; returns False if the line was dropped.
    node
        Name added to each line, so that the logs of several nodes can be merged.
    budget
        Limits the rate of lines; None: unlimited.

    Returns
    -------
    Callable
        Removes the destination and the logging handler.
    """
    destination = _LineDestination(LOG_LEVELS[minimum_level], write, node, budget)
    handler = _LibraryHandler()
    eliot.add_destinations(destination)
    logging.getLogger().addHandler(handler)
    logging.getLogger().setLevel(logging.WARNING)

    def remove() -> None:
        eliot.remove_destination(destination)
        logging.getLogger().removeHandler(handler)

    return remove


def log_event(event: str, level: str = "info", **fields: LogValue) -> None:
    """Log one event."""
    eliot.log_message(message_type=event, level=level, **fields)


def format_line(message: Mapping[str, Any], node: str = "") -> str:
    """Return an `eliot` message as one line: time, level, event and node first, then its fields."""
    moment = datetime.fromtimestamp(float(message["timestamp"]), UTC)
    parts = [
        f"time={moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')}",
        f"level={message.get('level', 'info')}",
        f"event={_format_value(message.get('message_type', 'message'))}",
    ]
    if node:
        parts.append(f"node={_format_value(node)}")
    parts.extend(
        f"{_format_key(key)}={_format_value(value)}"
        for key, value in message.items()
        if key not in _OMITTED_KEYS
    )
    return " ".join(parts)


def _format_key(key: str) -> str:
    return "".join(letter if letter.isalnum() or letter in "_.-" else "_" for letter in key)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return format(value, ".6g")
    text = str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else msgspec.json.encode(text).decode()


class _LineDestination:
    def __init__(
        self,
        minimum: int,
        write: Callable[[str], object],
        node: str,
        budget: LogBudget | None,
    ) -> None:
        self._minimum = minimum
        self._write = write
        self._node = node
        self._budget = budget

    def __call__(self, message: Mapping[str, Any]) -> None:
        level = LOG_LEVELS.get(message.get("level", "info"), LOG_LEVELS["error"])
        if level < self._minimum:
            return
        event = str(message.get("message_type", "message"))
        budget = self._budget
        failure = level >= LOG_LEVELS["warning"]
        if budget is not None and not budget.allows(event, failure, steady_seconds()):
            return
        written = self._write(format_line(message, self._node) + "\n")
        if budget is not None and written is False:
            budget.record_lost(event)


class _LibraryHandler(logging.Handler):
    """Converts library messages to events, each message at most once per interval.

    A faulty caller could otherwise make a library flood the log with one message.
    """

    def __init__(self) -> None:
        super().__init__()
        self._written_at: dict[str, float] = {}

    def emit(self, record: logging.LogRecord) -> None:
        message = f"{record.name} {record.msg}"
        last = self._written_at.get(message)
        if last is not None and record.created < last + LIBRARY_MESSAGE_INTERVAL_SECONDS:
            return
        if len(self._written_at) >= MAXIMUM_LIBRARY_MESSAGES:
            self._written_at.clear()
        self._written_at[message] = record.created
        level = "error" if record.levelno >= logging.ERROR else "warning"
        detail = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            detail = f"{detail}: {type(error).__name__}: {error}"
        log_event("library_message", level=level, logger=record.name, detail=detail)
