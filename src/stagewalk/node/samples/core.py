"""The sample ledger of a node: runs lots and delivers exactly one fresh sample per slot.

Lots are kept in memory only. Which slots a trainer has received is in the cursor its pulls carry,
and which sample a slot has is in the claim register. If the node dies, the trainer submits the step
to another node and continues with its cursor.
"""

from __future__ import annotations

import random

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import (
    CallId,
    ModelName,
    ProcessIdentity,
    RequestId,
    TenantName,
    WeightVersion,
)
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.completions import CompletionResult
from stagewalk.node.core.due_queue import DueQueue
from stagewalk.node.core.events import SampleScored, SampleScoringFailed
from stagewalk.node.core.instructions import AcceptLot, FailCall
from stagewalk.node.core.rollouts import RolloutLot, SamplePull
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.cursor import decode_cursor
from stagewalk.node.samples.delivery import Delivery, OpenPull
from stagewalk.node.samples.lots import Lot, LotKey, lot_digest, lot_key, make_lot
from stagewalk.node.samples.maintenance import LotMaintenance
from stagewalk.node.samples.scheduler import RolloutScheduler
from stagewalk.node.samples.settlement import LotOutput, SampleSettlement
from stagewalk.node.samples.store import LotStore
from stagewalk.node.samples.timers import SlotTimer
from stagewalk.node.samples.validation import check_lot, check_pull, invalid, unknown_lot

_MAINTENANCE_INTERVAL_SECONDS = 1.0
"""Interval of the checks for stragglers and for lots to pause or drop."""


