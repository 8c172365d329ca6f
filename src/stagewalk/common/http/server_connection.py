"""The connection below an ASGI response, which ASGI itself does not show.

A response can't be abandoned by ASGI's means: the server flushes what it holds before it closes,
which a caller that doesn't read puts off for ever. Owns how `hypercorn` holds its connections: the
chain of senders from a response to its connection. Where that is different, nothing is found, and
the server closes as ASGI has it.
"""

from __future__ import annotations

import asyncio

from hypercorn.typing import ASGISendCallable

_SENDERS = 2
"""Between a response's sender and the connection that holds the writer: stream and protocol."""


def transport_of(send: ASGISendCallable) -> asyncio.WriteTransport | None:
    """Return the transport that a response is written to, None if it can't be found."""
    holder = getattr(send, "__self__", None)
    for _ in range(_SENDERS):
        holder = getattr(getattr(holder, "send", None), "__self__", None)
    writer = getattr(holder, "writer", None)
    return writer.transport if isinstance(writer, asyncio.StreamWriter) else None
