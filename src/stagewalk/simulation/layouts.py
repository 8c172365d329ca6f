"""Deployments to simulate: two services, both combined, a planned size, and one for tests.

Owns names, sizes and loads of the deployments; relies on `layout` for the types.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from stagewalk.common.identities import Address, ModelName, Placement, TenantName
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.simulation.layout import (
    CallerLoad,
    Endpoint,
    EngineSite,
    Latencies,
    Layout,
    NodeSite,
    TenantSite,
    TrainerLoad,
)
from stagewalk.simulation.platform_settings import EngineSettings

PEER_PORT = 7400
ENGINE_PORT = 8000

READER = ModelName("qari")
POLICY = ModelName("rollout-lm")

AMMAN_ZONES = ("jabal-hall", "abdali-vault", "marka-annex")
THORNFIELD_ZONES = ("hall-north", "hall-east", "hall-south")

SIMULATED_ENGINE = EngineSettings(chunk_seconds=0.5)


class MachinePark:
    """Places machines round-robin over the zones of a region, each with a unique address."""

    def __init__(self, region: str, zones: tuple[str, ...], network_number: int) -> None:
        self._region = region
        self._zones = zones
        self._network_number = network_number
        self._count = 0

    def nodes(self, service: str, count: int) -> tuple[NodeSite, ...]:
        """Return machines for nodes of a service."""
        return tuple(
            NodeSite(self._endpoint(service, index), self._address(PEER_PORT), service)
            for index in range(count)
        )

    def engines(self, service: str, count: int, model: ModelName) -> tuple[EngineSite, ...]:
        """Return machines for engines of a service."""
        return tuple(
            EngineSite(self._endpoint(service, index), self._address(ENGINE_PORT), service, model)
            for index in range(count)
        )

    def _endpoint(self, service: str, index: int) -> Endpoint:
        zone = self._zones[index % len(self._zones)]
        return Endpoint(f"{service}-{index + 1}", Placement(self._region, zone))

    def _address(self, port: int) -> Address:
        self._count += 1
        return Address(
            f"10.{self._network_number}.{self._count // 250}.{self._count % 250 + 1}", port
        )


def amman() -> Layout:
    """Return the archive's deployment."""
    park = MachinePark("amman", AMMAN_ZONES, 1)
    return Layout(
        name="amman",
        latencies={"amman": Latencies(between_zones=0.0005)},
        nodes=(*park.nodes("fihris-app", 3), *park.nodes("qari-trainer", 1)),
        engines=park.engines("qari-models", 5, READER),
        tenants=(
            _tenant("catalogue", "archive", READER, share=0.4, idle_weight=0.2),
            _tenant("transcription", "archive", READER, share=0.5, idle_weight=0.2),
        ),
        callers=(
            CallerLoad(
                tenant=TenantName("catalogue"),
                service="fihris-app",
                model=READER,
                requests_per_second=4.0,
                non_repeatable_fraction=0.2,
                max_tokens=256,
                deadline_seconds=30.0,
            ),
        ),
        trainers=(
            TrainerLoad(
                tenant=TenantName("transcription"),
                trainer="reader-trainer",
                service="qari-trainer",
                model=READER,
                prompts_per_step=32,
                samples_per_prompt=8,
                max_tokens=1024,
                training_seconds=25.0,
            ),
        ),
        engine_settings=SIMULATED_ENGINE,
    )


def thornfield() -> Layout:
    """Return the growers' deployment."""
    park = MachinePark("new-england", THORNFIELD_ZONES, 2)
    return Layout(
        name="thornfield",
        latencies={"new-england": Latencies(between_zones=0.001)},
        nodes=(*park.nodes("advice-api", 3), *park.nodes("policy-trainer", 1)),
        engines=park.engines("rollout-lm", 6, POLICY),
        tenants=(
            _tenant("advice", "thornfield", POLICY, share=0.4, idle_weight=0.8),
            _tenant("policy", "thornfield", POLICY, share=0.5, idle_weight=0.8),
        ),
        callers=(
            CallerLoad(
                tenant=TenantName("advice"),
                service="advice-api",
                model=POLICY,
                requests_per_second=6.0,
                non_repeatable_fraction=0.4,
                max_tokens=160,
                deadline_seconds=20.0,
            ),
        ),
        trainers=(
            TrainerLoad(
                tenant=TenantName("policy"),
                trainer="policy-trainer",
                service="policy-trainer",
                model=POLICY,
                prompts_per_step=48,
                samples_per_prompt=8,
                max_tokens=1024,
                training_seconds=25.0,
            ),
        ),
        engine_settings=SIMULATED_ENGINE,
    )


