"""Keys and values of the claims that make a request run at most once.

The value names the only process that may dispatch the request. Its nonce exists only in that
process's memory, so a restarted node of the same name and incarnation can't mistake an old claim
for its own.
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
        Hash of the request's content, to detect another request with the same id.
    """

    node: NodeName
    incarnation: Incarnation
    nonce: str
    fingerprint: str


def request_claim_key(key: RequestKey) -> str:
    """Return the key of a request's claim."""
    return f"request/{key.tenant}/{key.request_id}"


def encode_claim(value: ClaimValue) -> bytes:
    """Return the encoded claim; equal values have equal encodings."""
    return msgspec.json.encode(value)


def decode_claim(octets: bytes) -> ClaimValue | None:
    """Return the decoded claim, or None if the octets are malformed."""
    try:
        return msgspec.json.decode(octets, type=ClaimValue)
    except msgspec.DecodeError:
        return None
