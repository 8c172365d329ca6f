"""The rules of admission: who may start, who goes first, who is rejected and when to retry.

Pure functions of a pool's state. Loads and limits are in requests (an engine's sequences), times
in seconds. The constants, with their reasons, are fields of `AdmissionConfig`.

- *Start*: a tenant may start a request inside its guaranteed share of the limit, or borrow unused
  share but for the part reserved for its owner; and the engines seen must have room.
- *Order*: requests inside their tenant's share first, then interactive before rollouts, then the
  tenant served least for its share.
- *Reject*: a request that can't start is rejected when a queue is full or when its deadline would
  pass before it could be answered, so that the caller can turn to another node at once. The advice
  when to retry is the expected wait.
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
        When the caller should try again.
    """

    kind: ErrorKind
    detail: str
    retry_after_seconds: float


def may_start(pool: Pool, queue: QueueName, config: AdmissionConfig) -> bool:
    """Return whether the next request of a queue may start now."""
    share_allows = may_use_one_more(
        pool.shares, pool.in_use, queue.tenant, pool.limit, config.share_reserve
    )
    return share_allows and _engines_have_room(pool, queue.priority, config)


def waits_behind_own_tenant(pool: Pool, queue: QueueName) -> bool:
    """Return whether a waiting request of the same tenant goes before one of this queue."""
    return any(
        other.tenant == queue.tenant and other.priority <= queue.priority
        for other in pool.waiting.queue_names()
    )


def order_of_queue(pool: Pool, queue: QueueName) -> tuple[bool, int, float, str]:
    """Return the sort key of a waiting queue: the least goes first."""
    in_use = pool.in_use.get(queue.tenant, 0)
    own = guaranteed(pool.shares, queue.tenant, pool.limit)
    share = pool.shares.get(queue.tenant, 0.0)
    served = in_use / share if share > 0 else float(in_use)
    return (in_use + 1 > own, int(queue.priority), served, str(queue.tenant))


def rejection_of(
    pool: Pool,
    tenant: TenantName,
    request: CompletionRequest,
    config: AdmissionConfig,
    now: float,
) -> Rejection | None:
    """Return why a request that can't start may not wait either; None if it may."""
    wait = expected_wait_seconds(pool, request.priority)
    retry_after = min(
        config.maximum_retry_after_seconds, max(config.minimum_retry_after_seconds, wait)
    )
    if pool.waiting.of_tenant(tenant) >= config.maximum_waiting_per_tenant:
        detail = "too many requests of the tenant wait"
        return Rejection(ErrorKind.OVER_LIMIT, detail, retry_after)
    if len(pool.waiting) >= config.maximum_waiting:
        return Rejection(ErrorKind.OVERLOADED, "too many requests wait", retry_after)
    if now + wait + _least_service_seconds(pool, request.priority, config) > request.deadline:
        return Rejection(ErrorKind.OVERLOADED, "the deadline can't be met", retry_after)
    return None


def expected_wait_seconds(pool: Pool, priority: Priority) -> float:
    """Return how long a request would wait if it came now.

    The requests ahead of it, itself included, pass at the pool's limit, each lasting as long as
    the smoothed duration of its priority.
    """
    ahead = pool.waiting.ahead_of(priority) + 1
    return ahead * pool.service_seconds(priority) / max(1.0, pool.limit)


def latest_start(pool: Pool, request: CompletionRequest, config: AdmissionConfig) -> float:
    """Return when a waiting request must start, at the latest, to be answered in time."""
    return request.deadline - _least_service_seconds(pool, request.priority, config)


def _least_service_seconds(pool: Pool, priority: Priority, config: AdmissionConfig) -> float:
    """Return the time before its deadline that a request must have left to be worth starting."""
    return pool.service_seconds(priority) * config.shed_service_fraction


def _engines_have_room(pool: Pool, priority: Priority, config: AdmissionConfig) -> bool:
    """Return whether the load of the engines seen, which counts all nodes' requests, leaves room.

    A pool not seen yet, or without slots, doesn't bound: attempts then wait for an engine.
    """
    capacity = pool.capacity
    if capacity is None or capacity.slots == 0:
        return True
    usable = capacity.slots * config.pool_overcommit
    if priority is not Priority.INTERACTIVE:
        usable -= capacity.slots * config.interactive_reserve
    return capacity.load + pool.started_since + 1 <= max(1.0, usable)
