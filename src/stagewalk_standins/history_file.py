"""Append-only file of a process's observations, one JSON line each."""

from __future__ import annotations

import os
import time
from collections.abc import Iterable
from pathlib import Path

from stagewalk.history.observations import AnyObservation, encode_line


def clock() -> float:
    """Return the machine's monotonic clock in seconds, shared by all its processes."""
    return time.monotonic()


class HistoryFile:
    """Appends observations to a file; without a path they are dropped.

    Opening truncates a partial last line, left by a process killed while writing.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._descriptor: int | None = None
        if path is not None:
            self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
            self._truncate_partial_line(path)

    def write(self, observation: AnyObservation) -> None:
        """Append one observation, unbuffered."""
        self.write_line(encode_line(observation))

    def write_line(self, line: bytes) -> None:
        """Append one encoded observation, unbuffered."""
        if self._descriptor is not None:
            os.write(self._descriptor, line)

    def write_missing(self, lines: Iterable[bytes]) -> None:
        """Append those lines that the file does not hold yet."""
        if self._path is None:
            return
        present = set(self._path.read_bytes().splitlines(keepends=True))
        for line in lines:
            if line not in present:
                self.write_line(line)

    def _truncate_partial_line(self, path: Path) -> None:
        content = path.read_bytes()
        whole = content.rfind(b"\n") + 1
        if whole != len(content):
            os.truncate(path, whole)
