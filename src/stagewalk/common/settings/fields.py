"""Field types shared by the settings of the node and the gateway, and limits for callers."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

PositiveInteger = Annotated[int, msgspec.Meta(ge=1)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0.0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=100)]
LogLevel = Literal["debug", "info", "warning", "error"]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on callers' requests.

    Attributes
    ----------
    body_bytes
        Largest body of a call, in bytes.
    buffered_body_bytes
        Most bytes held for bodies that are being received, of all callers together.
    prompt_characters
        Longest prompt, in characters.
    open_calls
        Most calls that are open at once; a further one is refused.
    buffered_characters
        Most text, in characters, buffered for a caller that reads slower than the engine writes.
    body_seconds
        Longest time a caller may take to send its body, in seconds.
    """

    body_bytes: PositiveInteger = 8 * 1024 * 1024
    buffered_body_bytes: PositiveInteger = 32 * 1024 * 1024
    prompt_characters: PositiveInteger = 262_144
    open_calls: PositiveInteger = 512
    buffered_characters: PositiveInteger = 262_144
    body_seconds: PositiveInteger = 30
