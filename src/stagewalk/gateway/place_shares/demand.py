"""Who asks for places at engines, and how many of them it may have. Pure.

Owns the types that the runner of batches, the nodes' announcements and the rule of shares exchange.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Claimant:
    """Whose items share places: those of one trainer of one tenant.

    Attributes
    ----------
    tenant
        As in `BatchHeader`: empty if nobody's, None where no tenants are in force.
    trainer
        The key that its batches share.
    """

    tenant: str | None
    trainer: str


@dataclass(frozen=True, slots=True)
class PlaceDemand:
    """What the items of one claimant, run at one node, ask of a service's engines.

    Attributes
    ----------
    running
        Items at an engine.
    waiting
        Items that could begin if there were a place.
    """

    claimant: Claimant
    service: str
    running: int
    waiting: int

    @property
    def items(self) -> int:
        """Return how many places its items would take if there were enough."""
        return self.running + self.waiting


class PlaceLimits(Protocol):
    """How many places a claimant's items may have."""

    def most(self, claimant: Claimant, service: str, now: float) -> float:
        """Return the most places for items of a claimant that this node runs, infinite if any."""


class UnlimitedPlaces:
    """No claimant's places are limited."""

    def most(self, claimant: Claimant, service: str, now: float) -> float:
        """Return infinity."""
        return math.inf
