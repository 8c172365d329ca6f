"""A caller's request as it is forwarded.

Owns the type; `entry` builds it, the forwarders send it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.gateway.eligibility.core import RequestScope
from stagewalk.gateway.ports.workers import HeaderList
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.routes.route import Route

HOST_HEADER = "host"


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A caller's request, whole.

    Attributes
    ----------
    tenant, priority
        As in `OutboundRequest`.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    tenant: str | None = None
    priority: int | None = None

    content: RequestContent = field(init=False)
    """What makes it the same request to a worker, whoever sends it."""

    def __post_init__(self) -> None:
        host = next((value for name, value in self.headers if name.lower() == HOST_HEADER), "")
        content = RequestContent(self.method, host, self.target, self.body)
        object.__setattr__(self, "content", content)

    def scope(self, route: Route) -> RequestScope:
        """Return what decides where it may run."""
        return RequestScope(route, self.content, self.tenant)
