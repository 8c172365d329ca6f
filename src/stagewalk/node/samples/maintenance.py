"""Lot maintenance: pauses inactive lots, drops old ones and follows lots run by other nodes.

The progress of another node on a lot is visible in the claims that it has decided. Times are in
seconds; the constants are fields of `LotConfig`.
"""

from __future__ import annotations

from collections.abc import Iterable

from stagewalk.common.identities import ModelName
from stagewalk.node.claims.notifications import ReadClaim
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.instructions import LogLineFields, ReadVersions, WriteLogLine
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.delivery import Delivery
from stagewalk.node.samples.lots import Lot, LotKey, SlotPhase
from stagewalk.node.samples.sample_codec import sample_claim_key
from stagewalk.node.samples.scheduler import RolloutScheduler
from stagewalk.node.samples.settlement import LotOutput
from stagewalk.node.samples.store import LotStore, SlotLocation

_UNFINISHED_PHASES = (SlotPhase.WAITING, SlotPhase.RUNNING)


class LotMaintenance:
    """Pauses, drops and follows lots, and reads the weight store's versions."""

    def __init__(
        self,
        store: LotStore,
        scheduler: RolloutScheduler,
        delivery: Delivery,
        config: LotConfig,
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._delivery = delivery
        self._config = config
        self._bounded_models: set[ModelName] = set()
        self._versions_read_at: dict[ModelName, float] = {}

    def check(self, lot: Lot, now: float) -> list[LotOutput]:
        """Drop or pause a lot whose trainer is inactive, or start the rollouts that may run."""
        if self._is_expired(lot, now):
            return self.forget(lot)
        output: list[LotOutput] = []
        if not lot.paused and self._is_inactive(lot, now):
            output += self._pause(lot, now)
        output += self._scheduler.dispatch(lot, now)
        output += self._scheduler.duplicate_stragglers(lot, now)
        return output

    def read_versions(self, now: float) -> list[LotOutput]:
        """Read the store's versions of models that have a staleness bound in seconds."""
        running = {lot.lot.model for lot in self._store.lots.values() if not lot.paused}
        output: list[LotOutput] = []
        for model in sorted(self._bounded_models):
            interval = self._config.version_watch_seconds
            if model in running:
                interval = self._config.version_poll_seconds
            read_at = self._versions_read_at.get(model)
            if read_at is None or now - read_at >= interval:
                self._versions_read_at[model] = now
                output.append(ReadVersions(model))
        return output

    def set_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Set the models whose versions are to be read."""
        self._bounded_models = {
            model
            for tenant in tenants
            if tenant.parameters.staleness_bound_seconds is not None
            for model in tenant.parameters.models
        }

    def probe(self, lot: Lot, now: float) -> list[LotOutput]:
        """Read some claims of a new lot to find out whether another node runs it."""
        count = len(lot.slots)
        probes = min(count, self._config.claim_probes)
        lot.held_until = now + self._config.probe_seconds
        lot.next_claim_read_at = lot.held_until
        return [self._read_claim(lot, probe * count // probes) for probe in range(probes)]

    def start_following(self, lot: Lot, now: float) -> list[LotOutput]:
        """Start following a lot that began at another node, which may be dead or still running it.

        While new claims of that node are found, no rollouts start here, since running the same
        slots twice would waste engine capacity.
        """
        lot.run_elsewhere = True
        lot.following = True
        lot.claim_found_at = now
        return self._read_claims(lot, now)

    def continue_following(self, lot: Lot, now: float) -> list[LotOutput]:
        """Read another node's claims of a lot again; stop following when no new ones are found."""
        if now < lot.next_claim_read_at or lot.paused:
            return []
        if not lot.run_elsewhere:
            # The probes have been answered.
            return [] if lot.claim_found_at is None else self.start_following(lot, now)
        if lot.claim_found_at is None or now - lot.claim_found_at >= self._config.quiet_seconds:
            lot.following = False
        return self._read_claims(lot, now)

    def forget(self, lot: Lot) -> list[LotOutput]:
        """Drop a lot and cancel its rollouts."""
        output = self._delivery.drop(lot)
        for slot in lot.slots:
            output += self._scheduler.cancel(slot)
        self._store.forget(lot.key)
        return output

    def forget_superseded(self, key: LotKey) -> list[LotOutput]:
        """Drop all lots of a trainer except the most recently used."""
        lots = [lot for lot in self._store.lots_of_trainer(key) if lot.key != key]
        lots.sort(key=lambda lot: (lot.last_call, lot.key.step))
        kept = self._config.retained_steps + self._config.look_ahead_steps
        output: list[LotOutput] = []
        for lot in lots[: max(0, len(lots) - kept)]:
            output += self.forget(lot)
        return output

    def _is_expired(self, lot: Lot, now: float) -> bool:
        silent = now - lot.active_at
        if lot.completed_at is not None:
            return silent > self._config.retention_seconds
        return silent > self._config.idle_retention_seconds

    def _is_inactive(self, lot: Lot, now: float) -> bool:
        if self._delivery.has_parked(lot.key):
            return False
        pulling = lot.pulled and lot.completed_at is None
        limit = self._config.pulled_pause_seconds if pulling else self._config.idle_pause_seconds
        return now - lot.active_at > limit

    def _pause(self, lot: Lot, now: float) -> list[LotOutput]:
        """Pause a lot whose trainer has probably stopped or moved to another node."""
        lot.paused = True
        output: list[LotOutput] = []
        for index in sorted(lot.indices[SlotPhase.RUNNING]):
            output += self._scheduler.cancel(lot.slots[index])
            lot.move(index, SlotPhase.WAITING)
            self._scheduler.enqueue(lot, index)
        fields: LogLineFields = {
            "tenant": lot.key.tenant,
            "trainer": lot.key.trainer,
            "step": lot.key.step,
            "silent_seconds": round(now - lot.active_at, 1),
        }
        return [*output, WriteLogLine("lot_paused", fields)]

    def _read_claims(self, lot: Lot, now: float) -> list[LotOutput]:
        unfinished = [index for phase in _UNFINISHED_PHASES for index in sorted(lot.indices[phase])]
        interval = self._config.claim_read_seconds
        if len(unfinished) <= self._config.claim_probes:
            interval = self._config.last_claim_read_seconds
        lot.next_claim_read_at = now + interval
        return [self._read_claim(lot, index) for index in unfinished]

    def _read_claim(self, lot: Lot, index: int) -> ReadClaim:
        slot = lot.slots[index]
        key = sample_claim_key(slot.key, slot.generation, lot.digest)
        self._store.claims[key] = SlotLocation(lot.key, index)
        return ReadClaim(key)
