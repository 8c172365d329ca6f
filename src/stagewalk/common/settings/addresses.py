"""Parses addresses in settings files: IP addresses only, never host names.

Errors name the invalid field by its path in the file.
"""

from __future__ import annotations

import ipaddress
from urllib.parse import SplitResult, urlsplit

from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.identities import Address

SETTINGS_PEER = "settings"
_URL_SCHEME = "http"


def settings_error(field: str, detail: str) -> StagewalkError:
    """Return the error for a settings field, by its path in the file."""
    return StagewalkError(
        kind=ErrorKind.INVALID_REQUEST,
        step=ErrorStep.SETTINGS,
        peer=SETTINGS_PEER,
        detail=detail,
        field=field,
    )


def parse_listen_address(field: str, text: str) -> Result[Address, StagewalkError]:
    """Parse `IP:PORT` (`[IP]:PORT` for IPv6), at which other processes reach this one."""
    parsed = _split(f"//{text}")
    if parsed is None or parsed.netloc != text:
        return Error(settings_error(field, f"expected IP:PORT, got {text!r}"))
    return _address(field, parsed, text)


def parse_service_url(field: str, text: str) -> Result[str, StagewalkError]:
    """Check `http://IP:PORT[/PATH]` and return it without a trailing slash."""
    parsed = _split(text)
    if parsed is None or parsed.scheme != _URL_SCHEME or parsed.query or parsed.fragment:
        return Error(settings_error(field, f"expected http://IP:PORT, got {text!r}"))
    return _address(field, parsed, text).map(lambda _: text.rstrip("/"))


def _split(text: str) -> SplitResult | None:
    try:
        return urlsplit(text)
    except ValueError:
        return None


def _address(field: str, parsed: SplitResult, text: str) -> Result[Address, StagewalkError]:
    try:
        host, port = parsed.hostname, parsed.port
    except ValueError:
        return Error(settings_error(field, f"the port of {text!r} is not a number up to 65535"))
    if not host or not port or parsed.username is not None:
        return Error(settings_error(field, f"expected an IP address and a port, got {text!r}"))
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        return Error(settings_error(field, f"{host!r} is not an IP address"))
    if ip.is_unspecified or ip.is_multicast:
        return Error(settings_error(field, f"{host!r} is not an address others can reach"))
    return Ok(Address(str(ip), port))
