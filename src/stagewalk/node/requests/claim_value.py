"""Keys and values of the claims that make a request run at most once.

The value names the only process that may ever dispatch the request. The nonce binds it to one
process's memory: a restarted node under the same name and incarnation does not know it, so it
can't take an old claim for its own.
"""

from __future__ import annotations

import msgspec

from stagewalk.common.identities import Incarnation, NodeName, RequestKey


class ClaimValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may dispatch a request, and which content it has.

    Attributes
    ----------
    nonce
        Random, known only to the process that proposed the claim.
    fingerprint
        Hash of the request's content, to tell another request under the same id.
    """

    node: NodeName
    incarnation: Incarnation
    nonce: str
    fingerprint: str


def request_claim_key(key: RequestKey) -> str:
    """Return the key of a request's claim."""
    return f"request/{key.tenant}/{key.request_id}"


def encode_claim(value: ClaimValue) -> bytes:
    """Return the claim's octets: equal for equal values."""
    return msgspec.json.encode(value)


def decode_claim(octets: bytes) -> ClaimValue | None:
    """Return the claim, or None if the octets are not one."""
    try:
        return msgspec.json.decode(octets, type=ClaimValue)
    except msgspec.DecodeError:
        return None
