"""Calls with JSON bodies over pooled HTTP connections, with errors as values.

Defines the timeouts and socket options of outgoing connections. An error says whether the request
may have been executed, and so whether it is safe to retry.
"""

from __future__ import annotations

import socket
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import Address

ResponseBody = TypeVar("ResponseBody")

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Failures before any byte of a request was written."""

CONNECT_TIMEOUT_SECONDS = 2.0
"""Longest wait for a connection: enough for the retransmission of a lost SYN after 1 s."""

POOL_TIMEOUT_SECONDS = 2.0
"""Longest wait for a free connection of a pool."""

KEEPALIVE_EXPIRY_SECONDS = 4.0
"""Shorter than the idle timeout of common servers, so that none closes a connection in use."""

TCP_USER_TIMEOUT_MILLISECONDS = 1_500
"""The kernel drops a connection whose data was not acknowledged for this long, which allows for
three retransmissions (after 0.2, 0.6 and 1.4 s)."""

TCP_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS),
)
"""Socket options of outgoing connections. Keepalive probes, sent every second, detect within 2 to
3 s that the peer of a pooled connection vanished without a reset; without them the next call would
wait for its own timeout."""

_BARE_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
_JSON_HEADERS = {"Content-Type": "application/json"}
_DETAIL_CHARACTERS = 200
"""Longest excerpt of a response or an exception in an error's detail."""

_REQUEST_TIMEOUT_STATUS = 408
_NOT_MODIFIED_STATUS = 304


def open_client(maximum_connections: int, maximum_idle: int) -> httpx.AsyncClient:
    """Return a client with its own pool, which ignores the proxy environment variables."""
    transport = open_transport(maximum_connections, maximum_idle)
    return httpx.AsyncClient(transport=transport, trust_env=False)


def open_transport(
    maximum_connections: int,
    maximum_idle: int,
    keepalive_seconds: float = KEEPALIVE_EXPIRY_SECONDS,
) -> httpx.AsyncHTTPTransport:
    """Return a pool of connections for short calls.

    Unlike a client, it has no redirects, cookies or authentication, which saves CPU time in each
    call. Services use plain HTTP; the empty TLS context only avoids loading certificates.
    """
    limits = httpx.Limits(
        max_connections=maximum_connections,
        max_keepalive_connections=maximum_idle,
        keepalive_expiry=keepalive_seconds,
    )
    return httpx.AsyncHTTPTransport(
        verify=_BARE_TLS_CONTEXT,
        limits=limits,
        trust_env=False,
        socket_options=TCP_KEEPALIVE_OPTIONS,
    )


def call_timeout(read_seconds: float | None) -> httpx.Timeout:
    """Return the timeouts of a call with a read timeout of `read_seconds` (`None`: unlimited)."""
    return httpx.Timeout(read_seconds, connect=CONNECT_TIMEOUT_SECONDS, pool=POOL_TIMEOUT_SECONDS)


def url_for(address: Address, path: str) -> str:
    """Return the URL of a path at a process's address."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"http://{host}:{address.port}{path}"


def quote_path_segment(name: str) -> str:
    """Return a name quoted as one segment of a URL's path."""
    return quote(name, safe="")


async def send_json(
    transport: httpx.AsyncBaseTransport,
    method: str,
    url: str,
    *,
    read_seconds: float,
    body: object | None = None,
    headers: Mapping[str, str] | None = None,
) -> httpx.Response:
    """Send a JSON body (if any) and read the whole response; raises `httpx.HTTPError`.

    `read_seconds` limits the whole response, not each read of a part.
    """
    content = None if body is None else msgspec.json.encode(body)
    if body is not None:
        headers = _JSON_HEADERS
    extensions = {"timeout": call_timeout(read_seconds).as_dict()}
    request = httpx.Request(method, url, headers=headers, content=content, extensions=extensions)
    try:
        with anyio.fail_after(POOL_TIMEOUT_SECONDS + CONNECT_TIMEOUT_SECONDS + read_seconds):
            response = await transport.handle_async_request(request)
            await response.aread()
    except TimeoutError as error:
        raise httpx.ReadTimeout("the answer took too long", request=request) from error
    return response


