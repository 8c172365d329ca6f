"""Logs: one line of key=value pairs for each event, on standard error.

Events are `eliot` messages; this module is their only destination. Messages of libraries that
use the standard `logging` module are turned into events too, so that every line has one form.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any

import eliot
import msgspec

LogValue = str | int | float | bool | None

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

LIBRARY_MESSAGE_INTERVAL_SECONDS = 10.0
MAXIMUM_LIBRARY_MESSAGES = 256

_OMITTED = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "level"})
_SAFE_PUNCTUATION = frozenset("._:/-+@,%[]{}()*;~^<>!?&|#$")


def configure_logs(
    minimum_level: str, write: Callable[[str], object] = sys.stderr.write
) -> Callable[[], None]:
    """Send events of at least a level to `write`, one line each; return what undoes it."""
    destination = _LineDestination(LEVELS[minimum_level], write)
    handler = _LibraryHandler()
    eliot.add_destinations(destination)
    logging.getLogger().addHandler(handler)
    logging.getLogger().setLevel(logging.WARNING)

    def undo() -> None:
        eliot.remove_destination(destination)
        logging.getLogger().removeHandler(handler)

    return undo


def log_event(event: str, level: str = "info", **fields: LogValue) -> None:
    """Write one event."""
    eliot.log_message(message_type=event, level=level, **fields)


def format_line(message: Mapping[str, Any]) -> str:
    """Return an `eliot` message as one line: time, level and event first, then its fields."""
    time = datetime.fromtimestamp(float(message["timestamp"]), UTC)
    parts = [
        f"time={time.isoformat(timespec='milliseconds').replace('+00:00', 'Z')}",
        f"level={message.get('level', 'info')}",
        f"event={_format_value(message.get('message_type', 'message'))}",
    ]
    parts.extend(
        f"{_format_key(key)}={_format_value(value)}"
        for key, value in message.items()
        if key not in _OMITTED
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
    if text and all(map(_is_plain, text)):
        return text
    return msgspec.json.encode(text).decode()


def _is_plain(letter: str) -> bool:
    return (letter.isascii() and letter.isalnum()) or letter in _SAFE_PUNCTUATION


class _LineDestination:
    def __init__(self, minimum: int, write: Callable[[str], object]) -> None:
        self._minimum = minimum
        self._write = write

    def __call__(self, message: Mapping[str, Any]) -> None:
        if LEVELS.get(message.get("level", "info"), LEVELS["error"]) >= self._minimum:
            self._write(format_line(message) + "\n")


class _LibraryHandler(logging.Handler):
    """Turns library messages into events, the same message at most once in a while.

    A broken caller could otherwise have a library fill the log with one message.
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
