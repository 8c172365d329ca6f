"""A caller's request as it is forwarded."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.ports.workers import HeaderList
from stagewalk.quarantine.content import RequestContent

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

    def content(self) -> RequestContent:
        """Return what decides how a worker runs it."""
        host = next((value for name, value in self.headers if name.lower() == HOST_HEADER), "")
        return RequestContent(self.method, host, self.target, self.body)
