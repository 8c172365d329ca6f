"""Decides which waiting items start next and begins their attempts. Pure.

Enforces each claimant's limit of places and sets the priority of resubmitted items. `start_order`
gives the order, `attempt_watch` the candidate engines, and `placement` chooses among them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from random import Random

from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.attempts import RunningAttempts
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun, RunningAttempt
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.memory_fit import EngineRoom
from stagewalk.gateway.batches.messages import StartItem
from stagewalk.gateway.batches.place_demand import (
    ClaimantPlaces,
    ServiceClaimant,
    ShareLimitedBatch,
    WeightAt,
    claimant_of,
    claimant_places,
    engine_service,
    has_place,
    place_demands,
    taken_places,
    withheld_starts,
)
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.batches.start_order import (
    StepBounds,
    WaitingItem,
    order_ample,
    order_scarce,
    usual_event_seconds,
)
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand, PlaceLimits
from stagewalk.gateway.place_shares.places import EnginePlaces
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.scoring.core import MayStart, RouteLookup
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Proximity

RESUBMITTED_ITEM_PRIORITY = 4
"""Priority of an item resubmitted in a later batch: one step more urgent than the engines' default,
since its trainer waits for its group in any case. An engine out of memory preempts the newest of
its least urgent runs: at the default priority such an item loses its slot and delays its step."""


@dataclass(frozen=True, slots=True)
class _Places:
    """The claimant and the service whose places a batch's items take, and the limit on them."""

    claimant: Claimant
    service: str
    most: float

    @property
    def key(self) -> ServiceClaimant:
        """Return the claimant and the service."""
        return self.claimant, self.service


