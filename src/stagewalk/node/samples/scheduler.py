"""Rollout scheduling: order of slots, window, look-ahead, and duplicates of stragglers.

A lot's window bounds how many of its rollouts run at the same time; it grows with answers and
shrinks with refusals.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from stagewalk.common.identities import Incarnation, NodeName, RequestId, WeightVersion
from stagewalk.node.core.completions import CompletionRequest, Priority
from stagewalk.node.core.rollouts import RolloutPrompt, sample_seed
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.lengths import LengthPredictor
from stagewalk.node.samples.lots import Lot, Slot, SlotPhase
from stagewalk.node.samples.notifications import CancelRollout, LotNotification, StartRollout
from stagewalk.node.samples.staleness import allowed_version_lag
from stagewalk.node.samples.store import LotStore, SlotLocation

_MINIMUM_DURATIONS = 5
"""Finished rollouts of a lot needed before stragglers are detected."""

_STRAGGLER_PERCENTILE = 0.9
"""Percentile of a lot's durations that `straggler_factor` multiplies."""

MINIMUM_WINDOW_ROLLOUTS = 4
"""Smallest window of a lot, so that free capacity is noticed even after many refusals."""

_WINDOW_DECREASE = 0.8
"""Factor applied to the window after a refusal, like admission's `decrease_factor`."""

_WINDOW_DECREASE_SECONDS = 1.0
"""Least time between two decreases of a window, since refusals come in bursts."""


