"""Decides which waiting items start next, in which order, and begins their attempts. Pure.

Owns the order of starts and the priority of returned items. Relies on `placement` for the engine,
on `attempt_watch` for the candidates, and on `length_estimate` for how long an item will run.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.attempts import Attempts
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.engine_room import EngineRoom
from stagewalk.gateway.batches.item_run import ItemRun, RunningAttempt
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.messages import StartItem
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.place_shares.demand import PlaceLimits
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.scoring.core import MayStart
from stagewalk.gateway.workers.worker import Worker
from stagewalk.gateway.zones.distance import Proximity

RETURNED_PRIORITY = 4
"""Priority of an item that returns in a later batch, one above the engines' default: its trainer
waits for its group whichever others are whole, and of an engine whose memory runs out the newest of
the least urgent runs is stopped. Without it such an item lost its slot (62 preemptions on one day)
and its step ended after 12.6 s instead of 8."""


class AttemptStarter:
    """Begins attempts at items.

    Parameters
    ----------
    runs
        The batches run here, by name.
    attempts
        Where attempts that begin are added.
    numbers
        Numbers of attempts, shared with the score calls.
    proximity
        Where this node is: near engines are preferred.
    may_start
        Whether items of a batch may be sent to workers at a time.
    room
        Which engines have memory for an item.
    limits
        How many places the items of each trainer may have.
    """

    def __init__(
        self,
        runs: Mapping[str, BatchRun],
        attempts: Attempts,
        watch: AttemptWatch,
        lengths: LengthEstimate,
        numbers: Iterator[int],
        *,
        proximity: Proximity,
        policy: Policy,
        may_start: MayStart,
        room: EngineRoom,
        limits: PlaceLimits,
    ) -> None:
        self._room = room
        self._closed: set[_AlikeItems] = set()
        """Items that no engine can take at the moment."""
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
        """Begin attempts at the items that wait for one, as far as engines have room."""
        waiting = [
            (run, item)
            for run in self._runs.values()
            if self._may_start(run.name, now)
            for item in run.items.values()
            if item.waiting and item.not_before <= now
        ]
        waiting.sort(key=lambda pair: self._order(*pair))
        self._closed.clear()
        return [
            start
            for run, item in waiting
            if _alike(run, item) not in self._closed
            for start in self.start(run, item, now)
        ]

    def start(self, run: BatchRun, item: ItemRun, now: float) -> list[StartItem]:
        """Begin an attempt at an item; nothing if no engine has room for it."""
        worker = self._choose(run, item, now)
        if worker is None:
            return []
        attempt = next(self._numbers)
        name = worker.announcement.worker
        item.running = RunningAttempt(attempt, name, now, now, len(item.events))
        item.withheld_since = None
        worker.note_sent()
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
            priority=RETURNED_PRIORITY if item.known_events else None,
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
            fits=room.fits,
        )
        engine = engine or room.last_resort()
        if engine is None and found and room.closed:
            self._closed.add(_alike(run, item))
        return engine

    def _order(self, run: BatchRun, item: ItemRun) -> tuple[float, float, str]:
        """Older batches first, within one the items expected to run longest."""
        return run.batch.seen_at, -self._lengths.events(item), item.spec.group


@dataclass(frozen=True, slots=True)
class _AlikeItems:
    """Items that may go to the same engines: of one batch, model and route.

    Attributes
    ----------
    directory
        Their paths up to the last slash, which decide the route.
    """

    batch: str
    model: str
    directory: str


def _alike(run: BatchRun, item: ItemRun) -> _AlikeItems:
    return _AlikeItems(run.name, item.spec.model, item.spec.path.rpartition("/")[0])
