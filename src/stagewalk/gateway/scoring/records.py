"""The stored form of a score call: the request by which a sample is scored.

Owns the record that a batch's items carry in the log (`batches.records`). Relies on `msgspec` only,
so that `batches` may import `scoring` and never the other way round.
"""

from __future__ import annotations

import msgspec


class ScoreCall(msgspec.Struct, frozen=True, array_like=True):
    """The request that has a sample scored: a `POST` by the route of its host and path.

    Attributes
    ----------
    call
        Its own id, under which the service that scores sees it.
    """

    call: str
    host: str
    path: str
    body: bytes
