"""The rules of admission: which requests may start, in which order, and which are rejected.

Pure functions of a pool's state. Loads and limits are in requests (an engine's sequences), times
in seconds. The constants are fields of `AdmissionConfig`.

- *Start*: a tenant may start a request within its guaranteed share of the limit, or borrow the
  unused share of others except for the reserved part. The engines must also have free capacity.
- *Order*: requests within their tenant's share first, then interactive before rollouts, then the
  tenant with the fewest requests in flight relative to its share.
- *Reject*: a request that can't start is rejected if a queue is full or its deadline can't be met,
  so that the caller can try another node immediately. Retry-After is the expected wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.errors import ErrorKind
from stagewalk.common.identities import TenantName
from stagewalk.node.admission.config import AdmissionConfig
from stagewalk.node.admission.pool import Pool
from stagewalk.node.admission.shares import guaranteed, may_use_one_more
from stagewalk.node.admission.waiting import QueueName
from stagewalk.node.core.completions import CompletionRequest, Priority


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is neither started nor queued.

    Attributes
    ----------
    retry_after_seconds
        How long the caller should wait before it retries.
    """

    kind: ErrorKind
    detail: str
    retry_after_seconds: float


def may_start(pool: Pool, queue: QueueName, config: AdmissionConfig) -> bool:
    """Return whether the next request of a queue may start now."""
    share_allows = may_use_one_more(
        pool.shares, pool.in_use, queue.tenant, pool.limit, config.share_reserve
    )
    return share_allows and _engines_have_capacity(pool, queue.priority, config)


def has_waiting_request_ahead(pool: Pool, queue: QueueName) -> bool:
    """Return whether the tenant has a waiting request of the same or a more urgent priority."""
    return any(
        other.tenant == queue.tenant and other.priority <= queue.priority
        for other in pool.waiting.queue_names()
    )


def queue_sort_key(pool: Pool, queue: QueueName) -> tuple[bool, int, float, str]:
    """Return the sort key of a waiting queue; the smallest is served first."""
    in_use = pool.in_use.get(queue.tenant, 0)
    own = guaranteed(pool.shares, queue.tenant, pool.limit)
    share = pool.shares.get(queue.tenant, 0.0)
    served = in_use / share if share > 0 else float(in_use)
    return (in_use + 1 > own, int(queue.priority), served, str(queue.tenant))


def rejection_reason(
    pool: Pool,
    tenant: TenantName,
    request: CompletionRequest,
    config: AdmissionConfig,
    now: float,
) -> Rejection | None:
    """Return why a request that can't start may not be queued; None if it may."""
    wait = expected_wait_seconds(pool, request.priority)
    retry_after = min(
        config.maximum_retry_after_seconds, max(config.minimum_retry_after_seconds, wait)
    )
    if pool.waiting.count_of_tenant(tenant) >= config.maximum_waiting_per_tenant:
        detail = "too many requests of the tenant wait"
        return Rejection(ErrorKind.OVER_LIMIT, detail, retry_after)
    if len(pool.waiting) >= config.maximum_waiting:
        return Rejection(ErrorKind.OVERLOADED, "too many requests wait", retry_after)
    if now + wait + _least_service_seconds(pool, request.priority, config) > request.deadline:
        return Rejection(ErrorKind.OVERLOADED, "the deadline can't be met", retry_after)
    return None


def expected_wait_seconds(pool: Pool, priority: Priority) -> float:
    """Return how long a request would wait if it arrived now.

    The estimate is the number of requests up to and including it, times the average duration of
    its priority, divided by the pool's limit.
    """
    ahead = pool.waiting.ahead_of(priority) + 1
    return ahead * pool.service_seconds(priority) / max(1.0, pool.limit)


def latest_start(pool: Pool, request: CompletionRequest, config: AdmissionConfig) -> float:
    """Return the latest time a waiting request can start to meet its deadline."""
    return request.deadline - _least_service_seconds(pool, request.priority, config)


def _least_service_seconds(pool: Pool, priority: Priority, config: AdmissionConfig) -> float:
    """Return how long before its deadline a request must start to be worth starting."""
    return pool.service_seconds(priority) * config.shed_service_fraction


def _engines_have_capacity(pool: Pool, priority: Priority, config: AdmissionConfig) -> bool:
    """Return whether the load of the engines, which includes other nodes' requests, leaves room.

    A pool of unknown capacity or without slots sets no bound: attempts then wait for an engine.
    """
    capacity = pool.capacity
    if capacity is None or capacity.slots == 0:
        return True
    usable = capacity.slots * config.pool_overcommit
    if priority is not Priority.INTERACTIVE:
        usable -= capacity.slots * config.interactive_reserve
    return capacity.load + pool.started_since_update + 1 <= max(1.0, usable)
