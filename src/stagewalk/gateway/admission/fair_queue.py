"""A service's queue of requests, ordered by urgency, tenant and due time. Pure.

- Requests of the most urgent class start first.
- Within a class, new requests start before retries, since they can still be answered within their
  target. One start in four goes to a retry, unless its tenant has already exceeded its share.
- Among new requests, and among retries, tenants get equal shares by start-time fair queueing: each
  request advances its tenant's start tag by the time that it is expected to be in flight. A start
  tag is kept for a second after it was assigned, since on a node with one request in flight a
  tenant's queue is usually empty.
- Within a tenant, requests start in the order of their due times.
- A committed request that has passed its latest start time is overdue. One start in four goes to
  an overdue request, whatever its class.

`admission.service_admission` decides which requests are queued at all.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

STARTS_PER_RETRY = 4
"""One start in this many goes to a retry while new requests are queued too."""

STARTS_PER_OVERDUE = 4
"""One start in this many goes to an overdue request while others are queued too."""

MAXIMUM_TENANT_LEAD = 1.0
"""Retries lose their share of starts while their first start tag is later than that of the new
requests by more than this, in requests of average cost."""

MAXIMUM_RELATIVE_COST = 8.0
"""Upper bound on the cost of one request, relative to the average."""

TENANT_HISTORY_SECONDS = 1.0
"""How long a tenant's start tag is kept. With a longer history, tenants of a node with few starts
would wait for each other needlessly."""

MAXIMUM_IDLE_TENANTS = 256
"""Number of start tags above which those that no longer affect the order are pruned."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A forwarded request that asks for admission. Times are of the steady clock.

    Attributes
    ----------
    tenant
        Empty for a request without a tenant.
    urgency
        0 is the most urgent.
    target_seconds
        Time after `arrived_at` within which an answer has its full value.
    streamed
        Whether the target is for the first event; it then doesn't bound how long the request runs.
    """

    request_id: str
    route: str
    tenant: str
    urgency: int
    arrived_at: float
    deadline_at: float
    target_seconds: float
    streamed: bool = False

    @property
    def due_at(self) -> float:
        """Return the target time, or the deadline if that is earlier."""
        return min(self.deadline_at, self.arrived_at + self.target_seconds)


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request in the queue.

    Attributes
    ----------
    cost
        Expected time in flight, relative to the average.
    retried
        Whether its caller appears to have been rejected before.
    committed
        Whether it passed the final check of its expected wait, and so stays queued until it starts.
    start_beyond_limit_at
        When it starts whatever the limit, once it is committed (steady time).
    retry_seconds
        After how long it last started beyond the limit when full workers had refused it; 0 if none
        has.
    started
        Whether it has been started.
    """

    request: AdmissionRequest
    cost: float
    retried: bool
    committed: bool = False
    start_beyond_limit_at: float = math.inf
    retry_seconds: float = 0.0
    started: bool = False


@dataclass(slots=True)
class _TenantQueue:
    """A tenant's requests by due time, and its start tags in increasing order."""

    requests: list[tuple[float, int, QueueEntry]] = field(default_factory=list)
    start_tags: list[tuple[float, int, str]] = field(default_factory=list)


class _VirtualClock:
    """Virtual time and start tags of tenants. The time is the latest start tag served so far."""

    def __init__(self) -> None:
        self.now = 0.0
        self._next_tags: dict[str, tuple[float, float]] = {}
        """By tenant, its next start tag, and the steady time at which the last one was assigned."""
        self._prune_at = MAXIMUM_IDLE_TENANTS

    def next_start_tag(self, tenant: str, now: float) -> float:
        at, assigned_at = self._next_tags.get(tenant, (0.0, -math.inf))
        return max(self.now, at) if now - assigned_at < TENANT_HISTORY_SECONDS else self.now

    def assign_start_tag(self, tenant: str, cost: float, now: float) -> float:
        """Return a tenant's next start tag, and advance the one after it by the cost."""
        at = self.next_start_tag(tenant, now)
        self._next_tags[tenant] = at + cost, now
        if len(self._next_tags) > self._prune_at:
            self._next_tags = {
                t: start_tag
                for t, start_tag in self._next_tags.items()
                if self._is_active(start_tag, now)
            }
            self._prune_at = MAXIMUM_IDLE_TENANTS + 2 * len(self._next_tags)
        return at

    def refund(self, tenant: str, cost: float) -> None:
        """Undo the cost of a request that was removed without being started."""
        if tenant in self._next_tags:
            at, assigned_at = self._next_tags[tenant]
            self._next_tags[tenant] = at - cost, assigned_at

    def _is_active(self, start_tag: tuple[float, float], now: float) -> bool:
        return start_tag[0] > self.now and now - start_tag[1] < TENANT_HISTORY_SECONDS

    def advance(self, at: float) -> None:
        self.now = max(self.now, at)


