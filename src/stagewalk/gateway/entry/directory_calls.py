"""Answers directory lookups: the addresses of the nodes a caller should connect to.

`directory.caller_subset` chooses them; the node's view is refreshed first if it is stale.
"""

from __future__ import annotations

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.directory.caller_subset import CallerLocation
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import reply_error, reply_json
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.zones.evacuations import Evacuations

MAXIMUM_ADDRESSES = 64
"""Maximum number of addresses in one answer."""

DIRECTORY_TTL_SECONDS = 1.0
"""How long callers may cache the directory's answer; the drain delay of a stop
(`DRAIN_DELAY_SECONDS`) is derived from it."""


class DirectoryEndpoint:
    """Endpoint of directory lookups."""

    def __init__(
        self, nodes: NodeService, routes: RouteTable, evacuations: Evacuations, dialect: Dialect
    ) -> None:
        self._nodes = nodes
        self._routes = routes
        self._evacuations = evacuations
        self._dialect = dialect

    async def resolve(self, exchange: OpaqueExchange) -> None:
        """Reply with addresses for the caller's region and zone; 503 if no node can serve."""
        caller = CallerLocation(
            exchange.query.get("region", ""),
            exchange.query.get("zone", ""),
            self._evacuations.zones,
            self._routes.regions_of_host(exchange.query.get("name", "")),
        )
        await self._nodes.refresh()
        addresses = self._nodes.serving_nodes(caller, MAXIMUM_ADDRESSES)
        if addresses:
            await reply_json(exchange, self._dialect.addresses(addresses, DIRECTORY_TTL_SECONDS))
            return
        log_event(
            "lookup_refused",
            "warning",
            region=caller.region,
            zone=caller.zone,
            nodes_known=self._nodes.known,
        )
        await reply_error(exchange, 503, "no node is known to serve")