class RolloutScheduler:
    """Starts and cancels the rollouts of slots."""

    def __init__(
        self, store: LotStore, config: LotConfig, node: NodeName, incarnation: Incarnation
    ) -> None:
        self._store = store
        self._config = config
        self._node = node
        self._incarnation = incarnation
        self.lengths = LengthPredictor()

    def enqueue(self, lot: Lot, index: int) -> None:
        """Queue a waiting slot by its predicted length."""
        lot.enqueue(index, self._predicted_tokens(lot, lot.slots[index].prompt))

    def enqueue_all(self, lot: Lot) -> None:
        """Queue all slots of a new lot."""
        predicted = {
            prompt.prompt_id: self._predicted_tokens(lot, prompt) for prompt in lot.lot.prompts
        }
        for index, slot in enumerate(lot.slots):
            lot.enqueue(index, predicted[slot.prompt.prompt_id])

    def dispatch(self, lot: Lot, now: float) -> list[LotNotification]:
        """Start as many waiting slots of a lot as its limits allow."""
        if lot.paused or lot.following or not lot.queue or not self._may_run(lot, now):
            return []
        minimum = self._minimum_version(lot, now)
        limit = int(lot.window * self._served_fraction(lot, minimum, now))
        started: list[LotNotification] = []
        while lot.count(SlotPhase.RUNNING) < limit:
            index = lot.next_in_queue()
            if index is None:
                break
            lot.move(index, SlotPhase.RUNNING)
            started.append(self._start(lot, index, minimum, now))
        return started

    def dispatch_all(self, lots: Iterable[Lot], now: float) -> list[LotNotification]:
        """Start waiting slots of several lots, in the given order."""
        started: list[LotNotification] = []
        for lot in lots:
            started += self.dispatch(lot, now)
        return started

    def duplicate_stragglers(self, lot: Lot, now: float) -> list[LotNotification]:
        """Start duplicates of the stragglers of a lot that is nearly done.

        Sampling is seeded by slot, so both rollouts give the same answer if they run under the
        same weights. The first to finish is scored and the other is cancelled.
        """
        if lot.paused or not self._near_end(lot):
            return []
        budget = max(1, int(self._config.duplicate_fraction * len(lot.slots))) - lot.duplicates
        limit = self._config.straggler_factor * _percentile(lot.durations, _STRAGGLER_PERCENTILE)
        stragglers = [
            (min(lot.slots[index].requests.values()), index)
            for index in sorted(lot.indices[SlotPhase.RUNNING])
            if len(lot.slots[index].requests) == 1
        ]
        started: list[LotNotification] = []
        for started_at, index in sorted(stragglers):
            if budget <= 0 or now - started_at < limit:
                break
            budget -= 1
            lot.duplicates += 1
            started.append(self._start(lot, index, self._minimum_version(lot, now), now))
        return started

    def cancel(self, slot: Slot) -> list[LotNotification]:
        """Cancel all rollouts of a slot and drop the answer that is being scored, if any."""
        cancelled: list[LotNotification] = []
        for request_id in sorted(slot.requests):
            self._store.requests.pop(request_id, None)
            cancelled.append(CancelRollout(slot.key.tenant, request_id))
        slot.requests.clear()
        if slot.candidate_id is not None:
            self._store.requests.pop(slot.candidate_id, None)
        slot.candidate_id = None
        slot.candidate = None
        return cancelled

    def finished(self, lot: Lot, slot: Slot, started_at: float, tokens: int, now: float) -> None:
        """Record a finished rollout's length and duration, and widen the lot's window."""
        lot.window = min(float(self._config.maximum_outstanding_per_lot), lot.window + 1.0)
        self.lengths.observe(lot.key.tenant, slot.prompt, tokens)
        bisect.insort(lot.durations, now - started_at)

    def refused(self, lot: Lot, now: float) -> None:
        """Shrink a lot's window because a rollout was refused for lack of capacity."""
        if now - lot.window_shrunk_at < _WINDOW_DECREASE_SECONDS:
            return
        lot.window_shrunk_at = now
        lot.window = max(float(MINIMUM_WINDOW_ROLLOUTS), lot.window * _WINDOW_DECREASE)

    def _predicted_tokens(self, lot: Lot, prompt: RolloutPrompt) -> float:
        return self.lengths.predict(lot.key.tenant, prompt)

    def _near_end(self, lot: Lot) -> bool:
        unfinished = lot.count(SlotPhase.RUNNING)
        if not unfinished or lot.count(SlotPhase.WAITING):
            return False
        enough_known = len(lot.durations) >= _MINIMUM_DURATIONS
        return enough_known and unfinished <= max(1, self._config.tail_fraction * len(lot.slots))

    def _may_run(self, lot: Lot, now: float) -> bool:
        """Return whether rollouts of a lot may start now.

        A step ahead of its trainer's runs only if no earlier step has waiting slots, and only
        once weights exist that will be fresh enough when it is pulled.
        """
        if now < lot.held_until or self._store.parameters(lot.key.tenant) is None:
            return False
        ahead = self._store.steps_ahead(lot)
        if ahead == 0:
            return True
        if ahead > self._config.look_ahead_steps or self._has_earlier_work(lot):
            return False
        newest = self._store.versions.newest(lot.lot.model)
        minimum = self._minimum_version(lot, now)
        return newest is None or minimum is None or newest >= minimum

    def _served_fraction(self, lot: Lot, minimum: WeightVersion | None, now: float) -> float:
        """Return the fraction of engines whose weights are fresh enough for a lot.

        It scales the lot's window while engines swap weights.
        """
        if minimum is None:
            return 1.0
        return self._store.served.fraction_at_least(lot.lot.model, minimum, now)

    def _has_earlier_work(self, lot: Lot) -> bool:
        return any(
            other.count(SlotPhase.WAITING) > 0 and not other.paused
            for other in self._store.lots_of_trainer(lot.key)
            if other.key.step < lot.key.step and other.completed_at is None
        )

    def _minimum_version(self, lot: Lot, now: float) -> WeightVersion | None:
        """Return the oldest version that will still be fresh enough when the lot is pulled.

        A trainer publishes a version after each step, so the pull for a step that lies N ahead
        will name a version that is newer by N.
        """
        parameters = self._store.parameters(lot.key.tenant)
        if parameters is None:
            return None
        expected = self._store.trainer_version(lot.key) + self._store.steps_ahead(lot)
        minimum = expected - allowed_version_lag(parameters)
        if parameters.minimum_version is not None:
            minimum = max(minimum, parameters.minimum_version)
        if parameters.staleness_bound_seconds is not None:
            at = now + self._expected_seconds(lot) + self._config.hand_over_margin_seconds
            bound = parameters.staleness_bound_seconds
            fresh = self._store.versions.oldest_within(lot.lot.model, bound, at)
            minimum = max(minimum, fresh or 0)
        return WeightVersion(minimum) if minimum > 0 else None

    def _expected_seconds(self, lot: Lot) -> float:
        if not lot.durations:
            return 0.0
        return _percentile(lot.durations, _STRAGGLER_PERCENTILE)

    def _start(
        self, lot: Lot, index: int, minimum: WeightVersion | None, now: float
    ) -> StartRollout:
        slot = lot.slots[index]
        slot.rollouts_started += 1
        source = f"{self._node}.{self._incarnation}"
        request_id = RequestId(f"{slot.key}#{slot.generation}.{slot.rollouts_started}@{source}")
        slot.requests[request_id] = now
        self._store.requests[request_id] = SlotLocation(lot.key, index)
        parameters = self._store.parameters(lot.key.tenant)
        return StartRollout(
            CompletionRequest(
                request_id=request_id,
                tenant=lot.key.tenant,
                model=lot.lot.model,
                prompt=slot.prompt.prompt,
                max_tokens=slot.prompt.max_tokens,
                repeatable=True,
                deadline=max(lot.lot.deadline, now + self._config.request_deadline_seconds),
                priority=Priority.ROLLOUT,
                seed=sample_seed(slot.key),
                prompt_token_count=slot.prompt.prompt_token_count,
                minimum_version=minimum,
                maximum_version=None if parameters is None else parameters.maximum_version,
            )
        )


def _percentile(ascending: list[float], fraction: float) -> float:
    return ascending[min(len(ascending) - 1, int(fraction * len(ascending)))]
