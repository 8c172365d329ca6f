"""In which order requests that wait for a service start. Pure.

Answers a burst of one tenant beside single requests of many others, urgent requests beside others,
and callers that were refused before beside new ones.

- The most urgent class goes first.
- Within a class a new request goes before one that returns after a refusal, since it can still be
  answered within its target; one start in four is for those that return, unless their
  tenants are ahead of the others' shares.
- Among these, tenants have equal shares by start-time fair queueing: each start moves its tenant
  back by the time that the request is expected to keep its place. Unlike the turns of a round robin
  this remembers for a second the tenants that have nothing in the queue at the moment, which is the
  usual case where a node has one request under way.
- Within a tenant who is due first goes first.
- A request that was told to wait and should have started by now is overdue: one start in four is
  for one of these, whatever its class.

Owns the requests that wait, and how far each tenant is; whether a request is worth waiting is
`admission.service_admission`.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

RETURNING_EACH = 4
"""Of so many starts one is a returning request's, while new ones wait too."""

OVERDUE_EACH = 4
"""Of so many starts one is an overdue request's, while others wait too."""

MAXIMUM_TENANT_LEAD = 1.0
"""A returning request whose tenant is this far ahead of the others' shares waits for them, in
requests of usual cost."""

MAXIMUM_RELATIVE_COST = 8.0
"""Most that one request moves its tenant back, in parts of the usual."""

TENANT_HISTORY_SECONDS = 1.0
"""How long a start moves its tenant back: within an answer's usual target. Over a longer time each
tenant of a node that starts few would be behind all others in turn, and wait for them."""

MAXIMUM_IDLE_TENANTS = 256
"""Tenants remembered beyond those that wait; the ones that are not ahead of others go first."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A forwarded request as it asks for a place. Times are of the steady clock.

    Attributes
    ----------
    tenant
        Empty for a request of nobody's.
    urgency
        0 is the most urgent.
    target_seconds
        Time after `arrived_at` within which an answer has its full worth.
    streamed
        Whether that is the time to its first event, which says nothing of how long it runs.
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
        """Return until when an answer has its full worth, or any."""
        return min(self.deadline_at, self.arrived_at + self.target_seconds)


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request in the queue.

    Attributes
    ----------
    cost
        Time that it is expected to keep its place, in parts of the usual.
    returning
        Whether its caller was refused before, as far as can be told.
    committed
        Whether it waits on until it starts: it was found worth waiting after its patience.
    started
        Whether it has its place.
    """

    request: AdmissionRequest
    cost: float
    returning: bool
    committed: bool = False
    started: bool = False


@dataclass(slots=True)
class _TenantQueue:
    """A tenant's requests by when they are due, and its turns in their order."""

    requests: list[tuple[float, int, QueueEntry]] = field(default_factory=list)
    turns: list[tuple[float, int, str]] = field(default_factory=list)


class _VirtualClock:
    """Times of tenants' turns: it stands still while tenants that are behind start."""

    def __init__(self) -> None:
        self.now = 0.0
        self._next: dict[str, tuple[float, float]] = {}
        """By tenant, its next turn, and the steady time at which it took the one before."""
        self._prune_at = MAXIMUM_IDLE_TENANTS

    def next_turn(self, tenant: str, now: float) -> float:
        at, taken_at = self._next.get(tenant, (0.0, -math.inf))
        return max(self.now, at) if now - taken_at < TENANT_HISTORY_SECONDS else self.now

    def take_turn(self, tenant: str, cost: float, now: float) -> float:
        """Return a tenant's next turn; the one after it is later by the cost."""
        at = self.next_turn(tenant, now)
        self._next[tenant] = at + cost, now
        if len(self._next) > self._prune_at:
            self._next = {t: turn for t, turn in self._next.items() if self._counts(turn, now)}
            self._prune_at = MAXIMUM_IDLE_TENANTS + 2 * len(self._next)
        return at

    def give_back(self, tenant: str, cost: float) -> None:
        """Take back a tenant's last turn, which nothing used."""
        if tenant in self._next:
            at, taken_at = self._next[tenant]
            self._next[tenant] = at - cost, taken_at

    def _counts(self, turn: tuple[float, float], now: float) -> bool:
        return turn[0] > self.now and now - turn[1] < TENANT_HISTORY_SECONDS

    def advance(self, at: float) -> None:
        self.now = max(self.now, at)


