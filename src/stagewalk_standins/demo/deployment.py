"""Schema and validation of `deployment.toml`: regions, services, latencies and load.

Only the demo reads this file; a node reads its own settings file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import StagewalkError
from stagewalk.node.configuration.parameters import Fraction, ModelNameField, Name, TenantNameField
from stagewalk.node.configuration.records import invalid, validation_error

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0.0)]
LatencySeconds = Annotated[float, msgspec.Meta(ge=0.0, le=10.0)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all sections; rejects unknown fields."""


class Region(_Section, frozen=True):
    """A region and its zones, with one-way latencies in seconds."""

    name: Name
    zones: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    within_zone_seconds: LatencySeconds
    between_zones_seconds: LatencySeconds
    to_clients_seconds: LatencySeconds


class EngineService(_Section, frozen=True):
    """Model engines of one pool, assigned to a region's zones round-robin.

    Attributes
    ----------
    accelerators_per_engine
        For capacity planning only.
    """

    name: Name
    region: Name
    model: ModelNameField
    count: Count
    accelerators_per_engine: Count = 1


class CallerService(_Section, frozen=True):
    """Workers of an interactive application; a node runs beside each.

    Attributes
    ----------
    requests_per_second
        Total rate of all workers.
    non_repeatable_fraction
        Fraction of requests that may run at most once.
    request_class
        Request class of non-repeatable requests.
    """

    name: Name
    region: Name
    tenant: TenantNameField
    model: ModelNameField
    count: Count
    requests_per_second: PositiveNumber
    max_tokens: Count
    deadline_seconds: PositiveNumber
    non_repeatable_fraction: Fraction = 0.0
    request_class: str = ""


class TrainerService(_Section, frozen=True):
    """Trainers; a node runs beside each.

    Attributes
    ----------
    training_seconds
        Time from receiving a step's last sample to publishing the next version.
    """

    name: Name
    region: Name
    tenant: TenantNameField
    model: ModelNameField
    count: Count
    prompts_per_step: Count
    samples_per_prompt: Count
    max_tokens: Count
    training_seconds: PositiveNumber


class Deployment(_Section, frozen=True):
    """A whole deployment.

    Attributes
    ----------
    between_regions_seconds
        One-way latency between any two regions.
    weight_bytes
        Size of one weight version.
    weight_store_bytes_per_second
        Total rate of all fetches from the weight store.
    tenant_files
        Change files of the initial tenants, relative to this file's folder.
    tokens_per_second
        Peak token rate of all engines together; for capacity planning only.
    """

    name: Name
    between_regions_seconds: LatencySeconds
    weight_bytes: Annotated[int, msgspec.Meta(ge=1)]
    weight_store_bytes_per_second: PositiveNumber
    tenant_files: tuple[str, ...]
    regions: Annotated[tuple[Region, ...], msgspec.Meta(min_length=1)]
    engine_services: Annotated[tuple[EngineService, ...], msgspec.Meta(min_length=1)]
    caller_services: tuple[CallerService, ...]
    trainer_services: tuple[TrainerService, ...]
    tokens_per_second: PositiveNumber | None = None


def load_deployment(path: Path) -> Result[Deployment, StagewalkError]:
    """Read and check a `deployment.toml`; the error names the offending field."""
    try:
        deployment = msgspec.toml.decode(path.read_bytes(), type=Deployment)
    except OSError as error:
        return Error(invalid(f"{path}: {error.strerror}", None))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(validation_error(error))
    return _check_references(deployment)


def _check_references(deployment: Deployment) -> Result[Deployment, StagewalkError]:
    """Check that every service names an existing region and a served model."""
    regions = {region.name for region in deployment.regions}
    models = {service.model for service in deployment.engine_services}
    sections: dict[str, tuple[EngineService | CallerService | TrainerService, ...]] = {
        "engine_services": deployment.engine_services,
        "caller_services": deployment.caller_services,
        "trainer_services": deployment.trainer_services,
    }
    for section, services in sections.items():
        for index, service in enumerate(services):
            if service.region not in regions:
                detail = f"there is no region {service.region}"
                return Error(invalid(detail, f"{section}[{index}].region"))
            if service.model not in models:
                detail = f"no engine service runs {service.model}"
                return Error(invalid(detail, f"{section}[{index}].model"))
    return Ok(deployment)
