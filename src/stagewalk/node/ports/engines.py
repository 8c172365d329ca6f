"""Port of the model engines.

Implemented by `adapters.http_engines`; failures are events or values, never exceptions.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from expression import Result

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import Address
from stagewalk.node.core.events import (
    AttemptChunk,
    AttemptFailed,
    AttemptFinished,
    AttemptRefused,
    OrderAnswered,
)
from stagewalk.node.core.instructions import CancelAttempt, SendEngineOrder, StartAttempt
from stagewalk.node.core.platform import EngineReport

FinalAttemptEvent = AttemptFinished | AttemptRefused | AttemptFailed
AttemptEvent = AttemptChunk | FinalAttemptEvent
AttemptSink = Callable[[AttemptEvent], Awaitable[None]]
"""Receives an attempt's events in order; waiting in it slows the engine's stream."""


class EngineClient(Protocol):
    """What a node asks of engines; every call names the engine's address."""

    async def run_attempt(self, start: StartAttempt, deliver: AttemptSink) -> None:
        """Send an attempt and deliver its chunks, then exactly one final event."""

    async def cancel(self, cancel: CancelAttempt) -> Result[None, StagewalkError]:
        """Cancel an attempt at the engine."""

    async def report(self, engine: str, address: Address) -> Result[EngineReport, StagewalkError]:
        """Read the engine's report."""

    async def order(self, order: SendEngineOrder) -> OrderAnswered:
        """Send a fenced order; no answer in time is `EngineOrderOutcome.UNKNOWN`."""
