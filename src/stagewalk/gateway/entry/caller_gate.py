"""Tells whose a call is, and refuses calls whose key no tenant holds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.eligibility.retry_after import RETRY_AFTER_SECONDS
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import reply_error
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.tenants.key_table import AUTHORIZATION_HEADER
from stagewalk.gateway.tenants.tenant import ANONYMOUS, Tenant

UNAUTHORIZED = 401
CHALLENGE = ("www-authenticate", "Bearer")
"""Goes with each 401 (RFC 9110, 11.6.1): which kind of credentials is asked for."""

NOT_FOUND = 404
UNAVAILABLE = 503

Renew = Callable[[], Awaitable[bool]]
"""Brings the view of the configuration up to now; returns whether it is."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Whose call it is.

    Attributes
    ----------
    tenant
        Its tenant's name, `ANONYMOUS` if it has none; None: no tenants are in force.
    """

    tenant: str | None


class CallerGate:
    """Decides from the configuration in force who calls, and by which route.

    What the view knows is served. What it does not know may have been published since the last
    read, so nobody is turned away (401, 404) before the view is known to be current; where it can't
    be brought up to now, the answer is 503: the call did not run, and may succeed elsewhere.

    Parameters
    ----------
    request_header
        Names the header with a request's id, for the log.
    """

    def __init__(self, routes: RouteTable, renew: Renew, request_header: str) -> None:
        self._routes = routes
        self._renew = renew
        self._request_header = request_header

    async def admit_to_route(self, exchange: OpaqueExchange) -> tuple[Caller, Route] | None:
        """Return who calls and the route of the call; None if it was turned away."""
        known = self._look_up(exchange)
        if known is not None:
            return known
        current = await self._renew()
        known = self._look_up(exchange)
        if known is None:
            route = self._routes.find(exchange.host, exchange.path)
            unknown_caller = self._identify(exchange, route is not None and route.public) is None
            status = UNAUTHORIZED if unknown_caller else NOT_FOUND
            await self._turn_away(exchange, status, current)
        return known

    async def admit_to_batches(self, exchange: OpaqueExchange) -> Caller | None:
        """Return who makes a call about a batch; None if it was turned away."""
        caller = self._identify(exchange, self._routes.takes_public_batches(exchange.host))
        if caller is not None:
            return caller
        current = await self._renew()
        caller = self._identify(exchange, self._routes.takes_public_batches(exchange.host))
        if caller is None:
            await self._turn_away(exchange, UNAUTHORIZED, current)
        return caller

    def _look_up(self, exchange: OpaqueExchange) -> tuple[Caller, Route] | None:
        route = self._routes.find(exchange.host, exchange.path)
        caller = None if route is None else self._identify(exchange, route.public)
        return None if route is None or caller is None else (caller, route)

    def _identify(self, exchange: OpaqueExchange, public: bool) -> Caller | None:
        keys = self._routes.keys
        if not keys.enforced:
            return Caller(None)
        tenant: Tenant | None = keys.find(exchange.header(AUTHORIZATION_HEADER))
        if tenant is not None:
            return Caller(tenant.name)
        return Caller(ANONYMOUS) if public else None

    async def _turn_away(self, exchange: OpaqueExchange, status: int, current: bool) -> None:
        """Say that the key or the route is not known, or that nobody can tell here now."""
        log_event(
            "caller_denied",
            "info" if current else "warning",
            request=exchange.header(self._request_header) or "",
            status=status if current else UNAVAILABLE,
            with_key=exchange.header(AUTHORIZATION_HEADER) is not None,
            configuration=self._routes.version,
            view_current=current,
        )
        if not current:
            detail = "the view of the configuration is too old"
            await reply_error(exchange, UNAVAILABLE, detail, RETRY_AFTER_SECONDS)
        elif status == UNAUTHORIZED:
            await reply_error(exchange, status, "the key is not known", headers=(CHALLENGE,))
        else:
            await reply_error(exchange, status, "there is no such route")
