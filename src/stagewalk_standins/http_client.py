"""HTTP clients of the stand-ins.

Owns pool limits and trust settings; relies on `httpx`.
"""

from __future__ import annotations

import httpx

MAXIMUM_IDLE_CONNECTIONS = 32
SERVER_KEEP_ALIVE_SECONDS = 4.0


def open_client(timeout: httpx.Timeout | float) -> httpx.AsyncClient:
    """Return a client without a limit of open calls; the process's proxies are not used.

    Parameters
    ----------
    timeout
        Of connecting and of each read, seconds.
    """
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=MAXIMUM_IDLE_CONNECTIONS,
        keepalive_expiry=SERVER_KEEP_ALIVE_SECONDS,
    )
    return httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False, verify=False)
