"""Stored form of a score call, as part of a batch's items in the log (`batches.records`).

Imports nothing of `batches`, since `batches` imports `scoring`.
"""

from __future__ import annotations

import msgspec


class ScoreCall(msgspec.Struct, frozen=True, array_like=True):
    """Request that scores a sample: a `POST`, routed by its host and path.

    Attributes
    ----------
    call
        Request identifier, as seen by the scoring service.
    """

    call: str
    host: str
    path: str
    body: bytes
