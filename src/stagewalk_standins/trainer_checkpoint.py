"""A trainer's checkpoint: what it needs to go on after it was killed.

The checkpoint is written before the observations it implies. It carries the lines of its
last change, so that a restarted trainer writes those that a kill kept from its history:
each accepted sample is observed once, whenever the kill comes.

Owns the checkpoint file; relies on `history_file` to find lines already written.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from stagewalk.history.observations import AnyObservation, encode_line
from stagewalk_standins.history_file import HistoryFile


class Checkpoint(msgspec.Struct, kw_only=True):
    """State of a trainer between two of its actions.

    Attributes
    ----------
    step
        Step in work.
    waiting_since
        When it began to wait for the step's samples; None before that.
    cursor
        Of the last pull answer taken in for this step.
    complete
        Whether every sample of the step is held, so that only training is left.
    version
        Version it holds.
    publishing
        Version it is about to publish.
    last_lines
        Observations of the last change.
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
    """Keeps a checkpoint on disk, replaced as a whole; without a path, in memory."""

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
        """Make the state as it is now, and the observations that go with it, lasting."""
        self.state.last_lines = [encode_line(observation) for observation in observations]
        if self._path is not None:
            temporary = self._path.with_suffix(".new")
            temporary.write_bytes(msgspec.json.encode(self.state))
            os.replace(temporary, self._path)
        for line in self.state.last_lines:
            self._history.write_line(line)
