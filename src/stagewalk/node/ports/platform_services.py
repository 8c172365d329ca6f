"""Ports of the platform's services: log, machine list, weight store and scorer.

Implemented by `adapters.http_platform`. Each error names the step and the peer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import ModelName, RecordId
from stagewalk.node.core.instructions import ScoreSample
from stagewalk.node.core.platform import LogRecord, Machine, PublishedVersion


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream; `head` is the offset after the stream's last record."""

    records: tuple[LogRecord, ...]
    head: int


class LogService(Protocol):
    """The append-only log."""

    async def read(
        self, stream: str, offset: int, *, wait: bool = True
    ) -> Result[LogPage, StagewalkError]:
        """Read records from an offset on; with `wait`, wait some seconds for a first one."""

    async def append(
        self, stream: str, record_id: RecordId, payload: bytes
    ) -> Result[int, StagewalkError]:
        """Append a record and return its offset.

        An error with `ran=unknown` means that the record may have been appended anyway.
        """


class MachineList(Protocol):
    """The list of live and leaving machines."""

    async def read(self) -> Result[tuple[Machine, ...] | None, StagewalkError]:
        """Read the whole list; None if it has not changed since the last read."""


class WeightStore(Protocol):
    """The store of published weights."""

    async def versions(
        self, model: ModelName
    ) -> Result[tuple[PublishedVersion, ...], StagewalkError]:
        """Read the list of a model's versions."""


class Scorer(Protocol):
    """The service that scores samples."""

    async def score(self, sample: ScoreSample) -> Result[float, StagewalkError]:
        """Score one sample; idempotent."""
