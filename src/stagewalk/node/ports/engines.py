"""Port of the model engines.

Implemented by `adapters.http_engines`. Failures are returned or delivered, never raised.
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
"""Receives an attempt's events in order; a slow sink slows down the engine's stream."""


class EngineClient(Protocol):
    """Client of the model engines; every call names the address of the engine."""

    async def run_attempt(self, start: StartAttempt, deliver: AttemptSink) -> None:
        """Send an attempt and deliver its chunks, then exactly one final event."""

    async def cancel(self, cancel: CancelAttempt) -> Result[None, StagewalkError]:
        """Cancel an attempt at the engine."""

    async def report(self, engine: str, address: Address) -> Result[EngineReport, StagewalkError]:
        """Read the engine's report."""

    async def order(self, order: SendEngineOrder) -> OrderAnswered:
        """Send an order with a fencing token; `EngineOrderOutcome.UNKNOWN` if no answer came."""
