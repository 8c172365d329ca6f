"""Parameters of admission, with units and where the figures come from."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LimiterConfig:
    """The adaptive limit of requests in flight: it grows with completions, falls at refusals.

    Attributes
    ----------
    initial_limit, minimum_limit, maximum_limit
        Requests of one pool in flight from this node. Even a pool that refuses everything gets
        the minimum, so that its recovery is noticed.
    growth_per_completion
        What a completion adds to a limit that is in use, once it has fallen for the first
        time; until then each adds one, so that the limit doubles in a service time. A quarter
        makes it grow by a quarter of itself in a service time.
    decrease_factor
        Fraction of the limit that stays after a refusal by an engine.
    delay_decrease_factor
        Fraction that stays after a first token much later than usual: a weaker sign than a
        refusal, so it costs less.
    decrease_interval_seconds
        The limit falls at most once in this time: refusals come in bursts.
    delay_tolerance
        A first token is late when it takes so many times the usual.
    delay_allowance_seconds
        Added to that, so that noise of small delays counts for nothing.
    baseline_growth
        Fraction by which the usual delay moves towards a longer one seen.
    """

    initial_limit: float = 64.0
    minimum_limit: float = 2.0
    maximum_limit: float = 1024.0
    growth_per_completion: float = 0.25
    decrease_factor: float = 0.8
    delay_decrease_factor: float = 0.95
    decrease_interval_seconds: float = 0.5
    delay_tolerance: float = 4.0
    delay_allowance_seconds: float = 0.5
    baseline_growth: float = 0.01


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """Parameters of the admission controller.

    Attributes
    ----------
    maximum_waiting
        Requests waiting at this node in one pool, over all tenants.
    maximum_waiting_per_tenant
        Requests of one tenant waiting in one pool.
    share_reserve
        Fraction of each tenant's unused share that is kept free and not lent, so that its
        next request starts at once; the rest comes back with the borrowers' completions.
    interactive_reserve
        Fraction of the pool that rollouts leave to interactive requests.
    pool_overcommit
        Load of the pool, as a multiple of its slots, above which nothing is admitted: a
        short queue at the engines keeps their batches full.
    free_room_fraction
        Part of the pool's reported free slots that this node may take between two views of
        it, whatever its adaptive limit: several nodes see the same free slots.
    service_smoothing
        Weight of the newest duration in the moving mean of service times.
    initial_service_seconds
        Duration of a request assumed until one is measured.
    shed_service_fraction
        A waiting request is refused when what is left until its deadline, after the
        expected wait, is less than this fraction of the mean service time.
    minimum_retry_after_seconds, maximum_retry_after_seconds
        Bounds of the advice given with a rejection.
    """

    maximum_waiting: int = 512
    maximum_waiting_per_tenant: int = 256
    share_reserve: float = 0.2
    interactive_reserve: float = 0.1
    pool_overcommit: float = 1.1
    free_room_fraction: float = 0.5
    service_smoothing: float = 0.1
    initial_service_seconds: float = 2.0
    shed_service_fraction: float = 0.5
    minimum_retry_after_seconds: float = 0.2
    maximum_retry_after_seconds: float = 30.0
    limiter: LimiterConfig = field(default_factory=LimiterConfig)