class AttemptStarter:
    """Begins attempts at items.

    Parameters
    ----------
    runs
        The batches run on this node, by name.
    attempts
        Receives the attempts that begin.
    numbers
        Attempt numbers, shared with the score calls.
    workers
        The engines, with their usual time per event and the places that an item takes.
    route_of
        Finds the route of a batch, which states its service and when it is due.
    proximity
        Distances of zones from this node; near engines are preferred.
    may_start
        Whether items of a batch may be sent to workers at a given time.
    room
        Tells which engines have memory for an item.
    limits
        How many places each trainer's items may take.
    rng
        This node's random numbers, for the choice among nearly equal engines.
    """

    def __init__(
        self,
        runs: Mapping[str, BatchRun],
        attempts: RunningAttempts,
        watch: AttemptWatch,
        lengths: LengthEstimate,
        numbers: Iterator[int],
        *,
        workers: WorkerTable,
        route_of: RouteLookup,
        proximity: Proximity,
        policy: Policy,
        may_start: MayStart,
        room: EngineRoom,
        limits: PlaceLimits,
        rng: Random | None = None,
    ) -> None:
        self._rng = rng
        self._workers = workers
        self._route_of = route_of
        self._room = room
        self._blocked: set[_PlacementClass] = set()
        """Placement classes whose items no engine can take during this pass."""
        self._limits = limits
        self._runs = runs
        self._attempts = attempts
        self._watch = watch
        self._lengths = lengths
        self._numbers = numbers
        self._proximity = proximity
        self._policy = policy
        self._may_start = may_start

    def start_due(self, now: float) -> list[StartItem]:
        """Begin attempts at the waiting items that engines have room for.

        Items whose claimant has used all its places keep waiting.
        """
        waiting = [
            WaitingItem(run, item)
            for run in self._runs.values()
            if self._may_start(run.name, now)
            for item in run.items.values()
            if item.waiting and item.not_before <= now
        ]
        self._blocked.clear()
        places = {run.name: self._places(run, now) for run in self._runs.values()}
        ample = [pair for pair in waiting if math.isinf(places[pair.run.name].most)]
        starts = [
            start
            for pair in order_ample(ample, self._lengths)
            if _placement_class(pair.run, pair.item) not in self._blocked
            for start in self.start(pair.run, pair.item, now)
        ]
        if len(ample) < len(waiting):
            scarce = [pair for pair in waiting if math.isfinite(places[pair.run.name].most)]
            starts += self._start_within_shares(scarce, places, now)
        return starts

    def place_demands(self) -> list[PlaceDemand]:
        """Return each claimant's demand for places at each service."""
        return place_demands(self._runs.values(), self._route_of)

    def claimant_places(self, now: float) -> list[ClaimantPlaces]:
        """Return the places that each claimant's items take, and their limit."""
        taken = taken_places(self._runs.values(), self._route_of, self._weight_at(now))
        return claimant_places(self.place_demands(), taken, self._limits, now)

    def withheld(self, now: float) -> list[ShareLimitedBatch]:
        """Return the batches with items that wait because their claimant's places are used up."""
        return withheld_starts(self._runs.values(), self.claimant_places(now), self._route_of)

    def _places(self, run: BatchRun, now: float) -> _Places:
        claimant, service = claimant_of(run), engine_service(run, self._route_of)
        return _Places(claimant, service, self._limits.most(claimant, service, now))

    def _start_within_shares(
        self, waiting: list[WaitingItem], places: Mapping[str, _Places], now: float
    ) -> list[StartItem]:
        """Begin attempts at items of claimants whose places are limited."""
        weight_at = self._weight_at(now)
        taken = taken_places(self._runs.values(), self._route_of, weight_at)
        free = [
            pair
            for pair in waiting
            if has_place(taken[places[pair.run.name].key], places[pair.run.name].most)
        ]
        bounds = self._bounds({pair.run.name: pair.run for pair in free}.values(), places, now)
        starts: list[StartItem] = []
        for pair in order_scarce(free, bounds, self._lengths, now):
            share = places[pair.run.name]
            if not has_place(taken[share.key], share.most):
                continue
            if _placement_class(pair.run, pair.item) in self._blocked:
                continue
            begun = self.start(pair.run, pair.item, now)
            taken[share.key] += sum(weight_at(share.service, start.worker) for start in begun)
            starts += begun
        return starts

    def _weight_at(self, now: float) -> WeightAt:
        """Return a function that gives how many places an item takes at an engine."""
        by_service: dict[str, EnginePlaces] = {}

        def weight_at(service: str, worker: str) -> float:
            if service not in by_service:
                by_service[service] = EnginePlaces(self._workers.serving(service), now)
            engine = self._workers.worker(worker)
            return 1.0 if engine is None else by_service[service].weight(engine)

        return weight_at

    def _bounds(
        self, runs: Iterable[BatchRun], places: Mapping[str, _Places], now: float
    ) -> dict[str, StepBounds]:
        """Return the values that bound when each batch can complete, by batch."""
        bounds: dict[str, StepBounds] = {}
        paces: dict[str, float] = {}
        for run in runs:
            share, header = places[run.name], run.batch.header
            if share.service not in paces:
                engines = self._workers.serving(share.service)
                paces[share.service] = usual_event_seconds(engines, now)
            route = self._route_of(header.host, header.path)
            due_seconds = math.inf if route is None else route.due_seconds
            bounds[run.name] = StepBounds(due_seconds, share.most, paces[share.service])
        return bounds

    def start(self, run: BatchRun, item: ItemRun, now: float) -> list[StartItem]:
        """Begin an attempt at an item; do nothing if no engine has room for it."""
        worker = self._choose(run, item, now)
        if worker is None:
            return []
        attempt = next(self._numbers)
        name = worker.announcement.worker
        item.running = RunningAttempt(attempt, name, now, now, len(item.events))
        item.withheld_since = None
        worker.record_sent()
        self._attempts.add(attempt, run, item)
        header = run.batch.header
        start = StartItem(
            attempt,
            header.batch,
            header.host,
            item.spec,
            name,
            resume_after=len(item.events) or None,
            tenant=header.tenant,
            priority=RESUBMITTED_ITEM_PRIORITY if item.known_events else None,
        )
        return [start]

    def _choose(self, run: BatchRun, item: ItemRun, now: float) -> Worker | None:
        """Return the engine for an item's next attempt, None if none has room."""
        siblings = {
            other.running.worker
            for other in run.items.values()
            if other.running is not None and other.spec.group == item.spec.group
        }
        found = self._watch.candidates(run.batch, item, now, request_leases=True)
        room = self._room.search(item, now)
        engine = choose_engine(
            found,
            item.spec.model,
            now,
            proximity=self._proximity,
            siblings=siblings,
            avoid=item.last_worker,
            policy=self._policy,
            events=self._lengths.events_left(item),
            rng=self._rng,
            fits=room.fits,
        )
        engine = engine or room.last_resort()
        if engine is None and found and room.blocked:
            self._blocked.add(_placement_class(run, item))
        return engine


@dataclass(frozen=True, slots=True)
class _PlacementClass:
    """Key of items that may go to the same engines: those of one batch, model and route.

    Attributes
    ----------
    directory
        The items' path up to the last slash, which determines the route.
    """

    batch: str
    model: str
    directory: str


def _placement_class(run: BatchRun, item: ItemRun) -> _PlacementClass:
    return _PlacementClass(run.name, item.spec.model, item.spec.path.rpartition("/")[0])
