"""UDP forwarding between peers, with faults for each ordered pair of them."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
import anyio.abc

from stagewalk_standins.forwarder_faults import Direction, LinkState

HostPort = tuple[str, int]


class DatagramMesh:
    """Forwards datagrams between peers, each of which has a proxy socket.

    A datagram is sent on from the sender's proxy socket, so that the receiver sees the address
    under which it knows the sender.

    Parameters
    ----------
    targets
        Each peer's own listening address, by name.
    pairs
        State of the link from the first peer to the second.
    """

    def __init__(
        self, targets: Mapping[str, HostPort], pairs: Mapping[tuple[str, str], LinkState]
    ) -> None:
        self._targets = targets
        self._names = {address: name for name, address in targets.items()}
        self._pairs = pairs
        self._fronts: dict[str, anyio.abc.UDPSocket] = {}
        self._sending = {name: anyio.Lock() for name in targets}

    async def run(self, fronts: Mapping[str, HostPort]) -> None:
        """Open every peer's proxy socket and forward datagrams until cancelled."""
        for name, (host, port) in fronts.items():
            self._fronts[name] = await anyio.create_udp_socket(local_host=host, local_port=port)
        async with anyio.create_task_group() as tasks:
            for name, front in self._fronts.items():
                tasks.start_soon(self._receive, name, front, tasks)

    async def _receive(
        self, receiver: str, front: anyio.abc.UDPSocket, tasks: anyio.abc.TaskGroup
    ) -> None:
        async for payload, source in front:
            sender = self._names.get((source[0], source[1]))
            state = self._pairs.get((sender, receiver)) if sender is not None else None
            if sender is None or state is None:
                continue
            for delay_seconds in _delivery_delays(state):
                tasks.start_soon(self._deliver, sender, receiver, payload, delay_seconds)

    async def _deliver(
        self, sender: str, receiver: str, payload: bytes, delay_seconds: float
    ) -> None:
        await anyio.sleep(delay_seconds)
        async with self._sending[sender]:
            await self._fronts[sender].sendto(payload, *self._targets[receiver])


def _delivery_delays(state: LinkState) -> list[float]:
    """Return the delay in seconds of each copy of a datagram; empty if it is lost."""
    faults, counts, generator = state.faults, state.counts, state.generator
    lost = Direction.TO_TARGET in faults.black_holes or faults.cut
    if lost or generator.random() < faults.loss_fraction:
        counts.datagrams_lost += 1
        return []
    delay_seconds = faults.delay_seconds
    if generator.random() < faults.reorder_fraction:
        counts.datagrams_reordered += 1
        delay_seconds += faults.reorder_seconds
    passes = [delay_seconds]
    if generator.random() < faults.duplicate_fraction:
        counts.datagrams_duplicated += 1
        passes.append(delay_seconds)
    return passes
