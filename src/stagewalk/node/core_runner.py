"""The event loop around the core: queues ticks, handles events, executes instructions.

Owns the timing of ticks. Relies on the event queue for order and on the clock for time, which the
core itself does not read.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Protocol

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.core.events import TICK_INTERVAL_SECONDS, Event, Tick
from stagewalk.node.core.instructions import Instruction
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.metrics import CoreMetrics
from stagewalk.node.node_core import NodeStatus

Clock = Callable[[], float]


class Core(Protocol):
    """Interface of `NodeCore` that the shell uses."""

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Handle an event and return the instructions to carry out."""

    def status(self, now: float) -> NodeStatus:
        """Return the status for operators and probes."""


class CoreRunner:
    """Passes the core one event at a time and executes its instructions in order.

    An exception in the core ends the process: the core's state may be inconsistent, and peers
    tolerate the loss of a node.
    """

    def __init__(
        self,
        core: Core,
        events: EventQueue,
        execute: Callable[[Instruction], None],
        metrics: CoreMetrics,
        clock: Clock = steady_seconds,
    ) -> None:
        self._core = core
        self._events = events
        self._execute = execute
        self._metrics = metrics
        self._clock = clock
        self._tick_queued_at: float | None = None

    async def run(self) -> None:
        """Handle events until cancelled."""
        async for event in self._events.events():
            self._handle(event)

    async def tick(self) -> None:
        """Queue a tick every `TICK_INTERVAL_SECONDS`, unless the last one is still queued."""
        while True:
            await anyio.sleep(TICK_INTERVAL_SECONDS)
            if self._tick_queued_at is None:
                self._tick_queued_at = self._clock()
                await self._events.put(Tick())

    def status(self) -> NodeStatus:
        """Return the core's status now."""
        return self._core.status(self._clock())

    def _handle(self, event: Event) -> None:
        now = self._clock()
        if isinstance(event, Tick) and self._tick_queued_at is not None:
            self._metrics.tick_lag.set(now - self._tick_queued_at)
            self._tick_queued_at = None
        try:
            instructions = self._core.handle(event, now)
        except Exception as error:
            trace = "".join(traceback.format_exception(error))
            log_event("core_failed", "error", input=type(event).__name__, trace=trace)
            raise
        for instruction in instructions:
            self._execute(instruction)
        self._metrics.event_handling.observe(self._clock() - now)
