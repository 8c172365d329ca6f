"""Generates nodes and engines in the proportions and zones of the planned deployment.

For measurements that need a membership or a machine list: names, loopback addresses, zones.
"""

from __future__ import annotations

import time

from stagewalk.bench import planned_load as planned
from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.core.platform import Machine, MachineKind, MachineState
from stagewalk.node.node_identity import NodeIdentity

ZONES = (
    Placement("amman", "jabal-hall"),
    Placement("new-england", "hall-north"),
    Placement("amman", "abdali-vault"),
    Placement("new-england", "hall-east"),
    Placement("amman", "marka-annex"),
    Placement("new-england", "hall-south"),
    Placement("amman", "sahab-yard"),
)
MODELS = ("qari", "rollout-lm")
"""One model a region; the service of its engines has the same name."""

NODE_NETWORK, ENGINE_NETWORK = 88, 89
"""Second octets of the loopback addresses of nodes and of engines."""

PEER_PORT = 7946
ENGINE_PORT = 8000
ADDRESSES_PER_NETWORK = 250


def node_identities(count: int) -> tuple[NodeIdentity, ...]:
    """Return `count` nodes, round robin over the zones, each with its own loopback address."""
    incarnation = Incarnation(time.time_ns() // 1_000_000)
    return tuple(
        NodeIdentity(
            NodeName(f"{ZONES[index % len(ZONES)].zone}-{index}"),
            incarnation,
            _address(NODE_NETWORK, index, PEER_PORT),
            ZONES[index % len(ZONES)],
        )
        for index in range(count)
    )


def machine_list(identities: tuple[NodeIdentity, ...]) -> tuple[Machine, ...]:
    """Return the machine list: these nodes, and engines in the planned proportion."""
    nodes = tuple(
        Machine(
            identity.name,
            MachineKind.NODE,
            identity.address,
            identity.placement,
            MachineState.LIVE,
            "stagewalk",
        )
        for identity in identities
    )
    engine_count = round(len(identities) * planned.ENGINES / planned.NODES)
    return nodes + tuple(_engine(index) for index in range(engine_count))


def _engine(index: int) -> Machine:
    placement = ZONES[index % len(ZONES)]
    service = MODELS[0] if placement.region == ZONES[0].region else MODELS[1]
    return Machine(
        f"{service}-{index}",
        MachineKind.ENGINE,
        _address(ENGINE_NETWORK, index, ENGINE_PORT),
        placement,
        MachineState.LIVE,
        service,
    )


def _address(network: int, index: int, port: int) -> Address:
    high, low = divmod(index, ADDRESSES_PER_NETWORK)
    return Address(f"127.{network}.{high}.{low + 1}", port)
