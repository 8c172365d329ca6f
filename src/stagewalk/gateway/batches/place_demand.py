"""The demand for places at engines of the batches run on this node. Pure.

An item takes a place of its claimant, which is its batch's trainer and tenant, at the first service
that the batch's route names.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand, PlaceLimits
from stagewalk.gateway.scoring.core import RouteLookup

ServiceClaimant = tuple[Claimant, str]
"""A claimant, and a service whose engines run its items."""

WeightAt = Callable[[str, str], float]
"""Returns how many places an item takes, by service and engine."""


@dataclass(frozen=True, slots=True)
class ClaimantPlaces:
    """The places of one claimant's items at one service, on one node.

    Attributes
    ----------
    taken
        Places of its running items, each weighted by the speed of its engine.
    waiting
        Number of items that wait for an attempt.
    most
        How many places its items may take, infinite if unlimited.
    """

    claimant: Claimant
    service: str
    taken: float
    waiting: int
    most: float


@dataclass(frozen=True, slots=True)
class ShareLimitedBatch:
    """A batch with items that wait because their claimant has used all its places."""

    batch: str
    waiting: int
    places: ClaimantPlaces


def claimant_of(run: BatchRun) -> Claimant:
    """Return the claimant whose places the items of a batch take."""
    header = run.batch.header
    return Claimant(header.tenant, header.trainer)


def engine_service(run: BatchRun, route_of: RouteLookup) -> str:
    """Return the service whose engines run a batch's items; empty if no route names one."""
    route = route_of(run.batch.header.host, run.batch.header.path)
    return "" if route is None else route.back_ends[0].service


def place_demands(runs: Iterable[BatchRun], route_of: RouteLookup) -> list[PlaceDemand]:
    """Return the demand of each claimant at each service."""
    running: Counter[tuple[Claimant, str]] = Counter()
    waiting: Counter[tuple[Claimant, str]] = Counter()
    for run in runs:
        key = claimant_of(run), engine_service(run, route_of)
        running[key] += sum(item.running is not None for item in run.items.values())
        waiting[key] += sum(item.waiting for item in run.items.values())
    return [PlaceDemand(*key, running[key], waiting[key]) for key in running]


def taken_places(
    runs: Iterable[BatchRun], route_of: RouteLookup, weight_at: WeightAt
) -> dict[ServiceClaimant, float]:
    """Return the places that each claimant's items take at each service."""
    taken: dict[ServiceClaimant, float] = {}
    for run in runs:
        service = engine_service(run, route_of)
        key = claimant_of(run), service
        taken[key] = taken.get(key, 0.0) + sum(
            weight_at(service, item.running.worker)
            for item in run.items.values()
            if item.running is not None
        )
    return taken


def claimant_places(
    demands: Iterable[PlaceDemand],
    taken: Mapping[ServiceClaimant, float],
    limits: PlaceLimits,
    now: float,
) -> list[ClaimantPlaces]:
    """Return the places that each claimant takes and its limit."""
    return [
        ClaimantPlaces(
            demand.claimant,
            demand.service,
            taken.get((demand.claimant, demand.service), 0.0),
            demand.waiting,
            limits.most(demand.claimant, demand.service, now),
        )
        for demand in demands
    ]


def has_place(taken: float, most: float) -> bool:
    """Whether a claimant may start one more item, at any engine."""
    return taken + 1.0 <= most


def withheld_starts(
    runs: Iterable[BatchRun], places: Sequence[ClaimantPlaces], route_of: RouteLookup
) -> list[ShareLimitedBatch]:
    """Return the batches with items that wait because their claimant's places are used up."""
    full = {
        (claimant.claimant, claimant.service): claimant
        for claimant in places
        if not has_place(claimant.taken, claimant.most)
    }
    withheld: list[ShareLimitedBatch] = []
    for run in runs if full else ():
        claimant = full.get((claimant_of(run), engine_service(run, route_of)))
        waiting = sum(item.waiting for item in run.items.values())
        if claimant is not None and waiting > 0:
            withheld.append(ShareLimitedBatch(run.name, waiting, claimant))
    return withheld