class _FairSubqueue:
    """Requests of one class, new ones or retries, with equal shares by tenant."""

    def __init__(self, clock: _VirtualClock) -> None:
        self._clock = clock
        self._tenants: dict[str, _TenantQueue] = {}
        self._start_tags: list[tuple[float, int, str]] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._start_tags)

    def add(self, waiting: QueueEntry, now: float) -> None:
        tenant = waiting.request.tenant
        queue = self._tenants.setdefault(tenant, _TenantQueue())
        at = self._clock.assign_start_tag(tenant, waiting.cost, now)
        self._last_number += 1
        number = self._last_number
        insort(queue.requests, (waiting.request.due_at, number, waiting), key=_due)
        insort(queue.start_tags, (at, number, tenant))
        insort(self._start_tags, (at, number, tenant))

    def pop(self) -> QueueEntry:
        start_tag = self._start_tags.pop(0)
        tenant = start_tag[2]
        queue = self._tenants[tenant]
        queue.start_tags.remove(start_tag)
        waiting = queue.requests.pop(0)[2]
        if not queue.requests:
            del self._tenants[tenant]
        self._clock.advance(start_tag[0])
        return waiting

    def remove(self, waiting: QueueEntry) -> bool:
        """Remove a request that won't start; return whether it was queued.

        Its tenant's last start tag is removed, so that the other requests keep the earlier ones.
        """
        if not self._remove(waiting, -1):
            return False
        self._clock.refund(waiting.request.tenant, waiting.cost)
        return True

    def start(self, waiting: QueueEntry) -> bool:
        """Remove a request that starts out of order, and its tenant's first start tag."""
        return self._remove(waiting, 0)

    def _remove(self, waiting: QueueEntry, tag_index: int) -> bool:
        tenant = waiting.request.tenant
        queue = self._tenants.get(tenant, _TenantQueue())
        indices = (i for i, entry in enumerate(queue.requests) if entry[2] is waiting)
        index = next(indices, None)
        if index is None:
            return False
        del queue.requests[index]
        start_tag = queue.start_tags.pop(tag_index)
        del self._start_tags[bisect_left(self._start_tags, start_tag)]
        if not queue.requests:
            del self._tenants[tenant]
        return True

    @property
    def first_start_tag(self) -> float:
        """Return the earliest start tag, infinite if the subqueue is empty."""
        return self._start_tags[0][0] if self._start_tags else math.inf

    def ahead_of(self, request: AdmissionRequest, now: float) -> int:
        """Return how many queued requests start before a request."""
        return bisect_left(self._start_tags, self._start_tag(request, now))

    def is_behind(self, request: AdmissionRequest, now: float) -> bool:
        """Whether later requests of other tenants may start before a request."""
        return self._start_tag(request, now)[0] > self._clock.now

    def _start_tag(self, request: AdmissionRequest, now: float) -> tuple[float, int, str]:
        """Return the start tag at a request's position in its tenant's queue, or the next one."""
        queue = self._tenants.get(request.tenant)
        own = 0 if queue is None else bisect_left(queue.requests, request.due_at, key=_due)
        if queue is not None and own < len(queue.start_tags):
            return queue.start_tags[own]
        next_start_tag = self._clock.next_start_tag(request.tenant, now)
        return next_start_tag, self._last_number, request.tenant

    def count_of_tenant(self, tenant: str) -> int:
        queue = self._tenants.get(tenant)
        return 0 if queue is None else len(queue.requests)


