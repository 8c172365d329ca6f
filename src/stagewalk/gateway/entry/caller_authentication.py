"""Authenticates callers, finds the route of a call, and rejects unknown keys and routes.

Uses the routes and keys of the configuration in force. `CallerAuthenticator` describes when a call
is rejected.
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
"""Sent with each 401 (RFC 9110, 11.6.1): the authentication scheme to use."""

NOT_FOUND = 404
UNAVAILABLE = 503

MAXIMUM_REJECTION_VIEW_AGE_SECONDS = 0.25
"""A rejection is based on a view of the configuration at most this old: well below the 3 s in which
a new configuration must be in force; a flood of wrong keys causes at most four reads a second."""

REJECTION_READ_SECONDS = 0.7
"""How long a caller waits for that view to be refreshed: enough for a read relayed by another node
if the log does not answer, and well below the 1.5 s timeout of callers with short requests."""

RenewView = Callable[[float, float], Awaitable[bool]]
"""Called with a maximum age and a read timeout, in seconds: reads the configuration if the view is
older, and returns whether the view is recent enough."""


@dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated caller of a request.

    Attributes
    ----------
    tenant
        The tenant's name, `ANONYMOUS` without a known key; None if keys are not enforced.
    """

    tenant: str | None


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """An admitted call: its caller and its route."""

    caller: Caller
    route: Route


class CallerAuthenticator:
    """Identifies callers and routes by the configuration in force.

    A key or route in the view is accepted at once. One that is missing may have been published
    since the last read, so a call is rejected only by a view that is at most
    `MAXIMUM_REJECTION_VIEW_AGE_SECONDS` old:

    - 401: no tenant holds the key, and the route is not public.
    - 404: the key is known, and no route matches.
    - 503: the view could not be refreshed; the call did not run, and may succeed at another node.

    Parameters
    ----------
    request_header
        Name of the header with the request's id, for the log.
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
            caller_is_unknown = self._identify(exchange, route is not None and route.public) is None
            status = UNAUTHORIZED if caller_is_unknown else NOT_FOUND
            await self._reject(exchange, status, current)
        return known

    async def admit_to_batches(self, exchange: OpaqueExchange) -> Caller | None:
        """Return the caller of a batch call; None if it was rejected."""
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
        """Reply with `status`, or with 503 if the view could not be refreshed."""
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
