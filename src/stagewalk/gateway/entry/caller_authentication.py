"""Decides who makes a call and by which route, and rejects calls that match none.

Owns the rule of rejection (see `CallerAuthenticator`) and its two time bounds. Relies on the routes
and keys of the configuration in force, and on a way to renew the view of it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import reply_error
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.tenants.key_table import AUTHORIZATION_HEADER
from stagewalk.gateway.tenants.tenant import ANONYMOUS, Tenant

UNAUTHORIZED = 401
CHALLENGE = ("www-authenticate", "Bearer")
"""Sent with each 401 (RFC 9110, 11.6.1): the kind of credentials asked for."""

NOT_FOUND = 404
UNAVAILABLE = 503

MAXIMUM_REJECTION_VIEW_AGE_SECONDS = 0.25
"""Callers are rejected by a view at most this old: a twelfth of the time in which a configuration
must be in force (3 s), and a storm of wrong keys costs four reads a second."""

REJECTION_READ_SECONDS = 0.7
"""How long a caller waits for that view: time for a read through another node where the log is
silent, and well below the 1.5 s that callers of short requests wait."""

RenewView = Callable[[float, float], Awaitable[bool]]
"""Returns whether the view of the configuration is at most as old as the first time says, in
seconds; reads, within the second time, if it isn't."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a call.

    Attributes
    ----------
    tenant
        Its tenant's name, `ANONYMOUS` if it has none; None: no tenants are in force.
    """

    tenant: str | None


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call that was admitted: who makes it, and by which route."""

    caller: Caller
    route: Route


class CallerAuthenticator:
    """Decides from the configuration in force who calls, and by which route.

    What the view knows is served. What it does not know may have been published since the last
    read, so nobody is rejected before the view is at most `MAXIMUM_REJECTION_VIEW_AGE_SECONDS` old:

    - 401: no tenant holds the key, and the route is not public.
    - 404: the key is known, and no route matches.
    - 503: the view could not be renewed; the call did not run, and may succeed elsewhere.

    Parameters
    ----------
    request_header
        Names the header with a request's id, for the log.
    """

    def __init__(self, routes: RouteTable, renew_view: RenewView, request_header: str) -> None:
        self._routes = routes
        self._renew_view = renew_view
        self._request_header = request_header

    async def admit_to_route(self, exchange: OpaqueExchange) -> RoutedCall | None:
        """Return the caller and route of a call; None if it was rejected."""
        known = self._look_up(exchange)
        if known is not None:
            return known
        current = await self._renew()
        known = self._look_up(exchange)
        if known is None:
            route = self._routes.find(exchange.host, exchange.path)
            unknown_caller = self._identify(exchange, route is not None and route.public) is None
            status = UNAUTHORIZED if unknown_caller else NOT_FOUND
            await self._reject(exchange, status, current)
        return known

    async def admit_to_batches(self, exchange: OpaqueExchange) -> Caller | None:
        """Return who makes a call about a batch; None if it was rejected."""
        caller = self._identify(exchange, self._routes.takes_public_batches(exchange.host))
        if caller is not None:
            return caller
        current = await self._renew()
        caller = self._identify(exchange, self._routes.takes_public_batches(exchange.host))
        if caller is None:
            await self._reject(exchange, UNAUTHORIZED, current)
        return caller

    async def _renew(self) -> bool:
        return await self._renew_view(MAXIMUM_REJECTION_VIEW_AGE_SECONDS, REJECTION_READ_SECONDS)

    def _look_up(self, exchange: OpaqueExchange) -> RoutedCall | None:
        route = self._routes.find(exchange.host, exchange.path)
        caller = None if route is None else self._identify(exchange, route.public)
        return None if route is None or caller is None else RoutedCall(caller, route)

    def _identify(self, exchange: OpaqueExchange, public: bool) -> Caller | None:
        keys = self._routes.keys
        if not keys.enforced:
            return Caller(None)
        tenant: Tenant | None = keys.find(exchange.header(AUTHORIZATION_HEADER))
        if tenant is not None:
            return Caller(tenant.name)
        return Caller(ANONYMOUS) if public else None

    async def _reject(self, exchange: OpaqueExchange, status: int, current: bool) -> None:
        """Reply that the key or the route is unknown, or that this node can't decide now."""
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
            await reply_error(exchange, UNAVAILABLE, detail, DEFAULT_RETRY_AFTER_SECONDS)
        elif status == UNAUTHORIZED:
            await reply_error(exchange, status, "the key is not known", headers=(CHALLENGE,))
        else:
            await reply_error(exchange, status, "there is no such route")
