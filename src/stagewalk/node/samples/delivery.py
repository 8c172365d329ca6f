"""Delivery of samples: answers pulls, and parks pulls that wait for a first sample.

Only the trainer's cursor determines which slots it has received. Acknowledged samples are kept for
a while, for trainers that go back to an older cursor.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from stagewalk.common.identities import CallId
from stagewalk.node.core.instructions import DeliverSamples
from stagewalk.node.core.rollouts import Sample, SamplePage, SamplePull
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.cursor import encode_cursor
from stagewalk.node.samples.lots import Lot, LotKey, SlotPhase
from stagewalk.node.samples.scheduler import RolloutScheduler
from stagewalk.node.samples.settlement import LotOutput, SampleSettlement
from stagewalk.node.samples.staleness import SampleFreshness, judge_freshness
from stagewalk.node.samples.store import LotStore

_SAMPLE_OVERHEAD_BYTES = 400
"""Estimated memory of a sample besides its text."""


@dataclass(frozen=True, slots=True)
class OpenPull:
    """An unanswered pull; `delivered` is the bitmap of its cursor."""

    call: CallId
    pull: SamplePull
    delivered: int


@dataclass(frozen=True, slots=True)
class _RetainedText:
    lot: LotKey
    index: int
    size: int


class Delivery:
    """Answers pulls.

    A delivered sample stays ready until a cursor covers its slot, so that a repeated pull gets it
    again if the answer was lost.
    """

    def __init__(
        self,
        store: LotStore,
        scheduler: RolloutScheduler,
        settlement: SampleSettlement,
        config: LotConfig,
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._settlement = settlement
        self._config = config
        self._parked: dict[LotKey, OpenPull] = {}
        self._retained: deque[_RetainedText] = deque()
        self._retained_bytes = 0

    def pull(self, lot: Lot, opened: OpenPull, now: float) -> list[LotOutput]:
        """Answer a pull, or park it until a sample is ready or its wait ends."""
        outdated = opened.delivered != lot.acknowledged and (
            opened.delivered | lot.acknowledged == lot.acknowledged
        )
        parked = self._parked.get(lot.key)
        if parked is not None and outdated:
            # A delayed duplicate of an earlier pull: the parked pull is the newer one.
            return [self._empty_answer(lot, opened)]
        output = self._acknowledge(lot, opened.delivered)
        if parked is not None:
            # A trainer has one open pull at a time, so it no longer waits for the parked one.
            del self._parked[lot.key]
            output.append(self._empty_answer(lot, parked))
        output += self._answer(lot, opened, now)
        return output

    def answer_parked_if_full(self, lot: Lot, now: float) -> list[LotOutput]:
        """Answer the parked pull of a lot if its batch is as large as it can get."""
        parked = self._parked.get(lot.key)
        if parked is None:
            return []
        ready = lot.count(SlotPhase.READY)
        missing = len(lot.slots) - parked.delivered.bit_count()
        if ready < min(missing, parked.pull.max_samples):
            return []
        del self._parked[lot.key]
        return self._answer(lot, parked, now)

    def answer_all_parked(self, now: float) -> list[LotOutput]:
        """Answer parked pulls for which samples are ready or whose wait is over.

        Called once per tick, so that samples that finish together are delivered together.
        """
        if not self._parked:
            return []
        output: list[LotOutput] = []
        for key in sorted(self._parked):
            lot, parked = self._store.lots[key], self._parked[key]
            if lot.indices[SlotPhase.READY] or parked.pull.wait_until <= now:
                del self._parked[key]
                output += self._answer(lot, parked, now)
        return output

    def abandon(self, call: CallId) -> None:
        """Drop a pull whose caller disconnected; its samples stay ready."""
        for key, parked in list(self._parked.items()):
            if parked.call == call:
                del self._parked[key]

    def has_parked(self, key: LotKey) -> bool:
        """Return whether a pull waits for a lot."""
        return key in self._parked

    def drop(self, lot: Lot) -> list[LotOutput]:
        """Answer the parked pull of a lot that is about to be dropped."""
        parked = self._parked.pop(lot.key, None)
        return [] if parked is None else [self._empty_answer(lot, parked)]

    def _answer(self, lot: Lot, opened: OpenPull, now: float) -> list[LotOutput]:
        output: list[LotOutput] = []
        covered = opened.delivered
        samples: list[Sample] = []
        for index in self._available(lot, opened.delivered):
            if len(samples) >= opened.pull.max_samples:
                break
            sample = lot.slots[index].sample
            if sample is None:
                continue
            match self._freshness_of(lot, sample, opened.pull, now):
                case SampleFreshness.FRESH:
                    samples.append(sample)
                    covered |= 1 << index
                case SampleFreshness.STALE:
                    output += self._settlement.run_again(lot, index, "too stale at delivery")
        complete = covered == lot.all_slots
        if not samples and not complete and now < opened.pull.wait_until:
            self._parked[lot.key] = opened
            return output
        if complete and lot.completed_at is None:
            lot.completed_at = now
        cursor = encode_cursor(lot.digest, len(lot.slots), covered)
        remaining = (lot.all_slots & ~covered).bit_count()
        batch = SamplePage(tuple(samples), cursor, complete, remaining)
        output.append(DeliverSamples(opened.call, batch))
        return output

    def _available(self, lot: Lot, delivered: int) -> list[int]:
        ready = sorted(lot.indices[SlotPhase.READY])
        return [index for index in ready if not delivered >> index & 1]

    def _freshness_of(
        self, lot: Lot, sample: Sample, pull: SamplePull, now: float
    ) -> SampleFreshness:
        parameters = self._store.parameters(lot.key.tenant)
        if parameters is None:
            return SampleFreshness.UNCERTAIN
        return judge_freshness(
            parameters,
            self._store.versions,
            lot.lot.model,
            sample.oldest_version,
            trainer_version=pull.trainer_version,
            at=now + self._config.hand_over_margin_seconds,
        )

    def _acknowledge(self, lot: Lot, delivered: int) -> list[LotOutput]:
        """Apply a pull's cursor: acknowledge the slots it covers and reopen those it lacks.

        A cursor may lack slots that an earlier one covered, if the trainer went back to a
        checkpoint or the pull was delayed. Such a slot is served from its retained sample or run
        again.
        """
        output: list[LotOutput] = []
        for index in _set_bits(delivered & ~lot.acknowledged):
            output += self._scheduler.cancel(lot.slots[index])
            lot.move(index, SlotPhase.ACKNOWLEDGED)
            self._retain(lot, index)
        for index in _set_bits(lot.acknowledged & ~delivered):
            self._reopen(lot, index)
        lot.acknowledged = delivered
        return output

    def _retain(self, lot: Lot, index: int) -> None:
        """Retain an acknowledged sample, and drop the oldest ones beyond `retained_bytes`."""
        sample = lot.slots[index].sample
        if sample is None:
            return
        size = len(sample.text) + _SAMPLE_OVERHEAD_BYTES
        self._retained.append(_RetainedText(lot.key, index, size))
        self._retained_bytes += size
        while self._retained_bytes > self._config.retained_bytes:
            oldest = self._retained.popleft()
            self._retained_bytes -= oldest.size
            kept = self._store.lots.get(oldest.lot)
            if kept is not None and oldest.index in kept.indices[SlotPhase.ACKNOWLEDGED]:
                kept.slots[oldest.index].sample = None

    def _reopen(self, lot: Lot, index: int) -> None:
        if lot.slots[index].sample is not None:
            lot.move(index, SlotPhase.READY)
            return
        lot.move(index, SlotPhase.WAITING)
        self._scheduler.enqueue(lot, index)

    def _empty_answer(self, lot: Lot, opened: OpenPull) -> DeliverSamples:
        cursor = encode_cursor(lot.digest, len(lot.slots), opened.delivered)
        missing = (lot.all_slots & ~opened.delivered).bit_count()
        return DeliverSamples(opened.call, SamplePage((), cursor, missing == 0, missing))


def _set_bits(bitmap: int) -> list[int]:
    """Return the positions of the bits that are set, in ascending order."""
    positions = []
    while bitmap:
        lowest = bitmap & -bitmap
        positions.append(lowest.bit_length() - 1)
        bitmap ^= lowest
    return positions
