"""Decides which waiting item starts next, and at which engine. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun, RunningAttempt
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.messages import StartItem
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.scoring.core import MayStart
from stagewalk.gateway.zones.distance import Proximity

RETURNED_PRIORITY = 4
"""Of an item that came back, one above the engines' default: its trainer waits for its group
whichever others are whole, and of an engine whose memory runs out the newest of the least urgent
runs is stopped."""


class AttemptStarter:
    """Begins attempts at items.

    Parameters
    ----------
    numbers
        Numbers of attempts, shared with whoever else starts attempts.
    proximity
        Where this node is: near engines are preferred.
    may_start
        Whether items of a batch may be sent to workers at a time.
    """

    def __init__(
        self,
        watch: AttemptWatch,
        lengths: LengthEstimate,
        numbers: Iterator[int],
        *,
        proximity: Proximity,
        policy: Policy,
        may_start: MayStart,
    ) -> None:
        self._watch = watch
        self._lengths = lengths
        self._numbers = numbers
        self._proximity = proximity
        self._policy = policy
        self._may_start = may_start

    def due(self, runs: Iterable[BatchRun], now: float) -> list[tuple[BatchRun, ItemRun]]:
        """Return the items that wait for an attempt now, in the order in which to start them."""
        waiting = [
            (run, item)
            for run in runs
            if self._may_start(run.name, now)
            for item in run.items.values()
            if item.waiting and item.not_before <= now
        ]
        return sorted(waiting, key=lambda pair: self._order(*pair))

    def begin(self, run: BatchRun, item: ItemRun, now: float) -> StartItem | None:
        """Begin an attempt at an item; None if no engine has room for it."""
        siblings = {
            other.running.worker
            for other in run.items.values()
            if other.running is not None and other.spec.group == item.spec.group
        }
        worker = choose_engine(
            self._watch.candidates(run.batch, item, now, request_leases=True),
            item.spec.model,
            now,
            proximity=self._proximity,
            siblings=siblings,
            avoid=item.last_worker,
            policy=self._policy,
        )
        if worker is None:
            return None
        attempt = next(self._numbers)
        name = worker.announcement.worker
        item.running = RunningAttempt(attempt, name, now, now, len(item.events))
        worker.note_sent()
        header = run.batch.header
        return StartItem(
            attempt,
            header.batch,
            header.host,
            item.spec,
            name,
            resume_after=len(item.events) or None,
            tenant=header.tenant,
            priority=RETURNED_PRIORITY if item.known_events else None,
        )

    def _order(self, run: BatchRun, item: ItemRun) -> tuple[float, float, str]:
        """Older batches first, within one the items expected to run longest."""
        return run.batch.seen_at, -self._lengths.events(item), item.spec.group
