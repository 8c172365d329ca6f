"""Finds the transport of an ASGI response, which ASGI does not expose.

ASGI can't abort a response: the server flushes its buffer before it closes the connection, which
never ends if the caller doesn't read. The transport is reached through the `send` methods of
`hypercorn`'s objects, from the response to its connection. With another server nothing is found,
and the connection is closed by ASGI's usual means.
"""

from __future__ import annotations

import asyncio

from hypercorn.typing import ASGISendCallable

_SENDERS = 2
"""Number of `send` methods from a response's stream to the connection that holds the writer."""


def transport_of(send: ASGISendCallable) -> asyncio.WriteTransport | None:
    """Return the transport that a response is written to, None if it can't be found."""
    holder = getattr(send, "__self__", None)
    for _ in range(_SENDERS):
        holder = getattr(getattr(holder, "send", None), "__self__", None)
    writer = getattr(holder, "writer", None)
    return writer.transport if isinstance(writer, asyncio.StreamWriter) else None
