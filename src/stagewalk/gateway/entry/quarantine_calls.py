"""Operators' endpoints that list and release quarantined requests, at the metrics address.

`nodes.crash_watch` keeps the state. The paths use the older name `held-requests`.
"""

from __future__ import annotations

import msgspec

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import reply_empty, reply_error, reply_json
from stagewalk.gateway.nodes.crash_watch import CrashWatch

QUARANTINE_PATH = "/held-requests"


class QuarantineEndpoints:
    """Serves `GET /held-requests` and `DELETE /held-requests/CONTENT`.

    Parameters
    ----------
    port
        Port of the operators' listener; None: nothing is served.
    """

    def __init__(self, crashes: CrashWatch, port: int | None) -> None:
        self._crashes = crashes
        self._port = port

    def serves(self, exchange: OpaqueExchange) -> bool:
        """Whether an exchange came to the operators' listener; elsewhere the path is callers'."""
        path = exchange.path
        named = path == QUARANTINE_PATH or path.startswith(f"{QUARANTINE_PATH}/")
        return named and exchange.port is not None and exchange.port == self._port

    async def serve(self, exchange: OpaqueExchange) -> None:
        """Handle an exchange that `serves` accepted."""
        content = exchange.path.removeprefix(QUARANTINE_PATH).removeprefix("/")
        if exchange.method == "GET" and not content:
            await reply_json(exchange, msgspec.json.encode(self._crashes.quarantined_contents()))
        elif exchange.method == "DELETE" and content:
            await self._release(exchange, content)
        else:
            await reply_error(exchange, 405, "GET the list, or DELETE one by its content")

    async def _release(self, exchange: OpaqueExchange, content: str) -> None:
        known = self._crashes.clear_quarantine(content)
        log_event("held_request_lifted", content=content, known=known)
        if known:
            await reply_empty(exchange, 200)
        else:
            await reply_error(exchange, 404, "no worker end is known of that content")
