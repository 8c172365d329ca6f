"""Types of the configuration that operators publish: routes, services and limits.

The platform's adapter decodes them; `routes.table` holds the configuration in force.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stagewalk.gateway.tenants.tenant import Tenant


class RouteKind(StrEnum):
    """How a route's requests are run and answered."""

    REPEATABLE = "repeatable"
    """Requests may run more than once."""
    ONCE = "once"
    """Requests run at most once."""
    STREAM = "stream"
    """Requests are answered by a stream of events; they run at most once unless resumable."""
    BATCH = "batch"
    """Requests submit batches, whose items run later."""


@dataclass(frozen=True, slots=True)
class BackEnd:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route in force.

    Attributes
    ----------
    path_prefix
        Begins and ends with a slash.
    timeout_seconds
        Maximum time until a request is answered.
    target_seconds
        Time within which an answer has its full value.
    maximum_attempts
        Maximum number of workers that one request may be sent to.
    priority
        0 is the most urgent.
    give_up_seconds
        Time after the submission of a batch at which its items may be given up.
    due_seconds
        Time after the submission of a batch at which all its results are due.
    single_version
        Whether a result must be produced by a single weight version.
    public
        Whether it serves calls without a key while other routes need one.
    allowed_regions
        Regions where its requests may be served, stored and cached; empty: any region.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    back_ends: tuple[BackEnd, ...]
    timeout_seconds: float
    target_seconds: float
    maximum_attempts: int
    priority: int = 5
    resumable: bool = False
    give_up_seconds: float = 60.0
    due_seconds: float = 60.0
    single_version: bool = False
    public: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether its requests may run more than once, as those of a resumable stream may."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds on the number of a service's workers, and their cost.

    Attributes
    ----------
    least, most
        Minimum and maximum workers in a zone, spot and ordinary ones together.
    boot_seconds
        Time until a new worker serves.
    spot_price
        Price of a spot worker relative to an ordinary one; None: there are no spot workers.
    zone_prices
        Relative price per worker and second, by zone.
    """

    least: int
    most: int
    boot_seconds: float
    spot_price: float | None
    zone_prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of an engine of a service.

    Attributes
    ----------
    memory_tokens
        Maximum tokens of all its runs: their prompts, counting shared parts once, and output.
    tokens_per_event
        Tokens carried by one event of a stream.
    """

    memory_tokens: int
    tokens_per_event: float = 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the properties of its workers.

    Attributes
    ----------
    scaling
        How its workers are scaled; None: they aren't.
    cold_seconds
        How long a worker is cold after its start.
    cold_rate
        Maximum requests per second to a cold worker from all senders together; 0.0: cold workers
        aren't limited.
    engine
        Capacity of its engines; None: its workers are not engines, or it is unknown.
    """

    name: str
    scaling: Scaling | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits for calls. The time limits that operators publish with them are not applied."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432


@dataclass(frozen=True, slots=True)
class RouteConfiguration:
    """One complete published configuration.

    Attributes
    ----------
    tenants
        The tenants that may call; None: calls need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None