async def call_json(
    transport: httpx.AsyncBaseTransport,
    method: str,
    url: str,
    *,
    answer: type[ResponseBody],
    step: ErrorStep,
    peer: str,
    read_seconds: float,
    body: object | None = None,
) -> Result[ResponseBody, StagewalkError]:
    """Send a JSON body (if any) and decode the JSON response.

    The error's `ran` is `no` only if the request was never sent, or was refused (4xx except 408).
    """
    try:
        response = await send_json(transport, method, url, read_seconds=read_seconds, body=body)
    except httpx.HTTPError as error:
        return Error(transport_error(error, step, peer))
    if not response.is_success:
        return Error(status_error(response, step, peer))
    return decode_response(response, answer, step, peer)


@dataclass(frozen=True, slots=True)
class ChangedResponse(Generic[ResponseBody]):
    """A response that has changed, and the entity tag to send with the next request."""

    value: ResponseBody
    entity_tag: str | None


async def call_json_if_changed(
    transport: httpx.AsyncBaseTransport,
    url: str,
    entity_tag: str | None,
    *,
    answer: type[ResponseBody],
    step: ErrorStep,
    peer: str,
    read_seconds: float,
) -> Result[ChangedResponse[ResponseBody] | None, StagewalkError]:
    """Read a JSON response; None if its entity tag has not changed."""
    tags = None if entity_tag is None else {"if-none-match": entity_tag}
    try:
        response = await send_json(transport, "GET", url, read_seconds=read_seconds, headers=tags)
    except httpx.HTTPError as error:
        return Error(transport_error(error, step, peer))
    if response.status_code == _NOT_MODIFIED_STATUS:
        return Ok(None)
    if not response.is_success:
        return Error(status_error(response, step, peer))
    return decode_response(response, answer, step, peer).map(
        lambda value: ChangedResponse(value, response.headers.get("etag"))
    )


def decode_response(
    response: httpx.Response, answer: type[ResponseBody], step: ErrorStep, peer: str
) -> Result[ResponseBody, StagewalkError]:
    """Decode the JSON of a successful response."""
    try:
        return Ok(msgspec.json.decode(response.content, type=answer))
    except msgspec.DecodeError as error:
        return Error(
            StagewalkError(
                ErrorKind.REJECTED, step, peer, f"bad answer: {error}", ExecutionStatus.UNKNOWN
            )
        )


def transport_error(error: httpx.HTTPError, step: ErrorStep, peer: str) -> StagewalkError:
    """Return the error value for a connection that failed."""
    timed_out = isinstance(error, httpx.TimeoutException)
    return StagewalkError(
        kind=ErrorKind.TIMEOUT if timed_out else ErrorKind.UNREACHABLE,
        step=step,
        peer=peer,
        detail=describe_exception(error),
        ran=ExecutionStatus.NO if isinstance(error, NOT_SENT_ERRORS) else ExecutionStatus.UNKNOWN,
    )


def status_error(response: httpx.Response, step: ErrorStep, peer: str) -> StagewalkError:
    """Return the error value for a response whose status is not 2xx."""
    detail = response.content[:_DETAIL_CHARACTERS].decode(errors="replace")
    refused = response.is_client_error and response.status_code != _REQUEST_TIMEOUT_STATUS
    return StagewalkError(
        kind=ErrorKind.REJECTED,
        step=step,
        peer=peer,
        detail=f"status {response.status_code}: {detail}",
        ran=ExecutionStatus.NO if refused else ExecutionStatus.UNKNOWN,
    )


def describe_exception(error: BaseException) -> str:
    """Return an exception as one short text, never empty."""
    return f"{type(error).__name__}: {error}"[:_DETAIL_CHARACTERS]
