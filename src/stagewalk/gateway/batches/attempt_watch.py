"""Decides which running attempts to abandon: silent, in an evacuated zone, or slow. Pure.

Defines the event timeouts and when an item is urgent. Inputs, in seconds: the time of the attempt's
last event, the engine's time per event, the route's `due_seconds`. `move_choice` judges room and
speed at other engines, `eligibility` gives the engines that an item may go to.
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
"""An attempt without an event for this long is abandoned."""

MINIMUM_EVENT_TIMEOUT_SECONDS = 0.7
SHORT_SILENCE_EVENTS = 8.0
"""If another engine has room, the event timeout is this many times the engine's time per event, but
at least `MINIMUM_EVENT_TIMEOUT_SECONDS`."""

MOVE_COOLDOWN_SECONDS = 1.5
"""How long a moved item stays at its engine, so that items don't keep moving from engine to
engine."""

URGENT_SHARE = 0.6
"""An item is urgent if its expected end is later than this share of the time its batch has. Guards
against long items that miss their due time at a slow engine."""

FIRST_EVENT_TIMEOUT_SECONDS = 3.0
"""Timeout before the first event, when the item may still be queued for a slot."""


class AttemptWatch:
    """Judges running attempts by what has been observed of their engines."""

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
        """Return the workers that may run an item now: eligible, on weights that are new enough.

        Parameters
        ----------
        request_leases
            Whether to request leases on cold workers that could run the item.
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

    def is_silent(self, batch: Batch, item: ItemRun, now: float) -> bool:
        """Whether an attempt's last event is too long ago; sooner if another engine has room.

        Time that the worker spends loading weights doesn't count.
        """
        attempt = item.running
        assert attempt is not None
        worker = self._workers.worker(attempt.worker)
        since = attempt.last_event_at
        if worker is not None:
            since = max(since, min(worker.loading_until.get(item.spec.model, since), now))
        silence = now - since
        if len(item.events) == attempt.events_before:
            # An engine that is no longer listed and has sent nothing gets the short timeout.
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

    def should_evacuate(self, batch: Batch, item: ItemRun, now: float) -> bool:
        """Whether an item's engine is in a zone being evacuated and another engine has room.

        Without room elsewhere the item finishes soonest where it is: an evacuation only has to
        keep new work away.
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
        """Whether an item would finish considerably earlier at another engine."""
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
        """Whether an item may finish close to its batch's due time."""
        route = self._route_of(batch.header.host, item.spec.path)
        if route is None:
            return False
        return now - batch.seen_at + seconds_left > URGENT_SHARE * route.due_seconds
