"""The node's pure core: all subsystems' cores composed into one state machine.

It does no I/O, reads no clock and draws no randomness but from the generator it is given,
so the daemon and the simulation run the same class.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from stagewalk.core.events import Event
from stagewalk.core.identities import Address, Incarnation, NodeName, Placement
from stagewalk.core.instructions import Instruction


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who this node is; `address` is its peer address for UDP and TCP."""

    name: NodeName
    incarnation: Incarnation
    address: Address
    placement: Placement


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """What an operator may ask a node.

    Attributes
    ----------
    configuration_offset
        Offset after the last configuration record folded.
    configuration_digest
        Digest of the whole state in force.
    revisions
        Revision in force, by tenant.
    models
        Models of all tenants in force.
    """

    name: str
    incarnation: int
    ready: bool
    stopping: bool
    configuration_offset: int
    configuration_digest: str
    revisions: dict[str, int]
    members: dict[str, str]
    requests_in_flight: int
    leases: dict[str, int]
    models: tuple[str, ...] = ()


class NodeCore:
    """One node's decisions: typed events in, typed instructions out.

    Parameters
    ----------
    identity
        The node's own name, incarnation and place.
    generator
        Source of all its random choices; seeded by the simulation.
    """

    def __init__(self, identity: NodeIdentity, generator: random.Random) -> None:
        self.identity = identity
        self._generator = generator

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take an event at time `now` (seconds, never decreasing) and return what to do."""
        raise NotImplementedError

    def status(self, now: float) -> NodeStatus:
        """Return what operators and probes may see."""
        raise NotImplementedError
