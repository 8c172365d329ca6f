"""State shared by the parts of the sample ledger: lots, and indices by request and claim."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import RequestId, TenantName, WeightVersion
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.samples.lots import Lot, LotKey
from stagewalk.node.samples.served_versions import ServedVersions
from stagewalk.node.samples.staleness import VersionAges


@dataclass(frozen=True, slots=True)
class SlotLocation:
    """Lot of a slot, and its index in the lot."""

    lot: LotKey
    index: int


@dataclass(slots=True)
class TrainerView:
    """Version and step of a trainer, as named by its calls to this node.

    Attributes
    ----------
    version
        Newest version it has named.
    pulled_step
        Newest step it has pulled; None before its first pull.
    """

    version: WeightVersion
    pulled_step: int | None = None


class LotStore:
    """Shared state of the sample ledger's parts.

    Attributes
    ----------
    lots
        By key, in order of submission.
    requests
        Slot of each rollout that is running or being scored.
    claims
        Slot of each claim proposed or read, by the claim's key.
    versions
        Newest version of each model, and bounds of the versions' ages.
    served
        Versions that the engines of this node's subset run.
    tenants
        Current tenants by name.
    """

    def __init__(self) -> None:
        self.lots: dict[LotKey, Lot] = {}
        self.requests: dict[RequestId, SlotLocation] = {}
        self.claims: dict[str, SlotLocation] = {}
        self.versions = VersionAges()
        self.served = ServedVersions()
        self.tenants: dict[TenantName, Tenant] = {}
        self._trainers: dict[tuple[TenantName, str], TrainerView] = {}

    def parameters(self, tenant: TenantName) -> TenantParameters | None:
        """Return the current parameters of a tenant, if it exists."""
        known = self.tenants.get(tenant)
        return None if known is None else known.parameters

    def trainer_version(self, key: LotKey) -> WeightVersion:
        """Return the newest version that a lot's trainer has named here."""
        trainer = self._trainers.get((key.tenant, key.trainer))
        return WeightVersion(0) if trainer is None else trainer.version

    def record_trainer(self, lot: Lot, version: WeightVersion, *, pulling: bool) -> None:
        """Record the version and, for a pull, the step of a trainer's call; ignore older ones."""
        key = lot.key
        trainer = self._trainers.setdefault((key.tenant, key.trainer), TrainerView(version))
        trainer.version = max(version, trainer.version)
        if pulling:
            trainer.pulled_step = max(key.step, trainer.pulled_step or key.step)
        self.versions.record_version(lot.lot.model, version)

    def steps_ahead(self, lot: Lot) -> int:
        """Return how many steps a lot lies ahead of its trainer's current step."""
        trainer = self._trainers.get((lot.key.tenant, lot.key.trainer))
        current = None if trainer is None else trainer.pulled_step
        if current is None:
            current = min(other.key.step for other in self.lots_of_trainer(lot.key))
        return max(0, lot.key.step - current)

    def lots_of_trainer(self, key: LotKey) -> list[Lot]:
        """Return the lots of a lot's trainer, in order of their steps."""
        found = [
            lot
            for other, lot in self.lots.items()
            if other.tenant == key.tenant and other.trainer == key.trainer
        ]
        return sorted(found, key=lambda lot: lot.key.step)

    def forget(self, key: LotKey) -> None:
        """Remove a lot and all index entries of its slots."""
        del self.lots[key]
        self.requests = {
            id_: location for id_, location in self.requests.items() if location.lot != key
        }
        self.claims = {
            name: location for name, location in self.claims.items() if location.lot != key
        }
        if not self.lots_of_trainer(key):
            self._trainers.pop((key.tenant, key.trainer), None)