class _Line:
    """Requests that share starts equally by tenant."""

    def __init__(self, clock: _VirtualClock) -> None:
        self._clock = clock
        self._tenants: dict[str, _TenantQueue] = {}
        self._turns: list[tuple[float, int, str]] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, waiting: QueueEntry, now: float) -> None:
        tenant = waiting.request.tenant
        queue = self._tenants.setdefault(tenant, _TenantQueue())
        at = self._clock.take_turn(tenant, waiting.cost, now)
        self._last_number += 1
        number = self._last_number
        insort(queue.requests, (waiting.request.due_at, number, waiting), key=_due)
        insort(queue.turns, (at, number, tenant))
        insort(self._turns, (at, number, tenant))

    def pop(self) -> QueueEntry:
        turn = self._turns.pop(0)
        tenant = turn[2]
        queue = self._tenants[tenant]
        queue.turns.remove(turn)
        waiting = queue.requests.pop(0)[2]
        if not queue.requests:
            del self._tenants[tenant]
        self._clock.advance(turn[0])
        return waiting

    def remove(self, waiting: QueueEntry) -> bool:
        """Remove a request that won't start, and its tenant's last turn; return if it was there."""
        if not self._remove(waiting, -1):
            return False
        self._clock.give_back(waiting.request.tenant, waiting.cost)
        return True

    def start(self, waiting: QueueEntry) -> bool:
        """Remove a request that starts out of order, and its tenant's first turn."""
        return self._remove(waiting, 0)

    def _remove(self, waiting: QueueEntry, turn_place: int) -> bool:
        tenant = waiting.request.tenant
        queue = self._tenants.get(tenant, _TenantQueue())
        places = (i for i, entry in enumerate(queue.requests) if entry[2] is waiting)
        place = next(places, None)
        if place is None:
            return False
        del queue.requests[place]
        turn = queue.turns.pop(turn_place)
        del self._turns[bisect_left(self._turns, turn)]
        if not queue.requests:
            del self._tenants[tenant]
        return True

    @property
    def first_turn(self) -> float:
        """Return the earliest turn, infinite if nobody waits."""
        return self._turns[0][0] if self._turns else math.inf

    def ahead_of(self, request: AdmissionRequest, now: float) -> int:
        """Return how many start before a request."""
        return bisect_left(self._turns, self._turn(request, now))

    def is_behind(self, request: AdmissionRequest, now: float) -> bool:
        """Whether later requests of other tenants may start before a request."""
        return self._turn(request, now)[0] > self._clock.now

    def _turn(self, request: AdmissionRequest, now: float) -> tuple[float, int, str]:
        """Return the turn of a request: its tenant's next one if it doesn't wait yet."""
        queue = self._tenants.get(request.tenant)
        own = 0 if queue is None else bisect_left(queue.requests, request.due_at, key=_due)
        if queue is not None and own < len(queue.turns):
            return queue.turns[own]
        next_turn = self._clock.next_turn(request.tenant, now)
        return next_turn, self._last_number, request.tenant

    def waiting_of(self, tenant: str) -> int:
        queue = self._tenants.get(tenant)
        return 0 if queue is None else len(queue.requests)


class _Class:
    """Requests of one urgency: new ones, and those that return after a refusal."""

    def __init__(self) -> None:
        self.clock = _VirtualClock()
        self.new = _Line(self.clock)
        self.returning = _Line(self.clock)
        self._starts = 0

    def __len__(self) -> int:
        return len(self.new) + len(self.returning)

    def line(self, returning: bool) -> _Line:
        return self.returning if returning else self.new

    def pop(self) -> QueueEntry:
        self._starts += 1
        lead = self.returning.first_turn - self.new.first_turn
        turn_of_returning = self._starts % RETURNING_EACH == 0 and lead <= MAXIMUM_TENANT_LEAD
        return self.line(turn_of_returning or len(self.new) == 0).pop()

    def ahead_of(self, request: AdmissionRequest, returning: bool, now: float) -> int:
        ahead = self.line(returning).ahead_of(request, now)
        if returning:
            return ahead + min(len(self.new), (RETURNING_EACH - 1) * (ahead + 1))
        return ahead + min(len(self.returning), ahead // (RETURNING_EACH - 1))


class FairQueue:
    """Requests that wait for one service."""

    def __init__(self) -> None:
        self._classes: dict[int, _Class] = {}
        """By urgency."""
        self._overdue: deque[QueueEntry] = deque()
        self._size = 0
        self._starts = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return self._size

    def record_start(self, waiting: QueueEntry, now: float) -> None:
        """Count a request that starts without waiting."""
        request = waiting.request
        clock = self._class(request.urgency).clock
        clock.advance(clock.take_turn(request.tenant, waiting.cost, now))

    def push(self, waiting: QueueEntry, now: float) -> None:
        """Add a request."""
        self._line(waiting).add(waiting, now)
        self._size += 1

    def pop(self) -> QueueEntry:
        """Remove and return the request that starts next; raises `ValueError` if none waits."""
        self._starts += 1
        self._size -= 1
        overdue = self._pop_overdue() if self._starts % OVERDUE_EACH == 0 else None
        return overdue or self._classes[self._most_urgent()].pop()

    def remove(self, waiting: QueueEntry) -> bool:
        """Remove a request; return whether it was there."""
        removed = self._line(waiting).remove(waiting)
        self._size -= removed
        return removed

    def add_overdue(self, waiting: QueueEntry) -> None:
        """Have a request that waits start out of order, if its turn doesn't come before."""
        self._overdue.append(waiting)

    def ahead_of(self, waiting: QueueEntry, now: float) -> int:
        """Return how many of those that wait start before a request, whether it waits or not."""
        request = waiting.request
        urgency = request.urgency
        ahead = sum(len(group) for u, group in self._classes.items() if u < urgency)
        group = self._class(urgency)
        ahead += group.ahead_of(request, waiting.returning, now)
        return ahead + min(len(self._overdue), (ahead + 1) // (OVERDUE_EACH - 1))

    def is_behind(self, waiting: QueueEntry, now: float) -> bool:
        """Whether later requests of other tenants of its class may start before a request."""
        return self._line(waiting).is_behind(waiting.request, now)

    def waiting_of(self, tenant: str) -> int:
        """Return how many requests of a tenant wait."""
        groups = self._classes.values()
        return sum(g.new.waiting_of(tenant) + g.returning.waiting_of(tenant) for g in groups)

    def _pop_overdue(self) -> QueueEntry | None:
        while self._overdue:
            waiting = self._overdue.popleft()
            if self._line(waiting).start(waiting):
                return waiting
        return None

    def _line(self, waiting: QueueEntry) -> _Line:
        return self._class(waiting.request.urgency).line(waiting.returning)

    def _class(self, urgency: int) -> _Class:
        group = self._classes.get(urgency)
        if group is None:
            group = self._classes[urgency] = _Class()
        return group

    def _most_urgent(self) -> int:
        return min(urgency for urgency, group in self._classes.items() if len(group) > 0)


def _due(entry: tuple[float, int, QueueEntry]) -> float:
    return entry[0]
