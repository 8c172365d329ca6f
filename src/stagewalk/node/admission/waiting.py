"""Queues of requests that wait for a slot of a pool, by tenant and priority.

Each queue is first in, first out; `admission.rules` limits the queues and chooses between them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from stagewalk.common.identities import RequestKey, TenantName
from stagewalk.node.core.completions import Priority


@dataclass(frozen=True, slots=True, order=True)
class QueueName:
    """Identifies the queue of one tenant's requests of one priority."""

    priority: Priority
    tenant: TenantName


class WaitingQueues:
    """First-in-first-out queues by tenant and priority, with counts per tenant."""

    def __init__(self) -> None:
        self._queues: dict[QueueName, OrderedDict[RequestKey, None]] = {}
        self._names: dict[RequestKey, QueueName] = {}
        self._by_tenant: dict[TenantName, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._names

    def count_of_tenant(self, tenant: TenantName) -> int:
        """Return how many requests of a tenant wait."""
        return self._by_tenant.get(tenant, 0)

    def ahead_of(self, priority: Priority) -> int:
        """Return how many requests of this or a more urgent priority wait."""
        return sum(len(queue) for name, queue in self._queues.items() if name.priority <= priority)

    def add(self, key: RequestKey, priority: Priority) -> None:
        """Append a request."""
        name = QueueName(priority, key.tenant)
        self._queues.setdefault(name, OrderedDict())[key] = None
        self._names[key] = name
        self._by_tenant[key.tenant] = self._by_tenant.get(key.tenant, 0) + 1

    def remove(self, key: RequestKey) -> bool:
        """Remove a request from any position; return whether it was queued."""
        name = self._names.pop(key, None)
        if name is None:
            return False
        queue = self._queues[name]
        del queue[key]
        if not queue:
            del self._queues[name]
        left = self._by_tenant[key.tenant] - 1
        if left:
            self._by_tenant[key.tenant] = left
        else:
            del self._by_tenant[key.tenant]
        return True

    def queue_names(self) -> Iterator[QueueName]:
        """Yield the names of the queues that are not empty, in a fixed order."""
        yield from sorted(self._queues)

    def first(self, name: QueueName) -> RequestKey:
        """Return the request at the head of a queue that is not empty."""
        return next(iter(self._queues[name]))
