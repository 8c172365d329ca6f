"""How simulated clients call nodes.

Owns the choice of a node and the wait for a single answer; relies on `node_host` for the call
itself.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

import simpy

from stagewalk.common.identities import CallId
from stagewalk.node.core.events import Event
from stagewalk.simulation.layout import Endpoint
from stagewalk.simulation.node_host import CallAnswer, NodeHost
from stagewalk.simulation.virtual_time import Scheduler

REFUSED_CONNECTION_SECONDS = 0.2

EventFactory = Callable[[CallId, float], Event]


class SingleAnswerHandler:
    """Waits for the single answer of a call; None if the call broke or timed out."""

    def __init__(self, arrival: simpy.Event) -> None:
        self._arrival = arrival

    def answered(self, answer: CallAnswer) -> None:
        """Handle the answer."""
        self._settle(answer)

    def lost(self, by_network: bool) -> None:
        """Handle that no answer will come."""
        self._settle(None)

    def give_up(self) -> None:
        """Stop waiting."""
        self._settle(None)

    def _settle(self, answer: CallAnswer | None) -> None:
        if not self._arrival.triggered:
            self._arrival.succeed(answer)


def call_once(
    scheduler: Scheduler,
    client: Endpoint,
    node: NodeHost,
    factory: EventFactory,
    timeout_seconds: float,
) -> Generator[simpy.Event, Any, CallAnswer | None]:
    """Call a node and wait for its one answer; None if there is none."""
    arrival = scheduler.signal()
    handler = SingleAnswerHandler(arrival)
    connection = node.open_call(client, handler, factory)
    if connection is None:
        yield scheduler.sleep(REFUSED_CONNECTION_SECONDS)
        return None
    scheduler.after(timeout_seconds, handler.give_up)
    answer: CallAnswer | None = yield arrival
    if answer is None:
        connection.client_gone()
    else:
        connection.finish()
    return answer


def other_nodes(nodes: Sequence[NodeHost], home: NodeHost) -> tuple[NodeHost, ...]:
    """Return the nodes a client may fail over to."""
    others = tuple(node for node in nodes if node is not home)
    return others or (home,)