class _UrgencyClass:
    """Requests of one urgency: new ones and retries."""

    def __init__(self) -> None:
        self.clock = _VirtualClock()
        self.new = _FairSubqueue(self.clock)
        self.retried = _FairSubqueue(self.clock)
        self._starts = 0

    def __len__(self) -> int:
        return len(self.new) + len(self.retried)

    def subqueue(self, retried: bool) -> _FairSubqueue:
        return self.retried if retried else self.new

    def pop(self) -> QueueEntry:
        self._starts += 1
        lead = self.retried.first_start_tag - self.new.first_start_tag
        serve_retry = self._starts % STARTS_PER_RETRY == 0 and lead <= MAXIMUM_TENANT_LEAD
        return self.subqueue(serve_retry or len(self.new) == 0).pop()

    def ahead_of(self, request: AdmissionRequest, retried: bool, now: float) -> int:
        ahead = self.subqueue(retried).ahead_of(request, now)
        if retried:
            return ahead + min(len(self.new), (STARTS_PER_RETRY - 1) * (ahead + 1))
        return ahead + min(len(self.retried), ahead // (STARTS_PER_RETRY - 1))


class FairQueue:
    """Queue of requests for one service."""

    def __init__(self) -> None:
        self._classes: dict[int, _UrgencyClass] = {}
        """By urgency."""
        self._overdue: deque[QueueEntry] = deque()
        self._size = 0
        self._starts = 0

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return self._size

    def record_start(self, waiting: QueueEntry, now: float) -> None:
        """Account for a request that starts without being queued."""
        request = waiting.request
        clock = self._urgency_class(request.urgency).clock
        clock.advance(clock.assign_start_tag(request.tenant, waiting.cost, now))

    def push(self, waiting: QueueEntry, now: float) -> None:
        """Add a request."""
        self._subqueue(waiting).add(waiting, now)
        self._size += 1

    def pop(self) -> QueueEntry:
        """Remove and return the request that starts next; `ValueError` if the queue is empty."""
        self._starts += 1
        self._size -= 1
        overdue = self._pop_overdue() if self._starts % STARTS_PER_OVERDUE == 0 else None
        return overdue or self._classes[self._most_urgent()].pop()

    def take(self, waiting: QueueEntry) -> bool:
        """Remove a request that starts out of order; return whether it was there."""
        taken = self._subqueue(waiting).start(waiting)
        self._size -= taken
        return taken

    def remove(self, waiting: QueueEntry) -> bool:
        """Remove a request that won't start; return whether it was there."""
        removed = self._subqueue(waiting).remove(waiting)
        self._size -= removed
        return removed

    def add_overdue(self, waiting: QueueEntry) -> None:
        """Mark a queued request as overdue, so that it may start out of order."""
        self._overdue.append(waiting)

    def ahead_of(self, waiting: QueueEntry, now: float) -> int:
        """Return how many queued requests start before a request, which may be queued or not."""
        request = waiting.request
        urgency = request.urgency
        ahead = sum(len(group) for u, group in self._classes.items() if u < urgency)
        group = self._urgency_class(urgency)
        ahead += group.ahead_of(request, waiting.retried, now)
        return ahead + min(len(self._overdue), (ahead + 1) // (STARTS_PER_OVERDUE - 1))

    def is_behind(self, waiting: QueueEntry, now: float) -> bool:
        """Whether later requests of other tenants of its class may start before a request."""
        return self._subqueue(waiting).is_behind(waiting.request, now)

    def count_of_tenant(self, tenant: str) -> int:
        """Return how many requests of a tenant are queued."""
        groups = self._classes.values()
        return sum(
            g.new.count_of_tenant(tenant) + g.retried.count_of_tenant(tenant) for g in groups
        )

    def _pop_overdue(self) -> QueueEntry | None:
        while self._overdue:
            waiting = self._overdue.popleft()
            if self._subqueue(waiting).start(waiting):
                return waiting
        return None

    def _subqueue(self, waiting: QueueEntry) -> _FairSubqueue:
        return self._urgency_class(waiting.request.urgency).subqueue(waiting.retried)

    def _urgency_class(self, urgency: int) -> _UrgencyClass:
        group = self._classes.get(urgency)
        if group is None:
            group = self._classes[urgency] = _UrgencyClass()
        return group

    def _most_urgent(self) -> int:
        return min(urgency for urgency, group in self._classes.items() if len(group) > 0)


def _due(entry: tuple[float, int, QueueEntry]) -> float:
    return entry[0]
