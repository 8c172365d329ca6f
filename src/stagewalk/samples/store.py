"""All lots of a node, and what of them is under way elsewhere."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.configuration.parameters import Tenant, TenantParameters
from stagewalk.core.identities import RequestId, TenantName, WeightVersion
from stagewalk.samples.lots import Lot, LotKey
from stagewalk.samples.staleness import VersionClock


@dataclass(frozen=True, slots=True)
class SlotPlace:
    """Where a slot is found."""

    lot: LotKey
    index: int


class LotStore:
    """Shared state of the sample ledger's parts.

    Attributes
    ----------
    lots
        By key, in order of submission.
    requests
        Slot of each rollout that runs or is scored.
    claims
        Slot of each claim proposed, by its key.
    versions
        What is known of each model's newest version.
    """

    def __init__(self) -> None:
        self.lots: dict[LotKey, Lot] = {}
        self.requests: dict[RequestId, SlotPlace] = {}
        self.claims: dict[str, SlotPlace] = {}
        self.versions = VersionClock()
        self.tenants: dict[TenantName, Tenant] = {}
        self._trainer_versions: dict[tuple[TenantName, str], WeightVersion] = {}

    def parameters(self, tenant: TenantName) -> TenantParameters | None:
        """Return the parameters in force of a tenant, if it exists."""
        known = self.tenants.get(tenant)
        return None if known is None else known.parameters

    def trainer_version(self, key: LotKey) -> WeightVersion:
        """Return the newest version that a lot's trainer has named here."""
        return self._trainer_versions.get((key.tenant, key.trainer), WeightVersion(0))

    def name_trainer_version(self, key: LotKey, version: WeightVersion) -> None:
        """Take note of the version a trainer names; an older one, come late, changes nothing."""
        newest = max(version, self.trainer_version(key))
        self._trainer_versions[key.tenant, key.trainer] = newest

    def lots_of_trainer(self, key: LotKey) -> list[Lot]:
        """Return the lots of a lot's trainer, in order of their steps."""
        found = [
            lot
            for other, lot in self.lots.items()
            if other.tenant == key.tenant and other.trainer == key.trainer
        ]
        return sorted(found, key=lambda lot: lot.key.step)

    def forget(self, key: LotKey) -> None:
        """Drop a lot and all that leads to it."""
        del self.lots[key]
        self.requests = {id_: place for id_, place in self.requests.items() if place.lot != key}
        self.claims = {name: place for name, place in self.claims.items() if place.lot != key}
        if not self.lots_of_trainer(key):
            self._trainer_versions.pop((key.tenant, key.trainer), None)
