"""Applies the claimants' shares of engine places: announces this node's demand, reads the others'.

Owns when shares are computed, and the log lines about them. Relies on the scheduler for the demand
of the batches run here, on `nodes` for the demand that other nodes announce, on the worker table
for the available places, and on `place_shares` for the rule.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.place_demand import ClaimantPlaces, ShareLimitedBatch
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.place_shares.claims import build_claims
from stagewalk.gateway.place_shares.demand import PlaceDemand
from stagewalk.gateway.place_shares.limits import ShareLimits
from stagewalk.gateway.place_shares.places import EnginePlaces
from stagewalk.gateway.place_shares.shares import ServiceShares
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.zones.evacuations import Evacuations

SHARE_INTERVAL_SECONDS = 0.25
"""Interval between two computations of the shares: it bounds how late removed engines and lower
demand take effect."""

LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between two log lines on the shares of a service, and between two on the
withheld starts of a batch."""

SIGNIFICANT_LEVEL_CHANGE = 0.25
"""A change of a level is logged if it exceeds this fraction of the level."""


@dataclass(frozen=True, slots=True)
class _LoggedShares:
    at: float
    shares: ServiceShares


class PlaceSharing:
    """Computes the shares while batches run here, and announces the demand of these batches."""

    def __init__(
        self,
        limits: ShareLimits,
        *,
        nodes: NodeService,
        scheduler: BatchScheduler,
        workers: WorkerTable,
        evacuations: Evacuations,
    ) -> None:
        self._limits = limits
        self._nodes = nodes
        self._scheduler = scheduler
        self._workers = workers
        self._evacuations = evacuations
        self._logged: dict[str, _LoggedShares] = {}
        self._withheld_at: dict[str, float] = {}

    async def run(self) -> None:
        """Compute the shares periodically."""
        while True:
            self.update()
            await anyio.sleep(SHARE_INTERVAL_SECONDS)

    def update(self) -> None:
        """Compute the shares from what is known now."""
        now = steady_seconds()
        own = self._scheduler.place_demands
        self._nodes.set_claims(build_claims(own))
        if not own:
            self._limits.clear()
        else:
            others = self._nodes.claims_of_others()
            self._limits.update(own, others, self._places(own, now))
        self._log_changes(self._limits.shares, now)
        self._log_withheld(self._scheduler.withheld(now), now)

    def claimants(self) -> list[ClaimantPlaces]:
        """Return the places of each claimant that has items here."""
        return self._scheduler.claimant_places(steady_seconds())

    def _places(self, own: list[PlaceDemand], now: float) -> dict[str, float]:
        return {
            service: EnginePlaces(self._workers.usable(service), now).total(self._evacuations.zones)
            for service in {demand.service for demand in own}
        }

    def _log_changes(self, shares: Mapping[str, ServiceShares], now: float) -> None:
        for service in [*shares, *(known for known in self._logged if known not in shares)]:
            current = shares.get(service, ServiceShares.none())
            logged = self._logged.get(service)
            before = ServiceShares.none() if logged is None else logged.shares
            recent = logged is not None and now - logged.at < LOG_INTERVAL_SECONDS
            if recent or not _is_significant_change(before.level, current.level):
                continue
            if current.in_force:
                self._logged[service] = _LoggedShares(now, current)
            else:
                self._logged.pop(service, None)
            log_event(
                "place_shares_changed",
                service=service,
                in_force=current.in_force,
                places=current.places,
                claimants=current.claimants,
                items=current.items,
                most_places=current.level,
            )

    def _log_withheld(self, withheld: list[ShareLimitedBatch], now: float) -> None:
        """Log batches whose items wait for their claimant's share, so that `explain` finds them."""
        waiting = {starts.batch for starts in withheld}
        self._withheld_at = {
            batch: at for batch, at in self._withheld_at.items() if batch in waiting
        }
        for starts in withheld:
            if now - self._withheld_at.get(starts.batch, -math.inf) < LOG_INTERVAL_SECONDS:
                continue
            self._withheld_at[starts.batch] = now
            places = starts.places
            log_event(
                "starts_withheld",
                batch=starts.batch,
                tenant=places.claimant.tenant,
                trainer=places.claimant.trainer,
                service=places.service,
                waiting=starts.waiting,
                taken_places=places.taken,
                most_places=places.most,
            )


def _is_significant_change(before: float, after: float) -> bool:
    """Whether a level began or ceased to be in force, or changed enough to be logged."""
    if math.isinf(before) or math.isinf(after):
        return before != after
    return abs(after - before) > SIGNIFICANT_LEVEL_CHANGE * before
