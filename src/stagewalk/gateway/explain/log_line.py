"""Parses the log lines that `stagewalk.common.logs.lines` writes. Pure.

A line consists of `key=value` pairs; values may be quoted.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import msgspec

_FIELD = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|\S*)')
_FIRST_FIELD = "time="
_FAILURE_LEVELS = frozenset({"warning", "error"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one node.

    Attributes
    ----------
    at
        Wall-clock time on the node that wrote it, in seconds since 1970.
    node
        The node's name, or the name of the log file if the line names no node.
    fields
        Names and values in order, without time, level, event and node.
    """

    at: float
    level: str
    event: str
    node: str
    fields: tuple[tuple[str, str], ...]

    @property
    def failure(self) -> bool:
        """Whether its level is warning or error."""
        return self.level in _FAILURE_LEVELS

    def get(self, field: str) -> str:
        """Return a field's value, empty if the line has no such field."""
        return next((value for name, value in self.fields if name == field), "")

    def describe(self) -> str:
        """Return the event and its fields as text, without quotes."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.event} {fields}".rstrip()


def parse_line(text: str, source: str) -> LogLine | None:
    """Return the parsed line, None for other text; anything before `time=` is skipped.

    Parameters
    ----------
    text
        The line.
    source
        Name of the log file, used as node of lines that name none.
    """
    start = text.find(_FIRST_FIELD)
    if start < 0:
        return None
    pairs = [(name, _unquote(value)) for name, value in _FIELD.findall(text[start:])]
    known = dict(pairs)
    try:
        at = datetime.fromisoformat(known.get("time", "")).timestamp()
    except ValueError:
        return None
    if "event" not in known:
        return None
    head = {"time", "level", "event", "node"}
    fields = tuple((name, value) for name, value in pairs if name not in head)
    return LogLine(at, known.get("level", ""), known["event"], known.get("node") or source, fields)


def parse_lines(texts: Iterable[str], source: str) -> list[LogLine]:
    """Return the parsed log lines; other text is skipped."""
    return [line for text in texts if (line := parse_line(text, source)) is not None]


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.DecodeError:
        return value
