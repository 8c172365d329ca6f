"""Event logging to standard error through eliot, one line of key=value pairs per event."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import eliot

ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})


class KeyValueDestination:
    """An eliot destination that writes each message as one line."""

    def __init__(self, process: str, output: TextIO) -> None:
        self._process = process
        self._output = output

    def __call__(self, message: dict[str, object]) -> None:
        """Write a message."""
        parts = [
            f"time={message['timestamp']:.3f}",
            f"process={self._process}",
            f"event={message['message_type']}",
        ]
        for key, value in message.items():
            if key not in ELIOT_FIELDS:
                parts.append(f"{key}={_quoted(value)}")
        self._output.write(" ".join(parts) + "\n")
        self._output.flush()


def start_event_log(process: str) -> None:
    """Send this process's events to standard error."""
    eliot.add_destinations(KeyValueDestination(process, sys.stderr))
    logging.getLogger("httpx").setLevel(logging.WARNING)


def log_event(name: str, **fields: str | int | float | bool) -> None:
    """Log one event."""
    eliot.log_message(message_type=name, **fields)


def _quoted(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(character in text for character in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
