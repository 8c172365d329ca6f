"""The network: latencies, datagrams that may be lost, and streams that stall and break.

A message is an action that delivers it, not bytes; the sender's and receiver's names decide
whether a partition blocks it.

Owns partitions, impairments and open connections; relies on `virtual_time` for delivery and on the
layout's latencies.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.simulation.layout import Endpoint, Latencies
from stagewalk.simulation.virtual_time import Action, Scheduler

RETRANSMIT_SECONDS = 0.2
STALL_LIMIT_SECONDS = 3.0
"""How long a stream may be blocked before it breaks."""


@dataclass(frozen=True, slots=True)
class Partition:
    """Nothing from `sources` reaches `targets`."""

    sources: frozenset[str]
    targets: frozenset[str]

    def blocks(self, source: str, target: str) -> bool:
        """Return whether it blocks a message."""
        return source in self.sources and target in self.targets


@dataclass(frozen=True, slots=True, kw_only=True)
class Impairment:
    """Fractions of messages lost, duplicated or reordered, and added delay."""

    loss_fraction: float = 0.0
    duplicate_fraction: float = 0.0
    reorder_fraction: float = 0.0
    added_seconds: float = 0.0


class Network:
    """Carries messages between endpoints."""

    def __init__(
        self, scheduler: Scheduler, latencies: dict[str, Latencies], generator: random.Random
    ) -> None:
        self.scheduler = scheduler
        self._latencies = latencies
        self._generator = generator
        self._partitions: list[Partition] = []
        self._impairments: list[Impairment] = []

    def begin_partition(self, partition: Partition) -> None:
        """Block a direction."""
        self._partitions.append(partition)

    def end_partition(self, partition: Partition) -> None:
        """Deliver messages again."""
        self._partitions.remove(partition)

    def begin_impairment(self, impairment: Impairment) -> None:
        """Apply an impairment to the whole network."""
        self._impairments.append(impairment)

    def end_impairment(self, impairment: Impairment) -> None:
        """Remove an impairment."""
        self._impairments.remove(impairment)

    def blocked(self, source: Endpoint, target: Endpoint) -> bool:
        """Return whether a partition blocks this direction."""
        return any(each.blocks(source.name, target.name) for each in self._partitions)

    def latency(self, source: Endpoint, target: Endpoint) -> float:
        """Draw the one-way latency of a message, in seconds."""
        here, there = source.placement, target.placement
        latencies = self._latencies[here.region]
        if here.region != there.region:
            base = latencies.between_regions
        elif here.zone != there.zone:
            base = latencies.between_zones
        else:
            base = latencies.within_zone
        jitter = 1.0 + latencies.jitter_fraction * self._generator.random()
        added = sum(each.added_seconds for each in self._impairments)
        if added:
            added *= 0.5 + self._generator.random()
        return base * jitter + added

    def send_datagram(self, source: Endpoint, target: Endpoint, deliver: Action) -> None:
        """Send a message that may be lost, duplicated or reordered."""
        if self.blocked(source, target):
            return
        delay = self.latency(source, target)
        for impairment in self._impairments:
            if self._generator.random() < impairment.loss_fraction:
                return
            if self._generator.random() < impairment.duplicate_fraction:
                self.scheduler.after(2.0 * delay, deliver)
            if self._generator.random() < impairment.reorder_fraction:
                delay *= 1.0 + 4.0 * self._generator.random()
        self.scheduler.after(delay, deliver)

    def stream_delay(self, source: Endpoint, target: Endpoint) -> float:
        """Draw how long a piece of a stream takes, retransmissions included."""
        delay = self.latency(source, target)
        for impairment in self._impairments:
            if self._generator.random() < impairment.loss_fraction:
                delay += RETRANSMIT_SECONDS
        return delay


class Direction:
    """One direction of a stream: in order, held back while blocked, then broken."""

    def __init__(
        self, network: Network, source: Endpoint, target: Endpoint, broken: Action
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._broken = broken
        self._next_at = 0.0
        self._queue: list[Action] = []
        self._blocked_since: float | None = None

    def send(self, deliver: Action) -> None:
        """Deliver an action after all that were sent before it."""
        if self._blocked_since is not None or self._network.blocked(self._source, self._target):
            self._queue.append(deliver)
            if self._blocked_since is None:
                self._blocked_since = self._network.scheduler.now
                self._network.scheduler.after(RETRANSMIT_SECONDS, self._retry)
            return
        self._transmit(deliver)

    def _transmit(self, deliver: Action) -> None:
        scheduler = self._network.scheduler
        arrival = scheduler.now + self._network.stream_delay(self._source, self._target)
        self._next_at = max(self._next_at, arrival)
        scheduler.at(self._next_at, deliver)

    def _retry(self) -> None:
        scheduler = self._network.scheduler
        assert self._blocked_since is not None
        if not self._network.blocked(self._source, self._target):
            self._blocked_since = None
            queue, self._queue = self._queue, []
            for deliver in queue:
                self._transmit(deliver)
        elif scheduler.now - self._blocked_since >= STALL_LIMIT_SECONDS:
            self._queue.clear()
            self._broken()
        else:
            scheduler.after(RETRANSMIT_SECONDS, self._retry)


class Connection:
    """A stream between a client and a server, until either closes it or it breaks.

    Parameters
    ----------
    client_lost, server_lost
        Called when the stream breaks or the other end closes; the argument is True if the
        network, not the other process, is the cause.
    """

    def __init__(
        self,
        network: Network,
        client: Endpoint,
        server: Endpoint,
        client_lost: Callable[[bool], None],
        server_lost: Callable[[bool], None],
    ) -> None:
        self._network = network
        self._client_lost = client_lost
        self._server_lost = server_lost
        self.open = True
        self._to_server = Direction(network, client, server, self._break)
        self._to_client = Direction(network, server, client, self._break)

    def send_to_server(self, deliver: Action) -> None:
        """Send from the client."""
        if self.open:
            self._to_server.send(lambda: self._deliver(deliver))

    def send_to_client(self, deliver: Action) -> None:
        """Send from the server."""
        if self.open:
            self._to_client.send(lambda: self._deliver(deliver))

    def finish(self) -> None:
        """Close without notifying either end, after the final answer."""
        self.open = False

    def client_gone(self) -> None:
        """Report to the server that the client closed or died."""
        if self.open:
            self._to_server.send(lambda: self._lose(self._server_lost))

    def server_gone(self) -> None:
        """Report to the client that the server closed or died."""
        if self.open:
            self._to_client.send(lambda: self._lose(self._client_lost))

    def _deliver(self, deliver: Action) -> None:
        if self.open:
            deliver()

    def _lose(self, lost: Callable[[bool], None]) -> None:
        if self.open:
            self.open = False
            lost(False)

    def _break(self) -> None:
        if self.open:
            self.open = False
            self._client_lost(True)
            self._server_lost(True)