def both() -> Layout:
    """Return the two deployments as regions of one, the archive sharing the growers' pool."""
    first, second = amman(), thornfield()
    guest = _tenant("map-overflow", "archive", POLICY, share=0.1, idle_weight=0.2)
    guest_load = replace(first.callers[0], tenant=guest.name, model=POLICY, requests_per_second=1.0)
    return Layout(
        name="both",
        latencies={**first.latencies, **second.latencies},
        nodes=(*first.nodes, *second.nodes),
        engines=(*first.engines, *second.engines),
        tenants=(*first.tenants, *second.tenants, guest),
        callers=(*first.callers, *second.callers, guest_load),
        trainers=(*first.trainers, *second.trainers),
        engine_settings=SIMULATED_ENGINE,
    )


def two_year() -> Layout:
    """Return the size planned for: 420 nodes, 600 engines, 2 regions, 7 zones, 6 trainers.

    The load is a hundredth of the planned one, so that control traffic can be judged at full
    size on one core.
    """
    zones_a = (*AMMAN_ZONES, "sahab-yard")
    park_a = MachinePark("amman", zones_a, 1)
    park_b = MachinePark("new-england", THORNFIELD_ZONES, 2)
    base_a, base_b = amman(), thornfield()
    trainers = tuple(
        replace(
            load,
            trainer=f"{load.trainer}-{index}",
            prompts_per_step=8,
            training_seconds=20.0,
        )
        for load in (*base_a.trainers, *base_b.trainers)
        for index in range(3)
    )
    return Layout(
        name="two_year",
        latencies={**base_a.latencies, **base_b.latencies},
        nodes=(
            *park_a.nodes("fihris-app", 207),
            *park_a.nodes("qari-trainer", 3),
            *park_b.nodes("advice-api", 207),
            *park_b.nodes("policy-trainer", 3),
        ),
        engines=(
            *park_a.engines("qari-models", 300, READER),
            *park_b.engines("rollout-lm", 300, POLICY),
        ),
        tenants=(*base_a.tenants, *base_b.tenants),
        callers=tuple(
            replace(load, requests_per_second=16.0) for load in (*base_a.callers, *base_b.callers)
        ),
        trainers=trainers,
        engine_settings=SIMULATED_ENGINE,
    )


def compact() -> Layout:
    """Return the growers' deployment with short steps: many versions in little time, for tests."""
    base = thornfield()
    trainer = replace(
        base.trainers[0],
        prompts_per_step=10,
        samples_per_prompt=4,
        max_tokens=240,
        training_seconds=5.0,
        partial_update_fraction=0.1,
    )
    return replace(
        base,
        name="compact",
        engines=base.engines[:4],
        callers=(replace(base.callers[0], requests_per_second=4.0),),
        trainers=(trainer,),
        tenants=tuple(_with_short_bound(site) for site in base.tenants),
        version_bytes=500_000_000,
        change_interval_seconds=8.0,
    )


def _with_short_bound(site: TenantSite) -> TenantSite:
    parameters = msgspec.structs.replace(site.parameters, staleness_bound_seconds=20.0)
    return replace(site, parameters=parameters)


LAYOUTS = {
    "compact": compact,
    "amman": amman,
    "thornfield": thornfield,
    "both": both,
    "two_year": two_year,
}


def _tenant(
    name: str, partner: str, model: ModelName, share: float, idle_weight: float
) -> TenantSite:
    return TenantSite(
        name=TenantName(name),
        partner=partner,
        template="rollouts",
        parameters=TenantParameters(
            models=(model,),
            staleness_bound_versions=1,
            staleness_bound_seconds=240.0,
            capacity_share=share,
            idle_weight=idle_weight,
        ),
    )
