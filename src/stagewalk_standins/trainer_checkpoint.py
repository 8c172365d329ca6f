"""Trainer state that survives a restart.

The checkpoint is written before the observations of the same change and contains them. A restarted
trainer appends the missing ones, so that each accepted sample is recorded exactly once.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from stagewalk.history.observations import AnyObservation, encode_line
from stagewalk_standins.history_file import HistoryFile


class Checkpoint(msgspec.Struct, kw_only=True):
    """Persistent state of a trainer.

    Attributes
    ----------
    step
        Current step.
    waiting_since
        Time at which it began to wait for the step's samples, or None.
    cursor
        Cursor of the last processed pull answer of this step.
    complete
        Whether all samples of the step have been received.
    version
        Current weight version.
    publishing
        Version being published, or None.
    last_lines
        Encoded observations of the last change.
    """

    step: int = 1
    waiting_since: float | None = None
    cursor: str = ""
    accepted: int = 0
    accepted_in_step: int = 0
    complete: bool = False
    version: int = 0
    publishing: int | None = None
    last_lines: list[bytes] = []


class CheckpointFile:
    """Stores a checkpoint atomically on disk, or in memory without a path."""

    def __init__(self, path: Path | None, history: HistoryFile) -> None:
        self._path = path
        self._history = history
        self.state = Checkpoint()
        self.restored = False
        if path is not None and path.exists():
            self.state = msgspec.json.decode(path.read_bytes(), type=Checkpoint)
            self.restored = True
            history.write_missing(self.state.last_lines)

    def commit(self, *observations: AnyObservation) -> None:
        """Persist the current state, then append the observations that go with it."""
        self.state.last_lines = [encode_line(observation) for observation in observations]
        if self._path is not None:
            temporary = self._path.with_suffix(".new")
            temporary.write_bytes(msgspec.json.encode(self.state))
            os.replace(temporary, self._path)
        for line in self.state.last_lines:
            self._history.write_line(line)
