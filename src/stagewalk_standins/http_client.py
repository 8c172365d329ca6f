"""HTTP client settings shared by the stand-ins."""

from __future__ import annotations

import httpx

MAXIMUM_IDLE_CONNECTIONS = 32
KEEPALIVE_EXPIRY_SECONDS = 4.0


def open_client(timeout: httpx.Timeout | float) -> httpx.AsyncClient:
    """Return a client without a connection limit that ignores proxy settings.

    Parameters
    ----------
    timeout
        Timeout in seconds for connecting and for each read.
    """
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=MAXIMUM_IDLE_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_EXPIRY_SECONDS,
    )
    return httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False, verify=False)
