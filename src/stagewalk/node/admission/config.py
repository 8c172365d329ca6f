"""Parameters of admission control."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LimiterConfig:
    """Adaptive limit of requests in flight: it grows on completions and shrinks on refusals.

    Attributes
    ----------
    initial_limit, minimum_limit, maximum_limit
        Requests of one pool in flight from this node. A pool that refuses everything still gets
        the minimum, so that its recovery is noticed.
    growth_per_completion
        Increase per completion while the limit is in use, after its first decrease. Until then
        each completion adds one, so that the limit doubles within a service time. With 0.25 it
        grows by a quarter per service time.
    decrease_factor
        Factor applied to the limit after an engine refused a request.
    delay_decrease_factor
        Factor applied after a first token much later than usual, which is a weaker sign of
        overload than a refusal.
    decrease_interval_seconds
        Least time between two decreases, since refusals come in bursts.
    delay_tolerance
        A first token is late if its delay exceeds this multiple of the baseline delay.
    delay_allowance_seconds
        Added to that threshold, so that noise in small delays is ignored.
    baseline_growth
        Fraction of the difference by which a longer delay raises the baseline.
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
        Most requests waiting at this node for one pool, over all tenants.
    maximum_waiting_per_tenant
        Most requests of one tenant waiting for one pool.
    share_reserve
        Fraction of each tenant's unused share that other tenants may not borrow, so that its
        next request can start immediately. The rest is returned as borrowers' requests complete.
    interactive_reserve
        Fraction of the pool reserved for interactive requests.
    pool_overcommit
        Load of the pool, as a multiple of its slots, above which nothing is admitted. A short
        queue at the engines keeps their batches full.
    free_room_fraction
        Fraction of the pool's reported free slots that this node may use until the next update,
        even beyond its adaptive limit. Several nodes see the same free slots.
    service_smoothing
        Weight of the newest duration in the moving average of service times.
    initial_service_seconds
        Duration of a request assumed until one is measured.
    shed_service_fraction
        A request is rejected when the time left until its deadline, after the expected wait,
        is less than this fraction of the average service time.
    minimum_retry_after_seconds, maximum_retry_after_seconds
        Bounds of the Retry-After given with a rejection.
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
