"""Failover between the nodes a client may use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """Name and base URL of a node."""

    name: str
    url: str


class NodePool:
    """Nodes in order of preference; a client moves on to the next when one fails."""

    def __init__(self, endpoints: tuple[NodeEndpoint, ...]) -> None:
        if not endpoints:
            raise ValueError("at least one node is needed")
        self._endpoints = endpoints
        self._current = 0

    @property
    def current(self) -> NodeEndpoint:
        """Return the node in use."""
        return self._endpoints[self._current]

    def after(self, endpoint: NodeEndpoint) -> NodeEndpoint:
        """Return the node that follows another one."""
        index = self._endpoints.index(endpoint)
        return self._endpoints[(index + 1) % len(self._endpoints)]

    def move_on(self, failed: NodeEndpoint) -> None:
        """Switch to the next node, unless another call already has."""
        if self.current == failed:
            self._current = (self._current + 1) % len(self._endpoints)


def parse_nodes(text: str) -> tuple[NodeEndpoint, ...]:
    """Read `URL,URL` or `NAME=URL,NAME=URL`; a node without a name is called by its URL."""
    endpoints = []
    for item in filter(None, text.split(",")):
        name, separator, url = item.partition("=")
        if separator and "/" not in name:
            endpoints.append(NodeEndpoint(name, url.rstrip("/")))
        else:
            endpoints.append(NodeEndpoint(item, item.rstrip("/")))
    return tuple(endpoints)