class LotCore:
    """Decides which rollouts run for trainers and which samples are delivered.

    Parameters
    ----------
    identity
        This node; its name and incarnation make request ids unique.
    generator
        Random generator for the jitter of retry delays.
    """

    def __init__(
        self, identity: ProcessIdentity, config: LotConfig, generator: random.Random
    ) -> None:
        self._node = identity.name
        self._config = config
        self._store = LotStore()
        self._timers: DueQueue[SlotTimer] = DueQueue()
        self._scheduler = RolloutScheduler(self._store, config, identity.name, identity.incarnation)
        self._settlement = SampleSettlement(
            self._store, self._scheduler, self._timers, config, generator
        )
        self._delivery = Delivery(self._store, self._scheduler, self._settlement, config)
        self._maintenance = LotMaintenance(self._store, self._scheduler, self._delivery, config)
        self._next_maintenance_at = 0.0
        self._call_count = 0

    def set_tenants(self, tenants: dict[TenantName, Tenant]) -> None:
        """Replace the tenants; their parameters apply from the next decision on."""
        self._store.tenants = dict(tenants)
        self._maintenance.set_tenants(tenants.values())

    def submit(self, call: CallId, lot: RolloutLot, now: float) -> list[LotOutput]:
        """Add a step's lot; submitting the same lot again is idempotent."""
        error = check_lot(lot, self._store.tenants.get(lot.tenant), self._config, self._node)
        if error is not None:
            return [FailCall(call, error)]
        key = lot_key(lot)
        known = self._store.lots.get(key)
        is_new = known is None
        if known is None:
            known = self._add(lot, now)
        elif known.digest != lot_digest(lot):
            detail = f"step {lot.step} was submitted with other contents before"
            return [FailCall(call, invalid(self._node, "step", detail))]
        self._store.record_trainer(known, lot.trainer_version, pulling=False)
        self._record_trainer_call(known, now)
        output: list[LotOutput] = [AcceptLot(call, lot)]
        output += self._maintenance.forget_superseded(key)
        output += self._maintenance.read_versions(now)
        if is_new:
            output += self._maintenance.probe(known, now)
        output += self._advance(known, now)
        return output

    def pull(self, call: CallId, pull: SamplePull, now: float) -> list[LotOutput]:
        """Answer a pull immediately if samples are ready, else when some are or its wait ends."""
        error = check_pull(pull, self._store.tenants.get(pull.tenant), self._node)
        if error is not None:
            return [FailCall(call, error)]
        lot = self._store.lots.get(LotKey(pull.tenant, pull.trainer, pull.step))
        if lot is None:
            return [FailCall(call, unknown_lot(self._node, pull))]
        decoded = decode_cursor(pull.cursor, lot.digest, len(lot.slots))
        if decoded.is_error():
            return [FailCall(call, invalid(self._node, "cursor", decoded.error.detail))]
        moved_here = not lot.pulled and decoded.ok != 0
        lot.pulled = True
        self._store.record_trainer(lot, pull.trainer_version, pulling=True)
        self._record_trainer_call(lot, now)
        output = self._delivery.pull(lot, OpenPull(call, pull, decoded.ok), now)
        if moved_here:
            output += self._maintenance.start_following(lot, now)
        lots = self._store.lots_of_trainer(lot.key)
        return output + list(self._scheduler.dispatch_all(lots, now))

    def abandon(self, call: CallId) -> None:
        """Drop a call whose caller disconnected; its samples stay ready."""
        self._delivery.abandon(call)

    def request_finished(
        self, request_id: RequestId, result: CompletionResult, now: float
    ) -> list[LotOutput]:
        """Handle the complete answer of a rollout."""
        lot = self._lot_of_request(request_id)
        output = self._settlement.rollout_finished(request_id, result, now)
        return output + self._advance(lot, now)

    def request_failed(
        self, request_id: RequestId, error: StagewalkError, now: float
    ) -> list[LotOutput]:
        """Handle the final error of a rollout."""
        lot = self._lot_of_request(request_id)
        output = self._settlement.rollout_failed(request_id, error, now)
        return output + self._advance(lot, now)

    def handle(self, event: SampleScored | SampleScoringFailed, now: float) -> list[LotOutput]:
        """Handle a sample's score, or a failure to score it."""
        if isinstance(event, SampleScored):
            lot = self._lot_of_request(RequestId(event.sample_id))
            output = self._settlement.scored(event.sample_id, event.score, now)
            return output + self._advance(lot, now)
        return self._settlement.scoring_failed(event.sample_id, event.error, now)

    def claim_decided(self, key: str, value: bytes, now: float) -> list[LotOutput]:
        """Handle the value decided for a claim, proposed by this node or another."""
        location = self._store.claims.get(key)
        output = self._settlement.claim_decided(key, value, now)
        lot = None if location is None else self._store.lots.get(location.lot)
        return output + self._advance(lot, now)

    def claim_undecided(self, key: str, error: StagewalkError, now: float) -> list[LotOutput]:
        """Handle a claim that could not be decided yet."""
        location = self._store.claims.get(key)
        output = self._settlement.claim_undecided(key, error, now)
        lot = None if location is None else self._store.lots.get(location.lot)
        return output + self._advance(lot, now)

    def record_published_version(
        self, model: ModelName, newest: WeightVersion, now: float
    ) -> list[LotOutput]:
        """Record the newest version in the weight store, as read by this node.

        Ages in seconds are computed from these reads only.
        """
        at = now - self._config.news_lag_seconds
        self._store.versions.record_newest(model, newest, at)
        return self._advance_model(model, now)

    def record_served_version(
        self, model: ModelName, version: WeightVersion, now: float
    ) -> list[LotOutput]:
        """Record an engine's report that it runs a version."""
        self._store.served.record_report(model, version, now)
        known = self._store.versions.newest(model)
        if known is not None and version <= known:
            return self._dispatch_model(model, now)
        self._store.versions.record_version(model, version)
        return self._advance_model(model, now)

    def tick(self, now: float) -> list[LotOutput]:
        """Handle due timers, answer parked pulls and check the lots."""
        output: list[LotOutput] = []
        touched: dict[LotKey, Lot] = {}
        for timer in self._timers.pop_due(now):
            lot = self._store.lots.get(timer.lot)
            if lot is None or lot.slots[timer.index].phase_changes != timer.phase_changes:
                continue
            touched[timer.lot] = lot
            output += self._settlement.timer_due(timer.kind, lot, timer.index)
        for lot in touched.values():
            output += self._advance(lot, now)
        for lot in self._store.lots.values():
            if lot.run_elsewhere or lot.held_until:
                output += self._start_or_follow(lot, now)
        output += self._delivery.answer_all_parked(now)
        if now >= self._next_maintenance_at:
            self._next_maintenance_at = now + _MAINTENANCE_INTERVAL_SECONDS
            output += self._maintenance.read_versions(now)
            for lot in list(self._store.lots.values()):
                output += self._maintenance.check(lot, now)
        return output

    def _add(self, lot: RolloutLot, now: float) -> Lot:
        added = make_lot(lot, self._config.maximum_outstanding_per_lot, now)
        self._store.lots[added.key] = added
        self._scheduler.enqueue_all(added)
        return added

    def _record_trainer_call(self, lot: Lot, now: float) -> None:
        """Record a call of a lot's trainer, which keeps all its lots active."""
        self._call_count += 1
        lot.last_call = self._call_count
        for other in self._store.lots_of_trainer(lot.key):
            other.active_at = now
            other.paused = False

    def _start_or_follow(self, lot: Lot, now: float) -> list[LotOutput]:
        """Start a lot once its probes are done, or keep following the node that runs it."""
        output = self._maintenance.continue_following(lot, now)
        if now >= lot.held_until and not lot.following:
            lot.held_until = 0.0
            output += self._scheduler.dispatch(lot, now)
        return output

    def _advance_model(self, model: ModelName, now: float) -> list[LotOutput]:
        """Advance the lots of a model whose versions changed."""
        output: list[LotOutput] = []
        for lot in list(self._store.lots.values()):
            if lot.lot.model == model:
                output += self._advance(lot, now)
        return output

    def _dispatch_model(self, model: ModelName, now: float) -> list[LotOutput]:
        """Start rollouts that waited for engines to load newer weights of a model."""
        output: list[LotOutput] = []
        for lot in self._store.lots.values():
            if lot.lot.model == model and lot.queue:
                output += self._scheduler.dispatch(lot, now)
        return output

    def _lot_of_request(self, request_id: RequestId) -> Lot | None:
        location = self._store.requests.get(request_id)
        return None if location is None else self._store.lots.get(location.lot)

    def _advance(self, lot: Lot | None, now: float) -> list[LotOutput]:
        """Start the rollouts that may run now, and answer the parked pull if its batch is full."""
        if lot is None:
            return []
        output = self._delivery.answer_parked_if_full(lot, now)
        return output + list(self._scheduler.dispatch(lot, now))
