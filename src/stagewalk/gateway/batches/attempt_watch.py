"""Decides which attempts under way to leave: silent, in an evacuated zone, or slow. Pure.

Owns the bounds of silence and when an item is urgent. Inputs, in seconds: when the attempt's last
event came, the engine's time for an event, the route's `due_seconds`. Relies on `placement` for
room and speed elsewhere, and on `eligibility` for the engines that an item may go to.
"""

from __future__ import annotations

from collections.abc import Callable

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.memory_fit import EngineRoom
from stagewalk.gateway.batches.move_choice import faster_engine, has_room_elsewhere
from stagewalk.gateway.eligibility.core import Eligibility, RequestScope
from stagewalk.gateway.scoring.core import RouteLookup
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

EVENT_TIMEOUT_SECONDS = 1.6
"""An engine that brings no event of an item for this long is left."""

MINIMUM_EVENT_TIMEOUT_SECONDS = 0.7
SHORT_SILENCE_EVENTS = 8.0
"""With room at another engine it is left after this many times what an event takes at it, but not
before `MINIMUM_EVENT_TIMEOUT_SECONDS`."""

MOVE_COOLDOWN_SECONDS = 1.5
"""An item that was moved stays where it is for this long. Without a pause items went from engine to
engine, 1,052 moves on a quiet day."""

URGENT_SHARE = 0.6
"""An item is urgent that is expected to end after this part of the time its batch has. Long items
at an engine 1.3 times slower missed their due time."""

FIRST_EVENT_TIMEOUT_SECONDS = 3.0
"""Longest silence before the first event, when the item may still wait for its slot."""


class AttemptWatch:
    """Judges attempts under way by what their engines have shown."""

    def __init__(
        self,
        workers: WorkerTable,
        eligibility: Eligibility,
        route_of: RouteLookup,
        lengths: LengthEstimate,
        *,
        room: EngineRoom,
    ) -> None:
        self._workers = workers
        self._eligibility = eligibility
        self._route_of = route_of
        self._lengths = lengths
        self._room = room

    def candidates(
        self, batch: Batch, item: ItemRun, now: float, *, request_leases: bool = False
    ) -> list[Worker]:
        """Return the workers that may run an item now: eligible, on weights that fit.

        Parameters
        ----------
        request_leases
            Whether to ask for leases on cold workers that could run it: it waits for a worker.
        """
        route = self._route_of(batch.header.host, item.spec.path)
        if route is None:
            return []
        scope = RequestScope(route, item.content, batch.header.tenant)
        workers: list[Worker] = []
        for back_end in route.back_ends:
            found = self._eligibility.candidates(back_end.service, scope, now)
            workers += found.workers
            if request_leases:
                self._eligibility.request_leases(found, now)
        model = item.spec.model
        oldest = batch.header.minimum_version
        return [w for w in workers if w.versions.get(model, oldest) >= oldest]

    def silent(self, batch: Batch, item: ItemRun, now: float) -> bool:
        """Whether an attempt has brought nothing for too long; sooner if there is room elsewhere.

        A worker is silent while it loads weights, which is no reason to leave it.
        """
        attempt = item.running
        assert attempt is not None
        worker = self._workers.worker(attempt.worker)
        since = attempt.last_event_at
        if worker is not None:
            since = max(since, min(worker.loading_until.get(item.spec.model, since), now))
        silence = now - since
        if len(item.events) == attempt.events_before:
            # An engine that is listed no more, and brought nothing yet, is not worth the wait.
            return silence > (
                MINIMUM_EVENT_TIMEOUT_SECONDS if worker is None else FIRST_EVENT_TIMEOUT_SECONDS
            )
        pace = None if worker is None else worker.recent_latency(now)
        short = max(MINIMUM_EVENT_TIMEOUT_SECONDS, SHORT_SILENCE_EVENTS * (pace or 0.0))
        if silence <= min(short, EVENT_TIMEOUT_SECONDS):
            return False
        candidates = self.candidates(batch, item, now)
        return silence > EVENT_TIMEOUT_SECONDS or has_room_elsewhere(
            worker, candidates, item.spec.model, now, fits=self._fits(item, now)
        )

    @property
    def evacuating(self) -> bool:
        """Whether any zone is being evacuated."""
        return bool(self._eligibility.evacuations.zones)

    def evacuated(self, batch: Batch, item: ItemRun, now: float) -> bool:
        """Whether an item's engine is in a zone being evacuated, and another one has room.

        Where none has, the item is done soonest where it is: only new work must not go there.
        """
        assert item.running is not None
        current = self._workers.worker(item.running.worker)
        zones = self._eligibility.evacuations.zones
        if current is None or current.announcement.zone not in zones:
            return False
        candidates = self.candidates(batch, item, now)
        fits = self._fits(item, now)
        return has_room_elsewhere(current, candidates, item.spec.model, now, fits=fits)

    def faster_elsewhere(self, batch: Batch, item: ItemRun, now: float) -> bool:
        """Whether an item would be done well before at another engine."""
        assert item.running is not None
        if now - item.moved_at < MOVE_COOLDOWN_SECONDS:
            return False
        current = self._workers.worker(item.running.worker)
        if current is None:
            return False
        left = self._lengths.events_left(item)
        seconds = current.recent_latency(now) or current.latency or 0.0
        faster = faster_engine(
            current,
            self.candidates(batch, item, now),
            item.spec.model,
            now,
            left=left,
            urgent=self._urgent(batch, item, left * seconds, now),
            fits=self._fits(item, now),
        )
        return faster is not None

    def _fits(self, item: ItemRun, now: float) -> Callable[[Worker], bool]:
        return lambda engine: self._room.fits(engine, item, now)

    def _urgent(self, batch: Batch, item: ItemRun, seconds_left: float, now: float) -> bool:
        """Whether an item may end near the time when its batch is due."""
        route = self._route_of(batch.header.host, item.spec.path)
        if route is None:
            return False
        return now - batch.seen_at + seconds_left > URGENT_SHARE * route.due_seconds
