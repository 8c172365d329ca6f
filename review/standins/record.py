"""Writes what was sent, answered and run to a case's `record.txt`, with the time of each line."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """The record of one run of a case."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began = time.time()
        path.write_text("")

    def write(self, text: str) -> None:
        """Add a line, also to standard output."""
        line = f"{time.time() - self._began:8.3f} s  {text}"
        print(line, flush=True)
        with self._path.open("a") as record:
            record.write(f"{line}\n")
