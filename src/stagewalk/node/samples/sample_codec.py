"""Encoding of samples as claim values, a stored format that other nodes and releases read."""

from __future__ import annotations

import zlib

import msgspec

from stagewalk.common.identities import SampleSlotKey, WeightVersion
from stagewalk.node.core.completions import VersionSpan
from stagewalk.node.core.rollouts import Sample

SAMPLE_CLAIM_KEY_PREFIX = "slot/"
"""Prefix of the keys of claims that decide slots."""

_MINIMUM_COMPRESSED_BYTES = 256
"""Shorter text is stored uncompressed."""


class _EncodedSample(msgspec.Struct, frozen=True, array_like=True):
    """MessagePack form of a sample; `text` is compressed if `compressed` is set."""

    sample_id: str
    compressed: bool
    text: bytes
    token_count: int
    spans: tuple[tuple[int, int], ...]
    score: float


_DECODER = msgspec.msgpack.Decoder(_EncodedSample)


def sample_claim_key(slot: SampleSlotKey, generation: int, lot_digest: int) -> str:
    """Return the key of the claim that decides a slot's sample.

    The key contains the generation, since a slot that is run again needs a new decision, and the
    digest, since samples of a step submitted elsewhere with other prompts must not be used.
    """
    return f"{SAMPLE_CLAIM_KEY_PREFIX}{slot}/{generation}/{lot_digest:016x}"


def encode_sample(sample: Sample) -> bytes:
    """Return the encoded sample without its slot, which is in the claim's key."""
    text = sample.text.encode()
    compressed = len(text) >= _MINIMUM_COMPRESSED_BYTES
    return msgspec.msgpack.encode(
        _EncodedSample(
            sample.sample_id,
            compressed,
            zlib.compress(text, 1) if compressed else text,
            sample.token_count,
            tuple((span.version, span.token_count) for span in sample.spans),
            sample.score,
        )
    )


def decode_sample(slot: SampleSlotKey, value: bytes, now: float) -> Sample | None:
    """Return the sample encoded in a claim's value, or None if the value is invalid.

    `finished_at` is set to `now`, since clocks of other nodes are not comparable.
    """
    try:
        encoded = _DECODER.decode(value)
        octets = zlib.decompress(encoded.text) if encoded.compressed else encoded.text
        text = octets.decode()
    except (msgspec.DecodeError, zlib.error, UnicodeDecodeError):
        return None
    if not encoded.spans:
        return None
    spans = tuple(VersionSpan(WeightVersion(version), count) for version, count in encoded.spans)
    return Sample(slot, encoded.sample_id, text, encoded.token_count, spans, encoded.score, now)
