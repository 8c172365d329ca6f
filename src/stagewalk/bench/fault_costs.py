"""Measures the cost of machine failures in membership, in virtual time.

Only membership runs here: the traffic and processor time of other cores that react to the changes
are not included. `membership_network` runs the cores.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.bench.capacity_data import FaultMeasurement
from stagewalk.bench.membership_network import MembershipNetwork
from stagewalk.bench.planned_layout import node_identities
from stagewalk.common.identities import Placement
from stagewalk.node.membership.members import MemberState

JOIN_SECONDS = 20.0
STEP_SECONDS = 1.0
SETTLE_TIMEOUT_SECONDS = 90.0
RACK_NODES = 10
REGION_PARTITION_NODE_LIMIT = 210
"""Largest network in which regions are partitioned; larger ones take minutes."""

ONE_WAY_SECONDS = 0.002


@dataclass(slots=True)
class _Reading:
    bytes_sent: int
    cpu_seconds: float


class _FaultBench:
    """A joined network of nodes in the planned zones."""

    def __init__(self, node_count: int) -> None:
        self.network = MembershipNetwork(seed=1)
        self.network.delay = ONE_WAY_SECONDS
        self.placements: dict[str, Placement] = {}
        for identity in node_identities(node_count):
            place = identity.placement
            self.placements[identity.name] = place
            self.network.start(identity.name, place.zone, place.region)
        self.network.list_machines()
        self.network.run(JOIN_SECONDS)

    def names_in_zone(self, zone: str) -> list[str]:
        """Return the nodes of a zone."""
        return [name for name, place in self.placements.items() if place.zone == zone]

    def kill(self, names: list[str]) -> None:
        """Kill processes."""
        for name in names:
            self.network.kill(name)

    def restart(self, names: list[str]) -> None:
        """Restart processes under the same names and addresses."""
        for name in names:
            place = self.placements[name]
            self.network.start(name, place.zone, place.region)
        self.network.list_machines()

    def cut_regions(self) -> None:
        """Drop all messages between regions."""
        region = {name: place.region for name, place in self.placements.items()}
        self.network.cut = lambda sender, receiver: region[sender] != region[receiver]

    def heal(self) -> None:
        """Deliver all messages again."""
        self.network.cut = lambda sender, receiver: False

    def views_settled(self) -> bool:
        """Return whether each node sees exactly the running nodes it can reach."""
        cores, gone = self.network.cores, self.network.paused
        running = [name for name in cores if name not in gone]
        for observer in running:
            expected = {name for name in running if not self.network.cut(observer, name)}
            seen = {str(member.name) for member in cores[observer].members()}
            if seen != expected:
                return False
        return True


def measure_faults(node_count: int, with_regions: bool) -> tuple[FaultMeasurement, ...]:
    """Apply faults to a network in sequence and measure how long it takes to settle."""
    bench = _FaultBench(node_count)
    zone = next(iter(bench.placements.values())).zone
    one = bench.names_in_zone(zone)[:1]
    rack = bench.names_in_zone(zone)[:RACK_NODES]
    measured = [
        _measure(bench, "a machine fails", lambda: bench.kill(one)),
        _measure(bench, "a process starts anew", lambda: bench.restart(one)),
        _measure(bench, "a rack fails", lambda: bench.kill(rack)),
        _measure(bench, "the rack comes back", lambda: bench.restart(rack)),
        _measure(bench, "a zone fails", lambda: bench.kill(bench.names_in_zone(zone))),
        _measure(bench, "the zone comes back", lambda: bench.restart(bench.names_in_zone(zone))),
    ]
    if with_regions:
        measured.append(_measure(bench, "regions lose each other", bench.cut_regions))
        measured.append(_measure(bench, "regions meet again", bench.heal))
    return tuple(measured)


def _measure(bench: _FaultBench, fault: str, cause: Callable[[], None]) -> FaultMeasurement:
    network = bench.network
    network.notifications.clear()
    before = _read(network)
    started_at = network.now
    cause()
    settled = False
    while not settled and network.now - started_at < SETTLE_TIMEOUT_SECONDS:
        network.run(STEP_SECONDS)
        settled = bench.views_settled()
    after = _read(network)
    seconds = network.now - started_at
    count = len(network.cores)
    gone = set(network.paused)
    false_deaths = {
        subject
        for _, observer, subject in network.changes_to(MemberState.DEAD)
        if subject not in gone and not network.cut(observer, subject)
    }
    return FaultMeasurement(
        fault=fault,
        nodes=count,
        settled_seconds=seconds if settled else None,
        bytes_out=(after.bytes_sent - before.bytes_sent) / seconds / count,
        cpu_percent=100 * (after.cpu_seconds - before.cpu_seconds) / seconds / count,
        wrongly_dead=len(false_deaths),
    )


def _read(network: MembershipNetwork) -> _Reading:
    return _Reading(network.bytes_sent, time.process_time())
