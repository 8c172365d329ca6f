"""Routes and services as published by operators.

Owns these types; `routes.table` holds the ones in force. The platform's adapter decodes them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stagewalk.gateway.tenants.tenant import Tenant


class RouteKind(StrEnum):
    """What may be done with a route's requests."""

    REPEATABLE = "repeatable"
    """May run more than once."""
    ONCE = "once"
    """Runs at most once."""
    STREAM = "stream"
    """Answered by a stream of events; runs at most once unless it may be resumed."""
    BATCH = "batch"
    """Accepts batches, whose items run afterwards."""


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
        Longest time that a request waits for its answer.
    target_seconds
        Time within which an answer has its full worth.
    maximum_attempts
        Most workers one request may be sent to.
    priority
        0 is the most urgent.
    give_up_seconds
        How long after its submission an item of a batch may be given up.
    due_seconds
        How long after its submission all results of a batch are due.
    single_version
        Whether one weight version must make a whole result.
    public
        Whether it serves calls without a key where others need one.
    allowed_regions
        Where its requests may be served, stored and cached; empty: anywhere.
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
        """Whether its requests may run more than once: such a stream goes on where it broke."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Scaling:
    """How many workers of a service may be ordered, and what they cost.

    Attributes
    ----------
    least, most
        Workers of a zone, of both kinds together.
    boot_seconds
        How long a new worker takes until it serves.
    spot_price
        Price of a worker that may be taken away, in parts of that of an ordinary one; None: there
        are none.
    zone_prices
        Price of a worker's second by zone, relative to each other.
    """

    least: int
    most: int
    boot_seconds: float
    spot_price: float | None
    zone_prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What an engine of a service holds at once.

    Attributes
    ----------
    memory_tokens
        Tokens of all its runs together: their prompts, shared parts once, and what they made.
    tokens_per_event
        Tokens that one event of a stream carries.
    """

    memory_tokens: int
    tokens_per_event: float = 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service whose workers are back ends.

    Attributes
    ----------
    scaling
        How its workers may be ordered; None: none are.
    cold_seconds
        How long a worker that started lately is cold.
    cold_rate
        Requests a second that a cold worker withstands from all senders together; 0.0: as many as
        at any other time.
    engine
        What its engines hold; None: its workers are no engines, or it isn't known.
    """

    name: str
    scaling: Scaling | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send. The times that operators publish beside these are not applied."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432


@dataclass(frozen=True, slots=True)
class RouteConfiguration:
    """One published configuration, whole.

    Attributes
    ----------
    tenants
        Who may call; None: calls need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None
