"""Description of a simulated deployment: places, machines, tenants and their load.

Owns these types and no behaviour; `layouts` fills them and `world` builds from them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.common.identities import Address, ModelName, Placement, TenantName
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.simulation.platform_settings import EngineSettings


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A process on the network."""

    name: str
    placement: Placement


@dataclass(frozen=True, slots=True)
class NodeSite:
    """A machine for a node; the callers of `service` use it as their local node."""

    endpoint: Endpoint
    address: Address
    service: str


@dataclass(frozen=True, slots=True)
class EngineSite:
    """A machine for an engine."""

    endpoint: Endpoint
    address: Address
    service: str
    model: ModelName


@dataclass(frozen=True, slots=True, kw_only=True)
class Latencies:
    """One-way latencies in seconds."""

    within_zone: float = 0.0002
    between_zones: float
    between_regions: float = 0.035
    jitter_fraction: float = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLoad:
    """Interactive callers of one tenant.

    Attributes
    ----------
    service
        Its callers use the nodes of this service first.
    requests_per_second
        Of the whole service.
    non_repeatable_fraction
        Fraction of requests that must run at most once.
    prompt_families
        Number of shared prompt prefixes.
    """

    tenant: TenantName
    service: str
    model: ModelName
    requests_per_second: float
    non_repeatable_fraction: float
    max_tokens: int
    deadline_seconds: float
    prompt_families: int = 12
    abandon_fraction: float = 0.01


@dataclass(frozen=True, slots=True, kw_only=True)
class TrainerLoad:
    """One trainer.

    Attributes
    ----------
    training_seconds
        Time between holding a step's last sample and holding the next version.
    steps_ahead
        Whether it submits the next step before it trains on this one.
    partial_update_fraction
        Chance, after each pull, that it trains on what it holds of the step so far and
        publishes a version before the step is whole.
    """

    tenant: TenantName
    trainer: str
    service: str
    model: ModelName
    prompts_per_step: int
    samples_per_prompt: int
    max_tokens: int
    training_seconds: float
    steps_ahead: bool = True
    partial_update_fraction: float = 0.0

    @property
    def slots_per_step(self) -> int:
        """Return the number of samples in a step."""
        return self.prompts_per_step * self.samples_per_prompt


@dataclass(frozen=True, slots=True, kw_only=True)
class TenantSite:
    """A tenant as its partner's operators create it."""

    name: TenantName
    partner: str
    template: str
    parameters: TenantParameters


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """A whole deployment.

    Attributes
    ----------
    latencies
        By region.
    version_bytes
        Size of one version of a model's weights.
    change_interval_seconds
        Mean time between two changes of configuration by one operator.
    """

    name: str
    latencies: dict[str, Latencies]
    nodes: tuple[NodeSite, ...]
    engines: tuple[EngineSite, ...]
    tenants: tuple[TenantSite, ...]
    callers: tuple[CallerLoad, ...]
    trainers: tuple[TrainerLoad, ...]
    engine_settings: EngineSettings = field(default_factory=EngineSettings)
    version_bytes: int = 2_000_000_000
    change_interval_seconds: float = 30.0

    @property
    def models(self) -> tuple[ModelName, ...]:
        """Return all models, sorted."""
        return tuple(sorted({engine.model for engine in self.engines}))

    @property
    def zones(self) -> tuple[Placement, ...]:
        """Return all zones that hold nodes, sorted."""
        places = {site.endpoint.placement for site in self.nodes}
        return tuple(sorted(places, key=lambda place: (place.region, place.zone)))

    def names_in_zone(self, place: Placement) -> tuple[str, ...]:
        """Return the names of all machines in a zone."""
        sites: tuple[NodeSite | EngineSite, ...] = (*self.nodes, *self.engines)
        return tuple(site.endpoint.name for site in sites if site.endpoint.placement == place)

    def names_in_region(self, region: str) -> tuple[str, ...]:
        """Return the names of all machines in a region."""
        sites: tuple[NodeSite | EngineSite, ...] = (*self.nodes, *self.engines)
        return tuple(
            site.endpoint.name for site in sites if site.endpoint.placement.region == region
        )
