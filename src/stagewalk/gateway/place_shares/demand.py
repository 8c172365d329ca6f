"""Types for the demand for places at engines, and for its limits. Pure.

The batch runner, the announcements of nodes and the computation of shares exchange them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Claimant:
    """A party that places are shared among: one trainer of one tenant.

    Attributes
    ----------
    tenant
        As in `BatchHeader`: empty for no tenant, None if no tenants are configured.
    trainer
        The key that its batches share.
    """

    tenant: str | None
    trainer: str


@dataclass(frozen=True, slots=True)
class PlaceDemand:
    """Demand for a service's engines by the items of one claimant that one node runs.

    Attributes
    ----------
    running
        Items running at an engine.
    waiting
        Items ready to start that have no place yet.
    """

    claimant: Claimant
    service: str
    running: int
    waiting: int

    @property
    def items(self) -> int:
        """Return how many places its items would take without a limit."""
        return self.running + self.waiting


class PlaceLimits(Protocol):
    """Limits on the places that a claimant's items may take."""

    def most(self, claimant: Claimant, service: str, now: float) -> float:
        """Return the maximum places of a claimant at this node; infinite if not limited."""


class UnlimitedPlaces:
    """Place limits that limit no claimant."""

    def most(self, claimant: Claimant, service: str, now: float) -> float:
        """Return infinity."""
        return math.inf
