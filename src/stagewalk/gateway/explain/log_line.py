"""Reads the lines that `stagewalk.common.logs.lines` writes. Pure.

Owns the reading of one line; relies on that module's form, `key=value` with quoted values.
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
        Time of day on the node that wrote it, in seconds since 1970.
    node
        Its name, or the name of the file the line stood in.
    fields
        Names and values as written, without time, level, event and node.
    """

    at: float
    level: str
    event: str
    node: str
    fields: tuple[tuple[str, str], ...]

    @property
    def failure(self) -> bool:
        """Whether it reports a failure."""
        return self.level in _FAILURE_LEVELS

    def get(self, field: str) -> str:
        """Return a field's value, empty if there is none."""
        return next((value for name, value in self.fields if name == field), "")

    def describe(self) -> str:
        """Return its event and fields as they were written, without quotes."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.event} {fields}".rstrip()


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a line of a log, None for anything else; text before its time is skipped.

    Parameters
    ----------
    text
        The line.
    source
        Name of the file it stands in, for lines that name no node.
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
    """Return all lines of a log in a text."""
    return [line for text in texts if (line := parse_line(text, source)) is not None]


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.DecodeError:
        return value
