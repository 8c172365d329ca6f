"""A caller's request as it is forwarded: `entry` builds it, the forwarders send it."""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.gateway.eligibility.core import RequestScope
from stagewalk.gateway.ports.workers import HeaderList
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.routes.route import Route

HOST_HEADER = "host"


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A caller's complete request.

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
    """The parts of the request that identify it to a worker, whoever sends it."""

    def __post_init__(self) -> None:
        host = next((value for name, value in self.headers if name.lower() == HOST_HEADER), "")
        content = RequestContent(self.method, host, self.target, self.body)
        object.__setattr__(self, "content", content)

    def scope(self, route: Route) -> RequestScope:
        """Return what determines its eligible workers."""
        return RequestScope(route, self.content, self.tenant)
